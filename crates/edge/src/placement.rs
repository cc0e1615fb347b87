//! Spreads objects evenly over the backend servers whose home a VM is.
//!
//! By rank alone some servers get several objects more than others: with 217 objects over 12
//! servers, one in five gets more than the 21 that it keeps. It then does most of its work afresh,
//! three times as long, and turns requests away while its neighbours have room. The requests for
//! one server all come to its home, so the home may put an object that it sees for the first time
//! at another one of its servers, and needs nobody's agreement. An object that was put somewhere
//! stays there: moving it would cost a run afresh, the first one costs nothing more.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::upstream::Upstream;

/// How long an object that nobody asks for keeps its place. Servers keep what was asked for last,
/// so by then others have pushed it out.
const IDLE_EXPIRY: Millis = Millis(20_000);
/// The time between two looks for objects that are not asked for any more.
const SWEEP_INTERVAL: Millis = Millis(2_000);
/// Objects that are remembered at most; others go by rank.
const MAX_TRACKED_OBJECTS: usize = 65_536;

/// Where the objects of one service are, as far as this VM is the home of their servers.
#[derive(Debug, Default)]
pub struct ObjectPlacement {
    placements: RefCell<HashMap<u64, PlacedObject>>,
    /// The objects at each server.
    counts: RefCell<HashMap<UpstreamName, u32>>,
    swept_at: Cell<Millis>,
}

#[derive(Debug)]
struct PlacedObject {
    server: UpstreamName,
    last_requested: Millis,
}

impl ObjectPlacement {
    /// Gives the server of an object: where it was put before, if that is one of `own`, else
    /// `first`, the first one of its rank, or the one of `own` with the fewest objects where `first`
    /// has two more than that.
    pub fn server_of(
        &self,
        object: u64,
        ranked_first: &Rc<Upstream>,
        own_servers: &[&Rc<Upstream>],
        now: Millis,
    ) -> Rc<Upstream> {
        self.sweep(now);
        if let Some(server) = self.existing(object, own_servers, now) {
            return server;
        }
        let objects_per_slot =
            |u: &Upstream| f64::from(self.count(&u.id)) / f64::from(u.slots.get());
        let by_count = |a: &&&Rc<Upstream>, b: &&&Rc<Upstream>| {
            let order = objects_per_slot(a).total_cmp(&objects_per_slot(b));
            order.then_with(|| a.id.cmp(&b.id))
        };
        let chosen = match own_servers.iter().min_by(by_count) {
            Some(emptiest)
                if objects_per_slot(ranked_first)
                    > objects_per_slot(emptiest) + 1.0 / f64::from(emptiest.slots.get()) =>
            {
                *emptiest
            }
            _ => ranked_first,
        };
        self.place(object, &chosen.id, now);
        Rc::clone(chosen)
    }

    fn existing(
        &self,
        object: u64,
        own_servers: &[&Rc<Upstream>],
        now: Millis,
    ) -> Option<Rc<Upstream>> {
        let mut placements = self.placements.borrow_mut();
        let existing = placements.get_mut(&object)?;
        let server = own_servers.iter().find(|u| u.id == existing.server)?;
        existing.last_requested = now;
        Some(Rc::clone(server))
    }

    fn place(&self, object: u64, server: &UpstreamName, now: Millis) {
        let mut placements = self.placements.borrow_mut();
        if placements.len() >= MAX_TRACKED_OBJECTS && !placements.contains_key(&object) {
            return;
        }
        let entry = PlacedObject {
            server: server.clone(),
            last_requested: now,
        };
        let mut counts = self.counts.borrow_mut();
        if let Some(previous) = placements.insert(object, entry) {
            decrement(&mut counts, &previous.server);
        }
        *counts.entry(server.clone()).or_default() += 1;
    }

    fn count(&self, server: &UpstreamName) -> u32 {
        self.counts.borrow().get(server).copied().unwrap_or(0)
    }

    fn sweep(&self, now: Millis) {
        if now.since(self.swept_at.get()) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at.set(now);
        let mut counts = self.counts.borrow_mut();
        self.placements.borrow_mut().retain(|_, placed| {
            let is_active = now.since(placed.last_requested) < IDLE_EXPIRY;
            if !is_active {
                decrement(&mut counts, &placed.server);
            }
            is_active
        });
    }
}

fn decrement(counts: &mut HashMap<UpstreamName, u32>, server: &UpstreamName) {
    if let Some(count) = counts.get_mut(server) {
        *count -= 1;
        if *count == 0 {
            counts.remove(server);
        }
    }
}
