//! Determines which client account a request belongs to, from its key.

use std::sync::Arc;

use heatherknot_http::RequestHead;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::accounts::{Account, Accounts, KeyOwner};
use crate::catalog::{Catalog, Route};
use crate::dialect::HeaderNames;

/// Why the client account of a request could not be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentifyError {
    /// The request has no known key, or several keys, or names no known account where a peer has
    /// identified it.
    NoAccount,
    /// The key may belong to an account that could not be read.
    UnreadableAccount,
}

/// Finds the client account of a caller's request.
///
/// A public route needs no key, but a valid key still identifies the account. If the configuration
/// has no client accounts, no route needs a key.
///
/// # Errors
///
/// Returns an error if the request needs a key and has no known one.
pub fn identify(
    catalog: &Catalog,
    route: &Route,
    names: &HeaderNames,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, IdentifyError> {
    let Some(accounts) = catalog.accounts() else {
        return Ok(None);
    };
    match (key_owner(accounts, names, &head.headers), route.public) {
        (KeyOwner::Account(account), _) => Ok(Some(account)),
        (KeyOwner::Undetermined | KeyOwner::Unknown, true) => Ok(None),
        (KeyOwner::Undetermined, false) => Err(IdentifyError::UnreadableAccount),
        (KeyOwner::Unknown, false) => Err(IdentifyError::NoAccount),
    }
}

/// Returns the owner of the request's key. With several keys it is unclear which of them a backend
/// server's own check would read, so the request counts as having none.
fn key_owner(accounts: &Accounts, names: &HeaderNames, headers: &HeaderMap) -> KeyOwner {
    match single_value(headers, &names.key) {
        Some(key) => accounts.owner(key),
        None => KeyOwner::Unknown,
    }
}

/// Finds the client account that another VM has already determined and named in the request.
///
/// # Errors
///
/// Returns an error if this VM doesn't know the account, or if none is named on a route that needs
/// one.
pub fn account_named_by_peer(
    catalog: &Catalog,
    route: &Route,
    names: &HeaderNames,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, IdentifyError> {
    let Some(accounts) = catalog.accounts() else {
        return Ok(None);
    };
    let named = single_value(&head.headers, &names.account);
    match (named.and_then(|name| accounts.named(name)), route.public) {
        (Some(account), _) => Ok(Some(Arc::clone(account))),
        (None, true) if named.is_none() => Ok(None),
        (None, _) => Err(IdentifyError::NoAccount),
    }
}

/// Removes the caller's key and any account header of the caller's own from a request, and names
/// `account` to the backend server instead.
///
/// Backend servers trust the account header. A caller that could set it would act for any account,
/// and a server that saw the key could act for the caller.
pub fn set_account_header(names: &HeaderNames, head: &mut RequestHead, account: Option<&Account>) {
    head.headers.remove(&names.key);
    head.headers.remove(&names.account);
    let value = account.and_then(|account| HeaderValue::from_str(account.name.as_str()).ok());
    if let Some(value) = value {
        head.headers.insert(&names.account, value);
    }
}

/// Returns the value of a header that occurs exactly once, if it is text.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    value.to_str().ok().filter(|_| values.next().is_none())
}
