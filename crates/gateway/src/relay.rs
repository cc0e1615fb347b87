//! Forwarding of requests to other daemons.

use std::rc::Rc;

use heatherknot_http::{RequestHead, Response};
use heatherknot_steering::GrantToken;
use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::header::RETRY_AFTER;

use crate::admit::AdmissionGuard;
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::context::{HandOver, HandOverError};
use crate::deliver::RequestResources;
use crate::gateway::{Exchange, Gateway, InFlightGuard};
use crate::hop::{HOP_HEADER, Hop, HopReason, target_digest};
use crate::local::{body_consumed, not_attempted};
use crate::run::{AttemptFailure, Attempts};
use crate::slots::Member;

/// `Retry-After` of a request for which another daemon failed.
const RETRY_AFTER_FAILURE: Millis = Millis(1_000);

impl Gateway {
    /// Forwards a request to a VM of another failure domain under a grant.
    #[expect(
        clippy::too_many_arguments,
        reason = "an attempt needs all of its parts"
    )]
    pub(crate) async fn forward_under_grant(
        self: &Rc<Self>,
        call: &Call,
        exchange: &mut Exchange,
        attempts: &Attempts,
        admission: AdmissionGuard,
        vm: VmName,
        token: GrantToken,
        flight: &mut Option<InFlightGuard>,
    ) -> Result<Response, AttemptFailure> {
        let Some(body) = exchange.payload.take() else {
            return Err(not_attempted(body_consumed()));
        };
        let now = self.cx.clock.now();
        let mut head = self.forwarded_head(call, &exchange.head, attempts, now);
        self.add_hop_header(&mut head, call, &vm, HopReason::Grant(token));
        self.metrics.hand_over(&call.service, "grant");
        let sent = (self.cx.hand_over)(HandOver {
            vm,
            head,
            body,
            deadline: call.deadline,
            idempotent: !call.at_most_once,
        });
        let resources = RequestResources {
            slot: None,
            admission,
            flight: None,
        };
        let response = match sent.await {
            Ok(response) => response,
            Err(error) => {
                resources.admission.set_outcome(RequestOutcome::Failed);
                return Err(forwarding_failed(&error));
            }
        };
        if let Some(failure) = peer_failure(&response, &resources) {
            return Err(failure);
        }
        let service = &call.service;
        let delivered = self.deliver(response, service, resources, flight, &exchange.cancelled);
        delivered.await.map_err(|refusal| AttemptFailure {
            refusal,
            avoid: None,
            stale_connection: false,
            retryable: true,
        })
    }

    /// Forwards a request that must not run twice to the daemon that runs it, or has run it.
    ///
    /// # Errors
    ///
    /// Returns the outcome "unknown" if that daemon does not respond, as it may have run the
    /// request earlier.
    pub(crate) async fn forward_to_owner(
        self: &Rc<Self>,
        call: &Call,
        mut exchange: Exchange,
        owner: &Member,
    ) -> Result<Response, Refusal> {
        let body = exchange.payload.take().ok_or_else(body_consumed)?;
        let now = self.cx.clock.now();
        let attempts = Attempts::new();
        let mut head = self.forwarded_head(call, &exchange.head, &attempts, now);
        let reason = HopReason::Owner(owner.incarnation);
        self.add_hop_header(&mut head, call, &owner.vm, reason);
        self.metrics.hand_over(&call.service, "owner");
        let sent = (self.cx.hand_over)(HandOver {
            vm: owner.vm.clone(),
            head,
            body,
            deadline: call.deadline,
            idempotent: true,
        });
        sent.await.map_err(|error| {
            let detail = format!("{error}; it may have run the request before");
            Refusal::unknown(Reason::OwnerGone, detail).retry_after(RETRY_AFTER_FAILURE)
        })
    }

    fn add_hop_header(&self, head: &mut RequestHead, call: &Call, vm: &VmName, reason: HopReason) {
        let hop = Hop {
            from: self.cx.own.clone(),
            to: vm.clone(),
            passed: call.hop.as_ref().map_or(0, |hop| hop.passed) + 1,
            reason,
            target: target_digest(head),
        };
        head.headers.insert(HOP_HEADER, hop.to_header(&self.tokens));
    }
}

fn forwarding_failed(error: &HandOverError) -> AttemptFailure {
    let detail = error.to_string();
    let refusal = match error.may_have_run {
        true => Refusal::unknown(Reason::ConnectionLost, detail),
        false => Refusal::not_run(Reason::PeerFailed, detail),
    };
    AttemptFailure {
        refusal: refusal.retry_after(RETRY_AFTER_FAILURE),
        avoid: None,
        stale_connection: true,
        retryable: true,
    }
}

/// Returns the failure that another daemon's response reports, or `None` if a backend server
/// answered. The request either did not run, or whether it ran is unknown.
fn peer_failure(response: &Response, resources: &RequestResources) -> Option<AttemptFailure> {
    let header = |name: &str| response.headers.get(name).and_then(|v| v.to_str().ok());
    let outcome = header(OUTCOME_HEADER).unwrap_or("");
    if outcome == Outcome::Answered.as_str() {
        return None;
    }
    let seconds = header(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
    let retry_after = seconds.map_or(RETRY_AFTER_FAILURE, |s: u64| {
        Millis(s.saturating_mul(1_000))
    });
    let detail = format!("the other daemon answered {}", response.status);
    let not_run = outcome == Outcome::NotRun.as_str();
    let refusal = match not_run {
        true => Refusal::not_run(Reason::PeerFailed, detail),
        false => Refusal::unknown(Reason::ConnectionLost, detail),
    };
    resources.admission.set_outcome(match not_run {
        true => RequestOutcome::Cancelled,
        false => RequestOutcome::Failed,
    });
    Some(AttemptFailure {
        refusal: refusal.retry_after(retry_after),
        avoid: None,
        stale_connection: false,
        retryable: true,
    })
}
