//! Which part of a region's objects other regions serve.
//!
//! A region's own servers are near, but there may be too few of them. A request at a time
//! sent away would move the load to and fro between regions and warm every object twice. So
//! whole objects are sent away: those whose hash lies below a threshold, which all VMs of
//! the region compute alike and move slowly.

use std::cell::Cell;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::ewma::Ewma;

/// How far the threshold moves in a second at most. Callers' requests may not be moved from
/// one region to another all at once: caches there are cold and links between regions thin.
const MOST_A_SECOND: f64 = 0.04;
/// The load of the own servers, in requests a slot, above which objects are sent away.
const BUSY: f64 = 0.75;
/// The load below which they are taken back. The gap to [`BUSY`] keeps the threshold still.
const CALM: f64 = 0.5;
/// By how much other regions' servers must be less loaded to be sent anything.
const GAIN: f64 = 0.15;
/// The weight of one answer in the loads.
const LOAD_PART: f64 = 0.05;

/// The slots of a service that are in the own region and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Slots in the own region.
    pub own: f64,
    /// Slots in all other regions.
    pub elsewhere: f64,
    /// Regions that have slots or callers.
    pub regions: usize,
}

impl Room {
    /// Gives the part to send away where nothing is known of the load: callers are taken to
    /// be spread evenly over the regions.
    fn part_away(&self) -> f64 {
        let all = self.own + self.elsewhere;
        if self.own <= 0.0 || all <= 0.0 {
            return 1.0;
        }
        (1.0 - self.own / all * self.regions as f64).max(0.0)
    }
}

/// The threshold of one service.
#[derive(Debug, Default)]
pub struct Spill {
    part: Cell<Option<f64>>,
    /// Whether a request has gone by the threshold.
    is_used: Cell<bool>,
    learned: Cell<f64>,
    own: Ewma,
    elsewhere: Ewma,
    moved: Cell<Millis>,
}

impl Spill {
    /// Takes in the load of a server, in requests a slot.
    pub fn note(&self, is_own: bool, load: f64) {
        let loads = if is_own { &self.own } else { &self.elsewhere };
        loads.add(load, LOAD_PART);
    }

    /// Gives the part of the objects that other regions serve.
    pub fn part(&self) -> f64 {
        self.part.get().unwrap_or(0.0)
    }

    /// Says whether another region serves an object.
    pub fn is_away(&self, object: u64) -> bool {
        self.is_used.set(true);
        let at = hash::rendezvous(&[&object.to_le_bytes()], "away");
        hash::unit_interval(at) < self.part()
    }

    /// Moves the threshold for the time since it was moved last.
    ///
    /// Until the first request goes by it, it is where it should be at once. A VM that starts
    /// hears of routes before it hears of servers: with none in its region it would send
    /// everything away, and take 25 s to come back from there. On days that begin so, objects
    /// were served far off and then warmed once more near their callers.
    pub fn step(&self, room: Room, now: Millis) {
        let elapsed = now.since(self.moved.replace(now)).as_secs_f64().min(1.0);
        let most = MOST_A_SECOND * elapsed;
        self.learned
            .set(self.learned.get() + self.wanted(room) * most);
        let goal = (room.part_away() + self.learned.get()).clamp(0.0, 1.0);
        // What can't be followed is not to be wound up.
        self.learned.set(goal - room.part_away());
        let next = match self.part.get() {
            Some(part) if room.own > 0.0 && self.is_used.get() => {
                part + (goal - part).clamp(-most, most)
            }
            _ => goal,
        };
        self.part.set(Some(next));
    }

    /// Forgets where the threshold is, so that the next step sets it at once.
    pub fn reset(&self) {
        self.part.set(None);
    }

    /// Gives which way the threshold is to move: -1, 0 or 1.
    fn wanted(&self, room: Room) -> f64 {
        let (Some(own), true) = (self.own.get(), room.elsewhere > 0.0) else {
            return 0.0;
        };
        let elsewhere = self.elsewhere.get().unwrap_or(0.0);
        if own > BUSY && own > elsewhere + GAIN {
            return 1.0;
        }
        let unwelcome = elsewhere > BUSY && elsewhere > own + GAIN;
        if (own < CALM || unwelcome) && self.part() > 0.0 {
            return -1.0;
        }
        0.0
    }
}
