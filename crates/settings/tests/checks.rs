//! Validation of documents and paths, and the error messages.

mod support;

use heatherknot_settings::{SettingsError, Tree, TreePath, edit};
use serde_json::{Value as Json, json};

struct Case {
    /// The path that is set in a valid document.
    path: &'static str,
    value: Json,
    /// A substring of the expected error; `accepted` if there must be none.
    expected_error: &'static str,
}

fn case(path: &'static str, value: Json, expected_error: &'static str) -> Case {
    Case {
        path,
        value,
        expected_error,
    }
}

fn error_of(case: &Case) -> String {
    let mut document = support::document();
    edit::set(
        &mut document,
        &TreePath::parse(case.path).unwrap(),
        case.value.clone(),
    )
    .unwrap();
    match Tree::from_document(document) {
        Ok(_) => "accepted".to_string(),
        Err(error) => error.to_string(),
    }
}

fn assert_refused(cases: Vec<Case>) {
    for case in cases {
        let error = error_of(&case);

        assert!(
            error.contains(case.expected_error),
            "{}: {error}",
            case.path
        );
    }
}

// A value of the wrong type or out of range must not be accepted.
#[test]
fn values_of_wrong_type_or_range_are_rejected() {
    assert_refused(vec![
        case(
            "defaults/deadline_ms",
            json!("5 s"),
            "at defaults, key `deadline_ms`: found the text \"5 s\", expected a whole number of ms \
             from 10 to 3600000",
        ),
        case(
            "defaults/deadline_ms",
            json!(5),
            "found the number 5, expected a whole number of ms",
        ),
        case("defaults/deadline_ms", json!(50.5), "found the number 50.5"),
        case("defaults/deadline_ms", json!(-50), "found the number -50"),
        case("defaults/deadline_ms", json!(null), "found null"),
        case(
            "defaults/class",
            json!("urgent"),
            "expected one of interactive, bulk",
        ),
    ]);
}

// Malformed routes, addresses, prefixes and flags must not reach the plan.
#[test]
fn malformed_strings_and_lists_are_rejected() {
    assert_refused(vec![
        case(
            "defaults/at_most_once",
            json!(["GET /"]),
            "a method other than GET and HEAD",
        ),
        case(
            "defaults/at_most_once",
            json!(["POST /../x"]),
            "a path prefix",
        ),
        case(
            "defaults/at_most_once",
            json!(["POST /", "POST /"]),
            "without duplicates",
        ),
        case(
            "training:gallery/upstreams/g-1/address",
            json!("vm-1:80"),
            "an IP number and a port",
        ),
        case(
            "training:gallery/upstreams/g-1/address",
            json!("10.2.0.1:0"),
            "an IP number",
        ),
        case(
            "training:gallery/upstreams/g-1/slots",
            json!(70_000),
            "from 1 to 65535",
        ),
        case(
            "training:gallery/upstreams/g-1/draining",
            json!(1),
            "true or false",
        ),
        case(
            "platform/quotas/training/networks",
            json!(["10.2.0.1/16"]),
            "an IP prefix",
        ),
    ]);
}

// A misspelled or missing key must not silently fall back to a default.
#[test]
fn unknown_and_missing_keys_are_reported() {
    assert_refused(vec![
        case(
            "defaults/deadline",
            json!(5000),
            "at defaults, key `deadline`: found an unknown key",
        ),
        case("defaults/deadline", json!(5000), "deadline_ms"),
        case(
            "platform/places/north-1",
            json!({ "domain": "north-1" }),
            "key `per_second`: found nothing",
        ),
        case("platform/zones", json!({}), "at platform, key `zones`"),
        case(
            "training:gallery/account_share_permille",
            json!(5),
            "an unknown key",
        ),
        case("accounts/training/caps", json!({}), "key `caps`"),
        case(
            "operators/night",
            json!({ "branch": "" }),
            "at operators/night, key `hash`",
        ),
    ]);
}

// A reference to a region, failure domain, place or account that does not exist is an error.
#[test]
fn references_to_missing_objects_are_rejected() {
    assert_refused(vec![
        case(
            "platform/domains/north-1/region",
            json!("east"),
            "a name in platform/regions",
        ),
        case(
            "platform/places/north-1/domain",
            json!("north-9"),
            "a name in platform/domains",
        ),
        case(
            "platform/links/north",
            json!({ "north": { "per_second": 1, "in_flight": 1 } }),
            "at platform/links/north, key `north`: found a link from the region to itself",
        ),
        case(
            "platform/links/north",
            json!({ "east": { "per_second": 1, "in_flight": 1 } }),
            "found the text \"east\"",
        ),
        case(
            "platform/quotas/nobody",
            json!({}),
            "a name in the accounts",
        ),
        case(
            "platform/quotas/training/places",
            json!(["south-1"]),
            "a name in platform/places",
        ),
        case(
            "training:gallery/upstreams/g-1/place",
            json!("south-1"),
            "a name in platform/places",
        ),
    ]);
}

// A value must not exceed the cap, limit, share or network that applies to it.
#[test]
fn contradictory_caps_and_limits_are_rejected() {
    let second = json!({ "place": "north-1", "address": "10.2.0.1:8080", "slots": 1 });
    assert_refused(vec![
        case(
            "platform/places/north-1/in_flight",
            json!(91),
            "at most 90, the cap of region north",
        ),
        case(
            "training:gallery/upstreams/g-1/slots",
            json!(31),
            "at most 30, the cap of place north-1",
        ),
        case(
            "training:gallery/upstreams/g-1/connections",
            json!(2),
            "at least 3, the slots",
        ),
        case(
            "training:gallery/upstreams/g-2",
            second,
            "another address than that of upstream g-1",
        ),
        case(
            "training:gallery/upstreams/g-1/address",
            json!("10.1.0.9:80"),
            "the networks granted to training",
        ),
        case(
            "training:gallery/queue_len",
            json!(501),
            "at most 500, the platform's limit",
        ),
        case(
            "training:defaults/account_share_permille",
            json!(501),
            "at most 500, the value inherited",
        ),
        case(
            "training:defaults/account_share_permille",
            json!(33),
            "found 33 thousandths of 30 requests",
        ),
        case(
            "platform/quotas/training/guaranteed_permille",
            json!(501),
            "at most 500, the quota's share",
        ),
    ]);
}

// Nested accounts must not take more than their parent has, or all of it if it has services.
#[test]
fn nested_accounts_cannot_exceed_the_share_of_their_parent() {
    let half = json!({ "defaults": { "account_share_permille": 250 } });
    let cases = vec![
        case(
            "training:accounts",
            json!({ "tutors": half.clone(), "schools": {} }),
            "found 750 thousandths for the accounts below together, expected together at most 500",
        ),
        case(
            "training:accounts",
            json!({ "tutors": half.clone(), "schools": half.clone() }),
            "room for one request of the account's own services",
        ),
        case("training:accounts", json!({ "tutors": half }), "accepted"),
    ];
    assert_refused(cases);
}

// The guarantees of all quotas must not exceed the cap of a place.
#[test]
fn guarantees_of_a_place_cannot_exceed_its_cap() {
    let quotas = json!({
        "utilities.port-louis": { "guaranteed_permille": 600, "networks": ["10.1.0.0/16"] },
        "training": { "guaranteed_permille": 500, "networks": ["10.2.0.0/16"] },
    });
    assert_refused(vec![case(
        "platform/quotas",
        quotas,
        "found 1100 thousandths of place north-1",
    )]);
}

// Validation must not stop at the first error.
#[test]
fn all_errors_of_a_document_are_reported_together() {
    let mut document = support::document();
    document["defaults"]["deadline_ms"] = json!(1);
    document["platform"]["places"]["north-1"]["domain"] = json!("nowhere");

    let error = Tree::from_document(document).unwrap_err();

    let SettingsError::Invalid { faults } = error else {
        panic!("{error}")
    };
    let keys: Vec<&str> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["deadline_ms", "domain"]);
}

// A document of another schema version, or without one, must not be interpreted.
#[test]
fn unsupported_or_missing_schema_versions_are_rejected() {
    let newer = Tree::parse(r#"{ "schema": 2, "whatever": 1 }"#).unwrap_err();
    let none = Tree::parse("{}").unwrap_err();
    let text = Tree::parse("{ \"schema\": ").unwrap_err();

    assert!(matches!(newer, SettingsError::Schema { found: 2 }));
    assert!(none.to_string().contains("key `schema`: found nothing"));
    assert!(text.to_string().contains("not JSON"));
}

// Arbitrary input must not cause a panic.
#[test]
fn parsing_random_text_returns_an_error() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let text = String::from_utf8_lossy(bytes);

            assert!(Tree::parse(&text).is_err());
        });
}

// A path must not leave the branch that it starts in.
#[test]
fn path_traversal_and_malformed_paths_are_rejected() {
    let bad = [
        "accounts/../platform",
        "accounts/utilities/./x",
        "accounts//x",
        "utilities/port-louis:../training",
        "../platform",
        "accounts/%2e%2e/platform",
        "accounts/utilities\\..\\training",
        "elsewhere/x",
        "UTILITIES:gallery",
    ];
    for path in bad {
        let error = TreePath::parse(path).unwrap_err();

        assert!(matches!(error, SettingsError::Path { .. }), "{path}");
    }
}

// The short form of a path must expand to the same node as the long form.
#[test]
fn long_and_short_paths_are_equivalent() {
    let long = "accounts/utilities/accounts/port-louis/services/gallery/queue_len";

    let short = TreePath::parse("utilities/port-louis:gallery/queue_len").unwrap();
    let defaults = TreePath::parse("utilities/port-louis:defaults/queue_len").unwrap();

    assert_eq!(short.to_string(), long);
    assert_eq!(short, TreePath::parse(long).unwrap());
    assert_eq!(
        defaults.to_string(),
        "accounts/utilities/accounts/port-louis/defaults/queue_len"
    );
}

// No combination of segments may produce a path outside the account before the colon.
#[test]
fn parsed_paths_stay_within_their_account() {
    const PIECES: [&str; 12] = [
        "accounts",
        "platform",
        "utilities",
        "port-louis",
        "..",
        ".",
        "",
        ":",
        "/",
        "%2e",
        "a.b",
        "x_y",
    ];
    heatherknot_test_support::property::check()
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|choices| {
            let pieces = choices.iter().map(|(piece, slash)| {
                let piece = PIECES[usize::from(*piece) % PIECES.len()];
                format!("{piece}{}", if *slash { "/" } else { "" })
            });
            let text: String = pieces.collect();

            let Ok(path) = TreePath::parse(&text) else {
                return;
            };

            let climbs = |key: &str| key.is_empty() || key.split('.').any(str::is_empty);
            assert!(!path.segments().iter().any(|key| climbs(key)), "{text}");
            assert_eq!(TreePath::parse(&path.to_string()).unwrap(), path);
            if let Some((account, _)) = text.split_once(':') {
                assert!(path.is_within(&TreePath::of_account(account)), "{text}");
            }
        });
}
