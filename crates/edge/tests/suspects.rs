//! The table of suspected requests: classification, merging, eviction and expiry.

use heatherknot_edge::poison::fingerprint::Fingerprint;
use heatherknot_edge::poison::suspects::{
    CRASHES_TO_REJECT, CrashId, Origin, RequestSummary, Suspect, SuspectTable, Verdict,
};
use heatherknot_test_support::property;
use heatherknot_types::prelude::*;

const NOW: Millis = Millis(1_000);
const DAY_MS: u64 = 24 * 3_600_000;

fn request(number: u128) -> RequestSummary {
    let fingerprint: Fingerprint = format!("{number:032x}")
        .parse()
        .expect("hexadecimal digits");
    RequestSummary {
        fingerprint,
        quick_hash: number as u64,
        route: "r-1".into(),
        account: None,
    }
}

fn suspect(number: u128, epoch: u32, crashes: &[u64]) -> Suspect {
    Suspect {
        request: request(number),
        epoch,
        crashes: crashes.iter().copied().map(CrashId).collect(),
        is_confirmed: false,
    }
}

fn with_crashes(number: u128, crashes: usize) -> SuspectTable {
    let mut suspects = SuspectTable::default();
    for crash in 0..crashes as u64 {
        suspects.record_crash(&request(number), CrashId(crash), NOW);
    }
    suspects
}

/// Guards against rejecting a request too early, since two crashes may be chance, or never.
#[test]
fn a_request_is_rejected_after_three_crashes() {
    for crashes in 0..=CRASHES_TO_REJECT + 1 {
        let verdict = with_crashes(1, crashes).verdict(&request(1).fingerprint);

        let expected = match crashes {
            0 => Verdict::Unknown,
            1 | 2 => Verdict::Suspected(crashes),
            _ => Verdict::Rejected,
        };
        assert_eq!(verdict, expected);
    }
}

/// Guards against counting a crash once for each VM that saw it.
#[test]
fn a_crash_counts_once_however_many_vms_report_it() {
    let mut suspects = with_crashes(1, 1);

    let has_changed = suspects.merge(&suspect(1, 0, &[0]), Origin::SameDomain, NOW);

    assert!(!has_changed);
    assert_eq!(
        suspects.verdict(&request(1).fingerprint),
        Verdict::Suspected(1)
    );
}

/// Guards against rejecting a request that ran without a crash because of earlier crashes, which a
/// late update brings back.
#[test]
fn a_clean_run_voids_the_crashes_before_it() {
    let mut suspects = with_crashes(1, 2);

    suspects.clear(&request(1).fingerprint, NOW);
    let has_changed = suspects.merge(&suspect(1, 0, &[7, 8, 9]), Origin::OtherDomain, NOW);

    assert!(!has_changed);
    assert_eq!(suspects.verdict(&request(1).fingerprint), Verdict::Unknown);
}

/// Guards against rejecting a harmless request that was at three of many servers that crashed at
/// once.
#[test]
fn three_of_many_crashes_at_once_are_attributed_to_no_request() {
    let mut suspects = SuspectTable::default();
    for crash in 0..12 {
        suspects.record_crash(&request(100 + u128::from(crash)), CrashId(crash), NOW);
    }

    for crash in 0..3 {
        suspects.record_crash(&request(1), CrashId(crash), NOW);
    }

    assert_eq!(
        suspects.verdict(&request(1).fingerprint),
        Verdict::Suspected(3)
    );
}

/// Guards against rejecting a harmless request that shared each crashed server with a rejected one.
#[test]
fn crashes_attributed_to_a_rejected_request_count_against_no_other() {
    let mut suspects = with_crashes(1, CRASHES_TO_REJECT + 1);

    for crash in 0..CRASHES_TO_REJECT as u64 {
        suspects.record_crash(&request(2), CrashId(crash), NOW);
    }

    assert_eq!(suspects.verdict(&request(2).fingerprint), Verdict::Unknown);
}

/// Guards against a VM that reads hundreds of rejected requests from the store when it starts and
/// takes their crashes for recent ones. None of the requests would have a large enough fraction of
/// them to be rejected.
#[test]
fn requests_rejected_in_the_store_stay_rejected() {
    let mut suspects = SuspectTable::default();
    for number in 0..500 {
        let crashes = [0, 1, 2].map(|crash| number * 10 + crash);
        let stored = Suspect {
            is_confirmed: true,
            ..suspect(u128::from(number), 0, &crashes)
        };
        suspects.merge(&stored, Origin::Store, NOW);
    }

    let verdicts = (0..500).map(|number| suspects.verdict(&request(number).fingerprint));

    assert!(
        verdicts
            .into_iter()
            .all(|verdict| verdict == Verdict::Rejected)
    );
}

/// Guards against VMs that reject different requests because they receive the same updates in
/// another order, or twice.
#[test]
fn merging_is_independent_of_order_and_repetition() {
    property::check()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|updates| {
            let updates: Vec<Suspect> = updates
                .iter()
                .map(|(epoch, one, two)| {
                    let mut crashes = [u64::from(one % 4), u64::from(two % 4)];
                    crashes.sort_unstable();
                    suspect(1, u32::from(epoch % 3), &crashes)
                })
                .collect();
            let merge_all = |updates: &mut dyn Iterator<Item = &Suspect>| {
                let mut suspects = SuspectTable::default();
                updates.for_each(|update| {
                    suspects.merge(update, Origin::SameDomain, NOW);
                });
                suspects
                    .get(&request(1).fingerprint)
                    .map(|entry| entry.suspect.clone())
            };

            let in_order = merge_all(&mut updates.iter());
            let reversed_and_repeated = merge_all(&mut updates.iter().rev().chain(updates.iter()));

            assert_eq!(in_order, reversed_and_repeated);
        });
}

/// Guards against a client that sends ever new requests and thereby has rejected ones evicted, or
/// uses up all memory.
#[test]
fn new_suspects_evict_no_rejected_request_and_take_bounded_memory() {
    let mut suspects = with_crashes(1, CRASHES_TO_REJECT);

    for number in 2..20_000 {
        suspects.record_crash(&request(number), CrashId(number as u64), NOW);
    }

    assert_eq!(suspects.verdict(&request(1).fingerprint), Verdict::Rejected);
    assert!(suspects.entries().count() <= 1_100);
    assert!(
        !suspects.contains_quick_hash(2),
        "the quick hash of an evicted entry is still there"
    );
}

/// Guards against a request that stays rejected for good, or not for the whole day.
#[test]
fn crashes_count_for_a_day() {
    let mut suspects = with_crashes(1, CRASHES_TO_REJECT);

    suspects.remove_expired(NOW + Millis(DAY_MS - 1));
    assert_eq!(suspects.verdict(&request(1).fingerprint), Verdict::Rejected);
    suspects.remove_expired(NOW + Millis(DAY_MS));

    assert!(suspects.is_empty());
}

/// Guards against an update or a stored record that is read with other values than were written.
#[test]
fn a_suspect_survives_serialization() {
    let sent = Suspect {
        request: RequestSummary {
            account: Some("north".into()),
            ..request(5)
        },
        ..suspect(5, 2, &[1, 2, u64::MAX])
    };

    let text = serde_json::to_string(&sent).expect("a suspect serializes");

    assert_eq!(
        serde_json::from_str::<Suspect>(&text).expect("a suspect"),
        sent
    );
}

/// Guards against a flood of requests with enough crashes for a rejection, which would keep a VM
/// busy for seconds with each reclassification.
#[test]
fn thousands_of_requests_with_three_crashes_are_reclassified_quickly() {
    let mut suspects = SuspectTable::default();

    for number in 0..5_000 {
        let crashes = [0, 1, 2].map(|crash| number * 10 + crash);
        suspects.merge(
            &suspect(u128::from(number), 0, &crashes),
            Origin::SameDomain,
            NOW,
        );
    }

    assert!(suspects.entries().count() <= 4_096);
}
