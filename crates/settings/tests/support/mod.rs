//! Shared test fixtures: a small tree, an author and random edits.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

use heatherknot_settings::{Author, ChainPoint, Change, Tree, TreePath, edit};
use serde_json::{Value as Json, json};

/// Returns a document with two accounts that have one service each, one of them nested.
pub fn document() -> Json {
    json!({
        "schema": 1,
        "platform": {
            "regions": { "north": { "per_second": 900, "in_flight": 90 } },
            "domains": { "north-1": { "region": "north" } },
            "places": { "north-1": { "domain": "north-1", "per_second": 300, "in_flight": 30 } },
            "limits": { "queue_len": 500 },
            "quotas": {
                "utilities.port-louis": { "share_permille": 600, "networks": ["10.1.0.0/16"] },
                "training": { "share_permille": 500, "networks": ["10.2.0.0/16"] },
            },
        },
        "defaults": { "deadline_ms": 4000 },
        "accounts": {
            "utilities": {
                "accounts": { "port-louis": account("10.1.0.1:8080") },
            },
            "training": account("10.2.0.1:8080"),
        },
    })
}

fn account(address: &str) -> Json {
    json!({
        "defaults": { "queue_len": 32 },
        "services": {
            "gallery": {
                "upstreams": { "g-1": { "place": "north-1", "address": address, "slots": 3 } },
            },
        },
    })
}

/// Returns the validated tree of [`document`].
pub fn tree() -> Tree {
    Tree::from_document(document()).unwrap()
}

/// Returns an author with the given command identifier.
pub fn author(command: &str) -> Author {
    Author {
        command: command.into(),
        who: "Night shift".into(),
        key: "night".into(),
        at_ms: 1_700_000_000_000,
    }
}

/// Returns the tree with one value set.
pub fn with_value(tree: &Tree, path: &str, value: Json) -> Tree {
    let mut document = tree.document();
    edit::set(&mut document, &TreePath::parse(path).unwrap(), value).unwrap();
    Tree::from_document(document).unwrap()
}

/// Returns the change that sets one value, and the tree after it.
pub fn change_value(at: ChainPoint, tree: &Tree, path: &str, value: Json) -> (Change, Tree) {
    let after = with_value(tree, path, value);
    let change = Change::between(at, tree, &after, author(path)).unwrap();
    (change, after)
}

/// Returns the first change, which turns the empty tree into [`document`].
pub fn first_change() -> Change {
    let empty = Tree::empty();
    Change::between(ChainPoint::default(), &empty, &tree(), author("fill")).unwrap()
}

/// One random edit: selectors for the path and for the kind of value, and the value.
pub type RandomEdit = (u8, u8, u16);

const PATHS: [&str; 12] = [
    "defaults/deadline_ms",
    "defaults/queue_len",
    "utilities:defaults/queue_len",
    "utilities/port-louis:defaults/queue_len",
    "utilities/port-louis:defaults/account_share_permille",
    "utilities/port-louis:gallery/retry_permille",
    "utilities/port-louis:gallery/upstreams/g-1/slots",
    "utilities/port-louis:gallery/upstreams/g-1/draining",
    "training:defaults/growth_permille",
    "training:accounts/tutors",
    "training:gallery",
    "platform/places/north-1/in_flight",
];

/// Applies a random edit to the document, without validating the result.
pub fn apply_random_edit(document: &mut Json, random_edit: RandomEdit) {
    let path = TreePath::parse(PATHS[usize::from(random_edit.0) % PATHS.len()]).unwrap();
    let value = match random_edit.1 % 6 {
        0 => None,
        1 => Some(json!(random_edit.2.is_multiple_of(2))),
        2 => Some(json!({})),
        3 => Some(json!({ "defaults": { "queue_len": random_edit.2 % 100 } })),
        _ => Some(json!(random_edit.2 % 700)),
    };
    let _ = match value {
        None => edit::unset(document, &path),
        Some(value) => edit::set(document, &path, value),
    };
}

/// Applies the random edits in order and returns the first tree and each valid, changed tree.
pub fn accepted_trees(random_edits: &[RandomEdit]) -> Vec<Tree> {
    let mut trees = vec![tree()];
    for random_edit in random_edits {
        let last = &trees[trees.len() - 1];
        let mut document = last.document();
        apply_random_edit(&mut document, *random_edit);
        if let Ok(next) = Tree::from_document(document)
            && next != *last
        {
            trees.push(next);
        }
    }
    trees
}

/// Returns the changes between consecutive trees, starting at the given chain position.
pub fn chain(from: ChainPoint, trees: &[Tree]) -> Vec<Change> {
    let mut at = from;
    let mut changes = Vec::new();
    for pair in trees.windows(2) {
        let command = format!("c-{}", changes.len());
        let change = Change::between(at, &pair[0], &pair[1], author(&command)).unwrap();
        at = change.point();
        changes.push(change);
    }
    changes
}
