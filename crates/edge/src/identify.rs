//! Whose a request is: the client account that its key belongs to.

use std::sync::Arc;

use heatherknot_http::RequestHead;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::accounts::{Account, Accounts, KeyOwner};
use crate::catalog::{Catalog, Route};
use crate::dialect::HeaderNames;

/// Why it is not known whose a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentifyError {
    /// It bears no key of any account, or more than one key.
    NoAccount,
    /// Its key may be that of an account that can't be read.
    UnreadableAccount,
}

/// Finds the client account of a caller's request.
///
/// A route that is open to all needs no key; a key that is there still says whose the request
/// is. Nothing needs a key where the configuration has no client accounts.
///
/// # Errors
///
/// Fails where the request needs a key and has none that is known.
pub fn identify(
    catalog: &Catalog,
    route: &Route,
    names: &HeaderNames,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, IdentifyError> {
    let Some(accounts) = catalog.accounts() else {
        return Ok(None);
    };
    match (owner(accounts, names, &head.headers), route.public) {
        (KeyOwner::Account(account), _) => Ok(Some(account)),
        (KeyOwner::Undetermined | KeyOwner::Unknown, true) => Ok(None),
        (KeyOwner::Undetermined, false) => Err(IdentifyError::UnreadableAccount),
        (KeyOwner::Unknown, false) => Err(IdentifyError::NoAccount),
    }
}

/// Gives whose key a request bears. With two keys nobody knows which of them a backend server's
/// own check would read, so it bears none.
fn owner(accounts: &Accounts, names: &HeaderNames, headers: &HeaderMap) -> KeyOwner {
    match only(headers, &names.key) {
        Some(key) => accounts.owner(key),
        None => KeyOwner::Unknown,
    }
}

/// Finds the client account that another VM found a request to be of and that it names.
///
/// # Errors
///
/// Fails where there is no such account here, or it names none on a route that needs one.
pub fn account_named_by_peer(
    catalog: &Catalog,
    route: &Route,
    names: &HeaderNames,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, IdentifyError> {
    let Some(accounts) = catalog.accounts() else {
        return Ok(None);
    };
    let named = only(&head.headers, &names.account);
    match (named.and_then(|name| accounts.named(name)), route.public) {
        (Some(account), _) => Ok(Some(Arc::clone(account))),
        (None, true) if named.is_none() => Ok(None),
        (None, _) => Err(IdentifyError::NoAccount),
    }
}

/// Takes the caller's key and its own word of its account off a request, and names `account` to
/// the backend server in their stead.
///
/// A server trusts the account that it is told. A caller that could set that header would act
/// for any account, and a server that saw the key could act for the caller.
pub fn set_account_header(names: &HeaderNames, head: &mut RequestHead, account: Option<&Account>) {
    head.headers.remove(&names.key);
    head.headers.remove(&names.account);
    let value = account.and_then(|account| HeaderValue::from_str(account.name.as_str()).ok());
    if let Some(value) = value {
        head.headers.insert(&names.account, value);
    }
}

/// Gives the text of a header that is there once.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    value.to_str().ok().filter(|_| values.next().is_none())
}
