//! Relays requests whose backend servers this VM can't reach to VMs that reach them.
//!
//! A relayed request is handed over like one for a home VM, and follows the same rules: the VM that
//! received it from the caller has chosen the route, the split target and the object's server, and
//! counts it for the account and the retry budget, which pays for the relay of a request that a server has
//! rejected. A VM that reaches no server for it declines, and
//! never relays it further, so requests can't circulate where all servers are down.

pub mod targets;

use std::rc::Rc;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;

use crate::call::Call;
use crate::call_selection;
use crate::context::EdgeContext;
use crate::forward::{self, SendHistory};
use crate::hand_over::{self, HandOverOutcome, Purpose};
use crate::homes::HomeVm;
use crate::poison::guard;
use crate::presence::{self, VmEntry};
use crate::relay::targets::{MAX_ATTEMPTS, TargetQuery, Tier};
use crate::reply;
use crate::request_log;
use crate::switches::Mechanism;

/// Why a request is relayed, as used in log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayReason {
    /// No server of the service has responded or can be connected to.
    ServiceLost,
    /// None of the servers that may run the request is reachable, or too few of them are.
    ServersUnreachable,
}

impl RelayReason {
    pub(crate) fn label(self) -> &'static str {
        match self {
            RelayReason::ServiceLost => "service-lost",
            RelayReason::ServersUnreachable => "servers-unreachable",
        }
    }
}

/// Relays a request to VMs that may reach its servers, one after the other, until one answers.
/// Returns `None` if none does and the request may still be sent from here or refused.
pub(crate) async fn relay(
    cx: &Rc<EdgeContext>,
    call: &mut Call,
    history: &mut SendHistory,
    reason: RelayReason,
) -> Option<Response> {
    let is_from_caller = call.assigned_server.is_none();
    if !is_from_caller || history.may_have_run() || !cx.switches.is_on(Mechanism::Relay) {
        return None;
    }
    let server = call_selection::first_ranked_anywhere(cx, call)?;
    if history.was_delivered() && !forward::take_retry(cx, call) {
        return None;
    }
    let mut tried: Vec<VmName> = Vec::new();
    while tried.len() < MAX_ATTEMPTS && call.body.can_send() && call.time_left(cx.now()).0 > 0 {
        let vm = select_target(cx, call, &tried)?;
        tried.push(vm.name.clone());
        let home = HomeVm {
            vm: vm.name.clone(),
            hand_over_address: vm.handed?,
        };
        let peer = cx.homes.peer(&home, &cx.dialect, &cx.timer.clock);
        let began = cx.now();
        let tier = Tier::of(&vm.region, &cx.region);
        let service = call.service.clone();
        cx.relay_targets
            .record_attempt(&vm.name, tier, &service, began);
        let _region_guard = call.state.sent_by_region.start_request(&vm.region);
        let outcome = hand_over::send(cx, call, &peer, &server, Purpose::Relay).await;
        let labels = [reason.label(), outcome.label()];
        cx.metrics.relayed.with_label_values(&labels).inc();
        request_log::record_relayed(cx, call, &vm.name, reason, &outcome, began);
        match outcome {
            HandOverOutcome::Answered(response) => {
                cx.relay_targets
                    .record_answer(&vm.name, tier, &service, cx.now());
                return Some(response);
            }
            HandOverOutcome::Unreached => {
                cx.relay_targets
                    .record_decline(&vm.name, tier, &service, cx.now());
            }
            HandOverOutcome::NotStarted(_) => {}
            HandOverOutcome::Broken(cause) => {
                guard::investigate_broken_handover(cx, call, &peer);
                return end_unknown(call, history, cause);
            }
            HandOverOutcome::Unknown(cause) => return end_unknown(call, history, cause),
            HandOverOutcome::TimedOut => return Some(reply::timed_out()),
            HandOverOutcome::CallerDisconnected => {
                return Some(reply::outcome_unknown("the caller has disconnected"));
            }
        }
    }
    None
}

/// Records that a server may have run the request. Returns the response for the caller, or `None`
/// if the request may run again.
fn end_unknown(call: &Call, history: &mut SendHistory, cause: &'static str) -> Option<Response> {
    history.record_possible_run(cause);
    (!call.route.idempotent).then(|| reply::outcome_unknown(cause))
}

fn select_target(cx: &EdgeContext, call: &Call, tried: &[VmName]) -> Option<VmEntry> {
    let now = cx.now();
    let vms = presence::live_vms(cx);
    let query = TargetQuery {
        service: &call.service,
        own: &presence::own_entry(cx),
        is_allowed: &|region| call.regions.allows(region),
        is_large: cx.route(&call.route.name).has_large_transfers(),
        tried,
        is_reachable: &|vm| cx.homes.is_reachable(vm, now),
        in_flight: &|vm| cx.homes.in_flight(vm),
        now,
    };
    cx.relay_targets.select(&vms, &query)
}
