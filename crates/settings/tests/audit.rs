//! The audit trail: the entries visible to a branch, and compaction of old entries.

mod support;

use heatherknot_settings::audit::{compacted, entry_for};
use heatherknot_settings::change::verify_chain;
use serde_json::json;
use support::{change_value, first_change};

// An audit entry must not reveal the changes of other branches.
#[test]
fn a_branch_sees_only_its_part_of_a_change() {
    let tree = support::tree();
    let first = first_change();
    let (elsewhere, tree) = change_value(
        first.point(),
        &tree,
        "utilities/port-louis:gallery/queue_len",
        json!(9),
    );
    let (inside, tree) = change_value(
        elsewhere.point(),
        &tree,
        "training:gallery/queue_len",
        json!(8),
    );

    let whole = entry_for("", &tree, &first).unwrap();
    let part = entry_for("training", &tree, &first).unwrap();
    let nested = entry_for("utilities/port-louis", &tree, &first).unwrap();
    let none = entry_for("training", &tree, &elsewhere);
    let own = entry_for("training", &tree, &inside).unwrap();

    assert!(whole.edits.iter().any(|e| e.path == "platform"));
    assert_eq!(part.edits.len(), 1);
    assert_eq!(part.edits[0].path, "accounts/training");
    assert_eq!(
        nested.edits[0].after.as_ref().unwrap()["defaults"],
        json!({ "queue_len": 32 })
    );
    assert_eq!(none, None);
    assert_eq!(
        (own.edits[0].after.clone(), &*own.key),
        (Some(json!(8)), "night")
    );
}

// Compaction must not break the hash chain or drop small values.
#[test]
fn compaction_drops_only_large_values_and_keeps_the_hash() {
    let first = first_change();
    let long = "training:gallery/at_most_once";
    let routes: Vec<String> = (0..40)
        .map(|n| format!("POST /{n}{}", "x".repeat(200)))
        .collect();
    let (second, _) = change_value(first.point(), &support::tree(), long, json!(routes));

    let (short, compacted) = (compacted(&first), compacted(&second));

    assert_eq!(short, first);
    assert_eq!(compacted.edits[0].path, second.edits[0].path);
    assert_eq!(
        (&compacted.edits[0].before, &compacted.edits[0].after),
        (&None, &None)
    );
    assert!(verify_chain(first.point(), &[compacted]).is_ok());
}
