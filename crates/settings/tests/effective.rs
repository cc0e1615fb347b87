//! The effective settings of nodes, with the origin of each value.

mod support;

use heatherknot_settings::effective::EffectiveValue;
use heatherknot_settings::{SettingsError, TreePath};

fn rows(path: &str) -> Vec<EffectiveValue> {
    let path = TreePath::parse(path).unwrap();
    support::tree().effective(&path).unwrap()
}

fn row(path: &str, key: &str) -> EffectiveValue {
    rows(path).into_iter().find(|row| row.key == key).unwrap()
}

// An inherited value must be reported with the node that sets it, not with the service.
#[test]
fn effective_values_name_the_node_that_sets_them() {
    let service = "utilities/port-louis:gallery";

    let deadline = row(service, "deadline_ms");
    let queue = row(service, "queue_len");
    let share = row(service, "account_share_permille");
    let retry = row(service, "retry_permille");

    assert_eq!(
        (deadline.value, &*deadline.origin),
        (4000.into(), "defaults")
    );
    let account = "accounts/utilities/accounts/port-louis/defaults";
    assert_eq!(
        (queue.value, &*queue.origin, queue.limit),
        (32.into(), account, Some(500))
    );
    let quota = "platform/quotas/utilities.port-louis";
    assert_eq!((share.value, &*share.origin), (600.into(), quota));
    assert_eq!(
        (retry.value, &*retry.origin),
        (100.into(), "built-in default")
    );
}

// A path to one setting, or to an object that inherits nothing, must return its values.
#[test]
fn single_settings_and_objects_without_inheritance_are_supported() {
    let one = rows("utilities/port-louis:gallery/queue_len");
    let place = row("platform/places/north-1", "in_flight");
    let upstream = row("training:gallery/upstreams/g-1", "connections");

    assert_eq!(one.len(), 1);
    assert_eq!(
        (place.value, &*place.origin),
        (30.into(), "platform/places/north-1")
    );
    assert_eq!(
        (upstream.value, &*upstream.origin),
        (330.into(), "built-in default")
    );
}

// A node that does not exist must be an error, not a list of defaults.
#[test]
fn missing_nodes_are_reported() {
    for path in [
        "training:nothing",
        "platform/places/south-1",
        "nobody:",
        "platform",
    ] {
        let path = TreePath::parse(path).unwrap();

        let missing = support::tree().effective(&path);

        assert!(matches!(missing, Err(SettingsError::Missing { .. })));
    }
}
