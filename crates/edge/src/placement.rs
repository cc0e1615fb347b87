//! Places objects evenly on the backend servers whose home this VM is.
//!
//! By rank alone, some servers get several objects more than others: with 217 objects on 12
//! servers, one server in five gets more than the 21 that it can cache. Most of its requests are
//! then cache misses, which take three times as long, and it refuses requests while its neighbours
//! have capacity. All requests for a server pass through its home VM, so the home can place an
//! object that it sees for the first time on another of its servers without coordination. A placed
//! object stays where it is: moving it would cost a cache miss, while the first placement costs
//! nothing extra.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::upstream::Upstream;

/// Time after which an object without requests loses its placement. Servers cache the most recently
/// used objects, so by then others have evicted it.
const IDLE_EXPIRY: Millis = Millis(20_000);
/// Interval between two removals of expired placements.
const SWEEP_INTERVAL: Millis = Millis(2_000);
/// Maximum number of tracked objects. Further ones are served by rank.
const MAX_TRACKED_OBJECTS: usize = 65_536;

/// Placements of the objects of one service on the servers whose home this VM is.
#[derive(Debug, Default)]
pub struct ObjectPlacement {
    placements: RefCell<HashMap<u64, PlacedObject>>,
    /// Number of objects placed on each server.
    counts: RefCell<HashMap<UpstreamName, u32>>,
    swept_at: Cell<Millis>,
}

#[derive(Debug)]
struct PlacedObject {
    server: UpstreamName,
    last_requested: Millis,
}

impl ObjectPlacement {
    /// Returns the server of an object: the one that it was placed on, if that is still one of
    /// `own_servers`; otherwise `ranked_first`, the first server of the object's rank; or, if that
    /// one has at least two more objects, the one of `own_servers` with the fewest objects per
    /// slot.
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

    /// Assigns an object to a server, wherever it was placed before.
    pub fn assign(&self, object: u64, server: &UpstreamName, now: Millis) {
        self.place(object, server, now);
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
