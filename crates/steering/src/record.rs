//! Everything that changes a VM's state, and everything it decides, as data: what a daemon
//! records is what a replay feeds back.

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

/// Something that happened at a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// Settings came into force.
    Plan(Arc<Plan>),
    /// The VM's part of its failure domain's capacity changed.
    Part(u16),
    /// The VMs known changed.
    Peers(Vec<Peer>),
    /// A delay was measured.
    Delay {
        /// To which failure domain.
        domain: DomainName,
        /// One way.
        delay: Millis,
    },
    /// A report came.
    Report(VmReport),
    /// An upstream's load or health answer came.
    Upstream {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
        /// What it said.
        load: UpstreamLoad,
    },
    /// An upstream is leaving, or no longer is.
    UpstreamLeaving {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
        /// Whether it is.
        leaving: bool,
    },
    /// An upstream started cold.
    UpstreamCold {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A place's warmed rate is known from elsewhere.
    Warmed {
        /// The place.
        place: PlaceName,
        /// Requests a second.
        rate: u32,
    },
    /// Time passed.
    Tick,
    /// It is time to ask for grants.
    Ask,
    /// Another VM asked for grants.
    GrantRequest(GrantRequest),
    /// An answer to a request for grants came.
    Grant(GrantReply),
    /// A request for grants got no answer.
    AskFailed(VmName),
    /// A caller looked a service up.
    Lookup(ServiceName),
    /// A request asks to be admitted.
    Arrival(Arrival),
    /// A request ended.
    Finish {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        end: RequestOutcome,
    },
}

/// What a VM decided on an [`Input`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Nothing to do.
    None,
    /// Send these requests for grants.
    Ask(Vec<(VmName, GrantRequest)>),
    /// Answer a request for grants with this.
    Grant(GrantReply),
    /// Answer a look-up with this.
    Lookup(Option<LookupAnswer>),
    /// Do this with a request.
    Verdict(Verdict),
}

/// An input with its time and its decision, as one line of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When, on the VM's own clock.
    pub at: Millis,
    /// What happened.
    pub input: Input,
    /// What was decided.
    pub decision: Decision,
}

/// Hands `input` to the function that it is for and gives what that decided.
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
