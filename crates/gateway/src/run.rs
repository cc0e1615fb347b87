//! Execution of a request: attempts, and retries where they are allowed.

use std::rc::Rc;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;

use crate::admit::Admitted;
use crate::answer::Refusal;
use crate::call::Call;
use crate::gateway::{Exchange, Gateway, InFlightGuard};

/// The failure of one attempt.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    /// The response to the caller if there is no further attempt. Its outcome states whether the
    /// request may have run.
    pub(crate) refusal: Refusal,
    /// The upstream that the next attempt should avoid.
    pub(crate) avoid: Option<UpstreamName>,
    /// Whether a stale connection may be the cause, so that the next attempt opens a new one.
    pub(crate) stale_connection: bool,
    /// Whether another attempt may succeed.
    pub(crate) retryable: bool,
}

/// The state that is carried across the attempts of one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    /// Number of attempts made here before the current one.
    pub(crate) made: u8,
    /// The upstreams that failed, which are tried last.
    pub(crate) avoid: Vec<UpstreamName>,
    /// Whether to open a new connection.
    pub(crate) new_connection: bool,
}

impl Attempts {
    /// Creates the state before the first attempt.
    pub(crate) fn new() -> Self {
        Self {
            made: 0,
            avoid: Vec::new(),
            new_connection: false,
        }
    }
}

impl Gateway {
    /// Sends a request until it is answered or may not be sent again.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request did not run or may have run.
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
                // The failure of the previous attempt tells the caller more than why the next
                // one is not admitted.
                Err(refusal) => return Err(last.unwrap_or(refusal)),
            };
            let sent = match admitted {
                Admitted::Local {
                    admission,
                    place,
                    upstream,
                } => {
                    let pick = (place, upstream);
                    self.send_local(call, &mut exchange, &attempts, admission, pick, &mut flight)
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

    /// Returns whether a request may be sent again. Admission enforces the retry budget.
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

/// Returns the refusal that applies after several attempts. Once one of them may have run the
/// request, the outcome stays "unknown" regardless of the others.
fn prefer_unknown(last: Option<Refusal>, refusal: Refusal) -> Refusal {
    match last {
        Some(last) if last.outcome == Outcome::Unknown => last,
        _ => refusal,
    }
}
