//! Reads the messages of a watch from its streamed answer.

use std::time::Duration;

use futures_util::{StreamExt, stream};

use super::Adapter;
use super::convert::watch_from_wire;
use super::wire::{Streamed, WireWatchAnswer};
use crate::error::{Cause, Step, StoreError};
use crate::http_client::StreamingResponse;
use crate::port::{WatchMessage, WatchStream};

/// The longest single message of a watch: a handful of values of up to a megabyte each.
const MAX_WATCH_MESSAGE: usize = 16 << 20;

/// A watch whose answer is being read.
pub(super) struct Watching {
    adapter: Adapter,
    streaming: StreamingResponse,
    buf: Vec<u8>,
    ended: bool,
}

impl Watching {
    /// Waits until the service confirms a watch, and gives its messages.
    pub(super) async fn confirm(
        adapter: Adapter,
        streaming: StreamingResponse,
    ) -> Result<WatchStream, StoreError> {
        let limit = adapter.cfg.call_limit;
        let mut watching = Self {
            adapter,
            streaming,
            buf: Vec::new(),
            ended: false,
        };
        let Some(first) = watching.read_message(limit).await? else {
            let message = "the watch was closed".to_owned();
            return Err(watching.fail(Cause::Connection { message }));
        };
        let first = (!first.events.is_empty()).then_some(Ok(first));
        let rest = stream::unfold(watching, |mut watching| async move {
            let message = watching.next().await?;
            Some((message, watching))
        });
        Ok(Box::pin(stream::iter(first).chain(rest)))
    }

    async fn next(&mut self) -> Option<Result<WatchMessage, StoreError>> {
        if self.ended {
            return None;
        }
        let limit = self.adapter.cfg.watch_limit;
        let outcome = self.read_message(limit).await;
        self.ended = !matches!(outcome, Ok(Some(_)));
        outcome.transpose()
    }

    async fn read_message(&mut self, limit: Duration) -> Result<Option<WatchMessage>, StoreError> {
        loop {
            if let Some(message) = self.parse()? {
                return Ok(Some(message));
            }
            // A connection that some box between the two ends has forgotten stays open and
            // never brings anything. The limit ends it, since a live watch sends progress.
            let part = monoio::time::timeout(limit, self.streaming.next()).await;
            let Ok(part) = part else {
                let millis = limit.as_millis() as u64;
                return Err(self.fail(Cause::Timeout { millis }));
            };
            match part {
                None => return Ok(None),
                Some(Err(cause)) => return Err(self.fail(cause)),
                Some(Ok(bytes)) => self.buf.extend_from_slice(&bytes),
            }
            if self.buf.len() > MAX_WATCH_MESSAGE {
                let message = format!("a message longer than {MAX_WATCH_MESSAGE} bytes");
                return Err(self.fail(Cause::Unreadable { message }));
            }
        }
    }

    /// Takes the first whole object from the buffer.
    fn parse(&mut self) -> Result<Option<WatchMessage>, StoreError> {
        let mut objects = serde_json::Deserializer::from_slice(&self.buf)
            .into_iter::<Streamed<WireWatchAnswer>>();
        let object = match objects.next() {
            None => return Ok(None),
            Some(Err(err)) if err.is_eof() => return Ok(None),
            Some(Err(err)) => {
                let message = err.to_string();
                return Err(self.fail(Cause::Unreadable { message }));
            }
            Some(Ok(object)) => object,
        };
        let used = objects.byte_offset();
        self.buf.drain(..used);
        watch_from_wire(object)
            .map(Some)
            .map_err(|cause| self.fail(cause))
    }

    fn fail(&self, cause: Cause) -> StoreError {
        self.adapter.refused(Step::Watch, cause)
    }
}
