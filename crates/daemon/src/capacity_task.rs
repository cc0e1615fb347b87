//! Holds this VM's part of its failure domain's capacity.
//!
//! The ledger is read when something may have changed: at the start, when VMs of the domain
//! come, leave or go, and otherwise only now and then, so that the number of calls on the
//! store grows with the number of changes rather than with the number of daemons.

use std::rc::Rc;
use std::time::Duration;

use heatherknot_gateway::slots::{Member, Members};
use heatherknot_peer::MemberState;
use heatherknot_store::capacity::{
    self, CapacityReconciler, CapacityState, Departures, Ledger, ObservedLedger, ReconcileOutcome,
};
use heatherknot_types::prelude::*;

use crate::context::DaemonContext;

/// How often the task looks whether there is something to do.
const LOOK: Duration = Duration::from_millis(500);
/// Looks between two rounds where nothing seems to have changed.
const LOOKS_AT_REST: u64 = 120;
/// Looks between the first two rounds while the ledger is not yet as it should be; doubled at
/// each further round, since the platform may take minutes to list a lost VM as gone.
const LOOKS_UNSETTLED: u64 = 2;
/// The most looks between two rounds while the ledger is not yet as it should be.
const MOST_LOOKS_UNSETTLED: u64 = 16;
/// The parts that a failure domain's capacity is divided into.
const WHOLE: u16 = 1000;

/// Makes the keeper of this VM's entry.
pub fn keeper(cx: &Rc<DaemonContext>) -> CapacityReconciler {
    let holder = CapacityState::new(cx.me.vm.clone(), cx.me.incarnation);
    let (steering, clock) = (Rc::clone(&cx.steering), cx.clock.clone());
    let used = move || used_part(&steering.borrow(), clock.now());
    CapacityReconciler::new(cx.store.clone(), &cx.cfg.domain, holder, used)
}

/// Gives the least part into which everything fits that this VM has lent out and in use.
fn used_part(steering: &heatherknot_steering::Steering, now: Millis) -> u16 {
    let (mut fits_not, mut fits) = (0, WHOLE);
    if steering.fits_capacity_part(0, now) {
        return 0;
    }
    while fits - fits_not > 1 {
        let middle = (fits + fits_not) / 2;
        match steering.fits_capacity_part(middle, now) {
            true => fits = middle,
            false => fits_not = middle,
        }
    }
    fits
}

/// Keeps the part up to date until the daemon stops.
pub async fn run(cx: Rc<DaemonContext>) {
    let keeper = keeper(&cx);
    let mut wait = 0;
    let mut unsettled = LOOKS_UNSETTLED;
    let mut known = Vec::new();
    loop {
        let alive = domain_state(&cx);
        if alive != known {
            known = alive;
            wait = 0;
            unsettled = LOOKS_UNSETTLED;
        }
        if wait == 0 {
            let settled = round(&cx, &keeper).await;
            let rest = LOOKS_AT_REST / 2 + cx.rng.borrow_mut().u64(0..LOOKS_AT_REST);
            wait = if settled { rest } else { unsettled };
            unsettled = (2 * unsettled).min(MOST_LOOKS_UNSETTLED);
        }
        take_in(&cx, &keeper);
        if cx.stop.is_fired() && cx.gateway.in_flight() == 0 {
            return;
        }
        wait -= 1;
        monoio::time::sleep(LOOK).await;
    }
}

/// One VM of the domain, as far as it matters to the ledger.
#[derive(Debug, PartialEq, Eq)]
struct Known {
    vm: VmName,
    incarnation: Incarnation,
    gone: bool,
}

fn domain_state(cx: &DaemonContext) -> Vec<Known> {
    let views = cx.membership.views().into_iter();
    let mut known: Vec<Known> = views
        .filter(|view| view.id.domain == cx.cfg.domain)
        .map(|view| Known {
            gone: view.state != MemberState::Alive,
            vm: view.id.vm,
            incarnation: view.id.incarnation,
        })
        .collect();
    known.sort_by(|a, b| a.vm.cmp(&b.vm));
    if cx.leaving.is_fired() {
        // This VM gives its part up: that is a change too.
        known.retain(|known| known.vm != cx.me.vm);
    }
    known
}

/// Makes one round on the ledger, and says whether it is as it should be.
async fn round(cx: &DaemonContext, keeper: &CapacityReconciler) -> bool {
    let departures = departures(cx, keeper).await;
    match keeper.reconcile(&departures).await {
        Ok(ReconcileOutcome::Settled) => is_settled(cx, &keeper.newest_ledger()),
        Ok(ReconcileOutcome::Contended) => false,
        Err(error) => {
            log::warn!(step = "capacity", error:% = error; "keeping this VM's part");
            false
        }
    }
}

/// Says whether nothing is left to wait for: the ledger names just the VMs that answer, and
/// each holds its part. A VM that answers heartbeats before it has joined the ledger would
/// otherwise stay without a part until the next round at rest.
fn is_settled(cx: &DaemonContext, seen: &ObservedLedger) -> bool {
    let ledger = &seen.ledger;
    let known = domain_state(cx);
    let alive: Vec<&Known> = known.iter().filter(|known| !known.gone).collect();
    let joined = alive.iter().all(|known| {
        let entry = ledger.entry(&known.vm);
        entry.is_some_and(|entry| entry.incarnation == known.incarnation)
    });
    let parts = ledger
        .entries
        .iter()
        .all(|entry| entry.part == ledger.target(&entry.vm, &[]));
    joined && parts && !names_silent(cx, ledger, &known)
}

/// Says whether the ledger names a VM that does not answer.
fn names_silent(cx: &DaemonContext, ledger: &Ledger, known: &[Known]) -> bool {
    let answers = |vm: &VmName| known.iter().any(|known| known.vm == *vm && !known.gone);
    let others = ledger.entries.iter().filter(|entry| entry.vm != cx.me.vm);
    others.into_iter().any(|entry| !answers(&entry.vm))
}

/// Gives what the platform says of the VMs in the ledger. The list is read only where the
/// ledger names a VM that does not answer: heartbeats tell when to look, and the platform
/// alone decides whether the VM's part may be taken.
async fn departures(cx: &DaemonContext, keeper: &CapacityReconciler) -> Departures {
    let seen = keeper.newest_ledger();
    let silent = names_silent(cx, &seen.ledger, &domain_state(cx));
    let mut departures = Departures::default();
    if silent {
        match (cx.vm_list.read)().await {
            Ok(list) => departures = capacity::departures(&list, &cx.cfg.domain),
            Err(error) => log::warn!(step = "VM list", error:% = error; "read failed"),
        }
    }
    if cx.leaving.is_fired() {
        departures.leaving.push(cx.me.vm.clone());
    }
    departures
}

/// Brings the part and the VMs of the ledger into force.
fn take_in(cx: &Rc<DaemonContext>, keeper: &CapacityReconciler) {
    let part = keeper.limit();
    if cx.steering.borrow().capacity_part() != part {
        cx.steering
            .borrow_mut()
            .on_capacity_part(part, cx.clock.now());
        cx.metrics.capacity_part.set(i64::from(part));
        log::info!(part = part; "this VM's part of its failure domain's capacity");
    }
    let seen = keeper.newest_ledger();
    if seen.revision.number > cx.members_version.get() {
        cx.members_version.set(seen.revision.number);
        let list = seen.ledger.entries.iter().map(|entry| Member {
            vm: entry.vm.clone(),
            incarnation: entry.incarnation,
        });
        cx.gateway.on_members(Members {
            version: seen.revision.number,
            list: list.collect(),
        });
    }
    if keeper.is_replaced() && !cx.leaving.is_fired() {
        log::error!(vm:% = cx.me.vm; "a later run of this VM's daemon has taken its part");
        cx.replaced.fire();
    }
}
