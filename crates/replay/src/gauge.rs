//! The true load on one capped thing: a place, a region, a link, an account in a place.

use std::collections::VecDeque;

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

/// The span in which starts are held against a cap.
const WINDOW: Millis = Millis(1000);
/// How long a lowered cap is not yet held against the load: daemons get settings within six
/// seconds, and the window before that holds starts of the old cap.
const CAP_GRACE: Millis = Millis(7000);

/// What one second of a trace brought to a gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Requests started in this second.
    pub started: u32,
    /// The most starts in any window of a second that ended in this second.
    pub peak_rate: u32,
    /// The most requests in progress at once.
    pub peak_in_flight: u32,
    /// The cap's rate at the end of this second.
    pub cap_rate: u32,
    /// The furthest that the load was over the cap, in thousandths of the cap.
    pub excess_permille: u32,
    /// The least room under the cap, in thousandths of the cap.
    pub headroom_permille: u32,
}

/// The true load on one capped thing, second by second.
#[derive(Clone, Debug)]
pub struct Gauge {
    cap: Cap,
    judged: Cap,
    judged_until: Millis,
    starts: VecDeque<(Millis, u32)>,
    in_window: u32,
    in_flight: u32,
    seconds: Vec<Second>,
}

impl Gauge {
    /// Makes a gauge with no load.
    pub fn new(cap: Cap) -> Self {
        Self {
            cap,
            judged: cap,
            judged_until: Millis(0),
            starts: VecDeque::new(),
            in_window: 0,
            in_flight: 0,
            seconds: Vec::new(),
        }
    }

    /// Sets another cap. A higher one counts at once, a lower one when every daemon has it.
    pub fn set_cap(&mut self, now: Millis, cap: Cap) {
        if cap == self.cap {
            return;
        }
        self.judged = max_cap(self.judged_cap(now), cap);
        self.judged_until = now + CAP_GRACE;
        self.cap = cap;
    }

    /// Counts a request that starts.
    pub fn start(&mut self, now: Millis) {
        self.forget(now);
        match self.starts.back_mut() {
            Some((at, n)) if *at == now => *n += 1,
            _ => self.starts.push_back((now, 1)),
        }
        self.in_window += 1;
        self.in_flight += 1;
        self.touch(now).started += 1;
    }

    /// Counts a request that ends.
    pub fn end(&mut self, now: Millis) {
        self.touch(now);
        self.in_flight -= 1;
    }

    /// Gives the room under the cap at `now`, in thousandths of the cap.
    pub fn room_permille(&mut self, now: Millis) -> u32 {
        self.forget(now);
        room(self.cap, self.in_window, self.in_flight)
    }

    /// Gives the load at `now`, in thousandths of the cap.
    pub fn load_permille(&mut self, now: Millis) -> u32 {
        self.forget(now);
        load(self.cap, self.in_window, self.in_flight)
    }

    /// Gives the requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Gives the cap.
    pub fn cap(&self) -> Cap {
        self.cap
    }

    /// Gives what each second brought, up to the end of the trace.
    pub fn finish(mut self, end: Millis) -> Vec<Second> {
        self.touch(Millis(end.0.saturating_sub(1)));
        self.seconds
    }

    fn judged_cap(&self, now: Millis) -> Cap {
        if now < self.judged_until {
            self.judged
        } else {
            self.cap
        }
    }

    fn forget(&mut self, now: Millis) {
        while let Some(&(at, n)) = self.starts.front() {
            if at + WINDOW > now {
                break;
            }
            self.starts.pop_front();
            self.in_window -= n;
        }
    }

    /// Brings the seconds up to `now` and notes the load in the last one.
    fn touch(&mut self, now: Millis) -> &mut Second {
        self.forget(now);
        let wanted = now.0 as usize / 1000 + 1;
        while self.seconds.len() < wanted {
            let begins = Millis(self.seconds.len() as u64 * 1000);
            let rate = self.rate_at(begins);
            let fresh = self.second(begins, rate);
            self.seconds.push(fresh);
        }
        let noted = self.second(now, self.in_window);
        let last = self.seconds.last_mut().expect("a second was just made");
        last.peak_rate = last.peak_rate.max(noted.peak_rate);
        last.peak_in_flight = last.peak_in_flight.max(noted.peak_in_flight);
        last.excess_permille = last.excess_permille.max(noted.excess_permille);
        last.headroom_permille = last.headroom_permille.min(noted.headroom_permille);
        last.cap_rate = noted.cap_rate;
        last
    }

    fn rate_at(&self, at: Millis) -> u32 {
        let counted = self
            .starts
            .iter()
            .filter(|(t, _)| *t <= at && *t + WINDOW > at);
        counted.map(|(_, n)| n).sum()
    }

    fn second(&self, now: Millis, rate: u32) -> Second {
        let over = load(self.judged_cap(now), rate, self.in_flight);
        Second {
            started: 0,
            peak_rate: rate,
            peak_in_flight: self.in_flight,
            cap_rate: self.cap.per_second,
            excess_permille: over.saturating_sub(1000),
            headroom_permille: room(self.cap, rate, self.in_flight),
        }
    }
}

fn max_cap(a: Cap, b: Cap) -> Cap {
    Cap {
        per_second: a.per_second.max(b.per_second),
        in_flight: a.in_flight.max(b.in_flight),
    }
}

/// Gives the larger of two loads in thousandths of their caps, rounded up, so that one request
/// over a large cap shows as an excess.
fn load(cap: Cap, rate: u32, in_flight: u32) -> u32 {
    let part = |used: u32, cap: u32| match (used, cap) {
        (0, _) => 0,
        (used, 0) => 1000 + used * 1000,
        (used, cap) => (u64::from(used) * 1000).div_ceil(u64::from(cap)) as u32,
    };
    part(rate, cap.per_second).max(part(in_flight, cap.in_flight))
}

fn room(cap: Cap, rate: u32, in_flight: u32) -> u32 {
    1000_u32.saturating_sub(load(cap, rate, in_flight))
}
