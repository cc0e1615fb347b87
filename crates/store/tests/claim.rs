//! Claims against the stand-in.

mod support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::future::join_all;
use heatherknot_store::budget::{CallLimits, with_call_limits};
use heatherknot_store::claim::{
    ClaimConfig, ClaimError, ClaimKey, ClaimOwner, ClaimResult, Claims, KEEP,
};
use heatherknot_store::port::Store;
use heatherknot_test_support::platform::Down;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::{backoff, platform, store};

fn key(text: &str) -> ClaimKey {
    let account = AccountName::from("utilities/port-louis");
    let service = ServiceName::from("utilities/port-louis:publisher");
    ClaimKey::new(&account, &service, text)
}

fn owner(vm: &str) -> ClaimOwner {
    ClaimOwner {
        vm: VmName::from(vm),
        incarnation: Incarnation(7),
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

fn config() -> ClaimConfig {
    ClaimConfig {
        backoff: backoff(),
        ..ClaimConfig::default()
    }
}

fn claims(store: &Store, seed: u64) -> Claims {
    let clock = Clock::new(|| Millis(1_000));
    claims_at(store, seed, clock)
}

fn claims_at(store: &Store, seed: u64, clock: Clock) -> Claims {
    Claims::new(
        store.clone(),
        clock,
        config(),
        fastrand::Rng::with_seed(seed),
    )
}

fn is_won(claim: &Result<ClaimResult, ClaimError>) -> bool {
    matches!(claim, Ok(ClaimResult::Won { .. }))
}

/// A caller sends the same approval to two entry VMs at once. One of them wins the claim;
/// the other is told which, so that it can pass the request on and nothing runs twice.
#[test]
fn of_two_claims_of_a_key_one_wins_and_the_other_hears_the_owner() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (claims(&store, 1), claims(&store, 2));

    let (first, second) = block_on(async {
        let first = a.claim(key("k"), owner("vm-a")).await;
        (first, b.claim(key("k"), owner("vm-b")).await)
    });

    assert!(is_won(&first));
    assert_eq!(second, Ok(ClaimResult::Held(owner("vm-a"))));
}

/// The claim takes effect and its answer is lost. The daemon must find out that the claim
/// is its own, or the caller's request would be refused by everyone for a day.
#[test]
fn a_lost_answer_is_resolved_by_the_own_nonce() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let claim = block_on(async {
        claims.claim(key("warm-up"), owner("vm-a")).await.unwrap();
        platform.faults(|faults| faults.lose_answers = 1);
        claims.claim(key("k"), owner("vm-a")).await
    });

    assert!(is_won(&claim), "{claim:?}");
    assert_eq!(platform.keys("hk/claim/").len(), 2);
}

/// A caller repeats a request at the same VM while the first claim stands. The second claim
/// is of the same run and yet another try, so it must not win.
#[test]
fn a_second_claim_of_the_same_run_does_not_win() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let second = block_on(async {
        claims.claim(key("k"), owner("vm-a")).await.unwrap();
        claims.claim(key("k"), owner("vm-a")).await
    });

    assert_eq!(second, Ok(ClaimResult::Held(owner("vm-a"))));
}

#[test]
fn claims_that_are_asked_for_together_share_writes() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let (outcomes, writes) = block_on(async {
        let asked = (0..101).map(|i| claims.claim(key(&format!("k{i}")), owner("vm-a")));
        let outcomes = join_all(asked).await;
        (outcomes, platform.calls().txn)
    });

    assert!(outcomes.iter().all(is_won));
    assert_eq!(writes, 2);
    assert_eq!(platform.calls().lease, 1);
}

/// One key of a batch is another daemon's. The others of the batch must win all the same,
/// and each caller must hear of its own key.
#[test]
fn a_held_key_does_not_spoil_the_rest_of_its_batch() {
    let platform = platform();
    let store = store(&platform);
    let (a, b) = (claims(&store, 1), claims(&store, 2));

    let outcomes = block_on(async {
        a.claim(key("k2"), owner("vm-a")).await.unwrap();
        let asked = (0..5).map(|i| b.claim(key(&format!("k{i}")), owner("vm-b")));
        join_all(asked).await
    });

    let held = outcomes.iter().map(|claim| !is_won(claim));
    assert_eq!(held.collect::<Vec<_>>(), [false, false, true, false, false]);
    assert_eq!(outcomes[2], Ok(ClaimResult::Held(owner("vm-a"))));
}

#[test]
fn the_same_key_twice_in_one_batch_has_one_winner() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let outcomes = block_on(async {
        let asked = (0..3).map(|_| claims.claim(key("k"), owner("vm-a")));
        join_all(asked).await
    });

    assert_eq!(outcomes.iter().filter(|claim| is_won(claim)).count(), 1);
}

/// The store is down. The claim fails within its tries, and the request is refused; nothing
/// is run on the guess that nobody else claimed the key.
#[test]
fn no_claim_is_won_while_the_store_is_down() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);
    platform.faults(|faults| faults.down = Some(Down::Closes));

    let claim = block_on(claims.claim(key("k"), owner("vm-a")));

    assert!(matches!(claim, Err(ClaimError::Store { .. })), "{claim:?}");
}

/// Every lease ends early on the platform. The next claim gets a new lease instead of
/// failing until the old one would have ended.
#[test]
fn a_lapsed_lease_is_replaced() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let claim = block_on(async {
        claims.claim(key("k1"), owner("vm-a")).await.unwrap();
        platform.expire_leases();
        claims.claim(key("k2"), owner("vm-a")).await
    });

    assert!(is_won(&claim), "{claim:?}");
}

/// A daemon wins a claim and is paused for longer than claims are kept. The store has
/// dropped the claim and another daemon may have won it, so the first one must not start.
#[test]
fn a_holder_paused_past_its_claim_sees_that_it_may_not_start() {
    let platform = platform();
    let store = store(&platform);
    let now = Rc::new(Cell::new(Millis(1_000)));
    let read = now.clone();
    let claims = claims_at(&store, 1, Clock::new(move || read.get()));

    let start_by = block_on(async {
        match claims.claim(key("k"), owner("vm-a")).await.unwrap() {
            ClaimResult::Won { start_by } => start_by,
            ClaimResult::Held(_) => panic!("nobody else claimed the key"),
        }
    });
    let asked = now.get();
    now.set(asked + KEEP + KEEP);

    assert!(start_by >= asked + KEEP);
    assert!(now.get() > start_by);
}

#[test]
fn a_full_queue_refuses_at_once() {
    let platform = platform();
    let store = store(&platform);
    let cfg = ClaimConfig {
        max_waiting: 2,
        ..config()
    };
    let clock = Clock::new(|| Millis(0));
    let claims = Claims::new(store, clock, cfg, fastrand::Rng::with_seed(1));

    let outcomes = block_on(async {
        let asked = (0..3).map(|i| claims.claim(key(&format!("k{i}")), owner("vm-a")));
        join_all(asked).await
    });

    assert!(is_won(&outcomes[0]) && is_won(&outcomes[1]));
    assert_eq!(outcomes[2], Err(ClaimError::Busy { waiting: 2 }));
}

/// The daemon has used up its own allowance of writes. The caller is told at once when to
/// come back, and is not kept waiting until then.
#[test]
fn a_claim_that_is_held_back_for_long_fails_at_once() {
    let platform = platform();
    let limits = CallLimits {
        reads_per_second: 1.0,
        writes_per_second: 0.1,
        read_burst: 1.0,
        write_burst: 2.0,
    };
    let clock = Clock::new(|| Millis(1_000));
    let store = with_call_limits(store(&platform), move || limits, clock, backoff());
    let claims = claims(&store, 1);

    let (first, held_back) = block_on(async {
        let first = claims.claim(key("k1"), owner("vm-a")).await;
        (first, claims.claim(key("k2"), owner("vm-a")).await)
    });

    assert!(is_won(&first));
    let retry_after = held_back.unwrap_err().retry_after();
    assert_eq!(retry_after, Some(Millis(10_000)));
}

/// Daemons claim the same keys at random while answers are lost and writes land late. No key
/// ever has two winners.
#[test]
fn no_key_has_two_winners() {
    heatherknot_test_support::property::check()
        .with_iterations(60)
        .with_type::<Vec<(bool, u8, u8)>>()
        .for_each(|script| {
            let platform = platform();
            let store = store(&platform);
            let daemons = [claims(&store, 1), claims(&store, 2)];
            let mut winners: BTreeMap<u8, u32> = BTreeMap::new();

            block_on(async {
                for (daemon, text, fault) in script.iter().take(10) {
                    platform.faults(|faults| match fault % 4 {
                        0 => faults.lose_answers = 1,
                        1 => faults.hold_writes = 1,
                        _ => {}
                    });
                    let daemon = &daemons[usize::from(*daemon)];
                    let name = (text % 3).to_string();
                    let claim = daemon.claim(key(&name), owner("vm")).await;
                    *winners.entry(text % 3).or_default() += u32::from(is_won(&claim));
                    if fault % 8 < 4 {
                        platform.apply_held_writes();
                    }
                }
            });

            assert!(winners.values().all(|count| *count <= 1), "{winners:?}");
        });
}

#[test]
fn a_callers_text_cannot_reach_another_services_claims() {
    let account = AccountName::from("a");
    let service = ServiceName::from("a:s");

    let key = ClaimKey::new(&account, &service, "../../other/x");

    let prefix = "hk/claim/a/a:s/";
    let rest = key.as_str().strip_prefix(prefix).unwrap();
    assert!(rest.chars().all(|c| c.is_ascii_hexdigit()), "{rest}");
}
