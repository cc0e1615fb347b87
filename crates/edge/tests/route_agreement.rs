//! Tests of the digest by which two VMs see whether their configurations handle a request alike.

mod support;

use heatherknot_edge::accounts::{Account, AccountEntry, Accounts, ApiKey, RateLimit};
use heatherknot_edge::catalog::{Catalog, CatalogParts, Route, ServiceSpec, Target};
use heatherknot_edge::route_agreement::{agrees, digest, parse, to_value};
use heatherknot_http::RequestHead;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Uri};
use support::{header_names, route, spec};

/// The rows of one configuration.
#[derive(Clone)]
struct Rows {
    routes: Vec<Route>,
    services: Vec<ServiceSpec>,
    account: Account,
    key: &'static str,
}

fn rows() -> Rows {
    let mut route = route("shots.example", "/a/", "gallery");
    route.targets.push(Target {
        service: "studio".into(),
        weight: 3,
    });
    Rows {
        routes: vec![route],
        services: vec![spec("gallery"), spec("studio")],
        account: Account {
            name: "north".into(),
            priority: None,
            limit: Some(RateLimit {
                per_second: 5.0,
                burst: 10.0,
            }),
            home_regions: Vec::new(),
        },
        key: "k-north",
    }
}

fn catalog(rows: &Rows) -> Catalog {
    let entry = AccountEntry {
        account: rows.account.clone(),
        keys: vec![ApiKey::new(rows.key).expect("a key")],
    };
    Catalog::new(CatalogParts {
        version: 1,
        routes: rows.routes.clone(),
        services: rows.services.clone(),
        accounts: Some(Accounts::new(vec![entry], Vec::new()).0),
        ..CatalogParts::default()
    })
}

/// Returns the digest of a request on the first route that runs on `gallery`.
fn digest_of(rows: &Rows) -> u64 {
    let catalog = catalog(rows);
    digest(
        &catalog,
        &rows.routes[0],
        &"gallery".into(),
        Some(&rows.account),
    )
}

/// Returns whether a home with the configuration `held` accepts a request for `/a/x` that a VM with
/// the configuration `sender` handed over.
fn accepts(held: &Catalog, sender: &Rows) -> bool {
    let names = header_names();
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("shots.example"));
    let account = HeaderValue::from_str(sender.account.name.as_str());
    headers.insert(&names.account, account.expect("a header value"));
    let head = RequestHead {
        method: Method::GET,
        uri: Uri::from_static("/a/x"),
        headers,
    };
    agrees(held, &names, &head, &"gallery".into(), digest_of(sender))
}

type Change = (&'static str, fn(&mut Rows));

/// One change of each field on which the handling of a request rests.
const CHANGES: &[Change] = &[
    ("name", |rows| rows.routes[0].name = "other".into()),
    ("host", |rows| rows.routes[0].host = "s.example".into()),
    ("prefix", |rows| rows.routes[0].prefix = "/".into()),
    ("target", |rows| {
        rows.routes[0].targets[1].service = "shop".into();
    }),
    ("weight", |rows| rows.routes[0].targets[1].weight = 4),
    ("fewer targets", |rows| rows.routes[0].targets.truncate(1)),
    ("idempotent", |rows| rows.routes[0].idempotent ^= true),
    ("attempts", |rows| rows.routes[0].attempts += 1),
    ("timeout", |rows| rows.routes[0].timeout.0 += 1),
    ("latency target", |rows| {
        rows.routes[0].latency_target.0 += 1;
    }),
    ("priority", |rows| rows.routes[0].priority += 1),
    ("home regions", |rows| {
        rows.routes[0].home_regions = vec!["port".into()];
    }),
    ("large answers", |rows| rows.routes[0].large_answers ^= true),
    ("large bodies", |rows| rows.routes[0].large_bodies ^= true),
    ("sticky", |rows| rows.routes[0].sticky ^= true),
    ("public", |rows| rows.routes[0].public ^= true),
    ("cold time", |rows| rows.services[0].cold_time.0 += 1),
    ("cold rate", |rows| rows.services[0].cold_rate += 0.5),
    ("no service row", |rows| {
        rows.services.remove(0);
    }),
    ("account", |rows| rows.account.name = "south".into()),
    ("account priority", |rows| rows.account.priority = Some(0)),
    ("no limit", |rows| rows.account.limit = None),
    ("limit", |rows| {
        rows.account.limit.as_mut().expect("a limit").per_second = 6.0;
    }),
    ("burst", |rows| {
        rows.account.limit.as_mut().expect("a limit").burst = 11.0;
    }),
    ("account regions", |rows| {
        rows.account.home_regions = vec!["port".into()];
    }),
];

/// Guards against a home that handles a request by a row other than the sender's, because a field
/// is missing in the digest or two fields are encoded alike.
#[test]
fn each_changed_field_changes_the_digest_and_is_declined() {
    let mut digests = vec![digest_of(&rows())];
    for (what, change) in CHANGES {
        let mut changed = rows();
        change(&mut changed);

        let digest = digest_of(&changed);

        assert!(!digests.contains(&digest), "{what}");
        assert!(!accepts(&catalog(&changed), &rows()), "{what}: newer home");
        assert!(!accepts(&catalog(&rows()), &changed), "{what}: older home");
        digests.push(digest);
    }
}

/// Guards against hand-overs that are declined while a change spreads that doesn't concern them.
#[test]
fn unrelated_changes_leave_the_digest_alone() {
    let mut changed = rows();
    changed.key = "k-new";
    changed
        .routes
        .push(route("shots.example", "/b/", "gallery"));
    changed.routes.push(route("shots.example", "/", "studio"));
    changed.services.push(spec("shop"));
    changed.services[1].cold_rate += 1.0;

    assert_eq!(digest_of(&changed), digest_of(&rows()));
    assert!(accepts(&catalog(&changed), &rows()));
    assert!(accepts(&catalog(&rows()), &changed));
}

/// Guards against a home that runs a request by its old route after the operator added a more
/// specific one, or removed the route or the account.
#[test]
fn a_request_with_another_match_at_the_home_is_declined() {
    let mut longer = rows();
    longer
        .routes
        .push(route("shots.example", "/a/x", "gallery"));
    let mut removed = rows();
    removed.routes.clear();
    let without_accounts = Catalog::new(CatalogParts {
        version: 1,
        routes: rows().routes,
        services: rows().services,
        ..CatalogParts::default()
    });

    assert!(!accepts(&catalog(&longer), &rows()));
    assert!(!accepts(&catalog(&removed), &rows()));
    assert!(!accepts(&without_accounts, &rows()));
    assert!(!accepts(&Catalog::default(), &rows()));
}

/// Guards against daemons of different builds that hash the same rows differently, which would
/// decline each other's hand-overs.
#[test]
fn the_digest_is_the_same_in_every_build() {
    assert_eq!(format!("{:016x}", digest_of(&rows())), "8870ed67d06d1f40");
}

/// Guards against a digest that is lost on its way because of leading zeros, and against accepting
/// a malformed one.
#[test]
fn the_header_round_trips_and_malformed_values_are_rejected() {
    for digest in [0, 0xabc, u64::MAX] {
        let value = to_value(digest).expect("digits can stand in a header");
        assert_eq!(parse(&value), Some(digest));
    }
    for text in ["", "abc", "+00000000000000a", "00000000000000000", "xyz"] {
        assert_eq!(parse(&HeaderValue::from_static(text)), None, "{text}");
    }
}
