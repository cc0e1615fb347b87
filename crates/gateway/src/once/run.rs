//! Finding out who runs a request that must not run twice, and running it where that is here.

use std::rc::Rc;
use std::sync::Arc;

use heatherknot_http::{Flag, Response};
use heatherknot_types::prelude::*;
use local_sync::oneshot;

use super::claim::{ClaimOutcome, ClaimRequest};
use super::keep::keep;
use super::memory::{Begin, Ended, RecordKey, Run};
use super::ticket::Ticket;
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::gateway::{Exchange, Gateway, InFlightGuard};
use crate::slots::Member;

/// When a caller may ask again for the end of a request that still runs.
const STILL_RUNNING_RETRY_AFTER: Millis = Millis(1_000);
/// When a caller may come back while the store of claims is away.
const CLAIM_RETRY_AFTER: Millis = Millis(2_000);
/// When a caller may come back where no further request can be remembered.
const MEMORY_RETRY_AFTER: Millis = Millis(5_000);

impl Gateway {
    /// Runs a request that bears a key, or gives the answer that it had.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that did not run or may have run.
    pub(crate) async fn run_once(
        self: &Rc<Self>,
        call: Call,
        exchange: Exchange,
        key: Arc<str>,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        let record = RecordKey {
            service: call.service.clone(),
            text: Arc::clone(&key),
        };
        match Ticket::from_text(&key, &self.tokens) {
            Ok(Some(ticket)) => {
                self.run_ticket(call, exchange, record, ticket, flight)
                    .await
            }
            Ok(None) => self.run_key(call, exchange, record, flight).await,
            Err(error) => Err(Refusal::not_run(Reason::BadTicket, error.to_string())),
        }
    }

    async fn run_ticket(
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
        // The record of a ticket is dropped when the ticket ends, so whether one that has ended
        // was used is no longer known.
        if self.cx.clock.now() >= ticket.expires {
            let detail = "the ticket has ended; whether it was used is no longer known";
            return Err(Refusal::unknown(Reason::TicketExpired, detail));
        }
        match self.records.begin(&record, ticket.expires) {
            Begin::Run(run) => self.run_here(call, exchange, run, flight).await,
            other => self.repeat(&call, other).await,
        }
    }

    async fn run_key(
        self: &Rc<Self>,
        mut call: Call,
        exchange: Exchange,
        record: RecordKey,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        if let Some(incarnation) = call.owner_incarnation() {
            let is_here = incarnation == self.cx.own.incarnation;
            if !is_here || !self.records.knows(&record) {
                return Err(owner_gone("no record of the request is left here"));
            }
        }
        let until = (self.cx.clock.now() + self.cx.settings.key_retention).max(call.deadline);
        let run = match self.records.begin(&record, until) {
            Begin::Run(run) => run,
            other => return self.repeat(&call, other).await,
        };
        if call.owner_incarnation().is_some() {
            // The daemon before has read the claim, and it is this one's.
            return self.run_here(call, exchange, run, flight).await;
        }
        let claim = (self.cx.claims.claim)(ClaimRequest {
            account: call.settings().account.clone(),
            service: call.service.clone(),
            key: record.text.to_string(),
            owner: self.cx.own.clone(),
        });
        let claimed = self
            .cx
            .timer
            .limit(call.time_left(self.cx.clock.now()), claim);
        match claimed.await {
            Some(Ok(ClaimOutcome::New { start_by })) => {
                // Nothing is sent past the deadline, so a daemon that was paused past the end
                // of its claim sends nothing either.
                call.deadline = call.deadline.min(start_by);
                self.run_here(call, exchange, run, flight).await
            }
            Some(Ok(ClaimOutcome::Held(owner))) if owner == self.cx.own => {
                self.run_again(call, exchange, run, flight).await
            }
            Some(Ok(ClaimOutcome::Held(owner))) => {
                self.ask_owner(&call, exchange, run, &owner).await
            }
            Some(Err(error)) => Err(unclaimed(&call, run, &error.to_string())),
            None => Err(unclaimed(&call, run, "the store did not answer in time")),
        }
    }

    /// Runs a request whose claim this incarnation holds already.
    ///
    /// The claim was made by a try that did not run (its answer was lost, or there was no
    /// room), and the record of that try is still here. Without a record the request may have
    /// run and been forgotten since.
    async fn run_again(
        self: &Rc<Self>,
        call: Call,
        exchange: Exchange,
        run: Run,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        if run.known_unrun {
            return self.run_here(call, exchange, run, flight).await;
        }
        let refusal = owner_gone("the record of the request was dropped");
        run.end(Ended::Unknown(refusal.clone()));
        Err(refusal)
    }

    /// Hands a request to the daemon that holds its claim. The end is not recorded here: the
    /// owner may only be cut off, and can answer a later repeat.
    async fn ask_owner(
        self: &Rc<Self>,
        call: &Call,
        exchange: Exchange,
        run: Run,
        owner: &Member,
    ) -> Result<Response, Refusal> {
        if owner.vm == self.cx.own.vm {
            // An earlier run of this VM held the claim.
            let refusal = owner_gone("the daemon that claimed the request is gone");
            run.end(Ended::Unknown(refusal.clone()));
            return Err(refusal);
        }
        let answered = self.forward_to_owner(call, exchange, owner).await;
        let ended = match &answered {
            Ok(_) => Ended::Unknown(still_running()),
            Err(refusal) => Ended::Unknown(refusal.clone()),
        };
        run.release(ended);
        answered
    }

    /// Runs a request in a task of its own, so that it ends and is remembered even where the
    /// caller leaves: the caller's repeat then gets the answer.
    async fn run_here(
        self: &Rc<Self>,
        call: Call,
        mut exchange: Exchange,
        run: Run,
        flight: InFlightGuard,
    ) -> Result<Response, Refusal> {
        exchange.cancelled = Flag::new();
        let gateway = Rc::clone(self);
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async move {
            let answered = gateway.run(&call, exchange, flight).await;
            let max = gateway.cx.settings.stored_response_limit;
            // A caller that has left will ask again.
            let _ = tx.send(record(run, answered, max).await);
        });
        let cut_off = || owner_gone("the request was cut off while it ran");
        rx.await.unwrap_or_else(|_| Err(cut_off()))
    }

    /// Answers a request that runs already or has ended.
    async fn repeat(&self, call: &Call, begin: Begin) -> Result<Response, Refusal> {
        let ended = match begin {
            Begin::Repeat(ended) => ended,
            Begin::Join(rx) => {
                let left = call.time_left(self.cx.clock.now());
                match self.cx.timer.limit(left, rx).await {
                    Some(Ok(ended)) => ended,
                    Some(Err(_)) | None => Ended::Unknown(still_running()),
                }
            }
            Begin::Full | Begin::Run(_) => {
                let detail = "no further request that runs at most once can be remembered";
                let refusal = Refusal::not_run(Reason::MemoryFull, detail);
                return Err(refusal.retry_after(MEMORY_RETRY_AFTER));
            }
        };
        let (name, answer) = match ended {
            Ended::Answered(kept) => ("answered", Ok(kept.to_response())),
            Ended::NotKept => ("not-kept", Err(not_kept())),
            Ended::NotRun(refusal) => ("not-run", Err(refusal)),
            Ended::Unknown(refusal) => ("unknown", Err(refusal)),
        };
        self.metrics.repeat(&call.service, name);
        answer
    }
}

/// Records how a run ended, and gives the answer of its first caller.
async fn record(
    run: Run,
    answered: Result<Response, Refusal>,
    max: usize,
) -> Result<Response, Refusal> {
    let response = match answered {
        Ok(response) => response,
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            run.release(Ended::NotRun(refusal.clone()));
            return Err(refusal);
        }
        Err(refusal) => {
            run.end(Ended::Unknown(refusal.clone()));
            return Err(refusal);
        }
    };
    match keep(response, max).await {
        Ok((response, ended)) => {
            run.end(ended);
            Ok(response)
        }
        Err(error) => {
            let detail = format!("the answer broke off: {error}");
            let refusal = Refusal::unknown(Reason::ConnectionLost, detail);
            run.end(Ended::Unknown(refusal.clone()));
            Err(refusal)
        }
    }
}

/// Refuses a request whose claim could not be made. Where the caller says that it has sent the
/// request before, that earlier try may have run, so "not run" would mislead it.
fn unclaimed(call: &Call, run: Run, cause: &str) -> Refusal {
    let refusal = match call.attempt {
        0 | 1 => Refusal::not_run(Reason::ClaimFailed, cause),
        _ => Refusal::unknown(Reason::ClaimFailed, cause),
    };
    let refusal = refusal.retry_after(CLAIM_RETRY_AFTER);
    run.release(match refusal.outcome {
        Outcome::NotRun => Ended::NotRun(refusal.clone()),
        Outcome::Unknown | Outcome::Answered => Ended::Unknown(refusal.clone()),
    });
    refusal
}

fn owner_gone(detail: &str) -> Refusal {
    Refusal::unknown(Reason::OwnerGone, detail)
}

fn not_kept() -> Refusal {
    let detail = "the request ran and was answered; the answer is no longer held";
    Refusal::unknown(Reason::AnswerNotKept, detail)
}

fn still_running() -> Refusal {
    let detail = "the request with this key still runs";
    Refusal::unknown(Reason::StillRunning, detail).retry_after(STILL_RUNNING_RETRY_AFTER)
}
