//! All inputs and decisions of a VM as data: a daemon records them, and a replay feeds them back.

use std::sync::Arc;

use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::lookup::LookupAnswer;
use crate::messages::{GrantReply, GrantRequest, VmReport};
use crate::peer::Peer;
use crate::steering::Steering;
use crate::upstream::{RequestOutcome, UpstreamLoad};
use crate::verdict::{Arrival, Ticket, Verdict};

/// An input to a VM's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// A plan came into force.
    Plan(Arc<Plan>),
    /// The VM's part of its failure domain's capacity changed.
    Part(u16),
    /// The list of known VMs changed.
    Peers(Vec<Peer>),
    /// A delay was measured.
    Delay {
        /// The failure domain measured.
        domain: DomainName,
        /// The one-way delay.
        delay: Millis,
    },
    /// A load report was received.
    Report(VmReport),
    /// An upstream's load or health response was received.
    Upstream {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
        /// The response.
        load: UpstreamLoad,
    },
    /// An upstream started or stopped shutting down.
    UpstreamLeaving {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
        /// Whether it is shutting down.
        leaving: bool,
    },
    /// An upstream started with cold caches.
    UpstreamCold {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The warmed rate of a place is known from another VM.
    Warmed {
        /// The place.
        place: PlaceName,
        /// Requests per second.
        rate: u32,
    },
    /// Advances the time.
    Tick,
    /// Requests grants if needed.
    Ask,
    /// A grant request from another VM was received.
    GrantRequest(GrantRequest),
    /// The reply to a grant request was received.
    Grant(GrantReply),
    /// A grant request was not answered.
    AskFailed(VmName),
    /// A caller looked up a service.
    Lookup(ServiceName),
    /// A request arrived for admission.
    Arrival(Arrival),
    /// A request ended.
    Finish {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        end: RequestOutcome,
    },
}

/// The decision of a VM on an [`Input`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// No action.
    None,
    /// Send these grant requests.
    Ask(Vec<(VmName, GrantRequest)>),
    /// Send this reply to a grant request.
    Grant(GrantReply),
    /// Send this answer to a look-up.
    Lookup(Option<LookupAnswer>),
    /// The decision on a request.
    Verdict(Verdict),
}

/// An input with its time and decision, which is one line of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time on the VM's own clock.
    pub at: Millis,
    /// The input.
    pub input: Input,
    /// The decision.
    pub decision: Decision,
}

/// Passes `input` to the method that handles it and returns the decision.
pub fn step(vm: &mut Steering, input: &Input, rng: &mut fastrand::Rng, now: Millis) -> Decision {
    match input {
        Input::Plan(plan) => vm.on_plan(Arc::clone(plan), now),
        Input::Part(part) => vm.on_capacity_part(*part, now),
        Input::Peers(peers) => vm.on_peers(peers.clone()),
        Input::Delay { domain, delay } => vm.on_delay(domain, *delay),
        Input::Report(report) => vm.on_report(report, now),
        Input::Upstream {
            service,
            upstream,
            load,
        } => vm.on_upstream_load(service, upstream, *load, now),
        Input::UpstreamLeaving {
            service,
            upstream,
            leaving,
        } => vm.on_upstream_leaving(service, upstream, *leaving),
        Input::UpstreamCold { service, upstream } => vm.on_upstream_cold(service, upstream, now),
        Input::Warmed { place, rate } => vm.on_warmed(place, f64::from(*rate)),
        Input::Tick => vm.tick(now),
        Input::Ask => return Decision::Ask(vm.request_grants(now)),
        Input::GrantRequest(req) => return Decision::Grant(vm.on_grant_request(req, now)),
        Input::Grant(reply) => {
            vm.on_grant_reply(reply, now);
        }
        Input::AskFailed(peer) => vm.on_grant_request_failed(peer, now),
        Input::Lookup(service) => {
            let block = rng.u64(..).to_le_bytes();
            return Decision::Lookup(vm.on_lookup(service, &block, now));
        }
        Input::Arrival(req) => return Decision::Verdict(vm.admit(req, rng, now)),
        Input::Finish { ticket, end } => vm.finish(*ticket, *end, now),
    }
    Decision::None
}
