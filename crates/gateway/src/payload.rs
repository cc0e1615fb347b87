//! A request's body, held where it is small so that the request can be sent again.

use bytes::Bytes;
use heatherknot_http::{Body, BodyError};

use crate::answer::{Reason, Refusal};

/// A request's body.
#[derive(Debug)]
pub(crate) enum Payload {
    /// All of it is here.
    Held(Bytes),
    /// It comes from the caller; gone once it was taken.
    Streamed(Option<Body>),
}

impl Payload {
    /// Checks the length against `max`, and reads the body where it is at most `hold` bytes.
    ///
    /// Nothing is sent before a small body is here whole: a caller that breaks off halfway
    /// leaves a request that did not run.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request whose body is too large or broken.
    pub(crate) async fn prepare(&mut self, max: u64, hold: u64) -> Result<(), Refusal> {
        let Payload::Streamed(body) = self else {
            return Ok(());
        };
        let Some(mut whole) = body.take() else {
            return Ok(());
        };
        let len = whole.known_len();
        if len.is_some_and(|len| len > max) {
            return Err(too_large(max));
        }
        if len.is_some_and(|len| len <= hold) {
            let bytes = whole.collect(hold as usize).await.map_err(broken)?;
            *self = Payload::Held(bytes);
            return Ok(());
        }
        whole.limit(max);
        *body = Some(whole);
        Ok(())
    }

    /// Gives the body for one attempt, and nothing where it was given away before.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Payload::Held(bytes) => Some(Body::full(bytes.clone())),
            Payload::Streamed(body) => body.take(),
        }
    }

    /// Says whether the request can be sent again.
    pub(crate) fn is_available(&self) -> bool {
        match self {
            Payload::Held(_) => true,
            Payload::Streamed(body) => body.is_some(),
        }
    }
}

fn too_large(max: u64) -> Refusal {
    let detail = format!("the body is longer than the {max} bytes that the service allows");
    Refusal::not_run(Reason::BodyTooLarge, detail)
}

fn broken(error: BodyError) -> Refusal {
    Refusal::not_run(Reason::BodyBroken, error.to_string())
}
