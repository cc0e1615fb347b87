//! Tests of claims against the fake platform.

mod support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::future::join_all;
use heatherknot_store::budget::{CallLimits, with_call_limits};
use heatherknot_store::claim::{
    CLAIM_RETENTION, ClaimConfig, ClaimError, ClaimKey, ClaimOwner, ClaimResult, Claims,
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

/// A caller sends the same request to two entry VMs. Only one of them may win the claim, and the
/// other must learn the owner so that it can forward the request; otherwise the request runs twice.
#[test]
fn second_claim_of_a_key_returns_the_owner() {
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

/// A claim is applied and its response is lost. The daemon must recognize its own claim by the
/// nonce, or all daemons would refuse the caller's request for a day.
#[test]
fn lost_response_is_resolved_by_the_nonce() {
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

/// A caller repeats a request at the same VM while the first claim exists. The second claim has the
/// same owner but must not win.
#[test]
fn second_claim_of_the_same_owner_does_not_win() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let second = block_on(async {
        claims.claim(key("k"), owner("vm-a")).await.unwrap();
        claims.claim(key("k"), owner("vm-a")).await
    });

    assert_eq!(second, Ok(ClaimResult::Held(owner("vm-a"))));
}

/// Claims requested at the same time are sent in one transaction or lease each.
#[test]
fn concurrent_claims_share_transactions() {
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

/// One key of a batch is claimed by another daemon. The other claims of the batch must still win,
/// and each caller must get the result for its own key.
#[test]
fn claimed_key_does_not_affect_the_rest_of_its_batch() {
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

/// A key that is queued several times is written twice in one transaction, or won twice.
#[test]
fn key_queued_several_times_has_one_winner() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);

    let outcomes = block_on(async {
        let asked = (0..3).map(|_| claims.claim(key("k"), owner("vm-a")));
        join_all(asked).await
    });

    assert_eq!(outcomes.iter().filter(|claim| is_won(claim)).count(), 1);
}

/// The store is down. The claim must fail after its attempts; it must not be won on the assumption
/// that no other daemon has claimed the key.
#[test]
fn no_claim_is_won_while_the_store_is_down() {
    let platform = platform();
    let store = store(&platform);
    let claims = claims(&store, 1);
    platform.faults(|faults| faults.down = Some(Down::Closes));

    let claim = block_on(claims.claim(key("k"), owner("vm-a")));

    assert!(matches!(claim, Err(ClaimError::Store { .. })), "{claim:?}");
}

/// The platform expires all leases early. The next claim must request a new lease instead of
/// failing until the regular end of the old one.
#[test]
fn lease_that_expired_early_is_replaced() {
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

/// A daemon wins a claim and is paused until after the claim has expired. Another daemon may have
/// won the key meanwhile, so the first one must be able to tell that it must not start the request.
#[test]
fn claim_reports_the_time_by_which_the_request_must_start() {
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
    now.set(asked + CLAIM_RETENTION + CLAIM_RETENTION);

    assert!(start_by >= asked + CLAIM_RETENTION);
    assert!(now.get() > start_by);
}

/// A claim is queued beyond the limit instead of failing immediately.
#[test]
fn full_queue_rejects_a_claim() {
    let platform = platform();
    let store = store(&platform);
    let cfg = ClaimConfig {
        max_queued: 2,
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

/// The daemon's call budget is exhausted for a long time. The claim must fail immediately with the
/// time to retry after, and not keep the caller waiting.
#[test]
fn claim_fails_immediately_while_the_budget_is_exhausted() {
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

    let (first, second) = block_on(async {
        let first = claims.claim(key("k1"), owner("vm-a")).await;
        (first, claims.claim(key("k2"), owner("vm-a")).await)
    });

    assert!(is_won(&first));
    let retry_after = second.unwrap_err().retry_after();
    assert_eq!(retry_after, Some(Millis(10_000)));
}

/// Daemons claim the same keys at random while responses are lost and writes are delayed. No key
/// may ever have two winners.
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

/// A caller's idempotency key with path segments refers to the claims of another service.
#[test]
fn idempotency_key_cannot_refer_to_another_services_claims() {
    let account = AccountName::from("a");
    let service = ServiceName::from("a:s");

    let key = ClaimKey::new(&account, &service, "../../other/x");

    let prefix = "hk/claim/a/a:s/";
    let rest = key.as_str().strip_prefix(prefix).unwrap();
    assert!(rest.chars().all(|c| c.is_ascii_hexdigit()), "{rest}");
}
