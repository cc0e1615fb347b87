//! Admission of a request: immediately, after a wait in the queue of its class, or not at all.

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

/// `Retry-After` of a request that found its queue full.
const QUEUE_FULL_RETRY_AFTER: Millis = Millis(1_000);
/// `Retry-After` of a request whose deadline was too short.
const DEADLINE_RETRY_AFTER: Millis = Millis(1_000);

/// The destination of an admitted request.
pub(crate) enum Admitted {
    /// A backend server of this failure domain.
    Local {
        admission: AdmissionGuard,
        place: PlaceName,
        upstream: UpstreamName,
    },
    /// Another VM, which has issued a grant for the request.
    Remote {
        admission: AdmissionGuard,
        vm: VmName,
        token: GrantToken,
    },
}

/// Counts a request as in progress. Dropping it releases the request's share of the caps and
/// wakes queued requests.
pub(crate) struct AdmissionGuard {
    gateway: Rc<Gateway>,
    ticket: Ticket,
    service: ServiceName,
    admitted_at: Millis,
    outcome: Cell<RequestOutcome>,
}

impl AdmissionGuard {
    /// Sets the outcome that is reported on drop. Until it is set, the outcome is
    /// [`RequestOutcome::Cancelled`].
    pub(crate) fn set_outcome(&self, outcome: RequestOutcome) {
        self.outcome.set(outcome);
    }

    /// Returns the ticket under which the steering tracks the request.
    pub(crate) fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.gateway.cx.clock.now();
        let mut steering = self.gateway.cx.steering.borrow_mut();
        steering.finish(self.ticket, self.outcome.get(), now);
        drop(steering);
        if self.outcome.get() == RequestOutcome::Good {
            let elapsed = now.since(self.admitted_at);
            self.gateway.wait_estimator.record(&self.service, elapsed);
        }
        self.gateway.queues.wake_all();
    }
}

enum Decision {
    Admit(Admitted),
    Wait(Millis),
    Refuse(Refusal),
}

impl Gateway {
    /// Admits a request, queueing it if there is no room now.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that is not admitted. No part of it has been sent.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        call: &Call,
        attempt: u8,
    ) -> Result<Admitted, Refusal> {
        if !self.queues.has_waiting_ahead(&call.service, call.class) {
            match self.decide(call, attempt, false) {
                Decision::Admit(admitted) => return Ok(admitted),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(_) => {}
            }
        } else {
            self.report_queued(call, attempt);
        }
        self.check_expected_wait(call)?;
        let max = call.settings().queue_len as usize;
        let Some(mut position) = self.queues.enqueue(&call.service, call.class, max) else {
            let detail = format!("{max} requests wait for {} already", call.service);
            let refusal = Refusal::not_run(Reason::QueueFull, detail);
            return Err(refusal.retry_after(QUEUE_FULL_RETRY_AFTER));
        };
        loop {
            let wakeup = position.next_wakeup();
            let mut until = call.deadline;
            if position.is_next() {
                match self.decide(call, attempt, true) {
                    Decision::Admit(admitted) => {
                        position.dequeue();
                        return Ok(admitted);
                    }
                    Decision::Refuse(refusal) => return Err(refusal),
                    Decision::Wait(retry_at) => until = until.min(retry_at),
                }
                position.yield_turn();
            }
            let now = self.cx.clock.now();
            if now >= call.deadline {
                return Err(deadline_passed());
            }
            let timeout = until.since(now).max(Millis(1));
            self.cx.timer.limit(timeout, wakeup.wait()).await;
        }
    }

    /// Rejects a request whose estimated queueing time exceeds its deadline. In the queue it
    /// would delay other requests and still end unanswered.
    fn check_expected_wait(&self, call: &Call) -> Result<(), Refusal> {
        let classes_ahead = Class::ALL.into_iter().filter(|other| *other <= call.class);
        let ahead = classes_ahead
            .map(|class| self.queues.len(&call.service, class))
            .sum();
        let upstreams = call.settings().upstreams.iter();
        let local = upstreams.filter(|u| self.is_local(&call.plan, u));
        let keys = local.map(|u| UpstreamKey::new(call.service.clone(), u.name.clone()));
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

    /// Reports a request that queues behind others, or finds the queue full, to the steering as
    /// demand.
    fn report_queued(&self, call: &Call, attempt: u8) {
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
            admitted_at: now,
            outcome: Cell::new(RequestOutcome::Cancelled),
        };
        match verdict {
            Verdict::Run {
                ticket,
                place,
                upstream,
            } => {
                self.metrics.sent(&call.service, &place);
                Decision::Admit(Admitted::Local {
                    admission: guard(ticket),
                    place,
                    upstream,
                })
            }
            Verdict::Relay { ticket, vm, token } => {
                self.metrics.sent(&call.service, &token.place);
                Decision::Admit(Admitted::Remote {
                    admission: guard(ticket),
                    vm,
                    token,
                })
            }
            Verdict::Wait { until } => Decision::Wait(until),
            Verdict::Refuse {
                reason,
                retry_after,
            } => Decision::Refuse(refusal_for(reason, call, retry_after)),
        }
    }
}

/// Returns the response to a request whose deadline passed before any part of it was sent.
pub(crate) fn deadline_passed() -> Refusal {
    let detail = "the deadline passed before the request was sent";
    Refusal::not_run(Reason::Deadline, detail).retry_after(DEADLINE_RETRY_AFTER)
}

fn refusal_for(reason: RefusalReason, call: &Call, retry_after: Millis) -> Refusal {
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
