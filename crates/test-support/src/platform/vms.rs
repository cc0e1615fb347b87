//! The VM list of the stand-in, which lags on request.

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
    /// The VM runs.
    Live,
    /// The VM will be taken away soon.
    Leaving,
    /// The VM has been taken away.
    Gone,
}

/// One VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlatformVm {
    /// The name of the VM.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where its daemon accepts connections of peers.
    pub address: SocketAddr,
    /// Its state.
    pub state: PlatformVmState,
}

#[derive(Debug)]
struct Version {
    since: Instant,
    vms: Vec<PlatformVm>,
}

#[derive(Debug)]
pub(super) struct Vms {
    versions: Vec<Version>,
    shown: usize,
}

impl Vms {
    pub fn new(vms: Vec<PlatformVm>) -> Self {
        let since = Instant::now();
        Self {
            versions: vec![Version { since, vms }],
            shown: 0,
        }
    }

    pub fn set(&mut self, vms: Vec<PlatformVm>) {
        let since = Instant::now();
        self.versions.push(Version { since, vms });
    }

    pub fn read(&mut self, faults: &Faults) -> Value {
        if !faults.vm_list_frozen {
            self.shown = self.newest(faults.vm_lag);
        }
        let version = &self.versions[self.shown];
        let age = version.since.elapsed().as_millis() as u64;
        let records = version.vms.iter().map(|vm| {
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

    fn newest(&self, lag: Duration) -> usize {
        let old_enough = |version: &Version| version.since.elapsed() >= lag;
        self.versions.iter().rposition(old_enough).unwrap_or(0)
    }
}
