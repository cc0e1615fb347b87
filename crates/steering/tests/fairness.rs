//! Tests of fair sharing between accounts and classes.

mod common;

use bolero::TypeGenerator;
use common::*;
use heatherknot_steering::Tuning;
use heatherknot_steering::fair_share::{FairShare, Share};
use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

/// The constant demand of one account and the surge of another, in requests per 100 ms.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Surge {
    quiet_per_step: u8,
    surge_per_step: u8,
    surge_from: u8,
    holds_for: u8,
    surge_first: bool,
}

const LIMIT: Cap = Cap {
    per_second: 100,
    in_flight: 1_000,
};

/// Runs both accounts for ten seconds. Returns how many requests of the quiet account were
/// refused, and the most requests of both admitted in one window.
fn run(surge: Surge) -> (u32, u32) {
    let mut fair = FairShare::new(Tuning::default());
    fair.set_shares(&equal_shares());
    let (quiet, loud): (AccountName, AccountName) = ("et".into(), "pl".into());
    let quiet_rate = u32::from(surge.quiet_per_step % 6);
    let loud_rate = u32::from(surge.surge_per_step);
    let from = 20 + u64::from(surge.surge_from % 40);
    let (mut refused, mut most) = (0, 0);
    let mut admitted: Vec<u64> = Vec::new();
    let mut ends: Vec<(u64, AccountName)> = Vec::new();
    for step in 0..100_u64 {
        let now = Millis(step * 100);
        fair.tick(now);
        let (done, left) = ends.into_iter().partition(|(at, _)| *at <= step);
        ends = left;
        admitted.retain(|at| at + 10 > step);
        for (_, account) in done {
            fair.finish(&account);
        }
        let loud_now = if step >= from { loud_rate } else { quiet_rate };
        let mut turns = [(&quiet, quiet_rate), (&loud, loud_now)];
        if surge.surge_first {
            turns.reverse();
        }
        for (account, n) in turns {
            for _ in 0..n {
                fair.demand(account, Class::Interactive, now);
                let total = admitted.len();
                let share = fair.check(account, Class::Interactive, LIMIT, now);
                if share != Share::Exceeded && total < LIMIT.per_second as usize {
                    fair.start(account, Class::Interactive, now);
                    admitted.push(step);
                    most = most.max(admitted.len());
                    ends.push((step + 1 + u64::from(surge.holds_for % 5), account.clone()));
                } else if account == &quiet {
                    refused += 1;
                }
            }
        }
    }
    (refused, most as u32)
}

/// Guards against refusals of an account that uses half of its guaranteed share, when another
/// account's surge borrows the unused capacity and keeps it.
#[test]
fn a_surge_does_not_take_another_accounts_share() {
    heatherknot_test_support::property::check()
        .with_iterations(100)
        .with_type::<Surge>()
        .for_each(|surge| {
            let (refused, most) = run(*surge);
            assert_eq!(0, refused, "refused to the quiet account");
            assert!(most <= LIMIT.per_second);
        });
}

/// Guards against capacity left unused while an account is refused.
#[test]
fn an_account_borrows_capacity_that_no_other_needs() {
    let mut fair = FairShare::new(Tuning::default());
    fair.set_shares(&equal_shares());
    let loud: AccountName = "pl".into();
    let mut borrowed = 0;

    for _ in 0..200 {
        if fair.check(&loud, Class::Interactive, LIMIT, Millis(0)) != Share::Exceeded {
            fair.start(&loud, Class::Interactive, Millis(0));
            borrowed += 1;
        }
    }

    assert_eq!(100, borrowed);
}

/// Guards against an account that, after being idle while another borrowed everything, gets its
/// share back only when the surge of the other ends.
#[test]
fn a_returning_account_gets_its_share_within_a_window() {
    let mut fair = FairShare::new(Tuning::default());
    fair.set_shares(&equal_shares());
    let (back, loud): (AccountName, AccountName) = ("et".into(), "pl".into());
    let mut served = Vec::new();

    for step in 0..60_u64 {
        let now = Millis(step * 100);
        fair.tick(now);
        let demand = [(&loud, 100), (&back, if step >= 20 { 5 } else { 0 })];
        for (account, n) in demand {
            for _ in 0..n {
                fair.demand(account, Class::Interactive, now);
                let total: usize = served.iter().filter(|(at, _)| at + 10 > step).count();
                let share = fair.check(account, Class::Interactive, LIMIT, now);
                if share != Share::Exceeded && total < 100 {
                    fair.start(account, Class::Interactive, now);
                    fair.finish(account);
                    served.push((step, account.clone()));
                }
            }
        }
    }

    let of_back = |from: u64| {
        let mine = served.iter().filter(|(_, a)| *a == back);
        mine.filter(|(at, _)| (from..from + 10).contains(at))
            .count()
    };
    assert_eq!(
        50,
        of_back(40),
        "after two windows it has all that it asks for"
    );
    assert!(
        of_back(30) >= 45,
        "{} in the window after its return",
        of_back(30)
    );
}

/// Guards against bulk requests that fill their account's share, so that its usual interactive
/// requests are refused.
#[test]
fn bulk_leaves_room_for_the_interactive_requests_of_its_account() {
    let mut fair = FairShare::new(Tuning::default());
    fair.set_shares(&equal_shares());
    let (me, other): (AccountName, AccountName) = ("pl".into(), "et".into());
    let (mut refused, mut bulk) = (0, 0);
    let mut admitted: Vec<u64> = Vec::new();

    for step in 0..100_u64 {
        let now = Millis(step * 100);
        fair.tick(now);
        admitted.retain(|at| at + 10 > step);
        let bulk_now = if step > 20 { 50 } else { 0 };
        let turns = [
            (&other, Class::Interactive, 10),
            (&me, Class::Bulk, bulk_now),
            (&me, Class::Interactive, 2),
        ];
        for (account, class, n) in turns {
            for _ in 0..n {
                fair.demand(account, class, now);
                let share = fair.check(account, class, LIMIT, now);
                if share == Share::Exceeded || admitted.len() >= LIMIT.per_second as usize {
                    let mine = account == &me && class == Class::Interactive;
                    refused += u32::from(mine && step >= 10);
                    continue;
                }
                fair.start(account, class, now);
                fair.finish(account);
                admitted.push(step);
                bulk += u32::from(class == Class::Bulk);
            }
        }
    }

    assert_eq!(0, refused);
    assert!(bulk > 150, "{bulk} bulk requests in 8 s");
}

/// Guards against an account that borrows beyond its maximum share.
#[test]
fn an_account_never_exceeds_its_maximum_share() {
    let mut fair = FairShare::new(Tuning::default());
    let me: AccountName = "pl".into();
    fair.set_shares(&[(me.clone(), account_shares(100, 400))].into());

    let admitted = (0..200).filter(|_| {
        let may = fair.check(&me, Class::Interactive, LIMIT, Millis(0)) != Share::Exceeded;
        if may {
            fair.start(&me, Class::Interactive, Millis(0));
        }
        may
    });

    assert_eq!(admitted.count() as u32, LIMIT.per_second * 400 / 1_000);
}
