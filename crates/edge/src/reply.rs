//! Responses that the daemon itself gives to callers, each stating the request's outcome.

use heatherknot_http::Response;
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, StatusCode};

/// Shortest `retry-after` of a refused request. A caller that retries earlier would return before
/// anything has changed.
pub(crate) const MIN_RETRY_AFTER: Millis = Millis(100);

/// Refuses a request that no backend server has run or will run.
pub fn not_run(cause: &'static str, retry_after: Millis) -> Response {
    refusal(StatusCode::SERVICE_UNAVAILABLE, cause, retry_after)
}

/// Refuses a request that exceeds the limit of its client account.
pub fn over_limit(cause: &'static str, retry_after: Millis) -> Response {
    refusal(StatusCode::TOO_MANY_REQUESTS, cause, retry_after)
}

/// Returns whether a response is a daemon's statement that the request did not run.
pub fn is_not_run(response: &Response) -> bool {
    let outcome = response.headers.get(OUTCOME_HEADER);
    outcome.is_some_and(|outcome| outcome == Outcome::NotRun.as_str())
}

fn refusal(status: StatusCode, cause: &'static str, retry_after: Millis) -> Response {
    let secs = retry_after.max(MIN_RETRY_AFTER).as_secs_f64();
    let response = daemon_response(status, Outcome::NotRun, cause);
    match HeaderValue::try_from(format!("{secs:.2}")) {
        Ok(value) => response.with_header(RETRY_AFTER, value),
        Err(_) => response,
    }
}

/// Responds that a backend server may have run the request but gave no usable response.
pub fn outcome_unknown(cause: &'static str) -> Response {
    daemon_response(StatusCode::BAD_GATEWAY, Outcome::Unknown, cause)
}

/// Responds that the deadline passed while a backend server may have been running the request.
pub fn timed_out() -> Response {
    let cause = "no answer came in time";
    daemon_response(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, cause)
}

/// Responds that no route matches the request.
pub fn no_route(cause: &'static str) -> Response {
    daemon_response(StatusCode::NOT_FOUND, Outcome::NotRun, cause)
}

/// Responds that the request has no valid key of a client account.
pub fn unauthenticated(cause: &'static str) -> Response {
    daemon_response(StatusCode::UNAUTHORIZED, Outcome::NotRun, cause)
}

/// Refuses a request whose body could not be read.
pub fn bad_body(status: StatusCode, cause: &'static str) -> Response {
    daemon_response(status, Outcome::NotRun, cause)
}

fn daemon_response(status: StatusCode, outcome: Outcome, cause: &'static str) -> Response {
    Response::text(status, cause).with_header(
        HeaderName::from_static(OUTCOME_HEADER),
        HeaderValue::from_static(outcome.as_str()),
    )
}
