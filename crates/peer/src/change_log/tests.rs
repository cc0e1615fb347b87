use super::*;

fn change(revision: u64, bytes: usize) -> RelayedChange {
    let body = serde_json::value::to_raw_value(&"x".repeat(bytes - 2)).expect("JSON");
    RelayedChange {
        revision: Revision(revision),
        body,
    }
}

fn log(revisions: std::ops::RangeInclusive<u64>) -> ChangeLog {
    let mut log = ChangeLog::new(1_000);
    for revision in revisions {
        log.push(change(revision, 100));
    }
    log
}

fn since(log: &ChangeLog, since: u64, max_bytes: usize) -> Option<Vec<u64>> {
    let changes = log.since(Revision(since), max_bytes)?;
    Some(changes.iter().map(|c| c.revision.0).collect())
}

#[test]
fn later_changes_are_returned_in_order() {
    let log = log(1..=5);

    assert_eq!(since(&log, 2, 1_000), Some(vec![3, 4, 5]));
    assert_eq!(since(&log, 0, 250), Some(vec![1, 2]));
}

/// Guards against answering with changes that do not directly follow the requested revision.
#[test]
fn nothing_is_returned_if_the_next_change_is_missing() {
    let log = log(4..=5);

    assert_eq!(since(&log, 2, 1_000), None);
    assert_eq!(since(&log, 5, 1_000), None);
    assert_eq!(since(&log, u64::MAX - 1, 1_000), None);
    assert_eq!(since(&log, 3, 50), None);
}

#[test]
fn the_oldest_changes_are_evicted_first() {
    let log = log(1..=30);

    assert_eq!(since(&log, 19, 10_000), None);
    assert_eq!(since(&log, 20, 10_000), Some((21..=30).collect()));
}

#[test]
fn a_change_after_a_gap_clears_the_log() {
    let mut log = log(1..=5);

    log.push(change(9, 100));

    assert_eq!(since(&log, 4, 1_000), None);
    assert_eq!(since(&log, 8, 1_000), Some(vec![9]));
}
