//! Passing an answer on, and holding what the request uses until its last byte.

use std::pin::pin;

use bytes::Bytes;
use futures_util::future::{Either, select};
use heatherknot_http::{Body, BodyError, BodySender, Flag, Response};
use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_types::prelude::*;

use crate::admit::AdmissionGuard;
use crate::answer::{Reason, Refusal};
use crate::gateway::{Gateway, InFlightGuard};
use crate::slots::Slot;

/// How many times the interval between two prolongations a slot is kept for, so that one lost
/// message does no harm.
const KEEP_TERMS: u64 = 3;

/// What a request holds while it is in progress. Dropping it gives all of it back.
pub(crate) struct RequestResources {
    pub(crate) slot: Option<Slot>,
    pub(crate) admission: AdmissionGuard,
    pub(crate) flight: Option<InFlightGuard>,
}

/// Prolongs the use of a slot while an answer is streamed, which may take longer than the
/// request's deadline allowed for its head.
struct Keeper {
    timer: Timer,
    every: Millis,
}

impl Keeper {
    async fn keeping<T>(&self, slot: Option<&Slot>, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        loop {
            match select(&mut future, self.timer.wait(self.every)).await {
                Either::Left((value, _)) => return value,
                Either::Right(((), _)) => {
                    self.keep(slot);
                }
            }
        }
    }

    fn keep(&self, slot: Option<&Slot>) {
        if let Some(slot) = slot {
            slot.extend(Millis(self.every.0 * KEEP_TERMS));
        }
    }
}

impl Gateway {
    /// Passes an answer on. A short one is read whole first; of a longer one the rest is
    /// streamed by a task of its own.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request whose short answer broke off.
    pub(crate) async fn deliver(
        &self,
        response: Response,
        mut in_use: RequestResources,
        flight: &mut Option<InFlightGuard>,
        cancelled: &Flag,
    ) -> Result<Response, Refusal> {
        let Response {
            status,
            headers,
            body,
        } = response;
        let len = body.known_len();
        let is_short = len.is_some_and(|len| len <= self.cx.settings.whole_answer);
        let body = if is_short {
            let bytes = body.collect(self.cx.settings.whole_answer as usize).await;
            Body::full(bytes.map_err(|error| broken(&error, &in_use))?)
        } else {
            let (tx, rx) = Body::channel_with_len(len);
            in_use.flight = flight.take();
            let keeper = Keeper {
                timer: self.cx.timer.clone(),
                every: self.cx.settings.slot_keep,
            };
            monoio::spawn(stream(body, tx, in_use, keeper, cancelled.clone()));
            return Ok(Response {
                status,
                headers,
                body: rx,
            });
        };
        in_use.admission.set_outcome(RequestOutcome::Good);
        Ok(Response {
            status,
            headers,
            body,
        })
    }
}

fn broken(error: &BodyError, in_use: &RequestResources) -> Refusal {
    in_use.admission.set_outcome(RequestOutcome::Failed);
    let detail = format!("the answer broke off: {error}");
    Refusal::unknown(Reason::ConnectionLost, detail).retry_after(Millis(1_000))
}

/// Streams a body to the caller. A caller that leaves, or whose connection takes no more, ends
/// it; the upstream connection is closed with the body.
async fn stream(
    mut body: Body,
    mut tx: BodySender,
    in_use: RequestResources,
    keeper: Keeper,
    cancelled: Flag,
) {
    let slot = in_use.slot.as_ref();
    // The term ends with the deadline, which may be nearer than the first prolongation.
    keeper.keep(slot);
    loop {
        let next = {
            let chunk = pin!(body.next_chunk());
            let step = select(chunk, cancelled.wait());
            match keeper.keeping(slot, step).await {
                Either::Left((next, _)) => next,
                Either::Right(((), _)) => return,
            }
        };
        match next {
            None => break,
            Some(Ok(chunk)) => {
                let sent: Result<(), _> = keeper.keeping(slot, tx.send(Bytes::clone(&chunk))).await;
                if sent.is_err() {
                    return;
                }
            }
            Some(Err(error)) => {
                in_use.admission.set_outcome(RequestOutcome::Failed);
                tx.fail(error);
                return;
            }
        }
    }
    in_use.admission.set_outcome(RequestOutcome::Good);
    tx.finish();
}
