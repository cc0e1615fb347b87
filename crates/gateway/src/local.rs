//! One attempt to send a request to a backend server of this failure domain.

use std::pin::pin;
use std::rc::Rc;

use futures_util::future::select_ok;
use heatherknot_http::{
    Pool, PoolConfig, RequestHead, Response, SendError, SendOptions, SendProgress,
    strip_system_headers,
};
use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_types::outcome::{DEADLINE_HEADER, OUTCOME_HEADER};
use heatherknot_types::plan::UpstreamPlan;
use heatherknot_types::prelude::*;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::admit::{AdmissionGuard, deadline_passed};
use crate::answer::{Reason, Refusal};
use crate::call::{ATTEMPT_HEADER, Call};
use crate::deliver::RequestResources;
use crate::gateway::{Exchange, Gateway, InFlightGuard, UpstreamPool};
use crate::leaving::LeavingSource;
use crate::run::{AttemptFailure, Attempts};
use crate::slots::{AcquireError, Slot, SlotRequest, UpstreamKey};

/// Interval between acquisitions while the homes of the slots are not ready.
const HOME_RETRY_INTERVAL: Millis = Millis(20);
/// How long to retry while the homes of the slots are not ready.
const HOME_RETRY_LIMIT: Millis = Millis(1_000);
/// How long an upstream counts as leaving after its home reported so, without asking again.
const HOME_LEAVING_TTL: Millis = Millis(1_000);
/// Retry interval for a caller whose backend server failed or takes no new work.
const RETRY_AFTER_FAILURE: Millis = Millis(1_000);

impl Gateway {
    /// Sends a request to a backend server in the place `chosen.0`, preferably to `chosen.1`.
    pub(crate) async fn send_local(
        self: &Rc<Self>,
        call: &Call,
        exchange: &mut Exchange,
        attempts: &Attempts,
        admission: AdmissionGuard,
        chosen: (PlaceName, UpstreamName),
        flight: &mut Option<InFlightGuard>,
    ) -> Result<Response, AttemptFailure> {
        let candidates = self.candidates(call, attempts, &chosen);
        let (upstream, slot) = self
            .acquire_slot(call, exchange.started, &candidates)
            .await
            .map_err(not_attempted)?;
        if upstream.name != chosen.1 {
            let mut steering = self.cx.steering.borrow_mut();
            steering.reassign(admission.ticket(), &upstream.name);
        }
        let now = self.cx.clock.now();
        // The wait for the slot may have used up the time.
        if now >= call.deadline {
            return Err(not_attempted(deadline_passed()));
        }
        let left = call.time_left(now);
        let ticket = admission.ticket();
        let has_time = self.cx.steering.borrow_mut().begin_send(ticket, left, now);
        if !has_time {
            return Err(not_attempted(deadline_passed()));
        }
        let Some(body) = exchange.payload.take() else {
            return Err(not_attempted(body_consumed()));
        };
        let options = SendOptions {
            deadline: Some(call.deadline),
            idempotent: !call.at_most_once,
            new_connection: attempts.new_connection,
        };
        let head = self.forwarded_head(call, &exchange.head, attempts, now);
        let pool = self.pool_of(slot.key(), &upstream);
        let sent = pool.send(head, body, options).await;
        let in_use = RequestResources {
            slot: Some(slot),
            admission,
            flight: None,
        };
        let response = match sent {
            Ok(response) => self.check_response(response, &in_use, &upstream)?,
            Err(error) => return Err(send_failure(error, &in_use, upstream.name)),
        };
        self.deliver(response, &call.service, in_use, flight, &exchange.cancelled)
            .await
            .map_err(|refusal| AttemptFailure {
                refusal,
                avoid: Some(upstream.name),
                stale_connection: false,
                retryable: true,
            })
    }

    /// Returns the upstreams of the place, the chosen one first and those that failed last.
    fn candidates(
        &self,
        call: &Call,
        attempts: &Attempts,
        chosen: &(PlaceName, UpstreamName),
    ) -> Vec<UpstreamPlan> {
        let (place, first) = chosen;
        let all = call.settings().upstreams.iter();
        let mut candidates: Vec<UpstreamPlan> =
            all.filter(|u| u.place == *place).cloned().collect();
        candidates.sort_by_key(|u| (attempts.avoid.contains(&u.name), u.name != *first));
        candidates
    }

    /// Acquires a slot of one of the candidates: a free one in their order, or else the first
    /// that becomes free.
    async fn acquire_slot(
        &self,
        call: &Call,
        started: Millis,
        candidates: &[UpstreamPlan],
    ) -> Result<(UpstreamPlan, Slot), Refusal> {
        let started_at = self.cx.clock.now();
        let mut wait = Millis::default();
        loop {
            let now = self.cx.clock.now();
            if now >= call.deadline {
                return Err(deadline_passed());
            }
            let slot_req = SlotRequest {
                class: call.class,
                waited: now.since(started),
                wait,
                term: call.time_left(now),
            };
            let error = match wait {
                Millis(0) => self.acquire_in_order(call, candidates, slot_req).await,
                _ => self.acquire_any(call, candidates, slot_req).await,
            };
            let error = match error {
                Ok(acquired) => return Ok(acquired),
                Err(error) => error,
            };
            let now = self.cx.clock.now();
            match error {
                Some(AcquireError::Busy { .. }) => {}
                Some(AcquireError::NoHome { .. } | AcquireError::Unreachable { .. })
                    if now.since(started_at) < HOME_RETRY_LIMIT =>
                {
                    self.cx.timer.wait(HOME_RETRY_INTERVAL).await;
                }
                Some(error) => return Err(no_upstream(&error.to_string())),
                None => return Err(no_upstream("no backend server takes new work")),
            }
            wait = self.cx.settings.max_slot_wait.min(call.time_left(now));
        }
    }

    async fn acquire_in_order(
        &self,
        call: &Call,
        candidates: &[UpstreamPlan],
        slot_req: SlotRequest,
    ) -> Result<(UpstreamPlan, Slot), Option<AcquireError>> {
        let mut error = None;
        for upstream in candidates {
            match self.acquire_one(call, upstream, slot_req).await {
                Ok(acquired) => return Ok(acquired),
                Err(e) => error = Some(most_retryable(error, e)),
            }
        }
        Err(error)
    }

    async fn acquire_any(
        &self,
        call: &Call,
        candidates: &[UpstreamPlan],
        slot_req: SlotRequest,
    ) -> Result<(UpstreamPlan, Slot), Option<AcquireError>> {
        if candidates.is_empty() {
            return Err(None);
        }
        let requests = candidates
            .iter()
            .map(|upstream| Box::pin(self.acquire_one(call, upstream, slot_req)));
        match pin!(select_ok(requests)).await {
            Ok((acquired, _others)) => Ok(acquired),
            Err(error) => Err(Some(error)),
        }
    }

    async fn acquire_one(
        &self,
        call: &Call,
        upstream: &UpstreamPlan,
        slot_req: SlotRequest,
    ) -> Result<(UpstreamPlan, Slot), AcquireError> {
        let key = UpstreamKey::new(call.service.clone(), upstream.name.clone());
        if self.slot_limit(&key) == 0 {
            return Err(AcquireError::Leaving { key });
        }
        let slot = match self.slots.acquire(&key, slot_req).await {
            Ok(slot) => slot,
            Err(error) => {
                if matches!(error, AcquireError::Leaving { .. }) {
                    // Spares the next requests a futile call to the home.
                    let until = self.cx.clock.now() + HOME_LEAVING_TTL;
                    self.mark_leaving(&key, LeavingSource::Home, Some(until));
                }
                return Err(error);
            }
        };
        if self.slot_limit(&key) == 0 {
            // The upstream began to leave while the request waited.
            return Err(AcquireError::Leaving { key });
        }
        Ok((upstream.clone(), slot))
    }

    /// Returns the head for the next server, with the time left and the attempt number.
    pub(crate) fn forwarded_head(
        &self,
        call: &Call,
        head: &RequestHead,
        attempts: &Attempts,
        now: Millis,
    ) -> RequestHead {
        let mut head = head.clone();
        let left = HeaderValue::from(call.time_left(now).0);
        head.headers.insert(DEADLINE_HEADER, left);
        let attempt = u64::from(call.attempt) + u64::from(attempts.made);
        head.headers
            .insert(ATTEMPT_HEADER, HeaderValue::from(attempt));
        head
    }

    /// Returns the connection pool of an upstream. Each VM of the failure domain opens an equal
    /// part of the connections that the upstream accepts.
    pub(crate) fn pool_of(&self, key: &UpstreamKey, upstream: &UpstreamPlan) -> Pool {
        let vms = self.slots.member_count().max(1);
        let max = (usize::from(upstream.connections) / vms).max(1);
        let mut pools = self.pools.borrow_mut();
        if let Some(known) = pools.get(key)
            && known.max == max
            && known.address == upstream.address
        {
            return known.pool.clone();
        }
        let config = PoolConfig {
            max_connections: max,
            ..self.cx.settings.pool.clone()
        };
        let pool = Pool::new(upstream.address, config, self.cx.clock.clone());
        let created = UpstreamPool {
            address: upstream.address,
            max,
            pool: pool.clone(),
        };
        if let Some(old) = pools.insert(key.clone(), created) {
            old.pool.close_idle();
        }
        pool
    }

    /// Checks whether a response states that its backend server is leaving or did not run the
    /// request.
    fn check_response(
        &self,
        mut response: Response,
        in_use: &RequestResources,
        upstream: &UpstreamPlan,
    ) -> Result<Response, AttemptFailure> {
        let settings = &self.cx.settings;
        let leaving = is_set(&response.headers, &settings.draining_header);
        if leaving && let Some(slot) = &in_use.slot {
            let until = self.cx.clock.now() + settings.leaving_ttl;
            self.mark_leaving(slot.key(), LeavingSource::Answer, Some(until));
            slot.mark_leaving();
        }
        let refused = response.status == StatusCode::SERVICE_UNAVAILABLE
            && is_set(&response.headers, &settings.not_run_header);
        if !refused {
            strip_system_headers(&mut response.headers, &[]);
            let answered = HeaderValue::from_static(Outcome::Answered.as_str());
            response.headers.insert(OUTCOME_HEADER, answered);
            return Ok(response);
        }
        // The refusal of a server that is leaving is no sign of overload in its place.
        in_use.admission.set_outcome(match leaving {
            true => RequestOutcome::Cancelled,
            false => RequestOutcome::Shed,
        });
        let detail = format!("{} refused the request before it ran it", upstream.name);
        let after = retry_after_of(&response.headers).unwrap_or(RETRY_AFTER_FAILURE);
        Err(AttemptFailure {
            refusal: Refusal::not_run(Reason::RefusedByBackend, detail).retry_after(after),
            avoid: Some(upstream.name.clone()),
            stale_connection: false,
            retryable: true,
        })
    }
}

fn is_set(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "1")
}

fn retry_after_of(headers: &HeaderMap) -> Option<Millis> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: u64 = seconds.parse().ok()?;
    Some(Millis(seconds.saturating_mul(1_000)))
}

/// Returns the error that is more likely to be resolved by a retry: if one upstream is merely
/// busy, waiting for it helps.
fn most_retryable(error: Option<AcquireError>, other: AcquireError) -> AcquireError {
    let rank = |error: &AcquireError| match error {
        AcquireError::Busy { .. } => 0,
        AcquireError::NoHome { .. } | AcquireError::Unreachable { .. } => 1,
        AcquireError::Leaving { .. } => 2,
    };
    match error {
        Some(error) if rank(&error) <= rank(&other) => error,
        _ => other,
    }
}

fn send_failure(
    error: SendError,
    in_use: &RequestResources,
    upstream: UpstreamName,
) -> AttemptFailure {
    let expired = matches!(error, SendError::Expired { .. });
    let is_request_body_error = matches!(error, SendError::RequestBody { .. });
    // A full pool is no sign of a failure of the upstream.
    let full = matches!(error, SendError::PoolFull { .. });
    in_use
        .admission
        .set_outcome(match is_request_body_error || full {
            true => RequestOutcome::Cancelled,
            false => RequestOutcome::Failed,
        });
    let detail = error.to_string();
    let refusal = match (error.send_progress(), expired, is_request_body_error) {
        (SendProgress::NotSent, true, _) => deadline_passed(),
        (SendProgress::NotSent, _, true) => Refusal::not_run(Reason::BodyBroken, detail),
        (SendProgress::NotSent, _, _) if full => Refusal::not_run(Reason::NoRoom, detail),
        (SendProgress::NotSent, _, _) => Refusal::not_run(Reason::ConnectFailed, detail),
        (SendProgress::MaybeSent, true, _) => Refusal::unknown(Reason::Timeout, detail),
        (SendProgress::MaybeSent, _, true) => Refusal::unknown(Reason::BodyBroken, detail),
        (SendProgress::MaybeSent, _, _) => Refusal::unknown(Reason::ConnectionLost, detail),
    };
    AttemptFailure {
        refusal: refusal.retry_after(RETRY_AFTER_FAILURE),
        avoid: (!error.is_stale_connection()).then_some(upstream),
        stale_connection: error.is_stale_connection(),
        retryable: !expired && !is_request_body_error,
    }
}

/// Returns the failure of an attempt that sent nothing and for which a retry can't help.
pub(crate) fn not_attempted(refusal: Refusal) -> AttemptFailure {
    AttemptFailure {
        refusal,
        avoid: None,
        stale_connection: false,
        retryable: false,
    }
}

pub(crate) fn body_consumed() -> Refusal {
    let detail = "the body was sent once and is too large to be held for a further attempt";
    Refusal::not_run(Reason::ConnectFailed, detail).retry_after(RETRY_AFTER_FAILURE)
}

fn no_upstream(detail: &str) -> Refusal {
    Refusal::not_run(Reason::NoUpstream, detail).retry_after(RETRY_AFTER_FAILURE)
}
