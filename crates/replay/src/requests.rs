//! The way of one request: from a caller to an entry VM, perhaps to a second one, to a
//! backend server and back.

use heatherknot_steering::RefusalReason;
use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_types::prelude::*;

use crate::backend::Served;
use crate::brain::{Ask, Choice, Hold, Pass, Refusal};
use crate::callers::{CallerId, Route, Stream};
use crate::engine::{Engine, Item};
use crate::journal::{Load, Tally};
use crate::slots::Waiting;

slotmap::new_key_type! {
    /// The key of a request that has not ended.
    pub(crate) struct RequestId;
}

/// Tries that an entry VM makes before it refuses a request that was not run.
const MAX_ATTEMPTS: u8 = 3;
/// How often a caller looks up anew because a VM that it was sent to refuses.
const MAX_DETOURS: u8 = 2;
/// The time until an entry VM tries again a request that was not run.
const RETRY_PAUSE: Millis = Millis(5);
/// The room that a place must have for a refusal to count as one with room, in thousandths.
const ROOM_PERMILLE: u32 = 100;

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    caller: CallerId,
    born: Millis,
    pub(crate) deadline: Millis,
    retries_left: u32,
    runs: u32,
    detours: u8,
    /// The VMs that hold the request, the first one being the entry VM.
    pub(crate) holders: Vec<usize>,
}

/// A request on its way to a VM.
#[derive(Clone, Debug)]
pub(crate) struct Hop {
    pub(crate) id: RequestId,
    pub(crate) vm: usize,
    pub(crate) incarnation: Incarnation,
    pass: Pass,
    attempt: u8,
    pub(crate) waited: bool,
    back: Option<Back>,
}

impl Hop {
    /// Gives the place that the request is bound to by a grant.
    pub(crate) fn place(&self) -> Option<&PlaceName> {
        match &self.pass {
            Pass::Grant(token) => Some(&token.place),
            Pass::None | Pass::Place(_) => None,
        }
    }
}

/// Where the answer goes that a VM gives to another.
#[derive(Clone, Debug)]
pub(crate) struct Back {
    vm: usize,
    incarnation: Incarnation,
    hold: Hold,
    attempt: u8,
}

/// A request that runs.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    hop: Hop,
    hold: Hold,
    service: ServiceName,
    upstream: UpstreamName,
    load: Load,
    answered: bool,
}

/// How a request ended that a VM had handed over, as that VM learns it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    id: RequestId,
    back: Back,
    end: Ending,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    Answered,
    NotRun(Refusal),
    Lost,
}

impl Engine<'_> {
    pub(crate) fn new_request(&mut self, at: Millis, caller: CallerId) {
        let stream = self.callers.stream(caller.stream);
        let request = Request {
            caller,
            born: at,
            deadline: at + stream.deadline,
            retries_left: self.trace.head.caller_retries,
            runs: 0,
            detours: 0,
            holders: Vec::new(),
        };
        let key = stream.key.clone();
        self.journal.tally(&key, at).asked += 1;
        let id = self.requests.insert(request);
        self.put(at, Item::Asked(id));
    }

    /// Takes back the requests that the end of the trace found in progress: nobody can tell
    /// how they would have ended.
    pub(crate) fn forget_unfinished(&mut self) {
        for id in self.requests.keys().collect::<Vec<_>>() {
            self.tally_of(id).asked -= 1;
        }
    }

    pub(crate) fn stream_of(&self, id: RequestId) -> &Stream {
        self.callers.stream(self.requests[id].caller.stream)
    }

    fn tally_of(&mut self, id: RequestId) -> &mut Tally {
        let born = self.requests[id].born;
        let key = self.stream_of(id).key.clone();
        self.journal.tally(&key, born)
    }

    /// Lets a caller choose an entry VM by its last look-up, or by a new one.
    pub(crate) fn on_asked(&mut self, id: RequestId) {
        let caller = self.requests[id].caller;
        let known = self.callers.route(caller, self.now);
        let known = known
            .filter(|route| self.fleet.vms()[route.vm].runs())
            .cloned();
        let Some(route) = known.or_else(|| self.look_up(caller)) else {
            self.refused(id, None, Refusal::after(Millis(1000)));
            return;
        };
        let source = self.stream_of(id).key.source;
        let there = &self.fleet.vms()[route.vm];
        let hop = Hop {
            id,
            vm: route.vm,
            incarnation: there.incarnation,
            pass: route.pass.clone(),
            attempt: 0,
            waited: false,
            back: None,
        };
        let delay = if there.domain == source {
            Millis(0)
        } else {
            self.network.delay(source, there.domain)
        };
        self.requests[id].holders = vec![route.vm];
        self.put(self.now + delay, Item::Arrive(Box::new(hop)));
    }

    /// Asks the nearest VM that is up where to go.
    fn look_up(&mut self, caller: CallerId) -> Option<Route> {
        let stream = self.callers.stream(caller.stream);
        let (source, service) = (stream.key.source, stream.key.service.clone());
        let asked = self.entry_vm(source, caller.caller)?;
        let brain = self.brains[asked].as_mut()?;
        let answer = brain.look_up(&service, &mut self.rng, self.now);
        let (vm, pass) = match answer.sent_to {
            Some((name, pass)) => (self.fleet.number(&name)?, pass),
            None => (asked, Pass::None),
        };
        let ttl = answer
            .ttl
            .unwrap_or_else(|| self.callers.stream(caller.stream).ttl());
        let route = Route {
            vm,
            pass,
            until: self.now + ttl,
        };
        self.callers.remember(caller, route.clone());
        Some(route)
    }

    /// Gives the entry VM of a caller: one of its own failure domain, then of its region, then
    /// of any other.
    fn entry_vm(&self, source: usize, caller: usize) -> Option<usize> {
        let region = self.journal.region_of_domain[source];
        let domains = self.domains.len();
        let mut order: Vec<usize> = (0..domains)
            .map(|i| (source + caller + i) % domains)
            .collect();
        order.sort_by_key(|d| (*d != source, self.journal.region_of_domain[*d] != region));
        order.into_iter().find_map(|domain| {
            let accepting: Vec<usize> = self.fleet.accepting(domain).collect();
            accepting.get(caller % accepting.len().max(1)).copied()
        })
    }

    fn ask_of(&self, hop: &Hop) -> Ask {
        let stream = self.stream_of(hop.id);
        Ask {
            service: stream.key.service.clone(),
            class: stream.key.class,
            left: self.requests[hop.id].deadline.since(self.now),
            attempt: hop.attempt,
            waited: hop.waited,
            pass: hop.pass.clone(),
        }
    }

    /// Asks the VM that a request has reached what becomes of it.
    pub(crate) fn ask(&mut self, hop: &Hop) -> Choice {
        let ask = self.ask_of(hop);
        match &mut self.brains[hop.vm] {
            Some(brain) => brain.admit(&ask, &mut self.rng, self.now),
            None => Choice::Refuse(Refusal::after(RETRY_PAUSE)),
        }
    }

    /// Tells the VM of a request that waits behind others there.
    pub(crate) fn note_queued(&mut self, hop: &Hop) {
        let ask = self.ask_of(hop);
        if let Some(brain) = &mut self.brains[hop.vm] {
            brain.queued(&ask, &mut self.rng, self.now);
        }
    }

    /// Does what a VM decided on a request.
    pub(crate) fn follow(&mut self, hop: Hop, choice: Choice) {
        match choice {
            Choice::Run {
                place,
                upstream,
                hold,
            } => self.take_slot(hop, place, upstream, hold),
            Choice::Relay { vm, pass, hold } => self.relay(hop, &vm, pass, hold),
            Choice::Wait(until) => self.put(until, Item::Arrive(Box::new(hop))),
            Choice::Refuse(refusal) => self.refuse(&hop, refusal),
        }
    }

    /// Refuses a request at a VM. A caller that was sent there by a look-up answer asks its
    /// nearest VM anew.
    fn refuse(&mut self, hop: &Hop, refusal: Refusal) {
        let request = &mut self.requests[hop.id];
        let sent = hop.pass != Pass::None && hop.back.is_none();
        if sent && request.detours < MAX_DETOURS {
            request.detours += 1;
            self.callers.forget(request.caller);
            self.on_asked(hop.id);
            return;
        }
        self.end_hop(hop, Ending::NotRun(refusal));
    }

    /// Handles a VM that is gone: a caller looks up another, a VM tries another.
    pub(crate) fn not_reached(&mut self, hop: Hop) {
        match hop.back {
            Some(_) => self.end_hop(&hop, Ending::NotRun(Refusal::after(RETRY_PAUSE))),
            None if self.now < self.requests[hop.id].deadline => self.on_asked(hop.id),
            None => self.refused(hop.id, None, Refusal::after(Millis(1000))),
        }
    }

    /// Starts a request at a backend server that lent it a slot.
    pub(crate) fn begin(&mut self, waiting: Waiting, upstream: UpstreamName) {
        let now = self.now;
        let Waiting {
            hop,
            hold,
            chosen,
            service,
            place,
            ..
        } = waiting;
        if chosen.as_ref().is_some_and(|chosen| *chosen != upstream)
            && let Some(brain) = &mut self.brains[hop.vm]
        {
            brain.reassign(&hold, &upstream);
        }
        let left = self.requests[hop.id].deadline.since(now);
        let brain = self.brains[hop.vm].as_mut();
        if brain.is_some_and(|brain| !brain.may_send(&hold, left, now)) {
            self.finish(hop.vm, &hold, RequestOutcome::Cancelled);
            self.end_hop(&hop, Ending::NotRun(Refusal::after(Millis(1000))));
            return;
        }
        let draw = self.rng.u32(0..1000);
        let Served::Runs { span, answered } = self.backends.start(&service, &upstream, draw) else {
            self.tally_of(hop.id).shed += 1;
            self.finish(hop.vm, &hold, RequestOutcome::Shed);
            self.try_again(hop);
            return;
        };
        let once = self.stream_of(hop.id).key.at_most_once;
        let request = &mut self.requests[hop.id];
        request.runs += 1;
        if once && request.runs > 1 {
            self.tally_of(hop.id).double_runs += 1;
        }
        let load = self.load_of(&hop, &place);
        self.journal.start(now, &load);
        let run = Run {
            hop,
            hold,
            service,
            upstream,
            load,
            answered: answered && span <= left,
        };
        // A VM cancels a request at its deadline, and the backend server gives up the slot.
        self.put(now + span.min(left), Item::Done(Box::new(run)));
    }

    fn load_of(&self, hop: &Hop, place: &PlaceName) -> Load {
        let stream = self.stream_of(hop.id);
        let sender = match (&hop.back, &hop.pass) {
            (Some(back), _) => Some(back.vm),
            (None, Pass::Grant(token)) => self.fleet.number(&token.holder),
            (None, _) => None,
        };
        let from = self.fleet.vms()[sender.unwrap_or(hop.vm)].domain;
        Load {
            source: stream.key.source,
            from_region: self.journal.region_of_domain[from],
            place: self.journal.place_names.of(place),
            account: stream.account.clone(),
        }
    }

    /// Tries a request again at the same VM that was not run.
    fn try_again(&mut self, mut hop: Hop) {
        if hop.attempt + 1 >= MAX_ATTEMPTS {
            self.end_hop(&hop, Ending::NotRun(Refusal::after(Millis(1000))));
            return;
        }
        hop.attempt += 1;
        hop.waited = false;
        self.put(self.now + RETRY_PAUSE, Item::Arrive(Box::new(hop)));
    }

    fn relay(&mut self, hop: Hop, to: &VmName, pass: Pass, hold: Hold) {
        let now = self.now;
        let back = Back {
            vm: hop.vm,
            incarnation: hop.incarnation,
            hold,
            attempt: hop.attempt,
        };
        let Some(number) = self.fleet.number(to) else {
            let end = Ending::NotRun(Refusal::after(RETRY_PAUSE));
            self.learn(hop.id, back, end, now);
            return;
        };
        let (here, there) = (&self.fleet.vms()[hop.vm], &self.fleet.vms()[number]);
        let (from, target) = (here.domain, there.domain);
        if !self.network.passes(from, target, now) {
            let deadline = self.requests[hop.id].deadline;
            self.learn(hop.id, back, Ending::Lost, deadline);
            return;
        }
        self.requests[hop.id].holders.push(number);
        let next = Hop {
            id: hop.id,
            vm: number,
            incarnation: there.incarnation,
            pass,
            attempt: 0,
            waited: false,
            back: Some(back),
        };
        let at = now + self.network.delay(from, target);
        self.put(at, Item::Arrive(Box::new(next)));
    }

    fn learn(&mut self, id: RequestId, back: Back, end: Ending, at: Millis) {
        let answer = Answer { id, back, end };
        self.put(at, Item::Answered(Box::new(answer)));
    }

    pub(crate) fn on_done(&mut self, run: Run) {
        self.backends.end(&run.service, &run.upstream);
        self.journal.end(self.now, &run.load);
        self.lend_slots(&run.service, run.load.place);
        let vm = &self.fleet.vms()[run.hop.vm];
        let same_run = vm.runs() && vm.incarnation == run.hop.incarnation;
        if !self.requests.contains_key(run.hop.id) {
            return;
        }
        if !same_run {
            self.end_hop(&run.hop, Ending::Lost);
            return;
        }
        let end = if run.answered {
            RequestOutcome::Good
        } else {
            RequestOutcome::Failed
        };
        self.finish(run.hop.vm, &run.hold, end);
        if run.answered {
            self.end_hop(&run.hop, Ending::Answered);
            return;
        }
        if self.may_run_again(run.hop.id, run.hop.vm) && run.hop.back.is_none() {
            self.try_again(run.hop);
            return;
        }
        self.end_hop(&run.hop, Ending::Lost);
    }

    /// Tells whether a request that may have run is tried again.
    fn may_run_again(&self, id: RequestId, vm: usize) -> bool {
        let blind = self.brains[vm]
            .as_ref()
            .is_some_and(|b| b.retries_what_may_have_run());
        blind || !self.stream_of(id).key.at_most_once
    }

    /// Ends a request's stay at a VM: the VM before it, or the caller, learns how.
    pub(crate) fn end_hop(&mut self, hop: &Hop, end: Ending) {
        let Some(back) = hop.back.clone() else {
            self.end(hop.id, Some(hop.vm), end);
            return;
        };
        let holders = &mut self.requests[hop.id].holders;
        holders.retain(|vm| *vm != hop.vm);
        let (from, to) = (
            self.fleet.vms()[hop.vm].domain,
            self.fleet.vms()[back.vm].domain,
        );
        let gone = end == Ending::Lost && !self.fleet.vms()[hop.vm].runs();
        if gone || !self.network.passes(from, to, self.now) {
            let deadline = self.requests[hop.id].deadline.max(self.now);
            self.learn(hop.id, back, Ending::Lost, deadline);
            return;
        }
        let at = self.now + self.network.delay(from, to);
        self.learn(hop.id, back, end, at);
    }

    pub(crate) fn on_answer(&mut self, answer: Answer) {
        let back = answer.back;
        let vm = &self.fleet.vms()[back.vm];
        let same_run = vm.runs() && vm.incarnation == back.incarnation;
        if !same_run {
            self.end(answer.id, None, Ending::Lost);
            return;
        }
        let end = match answer.end {
            Ending::Answered => RequestOutcome::Good,
            Ending::NotRun(_) => RequestOutcome::Cancelled,
            Ending::Lost => RequestOutcome::Failed,
        };
        self.finish(back.vm, &back.hold, end);
        let hop = Hop {
            id: answer.id,
            vm: back.vm,
            incarnation: back.incarnation,
            pass: Pass::None,
            attempt: back.attempt,
            waited: false,
            back: None,
        };
        let again = match answer.end {
            Ending::Answered => false,
            Ending::NotRun(_) => true,
            Ending::Lost => self.may_run_again(answer.id, back.vm),
        };
        if again && self.now < self.requests[answer.id].deadline {
            self.try_again(hop);
            return;
        }
        self.end(answer.id, Some(back.vm), answer.end);
    }

    pub(crate) fn finish(&mut self, vm: usize, hold: &Hold, end: RequestOutcome) {
        if let Some(brain) = &mut self.brains[vm] {
            brain.finish(hold, end, self.now);
            self.wake_lines(vm);
        }
    }

    /// Ends a request at its caller.
    fn end(&mut self, id: RequestId, vm: Option<usize>, end: Ending) {
        let late = self.now > self.requests[id].deadline;
        match end {
            Ending::Answered if !late => {
                self.tally_of(id).answered += 1;
                self.requests.remove(id);
            }
            Ending::Answered | Ending::Lost => {
                self.tally_of(id).unknown += 1;
                self.requests.remove(id);
            }
            Ending::NotRun(refusal) => self.refused(id, vm, refusal),
        }
    }

    /// Refuses a request to its caller, who comes back when it is told to, so many times as
    /// the trace says.
    fn refused(&mut self, id: RequestId, vm: Option<usize>, refusal: Refusal) {
        let with_room = vm.is_some_and(|vm| self.room_for(id, vm));
        let tally = self.tally_of(id);
        tally.refused += 1;
        if with_room {
            tally.refused_with_room += 1;
        }
        let service = self.stream_of(id).key.service.clone();
        let reason = refusal.reason.map_or("no-way", reason_name);
        *self.journal.reasons.entry((service, reason)).or_default() += 1;
        let span = self.stream_of(id).deadline;
        let at = self.now + refusal.retry_after;
        let request = &mut self.requests[id];
        if request.retries_left == 0 {
            self.requests.remove(id);
            return;
        }
        request.retries_left -= 1;
        request.deadline = at + span;
        request.holders.clear();
        self.put(at, Item::Asked(id));
    }

    /// Tells whether some place that the VM reaches could have run a request.
    fn room_for(&mut self, id: RequestId, vm: usize) -> bool {
        let now = self.now;
        let here = self.fleet.vms()[vm].domain;
        let stream = self.stream_of(id);
        let (service, source) = (stream.key.service.clone(), stream.key.source);
        let account = stream.account.clone();
        let plan = self.fleet.plan().clone();
        let places = self.serving.get(&service).cloned().unwrap_or_default();
        places.into_iter().any(|place| {
            let name = self.journal.place_names.name(place).clone();
            let there = self.journal.domain_of_place[place];
            let region = &plan.regions[self
                .journal
                .region_names
                .name(self.journal.region_of_domain[there])];
            let open = !plan.places[&name].draining && !region.draining;
            let reached = self.network.passes(here, there, now)
                && self.network.passes(there, here, now)
                && self.fleet.accepting(there).next().is_some();
            let load = Load {
                source,
                from_region: self.journal.region_of_domain[here],
                place,
                account: account.clone(),
            };
            open && reached
                && self.backends.has_free_slot(&service, &name)
                && self.journal.room_permille(now, &load) >= ROOM_PERMILLE
        })
    }
}

fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownService => "unknown-service",
        RefusalReason::Deadline => "deadline",
        RefusalReason::AccountShare => "account-share",
        RefusalReason::Cap => "cap",
        RefusalReason::Busy => "busy",
        RefusalReason::NoUpstream => "no-upstream",
        RefusalReason::Grant => "grant",
        RefusalReason::RetryBudget => "retry-budget",
    }
}
