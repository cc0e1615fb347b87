//! Tests of client accounts: identifying a request's account, what backend servers see of it, and
//! where it may run.

mod support;

use heatherknot_edge::accounts::{
    Account, AccountEntry, Accounts, AllowedRegions, ApiKey, InvalidAccount, KeyOwner,
};
use heatherknot_edge::catalog::{Catalog, CatalogParts, Route};
use heatherknot_edge::dialect::HeaderNames;
use heatherknot_edge::identify::{
    IdentifyError, account_named_by_peer, identify, set_account_header,
};
use heatherknot_http::RequestHead;
use heatherknot_test_support::property::check;
use http::{HeaderName, HeaderValue, Method, Uri};
use support::{header_names, route};

const KEY: &str = "k-1";

fn entry(name: &str, keys: &[&str]) -> AccountEntry {
    AccountEntry {
        account: Account {
            name: name.into(),
            priority: None,
            limit: None,
            home_regions: Vec::new(),
        },
        keys: keys.iter().filter_map(|key| ApiKey::new(key)).collect(),
    }
}

fn accounts(entries: Vec<AccountEntry>, invalid: Vec<InvalidAccount>) -> Accounts {
    Accounts::new(entries, invalid).0
}

fn invalid(keys: Option<&[&str]>) -> InvalidAccount {
    let keys = keys.map(|keys| keys.iter().filter_map(|key| ApiKey::new(key)).collect());
    InvalidAccount {
        keys,
        cause: "its entry can't be read".to_owned(),
    }
}

fn catalog(accounts: Accounts) -> Catalog {
    Catalog::new(CatalogParts {
        version: 1,
        accounts: Some(accounts),
        ..CatalogParts::default()
    })
}

fn closed() -> Route {
    route("a.example", "/a/", "gallery")
}

fn open() -> Route {
    Route {
        public: true,
        ..closed()
    }
}

fn head(headers: &[(&HeaderName, &[u8])]) -> RequestHead {
    let mut head = RequestHead {
        method: Method::GET,
        uri: Uri::from_static("/a/x"),
        headers: http::HeaderMap::new(),
    };
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value).expect("a value for a header");
        head.headers.append(*name, value);
    }
    head
}

fn names() -> HeaderNames {
    header_names()
}

fn name_of(found: Result<Option<std::sync::Arc<Account>>, IdentifyError>) -> Option<String> {
    found.ok()?.map(|account| account.name.to_string())
}

#[test]
fn a_key_identifies_its_account_and_a_public_route_needs_none() {
    let names = names();
    let catalog = catalog(accounts(vec![entry("north", &[KEY])], Vec::new()));
    let keyed = head(&[(&names.key, KEY.as_bytes())]);
    let bare = head(&[]);
    let wrong = head(&[(&names.key, b"k-2")]);

    let of = |route: &Route, head: &RequestHead| identify(&catalog, route, &names, head);

    assert_eq!(name_of(of(&closed(), &keyed)).as_deref(), Some("north"));
    assert_eq!(name_of(of(&open(), &keyed)).as_deref(), Some("north"));
    assert_eq!(of(&open(), &bare), Ok(None));
    assert_eq!(of(&open(), &wrong), Ok(None));
    assert_eq!(of(&closed(), &bare), Err(IdentifyError::NoAccount));
    assert_eq!(of(&closed(), &wrong), Err(IdentifyError::NoAccount));
    let none = Catalog::new(CatalogParts::default());
    assert_eq!(identify(&none, &closed(), &names, &bare), Ok(None));
}

/// A caller may send its key together with a second, an empty or a differently spelled one. If a
/// backend server read the second key, the request would run for an account that was not checked.
#[test]
fn a_key_that_is_repeated_empty_or_misspelled_is_rejected() {
    let names = names();
    let catalog = catalog(accounts(vec![entry("north", &[KEY])], Vec::new()));
    let spellings: [&[&[u8]]; 7] = [
        &[b"k-1", b"k-1"],
        &[b"k-1", b""],
        &[b""],
        &[b"K-1"],
        &[b"k-1, k-1"],
        &[b"Bearer k-1"],
        &[b"k-1\xff"],
    ];
    for spelling in spellings {
        let headers: Vec<_> = spelling.iter().map(|value| (&names.key, *value)).collect();
        let found = identify(&catalog, &closed(), &names, &head(&headers));
        assert_eq!(found, Err(IdentifyError::NoAccount), "{spelling:?}");
    }
}

/// A caller must not be able to act for another account by naming it in the header that backend
/// servers trust.
#[test]
fn an_account_header_from_a_caller_reaches_no_server() {
    let names = names();
    let known = [KEY, "k-2", ""];
    check()
        .with_type::<(u8, Vec<Vec<u8>>, bool)>()
        .for_each(|(key, claims, public)| {
            let catalog = catalog(accounts(
                vec![entry("north", &[KEY]), entry("south", &["k-2"])],
                Vec::new(),
            ));
            let key = known[usize::from(*key) % known.len()].as_bytes();
            let mut head = head(&[(&names.key, key)]);
            for claim in claims {
                if let Ok(value) = HeaderValue::from_bytes(claim) {
                    head.headers.append(&names.account, value);
                }
            }
            let route = if *public { open() } else { closed() };
            let Ok(account) = identify(&catalog, &route, &names, &head) else {
                assert!(key.is_empty() && !public);
                return;
            };

            set_account_header(&names, &mut head, account.as_deref());

            assert!(!head.headers.contains_key(&names.key));
            let received: Vec<_> = head.headers.get_all(&names.account).iter().collect();
            let expected: Vec<&str> = match key {
                b"k-1" => vec!["north"],
                b"k-2" => vec!["south"],
                _ => Vec::new(),
            };
            assert_eq!(received, expected);
        });
}

/// If an account's configuration is invalid, or two accounts hold the same key, a 401 would wrongly
/// tell callers that their keys were revoked, and running their requests would act for an
/// undetermined account.
#[test]
fn a_key_of_an_undetermined_owner_is_neither_accepted_nor_denied() {
    let held_twice = vec![entry("north", &[KEY, "k-n"]), entry("south", &[KEY])];

    let shared = accounts(held_twice, Vec::new());
    let one_invalid = accounts(vec![entry("north", &["k-n"])], vec![invalid(Some(&[KEY]))]);
    let no_keys = accounts(vec![entry("north", &["k-n"])], vec![invalid(None)]);

    for accounts in [&shared, &one_invalid, &no_keys] {
        assert_eq!(accounts.owner(KEY), KeyOwner::Undetermined);
        assert!(matches!(accounts.owner("k-n"), KeyOwner::Account(_)));
    }
    assert_eq!(one_invalid.owner("guess"), KeyOwner::Unknown);
    assert_eq!(no_keys.owner("guess"), KeyOwner::Undetermined);
    assert_eq!(Accounts::unreadable().owner(KEY), KeyOwner::Undetermined);
}

#[test]
fn duplicate_names_and_missing_keys_are_reported() {
    let entries = vec![
        entry("north", &["k-1"]),
        entry("north", &["k-2"]),
        entry("south", &[]),
    ];

    let (accounts, problems) = Accounts::new(entries, Vec::new());

    assert!(matches!(accounts.owner("k-1"), KeyOwner::Account(_)));
    assert_eq!(accounts.owner("k-2"), KeyOwner::Undetermined);
    assert!(
        problems
            .iter()
            .any(|problem| problem.contains("two accounts have this name"))
    );
    assert!(
        problems
            .iter()
            .any(|problem| problem.contains("'south': it has no key"))
    );
}

#[test]
fn keys_do_not_appear_in_debug_output() {
    let accounts = accounts(vec![entry("north", &["k-secret"])], Vec::new());
    assert!(!format!("{accounts:?}").contains("secret"));
}

/// A VM hands a request to the home of its server with the account's name instead of the key. A
/// home that does not know the account must not run the request without one.
#[test]
fn a_home_accepts_only_accounts_that_it_knows() {
    let names = names();
    let catalog = catalog(accounts(vec![entry("north", &[KEY])], Vec::new()));
    let of = |route: &Route, account: Option<&[u8]>| {
        let headers: Vec<_> = account.into_iter().map(|a| (&names.account, a)).collect();
        account_named_by_peer(&catalog, route, &names, &head(&headers))
    };

    assert_eq!(
        name_of(of(&closed(), Some(b"north"))).as_deref(),
        Some("north")
    );
    assert_eq!(of(&closed(), Some(b"south")), Err(IdentifyError::NoAccount));
    assert_eq!(of(&open(), Some(b"south")), Err(IdentifyError::NoAccount));
    assert_eq!(of(&closed(), None), Err(IdentifyError::NoAccount));
    assert_eq!(of(&open(), None), Ok(None));
}

#[test]
fn a_request_is_restricted_by_both_its_route_and_its_account() {
    let regions = |names: &[&str]| -> Vec<_> { names.iter().map(|n| (*n).into()).collect() };
    let allowed = |route: &[&str], account: &[&str], region: &str| {
        AllowedRegions::intersect(&regions(route), &regions(account)).allows(&region.into())
    };

    assert!(allowed(&[], &[], "north"));
    assert!(allowed(&["north"], &[], "north") && !allowed(&["north"], &[], "south"));
    assert!(allowed(&[], &["north"], "north") && !allowed(&[], &["north"], "south"));
    assert!(allowed(&["north", "south"], &["south"], "south"));
    assert!(!allowed(&["north", "south"], &["south"], "north"));
    assert!(AllowedRegions::intersect(&regions(&["north"]), &regions(&["south"])).is_empty());
    assert!(!AllowedRegions::intersect(&regions(&["north"]), &[]).is_empty());
}
