//! What decides at one entry VM: the product's own decisions, or a baseline.

use std::sync::Arc;

use heatherknot_steering::upstream::{RequestOutcome, UpstreamLoad};
use heatherknot_steering::{
    Arrival, GrantReply, GrantRequest, GrantToken, RefusalReason, Steering, Ticket, Verdict,
};
use heatherknot_store::capacity::TOTAL_PARTS;
use heatherknot_types::prelude::*;

use crate::baseline::Baseline;
use crate::fleet::Told;

/// What decides at one entry VM.
pub enum Brain {
    /// The decision functions that the daemon calls.
    Steering(Box<Steering>),
    /// A baseline.
    Baseline(Box<Baseline>),
}

/// What a request bears that was sent on.
#[derive(Clone, Debug, PartialEq)]
pub enum Pass {
    /// Nothing: it comes from a caller.
    None,
    /// A grant of the VM that gets it.
    Grant(GrantToken),
    /// A baseline's choice of a place, which the VM there follows.
    Place(PlaceName),
}

/// What is given back when a request ends.
#[derive(Clone, Debug)]
pub enum Hold {
    /// A ticket of the decision functions.
    Ticket(Ticket),
    /// The place that a baseline counted the request at.
    Place(PlaceName),
    /// Nothing is counted.
    None,
}

/// What becomes of a request at one entry VM.
#[derive(Clone, Debug)]
pub enum Choice {
    /// It goes to a backend server of the VM's failure domain.
    Run {
        /// The place.
        place: PlaceName,
        /// The upstream, where the decision names one.
        upstream: Option<UpstreamName>,
        /// What to give back at its end.
        hold: Hold,
    },
    /// It is handed to another VM.
    Relay {
        /// The VM.
        vm: VmName,
        /// What it bears.
        pass: Pass,
        /// What to give back at its end.
        hold: Hold,
    },
    /// It asks again later.
    Wait(Millis),
    /// It is refused.
    Refuse(Refusal),
}

/// A refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why, where a decision says so.
    pub reason: Option<RefusalReason>,
    /// When the caller may come back.
    pub retry_after: Millis,
}

impl Refusal {
    /// Makes a refusal for which no decision gave a reason.
    pub fn after(retry_after: Millis) -> Self {
        Self {
            reason: None,
            retry_after,
        }
    }
}

/// One request at one VM.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service.
    pub service: ServiceName,
    /// The class.
    pub class: Class,
    /// The time left.
    pub left: Millis,
    /// Zero for a first try.
    pub attempt: u8,
    /// Whether it was told to wait before.
    pub waited: bool,
    /// What it bears.
    pub pass: Pass,
}

/// What a look-up finds.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// The VM in another failure domain, and what requests bear there.
    pub sent_to: Option<(VmName, Pass)>,
    /// How long the answer may be kept; the service's setting where absent.
    pub ttl: Option<Millis>,
}

/// A message between two daemons.
#[derive(Clone, Debug)]
pub enum Message {
    /// A request for grants.
    Ask(GrantRequest),
    /// The answer.
    Reply(GrantReply),
}

/// The bytes that a call or an answer adds to what it carries: the JSON-RPC keys and the
/// length before it.
const ENVELOPE_BYTES: u64 = 60;
/// When a caller whom a baseline refuses comes back.
const BASELINE_RETRY_AFTER: Millis = Millis(200);

impl Message {
    /// Gives the message's size on the wire, in bytes.
    pub fn bytes(&self) -> u64 {
        let body = match self {
            Message::Ask(ask) => serde_json::to_vec(ask),
            Message::Reply(reply) => serde_json::to_vec(reply),
        };
        body.expect("messages are plain JSON").len() as u64 + ENVELOPE_BYTES
    }
}

impl Brain {
    /// Tells the VM what changed.
    pub fn on_told(&mut self, told: Told, now: Millis) {
        match self {
            Brain::Steering(steering) => match told {
                Told::Plan(plan) => steering.on_plan(plan, now),
                Told::Part(part) => steering.on_capacity_part(part, now),
                Told::Peers(peers) => steering.on_peers(peers.to_vec()),
                Told::Starts => {}
            },
            Brain::Baseline(baseline) => match told {
                Told::Plan(plan) => baseline.on_plan(plan),
                Told::Peers(peers) => baseline.on_peers(peers),
                Told::Starts | Told::Part(_) => {}
            },
        }
    }

    /// Tells the VM what an upstream of its failure domain reports.
    pub fn on_upstream(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        load: UpstreamLoad,
        now: Millis,
    ) {
        if let Brain::Steering(steering) = self {
            steering.on_upstream_load(service, upstream, load, now);
        }
    }

    /// Tells the VM what a place reports; only baselines use it.
    pub fn on_load(&mut self, place: &PlaceName, permille: u32) {
        if let Brain::Baseline(baseline) = self {
            baseline.on_load(place, permille);
        }
    }

    /// Brings the VM's state up to `now`.
    pub fn tick(&mut self, now: Millis) {
        if let Brain::Steering(steering) = self {
            steering.tick(now);
        }
    }

    /// Gives the requests for grants that the VM sends now.
    pub fn ask_grants(&mut self, now: Millis) -> Vec<(VmName, Message)> {
        let Brain::Steering(steering) = self else {
            return Vec::new();
        };
        let asks = steering.request_grants(now).into_iter();
        asks.map(|(vm, ask)| (vm, Message::Ask(ask))).collect()
    }

    /// Takes a message, and gives the answer where it needs one.
    pub fn on_message(&mut self, message: &Message, now: Millis) -> Option<Message> {
        let Brain::Steering(steering) = self else {
            return None;
        };
        match message {
            Message::Ask(ask) => Some(Message::Reply(steering.on_grant_request(ask, now))),
            Message::Reply(reply) => {
                steering.on_grant_reply(reply, now);
                None
            }
        }
    }

    /// Counts a request that waits behind others or found no room to wait.
    pub fn queued(&mut self, ask: &Ask, rng: &mut fastrand::Rng, now: Millis) {
        if let Brain::Steering(steering) = self {
            steering.on_queued(&arrival(ask), rng, now);
        }
    }

    /// Decides on a request.
    pub fn admit(&mut self, ask: &Ask, rng: &mut fastrand::Rng, now: Millis) -> Choice {
        match self {
            Brain::Steering(steering) => {
                let verdict = steering.admit(&arrival(ask), rng, now);
                from_verdict(verdict)
            }
            Brain::Baseline(baseline) => {
                if let Pass::Place(place) = &ask.pass {
                    return run_at(place.clone(), Hold::None);
                }
                baseline_choice(baseline, ask, rng, now)
            }
        }
    }

    /// Notes that a request goes to another upstream than the one chosen.
    pub fn reassign(&mut self, hold: &Hold, upstream: &UpstreamName) {
        if let (Brain::Steering(steering), Hold::Ticket(ticket)) = (self, hold) {
            steering.reassign(*ticket, upstream);
        }
    }

    /// Notes that a request has its slot, and tells whether the time left is enough to send it.
    pub fn may_send(&mut self, hold: &Hold, left: Millis, now: Millis) -> bool {
        match (self, hold) {
            (Brain::Steering(steering), Hold::Ticket(ticket)) => {
                steering.begin_send(*ticket, left, now)
            }
            _ => true,
        }
    }

    /// Counts the end of a request.
    pub fn finish(&mut self, hold: &Hold, end: RequestOutcome, now: Millis) {
        match (self, hold) {
            (Brain::Steering(steering), Hold::Ticket(ticket)) => {
                steering.finish(*ticket, end, now);
            }
            (Brain::Baseline(baseline), Hold::Place(place)) => baseline.finish(place),
            _ => {}
        }
    }

    /// Answers a look-up: where to go in another failure domain, or here where it names none.
    pub fn look_up(
        &mut self,
        service: &ServiceName,
        rng: &mut fastrand::Rng,
        now: Millis,
    ) -> Found {
        let Brain::Steering(steering) = self else {
            return Found::default();
        };
        let Some(answer) = steering.on_lookup(service, &rng.u64(..).to_le_bytes(), now) else {
            return Found::default();
        };
        let first = answer.choices.first();
        let sent_to = first.and_then(|choice| {
            let (vm, grant) = choice.vm.clone().zip(choice.grant.clone())?;
            Some((vm, Pass::Grant(grant)))
        });
        Found {
            sent_to,
            ttl: Some(answer.ttl),
        }
    }

    /// Gives the least part of its failure domain's capacity, in thousandths, that holds all
    /// that the VM has lent and runs.
    pub fn used_part(&self, now: Millis) -> u16 {
        let Brain::Steering(steering) = self else {
            return 0;
        };
        let (mut low, mut high) = (0, TOTAL_PARTS);
        while low < high {
            let middle = (low + high) / 2;
            if steering.fits_capacity_part(middle, now) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        low
    }

    /// Tells whether a request that may have run is tried again, as plain balancers do.
    pub fn retries_what_may_have_run(&self) -> bool {
        matches!(self, Brain::Baseline(_))
    }

    /// Gives the rate that the VM has lent to others or holds at a place, and how much of it
    /// is used.
    pub fn held(&mut self, place: &PlaceName, now: Millis) -> (u32, u32) {
        match self {
            Brain::Steering(steering) => held_by(steering, place, now),
            Brain::Baseline(baseline) => baseline.held(place, now),
        }
    }
}

fn held_by(steering: &Steering, place: &PlaceName, now: Millis) -> (u32, u32) {
    let name = heatherknot_steering::issuer::ScopeName::Place(place.clone());
    let issuer = steering.issuer();
    let lent = issuer.lent_in(&name, None, now).per_second;
    let used = issuer.used_in(&name, now).per_second;
    let local = issuer.local_in(&name, now).per_second;
    (lent, used.saturating_sub(local).min(lent))
}

fn arrival(ask: &Ask) -> Arrival {
    let grant = match &ask.pass {
        Pass::Grant(token) => Some(token.clone()),
        Pass::None | Pass::Place(_) => None,
    };
    Arrival {
        service: ask.service.clone(),
        class: ask.class,
        deadline: ask.left,
        attempt: ask.attempt,
        waited: ask.waited,
        grant,
    }
}

fn from_verdict(verdict: Verdict) -> Choice {
    match verdict {
        Verdict::Run {
            ticket,
            place,
            upstream,
        } => Choice::Run {
            place,
            upstream: Some(upstream),
            hold: Hold::Ticket(ticket),
        },
        Verdict::Relay { ticket, vm, token } => Choice::Relay {
            vm,
            pass: Pass::Grant(token),
            hold: Hold::Ticket(ticket),
        },
        Verdict::Wait { until } => Choice::Wait(until),
        Verdict::Refuse {
            reason,
            retry_after,
        } => Choice::Refuse(Refusal {
            reason: Some(reason),
            retry_after,
        }),
    }
}

fn run_at(place: PlaceName, hold: Hold) -> Choice {
    Choice::Run {
        place,
        upstream: None,
        hold,
    }
}

fn baseline_choice(
    baseline: &mut Baseline,
    ask: &Ask,
    rng: &mut fastrand::Rng,
    now: Millis,
) -> Choice {
    let Some((place, vm)) = baseline.choose(&ask.service, now, rng) else {
        return Choice::Refuse(Refusal::after(BASELINE_RETRY_AFTER));
    };
    let hold = Hold::Place(place.clone());
    if vm == *baseline.vm() {
        return run_at(place, hold);
    }
    Choice::Relay {
        vm,
        pass: Pass::Place(place),
        hold,
    }
}

/// One policy: a name and what makes the brain of a VM.
#[derive(Clone)]
pub struct Policy {
    /// The name by which it is chosen.
    pub name: &'static str,
    /// What it does, in a line.
    pub about: &'static str,
    /// Makes the brain of a VM that starts to run.
    pub make: Arc<dyn Fn(&Newcomer) -> Brain>,
}

/// A VM that starts to run.
#[derive(Clone, Debug)]
pub struct Newcomer {
    /// Its name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of its run.
    pub incarnation: Incarnation,
    /// The VMs at the beginning of the trace.
    pub fleet: u32,
    /// The time.
    pub now: Millis,
}
