//! Health checks of backend servers, and leaving servers found in the platform's list of VMs.
//!
//! Only the home of an upstream probes it. The home lends the upstream's slots, so what it
//! learns takes effect for every VM of the failure domain at once.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_http::{Body, RequestHead, SendOptions};
use heatherknot_steering::upstream::UpstreamLoad;
use heatherknot_types::plan::{ServicePlan, UpstreamPlan};
use heatherknot_types::prelude::*;
use http::{Method, StatusCode};
use serde::Deserialize;

use crate::gateway::Gateway;
use crate::leaving::LeavingSource;
use crate::slots::UpstreamKey;

/// The timeout of a health check.
const PROBE_TIMEOUT: Millis = Millis(1_000);
/// The maximum length of a health response's body, in bytes.
const MAX_HEALTH_BODY: usize = 16 * 1024;
/// The number of consecutive failed probes after which a backend server counts as unhealthy.
/// More than one, as a single lost probe is weak evidence.
const FAILURE_THRESHOLD: u32 = 3;

/// The number of VMs that read the platform's list of VMs for their whole failure domain. Two, so
/// that one of them may be paused or dead.
const VM_LIST_READERS: usize = 2;

/// The probes in progress and the consecutive failures of each upstream.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    in_progress: RefCell<HashSet<UpstreamKey>>,
    failures: RefCell<HashMap<UpstreamKey, u32>>,
}

/// The fields of a health response that the gateway uses.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Health {
    /// Whether the backend server is leaving.
    draining: bool,
}

/// The result of one probe.
#[derive(Clone, Copy, Debug)]
enum ProbeResult {
    Healthy(Health),
    /// The server has no health check, so the probe says nothing about its health.
    NoHealthCheck,
    Failed,
}

impl Gateway {
    /// Returns whether this VM is one of those in its failure domain that read the platform's list
    /// of VMs for leaving backend servers and pass them to [`Gateway::on_leaving_servers`].
    pub fn reads_vm_list(&self) -> bool {
        self.slots().is_among_top(VM_LIST_READERS, "vm-list")
    }

    /// Records which servers are leaving or gone according to the platform's list of VMs. An
    /// address with port zero stands for every server at its IP address.
    pub fn on_leaving_servers(&self, leaving: &HashSet<SocketAddr>) {
        let plan = self.plan();
        for key in self.local_upstreams(&plan) {
            let Some(upstream) = find_upstream(&plan.services, &key) else {
                continue;
            };
            let mut any_port = upstream.address;
            any_port.set_port(0);
            let is_leaving = leaving.contains(&upstream.address) || leaving.contains(&any_port);
            self.set_leaving(&key, LeavingSource::VmList, is_leaving);
            if is_leaving && !self.slots().is_home(&key) {
                self.slots().report_leaving(&key);
            }
        }
    }

    /// Starts a probe of every upstream of which this VM is the home.
    pub(crate) fn probe_upstreams(self: &Rc<Self>) {
        let Some(path) = self.cx.settings.health_path.clone() else {
            return;
        };
        let plan = self.plan();
        for key in self.local_upstreams(&plan) {
            let Some(upstream) = find_upstream(&plan.services, &key) else {
                continue;
            };
            if !self.slots().is_home(&key) {
                self.probes.failures.borrow_mut().remove(&key);
                continue;
            }
            if self.probes.in_progress.borrow_mut().insert(key.clone()) {
                let gateway = Rc::clone(self);
                let (upstream, path) = (upstream.clone(), path.clone());
                monoio::spawn(async move {
                    let result = gateway.probe(&key, &upstream, &path).await;
                    gateway.probes.in_progress.borrow_mut().remove(&key);
                    gateway.on_probe_result(&key, result);
                });
            }
        }
    }

    async fn probe(&self, key: &UpstreamKey, upstream: &UpstreamPlan, path: &str) -> ProbeResult {
        let Ok(uri) = path.parse() else {
            return ProbeResult::NoHealthCheck;
        };
        let head = RequestHead::new(Method::GET, uri);
        let options = SendOptions {
            deadline: Some(self.cx.clock.now() + PROBE_TIMEOUT),
            idempotent: true,
            new_connection: false,
        };
        let pool = self.pool_of(key, upstream);
        let exchange = async {
            let response = pool.send(head, Body::empty(), options).await.ok()?;
            let status = response.status;
            let body = response.body.collect(MAX_HEALTH_BODY).await.ok()?;
            Some((status, body))
        };
        match self.cx.timer.limit(PROBE_TIMEOUT, exchange).await.flatten() {
            Some((StatusCode::OK, body)) => {
                ProbeResult::Healthy(serde_json::from_slice(&body).unwrap_or_default())
            }
            Some((status, _)) if status.is_server_error() => ProbeResult::Failed,
            Some(_) => ProbeResult::NoHealthCheck,
            None => ProbeResult::Failed,
        }
    }

    fn on_probe_result(&self, key: &UpstreamKey, result: ProbeResult) {
        let label = match result {
            ProbeResult::Healthy(_) => "well",
            ProbeResult::NoHealthCheck => "nothing",
            ProbeResult::Failed => "failed",
        };
        self.metrics.probe(&key.service, &key.upstream, label);
        let (healthy, leaving) = match result {
            ProbeResult::NoHealthCheck => return,
            ProbeResult::Healthy(health) => {
                self.probes.failures.borrow_mut().remove(key);
                (true, health.draining)
            }
            ProbeResult::Failed => {
                let mut failures = self.probes.failures.borrow_mut();
                let count = failures.entry(key.clone()).or_insert(0);
                *count += 1;
                if *count < FAILURE_THRESHOLD {
                    return;
                }
                (false, false)
            }
        };
        if healthy {
            self.set_leaving(key, LeavingSource::Health, leaving);
        }
        let load = UpstreamLoad {
            // The home counts the slots itself. A reported load lags behind: it would include
            // requests that have already ended, and requests would wait although slots are free.
            in_use: 0,
            healthy,
            leaving: false,
            age: Millis::default(),
        };
        let now = self.cx.clock.now();
        let mut steering = self.cx.steering.borrow_mut();
        steering.on_upstream_load(&key.service, &key.upstream, load, now);
    }
}

fn find_upstream<'a>(
    services: &'a std::collections::BTreeMap<ServiceName, ServicePlan>,
    key: &UpstreamKey,
) -> Option<&'a UpstreamPlan> {
    let service = services.get(&key.service)?;
    service.upstreams.iter().find(|u| u.name == key.upstream)
}
