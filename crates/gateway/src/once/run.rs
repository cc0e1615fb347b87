//! Execution of a request with an idempotency key: finds its owner, and runs it if that is this
//! incarnation.

use std::rc::Rc;
use std::sync::Arc;

use heatherknot_http::{Flag, Response};
use heatherknot_types::prelude::*;
use local_sync::oneshot;

use super::claim::{ClaimOutcome, ClaimRequest};
use super::records::{BeginOutcome, Completion, RecordKey, RunGuard};
use super::stored_response::buffer_response;
use super::ticket::Ticket;
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::gateway::{Exchange, Gateway, InFlightGuard};
use crate::slots::Member;

/// Retry interval for a caller whose request with the same key still runs.
const STILL_RUNNING_RETRY_AFTER: Millis = Millis(1_000);
/// Retry interval for a caller while claims can't be made.
const CLAIM_RETRY_AFTER: Millis = Millis(2_000);
/// Retry interval for a caller while the record table is full.
const RECORDS_FULL_RETRY_AFTER: Millis = Millis(5_000);

impl Gateway {
    /// Runs a request that carries a key, or repeats the response that it had.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request did not run or may have run.
    pub(crate) async fn run_once(
        self: &Rc<Self>,
        call: Call,
        exchange: Exchange,
        key: Arc<str>,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        let record = RecordKey {
            service: call.service.clone(),
            key: Arc::clone(&key),
        };
        match Ticket::from_text(&key, &self.tokens) {
            Ok(Some(ticket)) => {
                self.run_with_ticket(call, exchange, record, ticket, flight)
                    .await
            }
            Ok(None) => self.run_with_key(call, exchange, record, flight).await,
            Err(error) => Err(Refusal::not_run(Reason::BadTicket, error.to_string())),
        }
    }

    async fn run_with_ticket(
        self: &Rc<Self>,
        call: Call,
        exchange: Exchange,
        record: RecordKey,
        ticket: Ticket,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        if ticket.service != call.service {
            let detail = format!("the ticket is for {}", ticket.service);
            return Err(Refusal::not_run(Reason::BadTicket, detail));
        }
        if ticket.owner != self.cx.own {
            if call.owner_incarnation().is_some() || ticket.owner.vm == self.cx.own.vm {
                return Err(owner_gone("the daemon that the ticket names is gone"));
            }
            return self.forward_to_owner(&call, exchange, &ticket.owner).await;
        }
        // The record of a ticket expires with the ticket, so it is not known whether an expired
        // ticket was used.
        if self.cx.clock.now() >= ticket.expires {
            let detail = "the ticket has ended; whether it was used is no longer known";
            return Err(Refusal::unknown(Reason::TicketExpired, detail));
        }
        match self.records.begin(&record, ticket.expires) {
            BeginOutcome::Run(run) => self.run_detached(call, exchange, run, flight).await,
            other => self.answer_repeat(&call, other).await,
        }
    }

    async fn run_with_key(
        self: &Rc<Self>,
        mut call: Call,
        exchange: Exchange,
        record: RecordKey,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        if let Some(incarnation) = call.owner_incarnation() {
            let is_here = incarnation == self.cx.own.incarnation;
            if !is_here || !self.records.contains(&record) {
                return Err(owner_gone("no record of the request is left here"));
            }
        }
        let expires = (self.cx.clock.now() + self.cx.settings.key_retention).max(call.deadline);
        let run = match self.records.begin(&record, expires) {
            BeginOutcome::Run(run) => run,
            other => return self.answer_repeat(&call, other).await,
        };
        if call.owner_incarnation().is_some() {
            // The forwarding daemon has read the claim, which this daemon holds.
            return self.run_detached(call, exchange, run, flight).await;
        }
        let claim = (self.cx.claims.claim)(ClaimRequest {
            account: call.settings().account.clone(),
            service: call.service.clone(),
            key: record.key.to_string(),
            owner: self.cx.own.clone(),
        });
        let claimed = self
            .cx
            .timer
            .limit(call.time_left(self.cx.clock.now()), claim);
        match claimed.await {
            Some(Ok(ClaimOutcome::New { start_by })) => {
                // Nothing is sent past the deadline, so this also stops a daemon that was paused
                // until its claim expired.
                call.deadline = call.deadline.min(start_by);
                self.run_detached(call, exchange, run, flight).await
            }
            Some(Ok(ClaimOutcome::Held(owner))) if owner == self.cx.own => {
                self.rerun_with_claim(call, exchange, run, flight).await
            }
            Some(Ok(ClaimOutcome::Held(owner))) => {
                self.run_at_owner(&call, exchange, run, &owner).await
            }
            Some(Err(error)) => Err(claim_failed(&call, run, &error.to_string())),
            None => Err(claim_failed(&call, run, "the store did not answer in time")),
        }
    }

    /// Runs a request whose claim this incarnation already holds, if its record shows that it
    /// has not run.
    ///
    /// Such a claim belongs to an earlier attempt that did not run, because the reply to the
    /// claim was lost or there was no capacity. Without a record the request may have run and
    /// its record may have expired.
    async fn rerun_with_claim(
        self: &Rc<Self>,
        call: Call,
        exchange: Exchange,
        run: RunGuard,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        if run.known_not_run {
            return self.run_detached(call, exchange, run, flight).await;
        }
        let refusal = owner_gone("the record of the request was dropped");
        run.complete(Completion::Unknown(refusal.clone()));
        Err(refusal)
    }

    /// Forwards a request to the daemon that holds its claim. The completion is not recorded
    /// here: the owner may only be temporarily unreachable, and can answer a later repeat.
    async fn run_at_owner(
        self: &Rc<Self>,
        call: &Call,
        exchange: Exchange,
        run: RunGuard,
        owner: &Member,
    ) -> Result<Response, Refusal> {
        if owner.vm == self.cx.own.vm {
            // An earlier incarnation of this VM holds the claim.
            let refusal = owner_gone("the daemon that claimed the request is gone");
            run.complete(Completion::Unknown(refusal.clone()));
            return Err(refusal);
        }
        let answered = self.forward_to_owner(call, exchange, owner).await;
        let completion = match &answered {
            Ok(_) => Completion::Unknown(still_running()),
            Err(refusal) => Completion::Unknown(refusal.clone()),
        };
        run.release(completion);
        answered
    }

    /// Runs a request in a separate task, so that it completes and is recorded even if the
    /// caller disconnects. A repeat then gets the response.
    async fn run_detached(
        self: &Rc<Self>,
        call: Call,
        mut exchange: Exchange,
        run: RunGuard,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        exchange.cancelled = Flag::new();
        let gateway = Rc::clone(self);
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async move {
            let answered = gateway.run(&call, exchange, flight).await;
            let max = gateway.cx.settings.stored_response_limit;
            // The receiver is gone if the caller has disconnected; a repeat finds the record.
            let _ = tx.send(record_completion(run, answered, max).await);
        });
        let cut_off = || owner_gone("the request was cut off while it ran");
        rx.await.unwrap_or_else(|_| Err(cut_off()))
    }

    /// Answers a request that is running, has ended or can't be recorded.
    async fn answer_repeat(&self, call: &Call, begin: BeginOutcome) -> Result<Response, Refusal> {
        let completion = match begin {
            BeginOutcome::Repeat(completion) => completion,
            BeginOutcome::Join(rx) => {
                let left = call.time_left(self.cx.clock.now());
                match self.cx.timer.limit(left, rx).await {
                    Some(Ok(completion)) => completion,
                    Some(Err(_)) | None => Completion::Unknown(still_running()),
                }
            }
            BeginOutcome::Full | BeginOutcome::Run(_) => {
                let detail = "no further request that runs at most once can be remembered";
                let refusal = Refusal::not_run(Reason::MemoryFull, detail);
                return Err(refusal.retry_after(RECORDS_FULL_RETRY_AFTER));
            }
        };
        let (name, answer) = match completion {
            Completion::Answered(kept) => ("answered", Ok(kept.to_response())),
            Completion::NotKept => ("not-kept", Err(not_stored())),
            Completion::NotRun(refusal) => ("not-run", Err(refusal)),
            Completion::Unknown(refusal) => ("unknown", Err(refusal)),
        };
        self.metrics.repeat(&call.service, name);
        answer
    }
}

/// Records how a run ended, and returns the result for its first caller.
async fn record_completion(
    run: RunGuard,
    answered: Result<Response, Refusal>,
    max: usize,
) -> Result<Response, Refusal> {
    let response = match answered {
        Ok(response) => response,
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            run.release(Completion::NotRun(refusal.clone()));
            return Err(refusal);
        }
        Err(refusal) => {
            run.complete(Completion::Unknown(refusal.clone()));
            return Err(refusal);
        }
    };
    match buffer_response(response, max).await {
        Ok((response, completion)) => {
            run.complete(completion);
            Ok(response)
        }
        Err(error) => {
            let detail = format!("the answer broke off: {error}");
            let refusal = Refusal::unknown(Reason::ConnectionLost, detail);
            run.complete(Completion::Unknown(refusal.clone()));
            Err(refusal)
        }
    }
}

/// Refuses a request whose claim could not be made. If the caller states that it has sent the
/// request before, the earlier attempt may have run elsewhere, so the outcome is "unknown".
fn claim_failed(call: &Call, run: RunGuard, cause: &str) -> Refusal {
    let refusal = match call.attempt {
        0 | 1 => Refusal::not_run(Reason::ClaimFailed, cause),
        _ => Refusal::unknown(Reason::ClaimFailed, cause),
    };
    let refusal = refusal.retry_after(CLAIM_RETRY_AFTER);
    run.release(match refusal.outcome {
        Outcome::NotRun => Completion::NotRun(refusal.clone()),
        Outcome::Unknown | Outcome::Answered => Completion::Unknown(refusal.clone()),
    });
    refusal
}

fn owner_gone(detail: &str) -> Refusal {
    Refusal::unknown(Reason::OwnerGone, detail)
}

fn not_stored() -> Refusal {
    let detail = "the request ran and was answered; the answer is no longer held";
    Refusal::unknown(Reason::AnswerNotKept, detail)
}

fn still_running() -> Refusal {
    let detail = "the request with this key still runs";
    Refusal::unknown(Reason::StillRunning, detail).retry_after(STILL_RUNNING_RETRY_AFTER)
}
