//! Running a request: attempts, and retries where they are allowed.

use std::rc::Rc;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;

use crate::admit::Admitted;
use crate::answer::Refusal;
use crate::call::Call;
use crate::gateway::{Exchange, Gateway, InFlightGuard};

/// An attempt that gave no answer.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    /// What the caller gets where there is no further attempt. Its outcome says whether the
    /// request may have run.
    pub(crate) refusal: Refusal,
    /// The upstream that is better left alone at the next attempt.
    pub(crate) avoid: Option<UpstreamName>,
    /// Whether an open connection may be the cause, so that the next attempt opens a new one.
    pub(crate) stale_connection: bool,
    /// Whether another attempt can help at all.
    pub(crate) retryable: bool,
}

/// What the attempts of one request have in common.
#[derive(Debug)]
pub(crate) struct Attempts {
    /// Attempts made here before the present one.
    pub(crate) made: u8,
    /// The upstreams that failed.
    pub(crate) avoid: Vec<UpstreamName>,
    /// Whether to open a new connection.
    pub(crate) new_connection: bool,
}

impl Attempts {
    /// Makes the state before the first attempt.
    pub(crate) fn new() -> Self {
        Self {
            made: 0,
            avoid: Vec::new(),
            new_connection: false,
        }
    }
}

impl Gateway {
    /// Sends a request until it is answered, or until it must not or need not be sent again.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that did not run or may have run.
    pub(crate) async fn run(
        self: &Rc<Self>,
        call: &Call,
        mut exchange: Exchange,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        let mut attempts = Attempts::new();
        let mut flight = Some(flight);
        let mut last: Option<Refusal> = None;
        loop {
            let admitted = match self.admit(call, attempts.made).await {
                Ok(admitted) => admitted,
                // What became of the attempt before tells more than why there is no further one.
                Err(refusal) => return Err(last.unwrap_or(refusal)),
            };
            let sent = match admitted {
                Admitted::Local {
                    admission,
                    place,
                    upstream,
                } => {
                    let chosen = (place, upstream);
                    self.send_local(
                        call,
                        &mut exchange,
                        &attempts,
                        admission,
                        chosen,
                        &mut flight,
                    )
                    .await
                }
                Admitted::Remote {
                    admission,
                    vm,
                    token,
                } => {
                    self.forward_under_grant(
                        call,
                        &mut exchange,
                        &attempts,
                        admission,
                        vm,
                        token,
                        &mut flight,
                    )
                    .await
                }
            };
            let failure = match sent {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts.made += 1;
            if !self.may_retry(call, &exchange, &attempts, &failure) {
                return Err(prefer_unknown(last, failure.refusal));
            }
            self.metrics.retry(&call.service);
            attempts.avoid.extend(failure.avoid);
            attempts.new_connection = failure.stale_connection;
            last = Some(prefer_unknown(last, failure.refusal));
        }
    }

    /// Says whether a request may be sent again. The budget for retries is the admission's.
    fn may_retry(
        &self,
        call: &Call,
        exchange: &Exchange,
        attempts: &Attempts,
        failure: &AttemptFailure,
    ) -> bool {
        let did_not_run = failure.refusal.outcome == Outcome::NotRun;
        let is_safe_to_repeat = did_not_run || !call.at_most_once;
        let has_time = self.cx.clock.now() < call.deadline;
        failure.retryable
            && is_safe_to_repeat
            && has_time
            && exchange.payload.is_available()
            && attempts.made < self.cx.settings.max_attempts
            && !exchange.cancelled.is_fired()
    }
}

/// Gives the answer that stands after several attempts: one of them may have run the request,
/// whatever became of the others.
fn prefer_unknown(last: Option<Refusal>, refusal: Refusal) -> Refusal {
    match last {
        Some(last) if last.outcome == Outcome::Unknown => last,
        _ => refusal,
    }
}
