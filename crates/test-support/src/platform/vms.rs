//! The VM list of the fake platform, with optional lag.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use heatherknot_types::prelude::*;
use serde::Serialize;
use serde_json::{Value, json};

use super::Faults;

/// The state of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformVmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
    /// The VM has been removed.
    Gone,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlatformVm {
    /// The name of the VM.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address on which its daemon accepts peer connections.
    pub address: SocketAddr,
    /// Its state.
    pub state: PlatformVmState,
}

#[derive(Debug)]
struct Snapshot {
    since: Instant,
    vms: Vec<PlatformVm>,
}

#[derive(Debug)]
pub(super) struct Vms {
    snapshots: Vec<Snapshot>,
    served_index: usize,
}

impl Vms {
    pub fn new(vms: Vec<PlatformVm>) -> Self {
        let since = Instant::now();
        Self {
            snapshots: vec![Snapshot { since, vms }],
            served_index: 0,
        }
    }

    pub fn set(&mut self, vms: Vec<PlatformVm>) {
        let since = Instant::now();
        self.snapshots.push(Snapshot { since, vms });
    }

    pub fn read(&mut self, faults: &Faults) -> Value {
        if !faults.vm_list_frozen {
            self.served_index = self.newest_visible(faults.vm_list_lag);
        }
        let snapshot = &self.snapshots[self.served_index];
        let age = snapshot.since.elapsed().as_millis() as u64;
        let records = snapshot.vms.iter().map(|vm| {
            json!({
                "name": vm.name,
                "domain": vm.domain,
                "address": vm.address,
                "state": vm.state,
                "age_ms": age,
            })
        });
        records.collect()
    }

    fn newest_visible(&self, lag: Duration) -> usize {
        let old_enough = |snapshot: &Snapshot| snapshot.since.elapsed() >= lag;
        self.snapshots.iter().rposition(old_enough).unwrap_or(0)
    }
}
