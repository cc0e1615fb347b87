//! Operator keys: authentication, and authorization of reads and changes.

mod support;

use heatherknot_settings::{
    BootstrapKey, Denied, NewKey, Operator, OperatorKey, Right, Tree, TreePath,
};
use heatherknot_types::prelude::*;
use serde_json::{Value as Json, json};
use support::RandomEdit;

const BRANCH: &str = "training";

fn key_json(id: &str, branch: &str, rights: &[&str]) -> (String, Json) {
    let key = NewKey::from_bytes(id, [7; 16], [9; 32]);
    let object = json!({
        "holder": "Somebody",
        "branch": branch,
        "rights": rights,
        "salt": key.salt,
        "hash": key.hash,
    });
    (key.secret, object)
}

fn operator(id: &str, branch: &str, rights: &[&str]) -> Operator {
    let (secret, json) = key_json(id, branch, rights);
    let key = OperatorKey::read(id, json.as_object().unwrap()).unwrap();
    let first = BootstrapKey { id: id.into(), key };
    Operator::authenticate(&Tree::empty(), Some(&first), &secret).unwrap()
}

fn try_change(operator: &Operator, before: &Tree, path: &str, value: Json) -> Result<(), Denied> {
    let after = support::with_value(before, path, value);
    let edits = before.diff(&after);
    operator.authorize_change(before, &after, &edits)
}

// A wrong secret and an unknown identifier must be denied alike.
#[test]
fn only_the_correct_secret_authenticates() {
    let (secret, json) = key_json("night", BRANCH, &["read"]);
    let tree = support::with_value(&support::tree(), "operators/night", json);
    let (altered, _) = secret.split_at(secret.len() - 1);

    let known = Operator::authenticate(&tree, None, &secret).unwrap();
    let wrong = Operator::authenticate(&tree, None, &format!("{altered}e"));
    let other = Operator::authenticate(&tree, None, "day.0123");
    let none = Operator::authenticate(&tree, None, "");

    assert_eq!((&*known.id, &*known.key.branch), ("night", BRANCH));
    assert_eq!(wrong, Err(Denied::UnknownKey));
    assert_eq!(other, Err(Denied::UnknownKey));
    assert_eq!(none, Err(Denied::UnknownKey));
}

// The secret must not leak through the document or a log line.
#[test]
fn secrets_appear_neither_in_the_document_nor_in_debug_output() {
    let (secret, json) = key_json("night", BRANCH, &["read"]);
    let random = secret.split_once('.').unwrap().1;
    let tree = support::with_value(&support::tree(), "operators/night", json);

    let text = format!("{:?} {:?}", tree, tree.model().operators);

    assert!(!text.contains(random));
}

// Keys must not share a secret or a salt, even with the same identifier.
#[test]
fn generated_keys_differ() {
    let one = NewKey::generate("a").unwrap();
    let two = NewKey::generate("a").unwrap();

    assert_ne!(one.secret, two.secret);
    assert_ne!(one.salt, two.salt);
}

// A branch key must not read other accounts, the platform, the defaults or the operators.
#[test]
fn a_branch_key_reads_only_its_branch() {
    let tree = support::tree();
    let operator = operator("tutor", BRANCH, &["read"]);
    let read = |path: &str| operator.authorize_read(&tree, &TreePath::parse(path).unwrap());

    assert!(read("training:gallery").is_ok());
    for path in [
        "",
        "defaults",
        "platform/places",
        "operators",
        "operators/x",
        "accounts",
        "utilities:",
        "utilities/port-louis:gallery",
    ] {
        assert!(
            matches!(read(path), Err(Denied::OutsideBranch { .. })),
            "{path}"
        );
    }
}

// A branch key must not change other branches, or the share of its own.
#[test]
fn a_branch_key_changes_only_its_branch() {
    let tree = support::tree();
    let operator = operator("tutor", BRANCH, &["read", "change", "drain"]);
    let change = |path: &str, value| try_change(&operator, &tree, path, value);

    assert!(change("training:gallery/queue_len", json!(3)).is_ok());
    assert!(change("training:gallery/upstreams/g-1/draining", json!(true)).is_ok());
    assert!(
        change(
            "training:accounts/tutors",
            json!({ "defaults": { "account_share_permille": 9 } })
        )
        .is_ok()
    );
    for (path, value) in [
        ("defaults/queue_len", json!(3)),
        ("platform/places/north-1/in_flight", json!(80)),
        ("utilities/port-louis:gallery/queue_len", json!(3)),
        ("training:defaults/account_share_permille", json!(400)),
        ("accounts/schools", json!({})),
    ] {
        let denied = change(path, value);

        assert!(
            matches!(denied, Err(Denied::OutsideBranch { .. })),
            "{path}"
        );
    }
}

// A drain key must not change other settings, nor objects that are named like a drain setting.
#[test]
fn the_drain_right_is_limited_to_drain_settings() {
    let tree = support::tree();
    let operator = operator("drains", "", &["drain"]);
    let change = |path: &str, value| try_change(&operator, &tree, path, value);

    assert!(change("platform/places/north-1/draining", json!(true)).is_ok());
    assert!(change("platform/domains/north-1/draining_vms", json!(["vm-1"])).is_ok());
    let cap = change("platform/places/north-1/in_flight", json!(10));
    let queue = change("defaults/queue_len", json!(10));
    let service = change("training:draining", json!({}));
    let region = json!({ "per_second": 1, "in_flight": 1 });
    let region = change("platform/regions/draining", region);
    assert!(matches!(service, Err(Denied::NoRight { .. })));
    assert!(matches!(region, Err(Denied::NoRight { .. })));
    assert!(matches!(
        cap,
        Err(Denied::NoRight {
            right: Right::Platform,
            ..
        })
    ));
    assert!(matches!(
        queue,
        Err(Denied::NoRight {
            right: Right::Change,
            ..
        })
    ));
}

// Privilege escalation: a key must not create a key with more rights or another branch.
#[test]
fn a_key_cannot_grant_more_than_its_own_rights() {
    let tree = support::tree();
    let operator = operator("tutor", BRANCH, &["read", "change"]);
    let grant = |branch: &str, rights: &[&str]| {
        let (_, json) = key_json("new", branch, rights);
        try_change(&operator, &tree, "operators/new", json)
    };

    assert!(grant(BRANCH, &["read", "change"]).is_ok());
    assert!(matches!(
        grant(BRANCH, &["drain"]),
        Err(Denied::BeyondOwnRights { .. })
    ));
    assert!(matches!(
        grant("", &["read"]),
        Err(Denied::BeyondOwnRights { .. })
    ));
    assert!(matches!(
        grant("utilities", &["read"]),
        Err(Denied::BeyondOwnRights { .. })
    ));
}

// Replacing a key of the root by one of its own branch must be denied.
#[test]
fn a_key_cannot_replace_a_key_of_another_branch() {
    let (_, json) = key_json("root", "", &["read"]);
    let tree = support::with_value(&support::tree(), "operators/root", json);
    let (_, own) = key_json("root", BRANCH, &["read"]);
    let operator = operator("tutor", BRANCH, &["read", "change"]);

    let denied = try_change(&operator, &tree, "operators/root", own);

    assert!(matches!(denied, Err(Denied::BeyondOwnRights { .. })));
}

// Changes that a branch key is authorized to make must not affect the settings, the share or the
// caps of another account.
#[test]
fn authorized_branch_changes_do_not_affect_other_branches() {
    let operator = operator("tutor", BRANCH, &["read", "change", "drain", "audit"]);
    heatherknot_test_support::property::check()
        .with_type::<Vec<RandomEdit>>()
        .with_iterations(300)
        .for_each(|random_edits| {
            let before = support::tree();
            let mut document = before.document();
            random_edits
                .iter()
                .for_each(|random_edit| support::apply_random_edit(&mut document, *random_edit));
            let Ok(after) = Tree::from_document(document) else {
                return;
            };
            let edits = before.diff(&after);

            let allowed = operator.authorize_change(&before, &after, &edits).is_ok();

            let (old, new) = (before.compile(Revision(1)), after.compile(Revision(1)));
            let other = "utilities/port-louis:gallery";
            let same = old.services.get(other) == new.services.get(other)
                && old.places == new.places
                && old.regions == new.regions
                && old.accounts.get("utilities/port-louis")
                    == new.accounts.get("utilities/port-louis");
            assert!(same || !allowed);
            let outside = edits
                .iter()
                .any(|e| !e.path.starts_with("accounts/training"));
            assert!(!(outside && allowed));
        });
}
