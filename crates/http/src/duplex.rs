//! A response body that is read while the body of its request is still being sent.

use bytes::Bytes;
use futures_util::future::{Either, LocalBoxFuture, select};
use std::pin::pin;

use crate::body::{Body, BodyError};
use crate::encode;
use crate::incoming::{Framing, IncomingBody};
use crate::writer::{WriteError, Writer};

/// The state of sending a request's body.
pub(crate) enum Upload {
    /// The body is still being sent.
    Running(LocalBoxFuture<'static, UploadResult>),
    /// Sending has ended: the body was sent, or the peer stopped accepting it.
    Ended(Writer),
}

/// The result of sending a request's body, with the writer.
pub(crate) struct UploadResult {
    pub(crate) writer: Writer,
    pub(crate) result: Result<(), WriteError>,
}

/// Sends the rest of a body: `first`, then the remaining chunks of `body`.
pub(crate) async fn upload(
    mut writer: Writer,
    first: Option<Bytes>,
    mut body: Body,
    framing: Framing,
) -> UploadResult {
    let result = send_rest(&mut writer, first, &mut body, framing).await;
    UploadResult { writer, result }
}

async fn send_rest(
    writer: &mut Writer,
    first: Option<Bytes>,
    body: &mut Body,
    framing: Framing,
) -> Result<(), WriteError> {
    if let Some(chunk) = first {
        writer.chunk(chunk, framing).await?;
        writer.flush().await?;
    }
    while let Some(chunk) = body.next_chunk().await {
        let chunk = chunk.map_err(WriteError::Body)?;
        writer.chunk(chunk, framing).await?;
        writer.flush().await?;
    }
    if framing == Framing::Chunked {
        writer.out.extend_from_slice(encode::LAST_CHUNK);
    }
    writer.flush().await
}

/// A response that began before its request was completely sent. Its connection is not
/// reused.
pub(crate) struct Duplex {
    pub(crate) incoming: IncomingBody,
    pub(crate) upload: Upload,
}

impl Duplex {
    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        while let Upload::Running(running) = &mut self.upload {
            let reading = pin!(self.incoming.next_chunk());
            let uploaded = match select(reading, running).await {
                Either::Left((chunk, _)) => return chunk,
                Either::Right((uploaded, _)) => uploaded,
            };
            // Keep the writer: dropping it closes the write side, which some peers treat as
            // a disconnection of the caller.
            self.upload = Upload::Ended(uploaded.writer);
            match uploaded.result {
                Ok(()) => {}
                Err(WriteError::Body(error)) => {
                    let source = Box::new(error);
                    return Some(Err(BodyError::RequestBody { source }));
                }
                // The next read reports a failure that truncates the response.
                Err(error) => {
                    log::debug!(error:? = error; "the peer stopped accepting a request's body");
                }
            }
        }
        self.incoming.next_chunk().await
    }
}
