//! The slots of upstreams, as the VMs of a failure domain lend them to each other.
//!
//! A request that was admitted waits at its place until an upstream has a free slot:
//! interactive requests before bulk ones, then the oldest first.

use std::collections::{BTreeMap, VecDeque};

use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_types::prelude::*;

use crate::brain::{Hold, Refusal};
use crate::engine::{Engine, Item};
use crate::requests::{Ending, Hop};

/// When a caller comes back whose request waited for a slot until its deadline.
const RETRY_AFTER: Millis = Millis(1000);

/// An admitted request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) hop: Hop,
    pub(crate) hold: Hold,
    pub(crate) chosen: Option<UpstreamName>,
    pub(crate) service: ServiceName,
    pub(crate) place: PlaceName,
    pub(crate) class: Class,
}

/// The requests that wait, by service and place.
pub(crate) type Queues = BTreeMap<(ServiceName, usize), VecDeque<Waiting>>;

impl Engine<'_> {
    /// Lets a request that was admitted take a slot, or wait for one.
    pub(crate) fn take_slot(
        &mut self,
        hop: Hop,
        place: PlaceName,
        chosen: Option<UpstreamName>,
        hold: Hold,
    ) {
        let stream = self.stream_of(hop.id);
        let (service, class) = (stream.key.service.clone(), stream.key.class);
        let deadline = self.requests[hop.id].deadline;
        let number = self.journal.place_names.of(&place);
        let waiting = Waiting {
            hop,
            hold,
            chosen,
            service: service.clone(),
            place,
            class,
        };
        let queue = self.queues.entry((service.clone(), number)).or_default();
        queue.push_back(waiting);
        self.lend_slots(&service, number);
        let waits = self
            .queues
            .get(&(service.clone(), number))
            .is_some_and(|q| !q.is_empty());
        if waits {
            self.put(deadline, Item::SlotDeadline(service, number));
        }
    }

    /// Lends the free slots of a service at a place to those that wait.
    pub(crate) fn lend_slots(&mut self, service: &ServiceName, place: usize) {
        let key = (service.clone(), place);
        while let Some(queue) = self.queues.get_mut(&key) {
            let urgent = queue.iter().position(|w| w.class == Class::Interactive);
            let Some(next) = queue.get(urgent.unwrap_or(0)) else {
                return;
            };
            let lender =
                self.backends
                    .lender(service, &next.place, next.class, next.chosen.as_ref());
            let Some(upstream) = lender else {
                return;
            };
            let next = queue.remove(urgent.unwrap_or(0)).expect("just found");
            let vm = &self.fleet.vms()[next.hop.vm];
            if !vm.runs() || vm.incarnation != next.hop.incarnation {
                self.not_reached(next.hop);
                continue;
            }
            self.begin(next, upstream);
        }
    }

    /// Refuses the requests that waited for a slot until their deadline.
    pub(crate) fn on_slot_deadline(&mut self, service: ServiceName, place: usize) {
        let now = self.now;
        let requests = &self.requests;
        let Some(queue) = self.queues.get_mut(&(service, place)) else {
            return;
        };
        let late = |w: &Waiting| requests[w.hop.id].deadline <= now;
        let expired: Vec<Waiting> = queue.iter().filter(|w| late(w)).cloned().collect();
        queue.retain(|w| !late(w));
        for waiting in expired {
            self.finish(waiting.hop.vm, &waiting.hold, RequestOutcome::Cancelled);
            self.end_hop(&waiting.hop, Ending::NotRun(Refusal::after(RETRY_AFTER)));
        }
    }
}
