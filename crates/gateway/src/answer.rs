//! The answers that the gateway gives by itself: "not run" and "outcome unknown".

use heatherknot_http::{Body, Response};
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, StatusCode};

/// The response header that names the [`Reason`].
pub const REASON_HEADER: HeaderName = HeaderName::from_static("heatherknot-reason");

/// Why the gateway answered by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// A header of the request is missing or wrong.
    BadRequest,
    /// The settings in force know no such service.
    NoService,
    /// The body is longer than the service allows.
    BodyTooLarge,
    /// The body did not arrive whole.
    BodyBroken,
    /// The client account has used its share.
    OverShare,
    /// The place or a cap above it has no room.
    NoRoom,
    /// The queue of the service is full.
    QueueFull,
    /// The deadline can't be met, or passed before anything was sent.
    Deadline,
    /// No backend server of the service takes new work here.
    NoUpstream,
    /// No settings are in force yet.
    NoSettings,
    /// The backend server refused the request before it ran it.
    RefusedByBackend,
    /// No connection to the backend server could be made.
    ConnectFailed,
    /// The store that records idempotency keys can't be reached.
    ClaimFailed,
    /// Too many requests that run at most once are remembered.
    MemoryFull,
    /// Another daemon refused or could not be reached.
    PeerFailed,
    /// The ticket is forged, altered or for another service.
    BadTicket,
    /// The ticket has ended; whether it was used is no longer known.
    TicketExpired,
    /// The daemon that may have run the request is gone.
    OwnerGone,
    /// The request ran before; its answer is no longer held.
    AnswerNotKept,
    /// The request with this key still runs.
    StillRunning,
    /// The connection to the backend server broke after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    Timeout,
}

impl Reason {
    /// Gives the value of the [`REASON_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad-request",
            Reason::NoService => "no-service",
            Reason::BodyTooLarge => "body-too-large",
            Reason::BodyBroken => "body-broken",
            Reason::OverShare => "over-share",
            Reason::NoRoom => "no-room",
            Reason::QueueFull => "queue-full",
            Reason::Deadline => "deadline",
            Reason::NoUpstream => "no-upstream",
            Reason::NoSettings => "no-settings",
            Reason::RefusedByBackend => "refused-by-backend",
            Reason::ConnectFailed => "connect-failed",
            Reason::ClaimFailed => "claim-failed",
            Reason::MemoryFull => "memory-full",
            Reason::PeerFailed => "peer-failed",
            Reason::BadTicket => "bad-ticket",
            Reason::TicketExpired => "ticket-expired",
            Reason::OwnerGone => "owner-gone",
            Reason::AnswerNotKept => "answer-not-kept",
            Reason::StillRunning => "still-running",
            Reason::ConnectionLost => "connection-lost",
            Reason::Timeout => "timeout",
        }
    }

    fn not_run_status(self) -> StatusCode {
        match self {
            Reason::BadRequest | Reason::BadTicket | Reason::BodyBroken => StatusCode::BAD_REQUEST,
            Reason::NoService => StatusCode::NOT_FOUND,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::OverShare => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn unknown_status(self) -> StatusCode {
        match self {
            Reason::Timeout | Reason::StillRunning => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A final answer of the gateway itself: the request did not run, or may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What became of the request; never [`Outcome::Answered`].
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to come back, where coming back can help.
    pub retry_after: Option<Millis>,
    /// What was found, for a person to read.
    pub detail: String,
}

impl Refusal {
    /// Makes the answer to a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Makes the answer to a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Says when to come back.
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Gives the status.
    pub fn status(&self) -> StatusCode {
        match self.outcome {
            Outcome::NotRun => self.reason.not_run_status(),
            Outcome::Unknown | Outcome::Answered => self.reason.unknown_status(),
        }
    }

    /// Makes the response.
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(self.status(), Body::full(self.detail.clone()));
        let headers = &mut response.headers;
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        headers.insert(
            REASON_HEADER,
            HeaderValue::from_static(self.reason.as_str()),
        );
        if let Some(span) = self.retry_after {
            let seconds = span.0.div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
