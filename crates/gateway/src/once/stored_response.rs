//! Buffering of responses that are stored for repeats of the request.

use bytes::{Bytes, BytesMut};
use heatherknot_http::{Body, BodyError, Response};
use std::rc::Rc;

use super::records::{Completion, StoredResponse};

impl StoredResponse {
    /// Returns the response to a repeat.
    pub fn to_response(&self) -> Response {
        Response {
            status: self.status,
            headers: self.headers.clone(),
            body: Body::full(self.body.clone()),
        }
    }
}

/// Buffers a response of at most `max` bytes to store it. A longer response is not stored, and
/// its buffered part is put back in front of the rest.
///
/// # Errors
///
/// Returns an error if the response ended prematurely while it was buffered.
pub(super) async fn buffer_response(
    response: Response,
    max: usize,
) -> Result<(Response, Completion), BodyError> {
    let Response {
        status,
        headers,
        mut body,
    } = response;
    let len = body.known_len();
    let mut start = BytesMut::new();
    while start.len() <= max && len.is_none_or(|len| len <= max as u64) {
        match body.next_chunk().await.transpose()? {
            Some(chunk) => start.extend_from_slice(&chunk),
            None => {
                let stored = Rc::new(StoredResponse {
                    status,
                    headers,
                    body: start.freeze(),
                });
                return Ok((stored.to_response(), Completion::Answered(stored)));
            }
        }
    }
    let body = match start.is_empty() {
        true => body,
        false => prepend(start.freeze(), body),
    };
    let response = Response {
        status,
        headers,
        body,
    };
    Ok((response, Completion::NotKept))
}

/// Returns a body that consists of `start` followed by `rest`.
fn prepend(start: Bytes, mut rest: Body) -> Body {
    let len = rest.known_len().map(|len| len + start.len() as u64);
    let (mut tx, body) = Body::channel_with_len(len);
    monoio::spawn(async move {
        if tx.send(start).await.is_err() {
            return;
        }
        while let Some(chunk) = rest.next_chunk().await {
            match chunk {
                Ok(chunk) => {
                    if tx.send(chunk).await.is_err() {
                        return;
                    }
                }
                Err(error) => return tx.fail(error),
            }
        }
        tx.finish();
    });
    body
}
