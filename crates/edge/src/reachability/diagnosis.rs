//! Finds out why a connection to a backend server broke: whether the server's process has ended, or
//! this VM has lost its path to it.
//!
//! A process that has ended refuses new connections, but so may a path that was cut. The server is
//! considered crashed only if this VM can connect to others, and no other VM can connect to it.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use futures_util::future::join_all;
use heatherknot_http::Flag;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError};
use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use log::{debug, info};
use serde::{Deserialize, Serialize};

use crate::context::EdgeContext;
use crate::presence::{self, VmEntry};
use crate::routing_state::RoutingState;
use crate::upstream::Upstream;

/// RPC method that asks a VM whether it can connect to a server.
const METHOD: &str = "e.connect";
/// Timeout of a call; more than twice the round trip between regions.
const CALL_TIMEOUT: Millis = Millis(250);
/// Maximum number of VMs that are asked.
const MAX_WITNESSES: usize = 4;
/// Number of other servers of which a VM must be able to connect to one.
const CONTROLS: usize = 3;

/// Why a connection to a server broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Diagnosis {
    /// Only the connection broke; the server accepts others.
    #[default]
    Alive,
    /// The server's process has ended.
    Crashed,
    /// The server does not respond to any VM that was asked.
    Silent,
    /// This VM does not reach the server, which may be alive.
    CutOff,
}

/// A diagnosis, shared by all requests whose connections to a server broke together.
#[derive(Clone, Default)]
pub struct SharedDiagnosis {
    /// Fires when the result is known.
    done: Flag,
    result: Rc<Cell<Diagnosis>>,
}

/// What a VM found when it connected to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ConnectResult {
    /// The connection was accepted.
    #[serde(rename = "o")]
    Open,
    /// It was refused.
    #[serde(rename = "r")]
    Refused,
    /// There was no answer.
    #[serde(rename = "s")]
    Silent,
    /// The VM can't connect to other servers either, or doesn't know the server.
    #[serde(rename = "u")]
    Unknown,
}

/// Parameters of [`METHOD`].
#[derive(Debug, Serialize, Deserialize)]
struct ConnectRequest {
    #[serde(rename = "u")]
    upstream: UpstreamName,
    #[serde(rename = "b", default)]
    started_at: Option<Millis>,
}

/// Registers the RPC method that connects to a server.
pub(crate) fn register(methods: &mut MethodTable, routing_state: &Rc<RefCell<RoutingState>>) {
    let routing_state = Rc::clone(routing_state);
    methods.register(METHOD, move |_, req: ConnectRequest| {
        let routing_state = Rc::clone(&routing_state);
        async move { Ok(answer(&routing_state, &req).await) }
    });
}

async fn answer(routing_state: &RefCell<RoutingState>, req: &ConnectRequest) -> ConnectResult {
    let upstream = {
        let routing_state = routing_state.borrow();
        let known = routing_state.upstream(&req.upstream);
        known.filter(|u| u.started_at == req.started_at).cloned()
    };
    match upstream {
        Some(upstream) => connect_with_controls(routing_state, &upstream).await,
        None => ConnectResult::Unknown,
    }
}

/// Finds out why a connection to a server broke. Requests that ask meanwhile share the result, and
/// a crash stays known until the server responds.
pub(crate) async fn diagnose(cx: &Rc<EdgeContext>, upstream: &Rc<Upstream>) -> Diagnosis {
    let shared = shared_diagnosis(cx, upstream);
    shared.done.wait().await;
    shared.result.get()
}

fn shared_diagnosis(cx: &Rc<EdgeContext>, upstream: &Rc<Upstream>) -> SharedDiagnosis {
    let mut current = upstream.diagnosis.borrow_mut();
    let is_reusable = |shared: &&SharedDiagnosis| {
        !shared.done.is_fired() || shared.result.get() == Diagnosis::Crashed
    };
    if let Some(shared) = current.as_ref().filter(is_reusable) {
        return shared.clone();
    }
    let shared = SharedDiagnosis::default();
    *current = Some(shared.clone());
    // Spawned, because the request that starts it may be dropped while others wait for it.
    monoio::spawn(run(Rc::clone(cx), Rc::clone(upstream), shared.clone()));
    shared
}

async fn run(cx: Rc<EdgeContext>, upstream: Rc<Upstream>, shared: SharedDiagnosis) {
    let own = connect_with_controls(&cx.routing_state, &upstream).await;
    let result = match own {
        ConnectResult::Open => Diagnosis::Alive,
        ConnectResult::Unknown => Diagnosis::CutOff,
        ConnectResult::Refused | ConnectResult::Silent => {
            let others = ask_others(&cx, &upstream).await;
            diagnosis_of(own, &others)
        }
    };
    if result != Diagnosis::Alive {
        info!(upstream:% = upstream.id, service:% = upstream.service, own:?, result:?;
            "a connection to a backend server broke, and no other could be opened");
    }
    shared.result.set(result);
    shared.done.fire();
}

/// Connects to a server and, if that fails, to others, to see whether this VM reaches any.
async fn connect_with_controls(
    routing_state: &RefCell<RoutingState>,
    upstream: &Rc<Upstream>,
) -> ConnectResult {
    let result = match upstream.pool.preconnect().await {
        Ok(()) => return ConnectResult::Open,
        Err(error) if error.is_refused() => ConnectResult::Refused,
        Err(_) => ConnectResult::Silent,
    };
    let controls = controls(&routing_state.borrow(), upstream);
    let opened = join_all(controls.iter().map(|control| control.pool.preconnect())).await;
    match controls.is_empty() || opened.iter().any(Result::is_ok) {
        true => result,
        false => ConnectResult::Unknown,
    }
}

/// Returns some other servers, different ones for each server.
fn controls(routing_state: &RoutingState, upstream: &Upstream) -> Vec<Rc<Upstream>> {
    let others = routing_state.all_upstreams();
    let others = others.filter(|u| u.id != upstream.id && u.accepts_requests());
    let key = |u: &Upstream| hash::rendezvous(&[upstream.id.as_str().as_bytes()], u.id.as_str());
    let mut others: Vec<(u64, &Rc<Upstream>)> = others.map(|u| (key(u), u)).collect();
    others.sort_unstable_by_key(|(key, _)| *key);
    let chosen = others.into_iter().take(CONTROLS);
    chosen.map(|(_, u)| Rc::clone(u)).collect()
}

/// Returns the diagnosis of a server to which this VM could not connect, from what other VMs found.
/// Those that answered have to confirm that the server refuses connections.
fn diagnosis_of(own: ConnectResult, others: &[ConnectResult]) -> Diagnosis {
    let is_confirmed = others.is_empty() || others.contains(&ConnectResult::Refused);
    if others.contains(&ConnectResult::Open) {
        Diagnosis::CutOff
    } else if own == ConnectResult::Refused && is_confirmed {
        Diagnosis::Crashed
    } else {
        Diagnosis::Silent
    }
}

/// Returns what other VMs found when they connected to a server, of those that answered in time.
async fn ask_others(cx: &EdgeContext, upstream: &Upstream) -> Vec<ConnectResult> {
    let req = ConnectRequest {
        upstream: upstream.id.clone(),
        started_at: upstream.started_at,
    };
    let witnesses = witnesses(cx, upstream);
    let calls = witnesses.iter().map(|vm| call(cx, vm, &req));
    let answers = join_all(calls).await;
    let answers = witnesses.iter().zip(answers).filter_map(|(vm, answer)| {
        answer
            .inspect_err(|error| {
                debug!(vm:% = vm, upstream:% = upstream.id, error:% = error; "asking a VM to connect to a backend server failed");
            })
            .ok()
    });
    answers.collect()
}

async fn call(
    cx: &EdgeContext,
    to: &VmName,
    req: &ConnectRequest,
) -> Result<ConnectResult, PeerError> {
    let opts = CallOptions::idempotent(CALL_TIMEOUT);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, METHOD, req, opts).await,
        None => cx.net.call_with(to, METHOD, req, opts).await,
    }
}

/// Returns VMs near the server, of as many failure domains as there are.
fn witnesses(cx: &EdgeContext, upstream: &Upstream) -> Vec<VmName> {
    let vms = presence::live_vms(cx);
    let distance = |vm: &VmEntry| match (vm.domain == upstream.domain, vm.region == upstream.region)
    {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    let rank =
        |vm: &VmEntry| hash::rendezvous(&[upstream.id.as_str().as_bytes()], vm.name.as_str());
    let mut others: Vec<&VmEntry> = vms.iter().filter(|vm| vm.name != cx.cfg.vm).collect();
    others.sort_by_cached_key(|vm| (distance(vm), vm.domain.clone(), rank(vm)));
    let mut domains = HashSet::new();
    let (first_of_domain, rest): (Vec<&VmEntry>, Vec<&VmEntry>) = others
        .into_iter()
        .partition(|vm| domains.insert(&vm.domain));
    let others = first_of_domain.into_iter().chain(rest);
    let chosen = others.take(MAX_WITNESSES);
    chosen.map(|vm| vm.name.clone()).collect()
}
