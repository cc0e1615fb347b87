//! Admission of a request: at once, after a wait in its class's queue, or not at all.

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_steering::{Arrival, GrantToken, RefusalReason, Ticket, Verdict};
use heatherknot_types::prelude::*;

use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::hop::HopReason;
use crate::slots::UpstreamKey;

/// When a caller that found a full queue may come back.
const QUEUE_FULL_RETRY_AFTER: Millis = Millis(1_000);
/// When a caller whose deadline was too short may come back.
const DEADLINE_RETRY_AFTER: Millis = Millis(1_000);

/// Where an admitted request goes.
pub(crate) enum Admitted {
    /// To a backend server of this failure domain.
    Local {
        admission: AdmissionGuard,
        place: PlaceName,
        upstream: UpstreamName,
    },
    /// To another VM, under a grant.
    Remote {
        admission: AdmissionGuard,
        vm: VmName,
        token: GrantToken,
    },
}

/// A request that counts as in progress. Dropping it gives its part of the caps back.
pub(crate) struct AdmissionGuard {
    gateway: Rc<Gateway>,
    ticket: Ticket,
    service: ServiceName,
    admitted: Millis,
    end: Cell<RequestOutcome>,
}

impl AdmissionGuard {
    /// Notes how the request ended; without that it counts as given up by the caller.
    pub(crate) fn set_outcome(&self, end: RequestOutcome) {
        self.end.set(end);
    }

    /// Gives the ticket of the request.
    pub(crate) fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.gateway.cx.clock.now();
        let mut steering = self.gateway.cx.steering.borrow_mut();
        steering.finish(self.ticket, self.end.get(), now);
        drop(steering);
        if self.end.get() == RequestOutcome::Good {
            let span = now.since(self.admitted);
            self.gateway.wait_estimator.record(&self.service, span);
        }
        self.gateway.queues.wake_all();
    }
}

enum Decision {
    Go(Admitted),
    Wait(Millis),
    Refuse(Refusal),
}

impl Gateway {
    /// Admits a request, waiting for its turn where there is no room now.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that is not admitted. Nothing of it was sent.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        call: &Call,
        attempt: u8,
    ) -> Result<Admitted, Refusal> {
        if !self.queues.has_waiting_ahead(&call.service, call.class) {
            match self.decide(call, attempt, false) {
                Decision::Go(admitted) => return Ok(admitted),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(_) => {}
            }
        } else {
            self.count_queued(call, attempt);
        }
        self.check_queue(call)?;
        let max = call.settings().queue_len as usize;
        let Some(mut spot) = self.queues.enqueue(&call.service, call.class, max) else {
            let detail = format!("{max} requests wait for {} already", call.service);
            let refusal = Refusal::not_run(Reason::QueueFull, detail);
            return Err(refusal.retry_after(QUEUE_FULL_RETRY_AFTER));
        };
        loop {
            let look = spot.next_wakeup();
            let mut until = call.deadline;
            if spot.is_next() {
                match self.decide(call, attempt, true) {
                    Decision::Go(admitted) => {
                        spot.dequeue();
                        return Ok(admitted);
                    }
                    Decision::Refuse(refusal) => return Err(refusal),
                    Decision::Wait(again) => until = until.min(again),
                }
                spot.yield_turn();
            }
            let now = self.cx.clock.now();
            if now >= call.deadline {
                return Err(deadline_passed());
            }
            let span = until.since(now).max(Millis(1));
            self.cx.timer.limit(span, look.wait()).await;
        }
    }

    /// Refuses a request at once that would most likely still wait at its deadline: it would
    /// lengthen the queue for the others and end unanswered.
    fn check_queue(&self, call: &Call) -> Result<(), Refusal> {
        let before = Class::ALL.into_iter().filter(|other| *other <= call.class);
        let ahead = before
            .map(|class| self.queues.len(&call.service, class))
            .sum();
        let upstreams = call.settings().upstreams.iter();
        let own = upstreams.filter(|u| self.is_own(&call.plan, u));
        let keys = own.map(|u| UpstreamKey::new(call.service.clone(), u.name.clone()));
        let slots = keys.map(|key| self.slot_limit(&key)).sum();
        let wait = self
            .wait_estimator
            .estimate_wait(&call.service, ahead, slots);
        if wait <= call.time_left(self.cx.clock.now()) {
            return Ok(());
        }
        let detail = format!("{ahead} requests wait, which takes about {wait}");
        Err(Refusal::not_run(Reason::Deadline, detail).retry_after(wait))
    }

    /// Counts a request that waits behind others, or finds no room to wait, as demand.
    fn count_queued(&self, call: &Call, attempt: u8) {
        let now = self.cx.clock.now();
        let arrival = self.arrival(call, attempt, false, now);
        let mut rng = self.cx.rng.borrow_mut();
        let mut steering = self.cx.steering.borrow_mut();
        steering.on_queued(&arrival, &mut rng, now);
    }

    fn arrival(&self, call: &Call, attempt: u8, waited: bool, now: Millis) -> Arrival {
        Arrival {
            service: call.service.clone(),
            class: call.class,
            deadline: call.time_left(now),
            attempt,
            waited,
            grant: match call.hop.as_ref().map(|hop| &hop.reason) {
                Some(HopReason::Grant(token)) => Some(token.clone()),
                _ => None,
            },
        }
    }

    fn decide(self: &Rc<Self>, call: &Call, attempt: u8, waited: bool) -> Decision {
        let now = self.cx.clock.now();
        let arrival = self.arrival(call, attempt, waited, now);
        let mut rng = self.cx.rng.borrow_mut();
        let verdict = self.cx.steering.borrow_mut().admit(&arrival, &mut rng, now);
        let guard = |ticket| AdmissionGuard {
            gateway: Rc::clone(self),
            ticket,
            service: call.service.clone(),
            admitted: now,
            end: Cell::new(RequestOutcome::Cancelled),
        };
        match verdict {
            Verdict::Run {
                ticket,
                place,
                upstream,
            } => {
                self.metrics.sent(&call.service, &place);
                Decision::Go(Admitted::Local {
                    admission: guard(ticket),
                    place,
                    upstream,
                })
            }
            Verdict::Relay { ticket, vm, token } => {
                self.metrics.sent(&call.service, &token.place);
                Decision::Go(Admitted::Remote {
                    admission: guard(ticket),
                    vm,
                    token,
                })
            }
            Verdict::Wait { until } => Decision::Wait(until),
            Verdict::Refuse {
                reason,
                retry_after,
            } => Decision::Refuse(refusal_of(reason, call, retry_after)),
        }
    }
}

/// Gives the answer to a request whose deadline passed before anything of it was sent.
pub(crate) fn deadline_passed() -> Refusal {
    let detail = "the deadline passed before the request was sent";
    Refusal::not_run(Reason::Deadline, detail).retry_after(DEADLINE_RETRY_AFTER)
}

fn refusal_of(reason: RefusalReason, call: &Call, retry_after: Millis) -> Refusal {
    let service = &call.service;
    let (reason, detail) = match reason {
        RefusalReason::UnknownService => (Reason::NoService, format!("no service `{service}`")),
        RefusalReason::Deadline => (
            Reason::Deadline,
            format!("the time left is too short for {service}"),
        ),
        RefusalReason::AccountShare => (
            Reason::OverShare,
            format!("{} has used its share", call.settings().account),
        ),
        RefusalReason::Cap | RefusalReason::Grant => {
            (Reason::NoRoom, format!("no room for {service} now"))
        }
        RefusalReason::Busy => (
            Reason::NoRoom,
            format!("every backend server of {service} is busy"),
        ),
        RefusalReason::NoUpstream => (
            Reason::NoUpstream,
            format!("no backend server of {service} takes new work"),
        ),
        RefusalReason::RetryBudget => (
            Reason::NoRoom,
            format!("the retry budget of {service} is used up"),
        ),
    };
    Refusal::not_run(reason, detail).retry_after(retry_after)
}
