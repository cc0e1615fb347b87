//! Delivery of a response to the caller. The request's resources are held until the last byte.

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

/// The number of renewal intervals by which each renewal extends a slot's term. Above one, so
/// that the slot survives a lost message.
const RENEWAL_TERM_INTERVALS: u64 = 3;

/// The resources of a request in progress. Dropping it releases all of them.
pub(crate) struct RequestResources {
    pub(crate) slot: Option<Slot>,
    pub(crate) admission: AdmissionGuard,
    pub(crate) flight: Option<InFlightGuard>,
}

/// Renews a slot while a response is streamed. Streaming may outlast the request's deadline,
/// which only limits the time until the response head.
struct SlotRenewer {
    timer: Timer,
    interval: Millis,
}

impl SlotRenewer {
    async fn renew_during<T>(&self, slot: Option<&Slot>, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        loop {
            match select(&mut future, self.timer.wait(self.interval)).await {
                Either::Left((value, _)) => return value,
                Either::Right(((), _)) => {
                    self.renew(slot);
                }
            }
        }
    }

    fn renew(&self, slot: Option<&Slot>) {
        if let Some(slot) = slot {
            slot.extend(Millis(self.interval.0 * RENEWAL_TERM_INTERVALS));
        }
    }
}

impl Gateway {
    /// Delivers a response to the caller. A short body is read completely first; a longer one is
    /// streamed by a separate task.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if a short response broke off.
    pub(crate) async fn deliver(
        &self,
        response: Response,
        service: &ServiceName,
        mut resources: RequestResources,
        flight: &mut Option<InFlightGuard>,
        cancelled: &Flag,
    ) -> Result<Response, Refusal> {
        let Response {
            status,
            headers,
            body,
        } = response;
        let len = body.known_len();
        let is_short = len.is_some_and(|len| len <= self.cx.settings.buffered_response_limit);
        let body = if is_short {
            let bytes = body
                .collect(self.cx.settings.buffered_response_limit as usize)
                .await;
            Body::full(bytes.map_err(|error| response_broken(&error, &resources))?)
        } else {
            let (tx, rx) = Body::channel_with_len(len);
            resources.flight = flight.take();
            let renewer = SlotRenewer {
                timer: self.cx.timer.clone(),
                interval: self.cx.settings.slot_renew_interval,
            };
            let body = body.on_error(self.truncation_recorder(service));
            monoio::spawn(stream(body, tx, resources, renewer, cancelled.clone()));
            return Ok(Response {
                status,
                headers,
                body: rx,
            });
        };
        resources.admission.set_outcome(RequestOutcome::Good);
        Ok(Response {
            status,
            headers,
            body,
        })
    }

    /// Returns a function that counts and logs a response of which the caller got only a part. One that
    /// ends because the caller's upload broke is not counted.
    fn truncation_recorder(&self, service: &ServiceName) -> impl FnOnce(&BodyError) + 'static {
        let (metrics, service) = (self.metrics.clone(), service.clone());
        move |error| {
            if !matches!(error, BodyError::RequestBody { .. }) {
                metrics.truncated(&service);
                log::warn!(service:% = service, cause:% = error; "response truncated");
            }
        }
    }
}

fn response_broken(error: &BodyError, resources: &RequestResources) -> Refusal {
    resources.admission.set_outcome(RequestOutcome::Failed);
    let detail = format!("the answer broke off: {error}");
    Refusal::unknown(Reason::ConnectionLost, detail).retry_after(Millis(1_000))
}

/// Streams a body to the caller. Ends early if the caller disconnects or its connection fails;
/// dropping the body then closes the upstream connection.
async fn stream(
    mut body: Body,
    mut tx: BodySender,
    resources: RequestResources,
    renewer: SlotRenewer,
    cancelled: Flag,
) {
    let slot = resources.slot.as_ref();
    // The slot's term ends at the deadline, which may come before the first periodic renewal.
    renewer.renew(slot);
    loop {
        let next = {
            let chunk = pin!(body.next_chunk());
            let step = select(chunk, cancelled.wait());
            match renewer.renew_during(slot, step).await {
                Either::Left((next, _)) => next,
                Either::Right(((), _)) => return,
            }
        };
        match next {
            None => break,
            Some(Ok(chunk)) => {
                let sent: Result<(), _> = renewer
                    .renew_during(slot, tx.send(Bytes::clone(&chunk)))
                    .await;
                if sent.is_err() {
                    return;
                }
            }
            Some(Err(error)) => {
                resources.admission.set_outcome(RequestOutcome::Failed);
                tx.fail(error);
                return;
            }
        }
    }
    resources.admission.set_outcome(RequestOutcome::Good);
    tx.finish();
}
