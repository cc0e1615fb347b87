//! Tests of the daemon's call budget.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_store::budget::{CallLimits, PlatformRates, with_call_limits};
use heatherknot_store::error::{Cause, Effect, Step};
use heatherknot_store::port::Store;
use heatherknot_test_support::platform::{Down, PlatformHandle};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::{backoff, platform, store};

const LIMITS: CallLimits = CallLimits {
    reads_per_second: 2.0,
    writes_per_second: 1.0,
    read_burst: 3.0,
    write_burst: 2.0,
};

struct Fixture {
    store: Store,
    now: Rc<Cell<Millis>>,
}

fn fixture(platform: &PlatformHandle) -> Fixture {
    let now = Rc::new(Cell::new(Millis(0)));
    let read = now.clone();
    let clock = Clock::new(move || read.get());
    let store = with_call_limits(store(platform), || LIMITS, clock, backoff());
    Fixture { store, now }
}

/// A call above the burst is sent or waits, instead of failing with the time to retry after.
#[test]
fn calls_above_the_burst_fail_with_the_time_to_retry_after() {
    let platform = platform();
    let fixture = fixture(&platform);

    let (refused, again) = block_on(async {
        for _ in 0..3 {
            fixture.store.get("k").await.unwrap();
        }
        let refused = fixture.store.get("k").await.unwrap_err();
        fixture.now.set(Millis(500));
        (refused, fixture.store.get("k").await)
    });

    let retry_after = Millis(500);
    assert_eq!(refused.source, Cause::BudgetExhausted { retry_after });
    assert_eq!(
        (refused.step, refused.effect),
        (Step::Budget, Effect::NotApplied)
    );
    assert!(again.is_ok());
    assert_eq!(platform.calls().range, 4);
}

/// Reads use up the budget of writes, or writes that of reads.
#[test]
fn reads_and_writes_have_separate_limits() {
    let platform = platform();
    let fixture = fixture(&platform);

    let write = block_on(async {
        for _ in 0..2 {
            fixture.store.put("k", "v").await.unwrap();
        }
        fixture.store.get("k").await.unwrap();
        fixture.store.put("k", "v").await
    });

    assert_eq!(write.unwrap_err().step, Step::Budget);
    assert_eq!(platform.calls().txn, 2);
}

/// The platform rejects a call because of its rate limit. The daemon must pause its calls for a
/// while and then continue.
#[test]
fn rate_limited_call_pauses_the_next_calls() {
    let platform = platform();
    let fixture = fixture(&platform);
    platform.faults(|faults| faults.rate_limited = 1);

    let (first, paused, later) = block_on(async {
        let first = fixture.store.get("k").await.unwrap_err();
        let paused = fixture.store.get("k").await.unwrap_err();
        fixture.now.set(Millis(10_000));
        (first, paused, fixture.store.get("k").await)
    });

    assert!(first.is_rate_limited());
    assert_eq!(paused.step, Step::Budget);
    assert!(later.is_ok());
    assert_eq!(platform.calls().range, 2);
}

/// The platform is down. After a few failures the daemon must pause its calls, so that the retries
/// of many daemons do not keep a recovering platform overloaded.
#[test]
fn consecutive_failures_pause_the_next_calls() {
    let platform = platform();
    let fixture = fixture(&platform);
    platform.faults(|faults| faults.down = Some(Down::Closes));

    let paused = block_on(async {
        for _ in 0..3 {
            let failure = fixture.store.get("k").await.unwrap_err();
            assert_ne!(failure.step, Step::Budget);
            fixture.now.set(fixture.now.get() + Millis(500));
        }
        fixture.now.set(fixture.now.get() - Millis(500));
        fixture.store.get("k").await.unwrap_err()
    });

    assert_eq!(paused.step, Step::Budget);
    assert_eq!(platform.calls().range, 3);
}

/// The limits of all daemons together exceed the planned part of the platform's rates.
#[test]
fn limits_of_all_daemons_stay_below_the_platforms_rates() {
    let daemons = 570;
    let rates = PlatformRates {
        reads_per_second: 2_000.0,
        writes_per_second: 400.0,
    };

    let limits = CallLimits::share_of(rates, daemons);

    assert!(limits.reads_per_second * f64::from(daemons) < 1_600.1);
    assert!(limits.writes_per_second * f64::from(daemons) < 320.1);
    assert!(limits.write_burst >= 1.0);
}

/// Lower limits, as after daemons were added, take effect only after the old burst was used up.
#[test]
fn lower_limits_take_effect_immediately() {
    let platform = platform();
    let limits = Rc::new(Cell::new(LIMITS));
    let read = limits.clone();
    let clock = Clock::new(|| Millis(0));
    let store = with_call_limits(store(&platform), move || read.get(), clock, backoff());

    let second = block_on(async {
        store.get("k").await.unwrap();
        limits.set(CallLimits {
            read_burst: 1.0,
            ..LIMITS
        });
        store.get("k").await.unwrap();
        store.get("k").await
    });

    assert_eq!(second.unwrap_err().step, Step::Budget);
    assert_eq!(platform.calls().range, 2);
}
