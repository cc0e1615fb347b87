//! Asks the admission of a service for a request whose best backend server was selected.

use crate::admission::control::{Contender, RejectCause, Verdict};
use crate::admission::urgency::Urgency;
use crate::call::Call;
use crate::context::EdgeContext;
use crate::selection::Candidate;
use crate::switches::Mechanism;

/// A request that may not wait for a slot, with the figures that decided it.
#[derive(Clone, Debug)]
pub(crate) struct Rejection {
    pub(crate) cause: RejectCause,
    pub(crate) contender: Contender,
    /// What its account got lately, as a multiple of its fair share.
    pub(crate) account_share: f64,
}

/// Returns whether requests compete for the slots of busy servers.
pub(crate) fn is_on(cx: &EdgeContext) -> bool {
    cx.load_control.is_on()
        && cx.switches.is_on(Mechanism::Admission)
        && cx.switches.is_on(Mechanism::Refusal)
}

/// Decides whether a request may be sent to its best server. `target_ms` is the longest time to its
/// completion, and `left_ms` the time left in which a response is of use.
///
/// # Errors
///
/// Returns the rejection if the request may not wait for a slot.
pub(crate) fn check(
    cx: &EdgeContext,
    call: &Call,
    best: &Candidate,
    target_ms: f64,
    left_ms: f64,
) -> Result<(), Box<Rejection>> {
    let now = cx.now();
    let account = call.account.as_deref();
    let urgency = Urgency::of(account, &call.route);
    let account = account.map(|account| &account.name);
    let admission = &call.state.admission;
    if best.has_free_slot {
        admission.record_free_slot(urgency, account, best.service_ms, now);
        return Ok(());
    }
    let contender = Contender {
        urgency,
        account: account.cloned(),
        slot_ms: best.service_ms,
        response_ms: best.response_ms,
        waiting: best.load - f64::from(best.upstream.slots.get()),
        spent_ms: now.since(call.started).0 as f64,
        target_ms,
        left_ms,
        is_returning: call.is_returning,
    };
    let verdict = admission.decide(&contender, now);
    let verdict_label = match verdict {
        Verdict::Admit => "admitted",
        Verdict::Reject { cause, .. } => cause.text(),
    };
    let labels = [call.service.as_str(), &urgency.to_string(), verdict_label];
    cx.metrics.admission.with_label_values(&labels).inc();
    match verdict {
        Verdict::Admit => Ok(()),
        Verdict::Reject {
            cause,
            account_share,
        } => Err(Box::new(Rejection {
            cause,
            contender,
            account_share,
        })),
    }
}
