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
const KEPT_FOR: Millis = Millis(20_000);
/// The time between two looks for objects that are not asked for any more.
const SWEEP: Millis = Millis(2_000);
/// Objects that are remembered at most; others go by rank.
const MAX_OBJECTS: usize = 65_536;

/// Where the objects of one service are, as far as this VM is the home of their servers.
#[derive(Debug, Default)]
pub struct ObjectPlacement {
    placed: RefCell<HashMap<u64, Placed>>,
    /// The objects at each server.
    counts: RefCell<HashMap<UpstreamName, u32>>,
    swept: Cell<Millis>,
}

#[derive(Debug)]
struct Placed {
    server: UpstreamName,
    asked: Millis,
}

impl ObjectPlacement {
    /// Gives the server of an object: where it was put before, if that is one of `own`, else
    /// `first`, the first one of its rank, or the one of `own` with the fewest objects where `first`
    /// has two more than that.
    pub fn server_of(
        &self,
        object: u64,
        first: &Rc<Upstream>,
        own: &[&Rc<Upstream>],
        now: Millis,
    ) -> Rc<Upstream> {
        self.sweep(now);
        if let Some(server) = self.known(object, own, now) {
            return server;
        }
        let objects = |u: &Upstream| f64::from(self.count(&u.id)) / f64::from(u.slots.get());
        let by_objects = |a: &&&Rc<Upstream>, b: &&&Rc<Upstream>| {
            let order = objects(a).total_cmp(&objects(b));
            order.then_with(|| a.id.cmp(&b.id))
        };
        let chosen = match own.iter().min_by(by_objects) {
            Some(least) if objects(first) > objects(least) + 1.0 / f64::from(least.slots.get()) => {
                *least
            }
            _ => first,
        };
        self.put(object, &chosen.id, now);
        Rc::clone(chosen)
    }

    fn known(&self, object: u64, own: &[&Rc<Upstream>], now: Millis) -> Option<Rc<Upstream>> {
        let mut placed = self.placed.borrow_mut();
        let known = placed.get_mut(&object)?;
        let server = own.iter().find(|u| u.id == known.server)?;
        known.asked = now;
        Some(Rc::clone(server))
    }

    fn put(&self, object: u64, server: &UpstreamName, now: Millis) {
        let mut placed = self.placed.borrow_mut();
        if placed.len() >= MAX_OBJECTS && !placed.contains_key(&object) {
            return;
        }
        let new = Placed {
            server: server.clone(),
            asked: now,
        };
        let mut counts = self.counts.borrow_mut();
        if let Some(before) = placed.insert(object, new) {
            take_one(&mut counts, &before.server);
        }
        *counts.entry(server.clone()).or_default() += 1;
    }

    fn count(&self, server: &UpstreamName) -> u32 {
        self.counts.borrow().get(server).copied().unwrap_or(0)
    }

    fn sweep(&self, now: Millis) {
        if now.since(self.swept.get()) < SWEEP {
            return;
        }
        self.swept.set(now);
        let mut counts = self.counts.borrow_mut();
        self.placed.borrow_mut().retain(|_, placed| {
            let stays = now.since(placed.asked) < KEPT_FOR;
            if !stays {
                take_one(&mut counts, &placed.server);
            }
            stays
        });
    }
}

fn take_one(counts: &mut HashMap<UpstreamName, u32>, server: &UpstreamName) {
    if let Some(count) = counts.get_mut(server) {
        *count -= 1;
        if *count == 0 {
            counts.remove(server);
        }
    }
}
