//! Request bodies. Small ones are buffered so that the request can be retried.

use bytes::Bytes;
use heatherknot_http::{Body, BodyError};

use crate::answer::{Reason, Refusal};

/// A request's body.
#[derive(Debug)]
pub(crate) enum Payload {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is read from the caller while it is sent; `None` once taken.
    Streamed(Option<Body>),
}

impl Payload {
    /// Checks the body's length against `max` bytes, and buffers the body if it has at most
    /// `buffer_limit` bytes.
    ///
    /// A small body is received completely before any part of the request is sent. If the caller
    /// disconnects halfway, the request has not run.
    ///
    /// # Errors
    ///
    /// Returns the response to a request whose body is too large or incomplete.
    pub(crate) async fn prepare(&mut self, max: u64, buffer_limit: u64) -> Result<(), Refusal> {
        let Payload::Streamed(body) = self else {
            return Ok(());
        };
        let Some(mut stream) = body.take() else {
            return Ok(());
        };
        let len = stream.known_len();
        if len.is_some_and(|len| len > max) {
            return Err(body_too_large(max));
        }
        if len.is_some_and(|len| len <= buffer_limit) {
            let bytes = stream
                .collect(buffer_limit as usize)
                .await
                .map_err(body_broken)?;
            *self = Payload::Buffered(bytes);
            return Ok(());
        }
        stream.limit(max);
        *body = Some(stream);
        Ok(())
    }

    /// Returns the body for one attempt, or `None` if a streamed body was already taken.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Payload::Buffered(bytes) => Some(Body::full(bytes.clone())),
            Payload::Streamed(body) => body.take(),
        }
    }

    /// Returns whether the body is available for a further attempt.
    pub(crate) fn is_available(&self) -> bool {
        match self {
            Payload::Buffered(_) => true,
            Payload::Streamed(body) => body.is_some(),
        }
    }
}

fn body_too_large(max: u64) -> Refusal {
    let detail = format!("the body is longer than the {max} bytes that the service allows");
    Refusal::not_run(Reason::BodyTooLarge, detail)
}

fn body_broken(error: BodyError) -> Refusal {
    Refusal::not_run(Reason::BodyBroken, error.to_string())
}
