//! What is known of the work of one request, with load control on or off.

use heatherknot_types::prelude::*;

use crate::call::Call;
use crate::context::EdgeContext;
use crate::selection::Candidate;
use crate::service_times::ServiceTimes;
use crate::switches::Mechanism;
use crate::upstream::ServerLoad;
use crate::work_profile::FinishedRun;

/// Returns whether estimates distinguish routes and cached objects.
pub(crate) fn knows_work(cx: &EdgeContext) -> bool {
    cx.load_control.is_on() && cx.switches.is_on(Mechanism::WorkProfile)
}

/// Calls `f` with the service times that apply to a request.
pub(crate) fn with_service_times<T>(
    cx: &EdgeContext,
    call: &Call,
    f: impl FnOnce(&ServiceTimes) -> T,
) -> T {
    match knows_work(cx) {
        true => f(&call.state.work.times(&call.route.name)),
        false => f(&call.state.service_times),
    }
}

/// Records the load that a response from the local region or another one reported, as far as it
/// decides which objects other regions serve.
pub(crate) fn record_wait(
    cx: &EdgeContext,
    call: &Call,
    is_local: bool,
    load: ServerLoad,
    took: Millis,
) {
    if !cx.route(&call.route.name).may_spill_over(cx.switches) {
        return;
    }
    let (spillover, now) = (&call.state.spillover, cx.now());
    match knows_work(cx) {
        true => {
            let typical_ms = call.state.work.record_response(&call.route.name, took);
            spillover.record_wait(is_local, load.next_wait_ms(typical_ms), now);
        }
        false => spillover.record(is_local, load, took, now),
    }
}

/// Records the time of a run in the service's work profile. Returns its time relative to the typical
/// one, if that is known.
pub(crate) fn record_run(
    cx: &EdgeContext,
    call: &Call,
    candidate: &Candidate,
    took: Millis,
) -> Option<f64> {
    let upstream = &candidate.upstream;
    let factor = match cx.switches.is_on(Mechanism::MachineSpeed) {
        true => upstream.machine.last_stated(),
        false => 1.0,
    };
    let run = FinishedRun {
        region: &upstream.region,
        is_sticky: call.route.sticky,
        knew_object: candidate.knows_object,
        took: Millis((took.0 as f64 / factor) as u64),
        latency_target: call.route.latency_target,
    };
    let finding = call.state.work.record(&call.route.name, &run);
    if let Some(was_cached) = finding.first_was_cached {
        let object = if was_cached { "cached" } else { "uncached" };
        let labels = [call.service.as_str(), object];
        let first_requests = &cx.metrics.work.first_requests;
        first_requests.with_label_values(&labels).inc();
    }
    finding.slowness
}

/// Updates the state of load control and the mean times in a slot.
pub(crate) fn update_metrics(cx: &EdgeContext) {
    let metrics = &cx.metrics.work;
    metrics.load_control.set(i64::from(cx.load_control.is_on()));
    for (service, state) in cx.services.borrow().iter() {
        if let Some(slot_ms) = state.work.slot_ms() {
            let gauge = metrics.slot_seconds.with_label_values(&[service.as_str()]);
            gauge.set(slot_ms / 1000.0);
        }
    }
}
