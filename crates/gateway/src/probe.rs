//! What the gateway learns of backend servers besides their answers: their own health answers
//! and the platform's list of VMs.
//!
//! Only the home of an upstream probes it. The home lends its slots, so that what it learns
//! holds for every VM of the failure domain at once.

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

/// Longest wait for a health answer.
const PROBE_LIMIT: Millis = Millis(1_000);
/// Longest health answer, in bytes.
const MAX_HEALTH: usize = 16 * 1024;
/// Probes in a row that must fail before a backend server is left alone. One lost probe says
/// little.
const FAILURES: u32 = 3;

/// VMs of a failure domain that read the platform's list for all of it: two, so that one that is
/// paused or dead is not missed.
const LIST_READERS: usize = 2;

/// The probes under way and the failures in a row.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    under_way: RefCell<HashSet<UpstreamKey>>,
    failures: RefCell<HashMap<UpstreamKey, u32>>,
}

/// The part of a health answer that is understood.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Health {
    /// Whether the backend server is leaving.
    draining: bool,
}

/// What one probe found.
#[derive(Clone, Copy, Debug)]
enum Found {
    Well(Health),
    /// The server has no health answer, which says nothing.
    Nothing,
    Failed,
}

impl Gateway {
    /// Says whether this VM is one of the few of its failure domain that read the platform's list
    /// of VMs for backend servers that leave, and pass it to [`Gateway::on_leaving_servers`].
    pub fn reads_vm_list(&self) -> bool {
        self.slots().is_among_top(LIST_READERS, "vm-list")
    }

    /// Notes which servers the platform's list of VMs says are leaving or gone. An address with
    /// port zero stands for every server at its IP number.
    pub fn on_leaving_servers(&self, leaving: &HashSet<SocketAddr>) {
        let plan = self.plan();
        for key in self.own_upstreams(&plan) {
            let Some(upstream) = upstream_of(&plan.services, &key) else {
                continue;
            };
            let mut whole_vm = upstream.address;
            whole_vm.set_port(0);
            let leaves = leaving.contains(&upstream.address) || leaving.contains(&whole_vm);
            self.set_leaving(&key, LeavingSource::VmList, leaves);
            if leaves && !self.slots().is_home(&key) {
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
        for key in self.own_upstreams(&plan) {
            let Some(upstream) = upstream_of(&plan.services, &key) else {
                continue;
            };
            if !self.slots().is_home(&key) {
                self.probes.failures.borrow_mut().remove(&key);
                continue;
            }
            if self.probes.under_way.borrow_mut().insert(key.clone()) {
                let gateway = Rc::clone(self);
                let (upstream, path) = (upstream.clone(), path.clone());
                monoio::spawn(async move {
                    let found = gateway.probe(&key, &upstream, &path).await;
                    gateway.probes.under_way.borrow_mut().remove(&key);
                    gateway.on_probed(&key, found);
                });
            }
        }
    }

    async fn probe(&self, key: &UpstreamKey, upstream: &UpstreamPlan, path: &str) -> Found {
        let Ok(uri) = path.parse() else {
            return Found::Nothing;
        };
        let head = RequestHead::new(Method::GET, uri);
        let options = SendOptions {
            deadline: Some(self.cx.clock.now() + PROBE_LIMIT),
            idempotent: true,
            new_connection: false,
        };
        let pool = self.pool_of(key, upstream);
        let probing = async {
            let response = pool.send(head, Body::empty(), options).await.ok()?;
            let status = response.status;
            let body = response.body.collect(MAX_HEALTH).await.ok()?;
            Some((status, body))
        };
        match self.cx.timer.limit(PROBE_LIMIT, probing).await.flatten() {
            Some((StatusCode::OK, body)) => {
                Found::Well(serde_json::from_slice(&body).unwrap_or_default())
            }
            Some((status, _)) if status.is_server_error() => Found::Failed,
            Some(_) => Found::Nothing,
            None => Found::Failed,
        }
    }

    fn on_probed(&self, key: &UpstreamKey, found: Found) {
        let label = match found {
            Found::Well(_) => "well",
            Found::Nothing => "nothing",
            Found::Failed => "failed",
        };
        self.metrics.probe(&key.service, &key.upstream, label);
        let (healthy, leaving) = match found {
            Found::Nothing => return,
            Found::Well(health) => {
                self.probes.failures.borrow_mut().remove(key);
                (true, health.draining)
            }
            Found::Failed => {
                let mut failures = self.probes.failures.borrow_mut();
                let count = failures.entry(key.clone()).or_insert(0);
                *count += 1;
                if *count < FAILURES {
                    return;
                }
                (false, false)
            }
        };
        if healthy {
            self.set_leaving(key, LeavingSource::Health, leaving);
        }
        let load = UpstreamLoad {
            // The home counts the slots itself. A load answer lags: it would show slots taken
            // by requests that have ended, and requests would wait while slots stood free.
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

fn upstream_of<'a>(
    services: &'a std::collections::BTreeMap<ServiceName, ServicePlan>,
    key: &UpstreamKey,
) -> Option<&'a UpstreamPlan> {
    let service = services.get(&key.service)?;
    service.upstreams.iter().find(|u| u.name == key.upstream)
}
