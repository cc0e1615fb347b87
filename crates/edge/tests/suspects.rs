//! What VMs hold of requests under which servers ended.

use heatherknot_edge::poison::fingerprint::Fingerprint;
use heatherknot_edge::poison::suspects::{
    Case, ENDS_TO_REJECT, EndId, Origin, Standing, Subject, Suspects,
};
use heatherknot_test_support::property;
use heatherknot_types::prelude::*;

const NOW: Millis = Millis(1_000);
const DAY: u64 = 24 * 3_600_000;

fn subject(number: u128) -> Subject {
    let fingerprint: Fingerprint = format!("{number:032x}")
        .parse()
        .expect("hexadecimal digits");
    Subject {
        fingerprint,
        quick: number as u64,
        route: "r-1".into(),
        account: None,
    }
}

fn case(number: u128, epoch: u32, ends: &[u64]) -> Case {
    Case {
        subject: subject(number),
        epoch,
        ends: ends.iter().copied().map(EndId).collect(),
        is_convicted: false,
    }
}

fn with_ends(number: u128, ends: usize) -> Suspects {
    let mut suspects = Suspects::default();
    for end in 0..ends as u64 {
        suspects.note_end(&subject(number), EndId(end), NOW);
    }
    suspects
}

#[test]
fn a_request_is_rejected_after_three_ends() {
    for ends in 0..=ENDS_TO_REJECT + 1 {
        let standing = with_ends(1, ends).standing(&subject(1).fingerprint);

        let expected = match ends {
            0 => Standing::Unknown,
            1 | 2 => Standing::Suspected(ends),
            _ => Standing::Rejected,
        };
        assert_eq!(standing, expected);
    }
}

/// A server's end that several VMs saw counts several times.
#[test]
fn one_end_counts_once_whoever_tells_of_it() {
    let mut suspects = with_ends(1, 1);

    let is_news = suspects.take(&case(1, 0, &[0]), Origin::Domain, NOW);

    assert!(!is_news);
    assert_eq!(
        suspects.standing(&subject(1).fingerprint),
        Standing::Suspected(1)
    );
}

/// A request that ran without harm is rejected for ends before that, which a late word brings back.
#[test]
fn a_clean_run_voids_the_ends_before_it() {
    let mut suspects = with_ends(1, 2);

    suspects.clear(&subject(1).fingerprint, NOW);
    let is_news = suspects.take(&case(1, 0, &[7, 8, 9]), Origin::Elsewhere, NOW);

    assert!(!is_news);
    assert_eq!(
        suspects.standing(&subject(1).fingerprint),
        Standing::Unknown
    );
}

/// Where many servers end at once, a harmless request that was at three of them is rejected.
#[test]
fn three_of_many_ends_at_once_are_put_down_to_no_request() {
    let mut suspects = Suspects::default();
    for end in 0..12 {
        suspects.note_end(&subject(100 + u128::from(end)), EndId(end), NOW);
    }

    for end in 0..3 {
        suspects.note_end(&subject(1), EndId(end), NOW);
    }

    assert_eq!(
        suspects.standing(&subject(1).fingerprint),
        Standing::Suspected(3)
    );
}

/// A request that was beside a rejected one each time is rejected with it.
#[test]
fn ends_that_a_rejected_request_explains_count_against_no_other() {
    let mut suspects = with_ends(1, ENDS_TO_REJECT + 1);

    for end in 0..ENDS_TO_REJECT as u64 {
        suspects.note_end(&subject(2), EndId(end), NOW);
    }

    assert_eq!(
        suspects.standing(&subject(2).fingerprint),
        Standing::Unknown
    );
}

/// A VM that starts reads hundreds of rejected requests, and takes their ends for late ones.
#[test]
fn what_the_store_has_rejected_stays_rejected() {
    let mut suspects = Suspects::default();
    for number in 0..500 {
        let ends = [0, 1, 2].map(|end| number * 10 + end);
        let row = Case {
            is_convicted: true,
            ..case(u128::from(number), 0, &ends)
        };
        suspects.take(&row, Origin::Store, NOW);
    }

    let standings = (0..500).map(|number| suspects.standing(&subject(number).fingerprint));

    assert!(
        standings
            .into_iter()
            .all(|standing| standing == Standing::Rejected)
    );
}

/// VMs that hear the same words in another order reject different requests.
#[test]
fn the_order_of_words_and_their_number_make_no_difference() {
    property::check()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|words| {
            let words: Vec<Case> = words
                .iter()
                .map(|(epoch, one, two)| {
                    let mut ends = [u64::from(one % 4), u64::from(two % 4)];
                    ends.sort_unstable();
                    case(1, u32::from(epoch % 3), &ends)
                })
                .collect();
            let hear = |words: &mut dyn Iterator<Item = &Case>| {
                let mut suspects = Suspects::default();
                words.for_each(|word| {
                    suspects.take(word, Origin::Domain, NOW);
                });
                suspects
                    .get(&subject(1).fingerprint)
                    .map(|held| held.case.clone())
            };

            let once = hear(&mut words.iter());
            let backwards_twice = hear(&mut words.iter().rev().chain(words.iter()));

            assert_eq!(once, backwards_twice);
        });
}

/// Somebody who brings ever new requests gets those forgotten that were found out, or all memory.
#[test]
fn ever_new_requests_push_no_rejected_one_out_and_take_bounded_room() {
    let mut suspects = with_ends(1, ENDS_TO_REJECT);

    for number in 2..20_000 {
        suspects.note_end(&subject(number), EndId(number as u64), NOW);
    }

    assert_eq!(
        suspects.standing(&subject(1).fingerprint),
        Standing::Rejected
    );
    assert!(suspects.all().count() <= 1_100);
    assert!(!suspects.knows_quick(2), "what is forgotten costs no look");
}

#[test]
fn ends_count_for_a_day() {
    let mut suspects = with_ends(1, ENDS_TO_REJECT);

    suspects.forget(NOW + Millis(DAY - 1));
    assert_eq!(
        suspects.standing(&subject(1).fingerprint),
        Standing::Rejected
    );
    suspects.forget(NOW + Millis(DAY));

    assert!(suspects.is_empty());
}

#[test]
fn a_case_comes_back_from_its_text() {
    let told = Case {
        subject: Subject {
            account: Some("north".into()),
            ..subject(5)
        },
        ..case(5, 2, &[1, 2, u64::MAX])
    };

    let text = serde_json::to_string(&told).expect("it serialises");

    assert_eq!(
        serde_json::from_str::<Case>(&text).expect("it is one"),
        told
    );
}

/// A flood of requests with enough ends keeps a VM weighing them for seconds each.
#[test]
fn thousands_of_requests_with_three_ends_are_weighed_in_passing() {
    let mut suspects = Suspects::default();

    for number in 0..5_000 {
        let ends = [0, 1, 2].map(|end| number * 10 + end);
        suspects.take(&case(u128::from(number), 0, &ends), Origin::Domain, NOW);
    }

    assert!(suspects.all().count() <= 4_096);
}
