//! What daemons do on their own: turns, messages to each other, load reports.

use heatherknot_steering::upstream::UpstreamLoad;
use heatherknot_types::prelude::*;

use crate::brain::Message;
use crate::engine::{Engine, Item, TURN, Turn};
use crate::trace::Reported;

/// Turns between two rounds of requests for grants.
const TURNS_PER_ASK: u64 = 10;

/// A message under way to a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) message: Message,
}

/// The load of a place as it is reported.
#[derive(Clone, Debug)]
pub(crate) struct PlaceLoad {
    place: usize,
    permille: u32,
    upstreams: Vec<(ServiceName, UpstreamName, UpstreamLoad)>,
}

impl Engine<'_> {
    pub(crate) fn on_turn(&mut self, turn: Turn) {
        let now = self.now;
        let vm = &self.fleet.vms()[turn.vm];
        if !vm.runs() || vm.incarnation != turn.incarnation {
            return;
        }
        let Some(brain) = &mut self.brains[turn.vm] else {
            return;
        };
        brain.tick(now);
        let asks = if turn.number.is_multiple_of(TURNS_PER_ASK) {
            brain.ask_grants(now)
        } else {
            Vec::new()
        };
        for (to, message) in asks {
            if let Some(to) = self.fleet.number(&to) {
                self.send(turn.vm, to, message);
            }
        }
        let next = Turn {
            number: turn.number + 1,
            ..turn
        };
        self.put(now + TURN, Item::Turn(next));
    }

    /// Sends a message: it arrives after the fixed delay, or not at all during a cut.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let bytes = message.bytes();
        let control = self.journal.control_at(now);
        control.messages += 1;
        control.bytes += bytes;
        let (here, there) = (self.fleet.vms()[from].domain, self.fleet.vms()[to].domain);
        if !self.network.passes(here, there, now) {
            return;
        }
        let delivery = Delivery {
            from,
            to,
            incarnation: self.fleet.vms()[to].incarnation,
            message,
        };
        let at = now + self.network.delay(here, there);
        self.put(at, Item::Deliver(Box::new(delivery)));
    }

    pub(crate) fn on_delivery(&mut self, delivery: Delivery) {
        let now = self.now;
        let (from, to) = (
            &self.fleet.vms()[delivery.from],
            &self.fleet.vms()[delivery.to],
        );
        let same_run = to.runs() && to.incarnation == delivery.incarnation;
        if !same_run || !self.network.passes(from.domain, to.domain, now) {
            return;
        }
        let Some(brain) = &mut self.brains[delivery.to] else {
            return;
        };
        if let Some(answer) = brain.on_message(&delivery.message, now) {
            self.send(delivery.to, delivery.from, answer);
        }
    }

    /// Takes the load of every place and sends it off as the trace says that it is reported.
    pub(crate) fn report_loads(&mut self) {
        let now = self.now;
        let lag = self.trace.head.report_lag_ms;
        for place in 0..self.journal.places.len() {
            let truth = self.journal.places[place].load_permille(now);
            let (permille, upstreams) = match self.reporting[place] {
                Reported::Silent => continue,
                Reported::Truth => (truth, self.true_loads(place)),
                Reported::Permille(permille) => (permille, self.stated_loads(place, permille)),
            };
            let load = PlaceLoad {
                place,
                permille,
                upstreams,
            };
            self.put(now + lag, Item::Report(Box::new(load)));
        }
    }

    fn true_loads(&self, place: usize) -> Vec<(ServiceName, UpstreamName, UpstreamLoad)> {
        self.backends.loads(self.journal.place_names.name(place))
    }

    fn stated_loads(
        &self,
        place: usize,
        permille: u32,
    ) -> Vec<(ServiceName, UpstreamName, UpstreamLoad)> {
        let mut loads = self.true_loads(place);
        for (service, upstream, load) in &mut loads {
            let slots = self.backends.slots(service, upstream);
            load.in_use = (slots * permille / 1000) as u16;
        }
        loads
    }

    pub(crate) fn on_report(&mut self, load: &PlaceLoad) {
        let now = self.now;
        let here = self.journal.domain_of_place[load.place];
        let place = self.journal.place_names.name(load.place);
        for vm in self.fleet.running() {
            let Some(brain) = &mut self.brains[vm] else {
                continue;
            };
            let domain = self.fleet.vms()[vm].domain;
            if domain == here {
                for (service, upstream, load) in &load.upstreams {
                    brain.on_upstream(service, upstream, *load, now);
                }
            }
            if self.network.passes(here, domain, now) {
                brain.on_load(place, load.permille);
            }
        }
    }

    /// Notes what the daemons hold and don't use.
    pub(crate) fn note_control(&mut self) {
        let now = self.now;
        let running = self.fleet.running();
        let mut stranded = 0;
        let mut whole = 0;
        for place in 0..self.journal.places.len() {
            let name = self.journal.place_names.name(place);
            whole += u64::from(self.journal.places[place].cap().per_second);
            for &vm in &running {
                let Some(brain) = &mut self.brains[vm] else {
                    continue;
                };
                let (held, used) = brain.held(name, now);
                stranded += u64::from(held.saturating_sub(used));
            }
        }
        let control = self.journal.control_at(now);
        control.daemons = running.len() as u32;
        control.stranded_permille = 1000.0 * stranded as f64 / whole.max(1) as f64;
    }
}
