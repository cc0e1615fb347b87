//! Reads the messages of a watch from its streamed response.

use std::time::Duration;

use futures_util::{StreamExt, stream};

use super::HttpStore;
use super::convert::watch_from_wire;
use super::wire::{StreamObject, WireWatchResponse};
use crate::error::{Cause, Step, StoreError};
use crate::http_client::StreamingResponse;
use crate::port::{WatchMessage, WatchStream};

/// The maximum size of a watch message, in bytes: a few values of up to a megabyte each.
const MAX_WATCH_MESSAGE: usize = 16 << 20;

/// Parses the messages of a watch from its response.
pub(super) struct WatchReader {
    adapter: HttpStore,
    streaming: StreamingResponse,
    buf: Vec<u8>,
    finished: bool,
}

impl WatchReader {
    /// Waits until the service confirms the watch and returns the stream of its messages.
    pub(super) async fn open(
        adapter: HttpStore,
        streaming: StreamingResponse,
    ) -> Result<WatchStream, StoreError> {
        let timeout = adapter.cfg.call_limit;
        let mut reader = Self {
            adapter,
            streaming,
            buf: Vec::new(),
            finished: false,
        };
        let Some(first) = reader.read_message(timeout).await? else {
            let message = "the watch was closed".to_owned();
            return Err(reader.error(Cause::Connection { message }));
        };
        let first = (!first.events.is_empty()).then_some(Ok(first));
        let rest = stream::unfold(reader, |mut reader| async move {
            let message = reader.next().await?;
            Some((message, reader))
        });
        Ok(Box::pin(stream::iter(first).chain(rest)))
    }

    async fn next(&mut self) -> Option<Result<WatchMessage, StoreError>> {
        if self.finished {
            return None;
        }
        let timeout = self.adapter.cfg.watch_limit;
        let outcome = self.read_message(timeout).await;
        self.finished = !matches!(outcome, Ok(Some(_)));
        outcome.transpose()
    }

    async fn read_message(
        &mut self,
        timeout: Duration,
    ) -> Result<Option<WatchMessage>, StoreError> {
        loop {
            if let Some(message) = self.parse()? {
                return Ok(Some(message));
            }
            // A connection that a middlebox dropped silently stays open but never receives data.
            // The timeout detects this, since a live watch sends progress messages.
            let chunk = monoio::time::timeout(timeout, self.streaming.next_chunk()).await;
            let Ok(chunk) = chunk else {
                let millis = timeout.as_millis() as u64;
                return Err(self.error(Cause::Timeout { millis }));
            };
            match chunk {
                None => return Ok(None),
                Some(Err(cause)) => return Err(self.error(cause)),
                Some(Ok(bytes)) => self.buf.extend_from_slice(&bytes),
            }
            if self.buf.len() > MAX_WATCH_MESSAGE {
                let message = format!("a message longer than {MAX_WATCH_MESSAGE} bytes");
                return Err(self.error(Cause::Unreadable { message }));
            }
        }
    }

    /// Removes the first complete JSON object from the buffer. Returns `None` if there is none.
    fn parse(&mut self) -> Result<Option<WatchMessage>, StoreError> {
        let mut objects = serde_json::Deserializer::from_slice(&self.buf)
            .into_iter::<StreamObject<WireWatchResponse>>();
        let object = match objects.next() {
            None => return Ok(None),
            Some(Err(err)) if err.is_eof() => return Ok(None),
            Some(Err(err)) => {
                let message = err.to_string();
                return Err(self.error(Cause::Unreadable { message }));
            }
            Some(Ok(object)) => object,
        };
        let consumed = objects.byte_offset();
        self.buf.drain(..consumed);
        watch_from_wire(object)
            .map(Some)
            .map_err(|cause| self.error(cause))
    }

    fn error(&self, cause: Cause) -> StoreError {
        self.adapter.not_applied(Step::Watch, cause)
    }
}
