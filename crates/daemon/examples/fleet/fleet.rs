//! A fleet of daemons and the stand-in that serves it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use heatherknot_test_support::platform::{
    Platform, PlatformConfig, PlatformHandle, PlatformVm, PlatformVmState,
};
use heatherknot_types::prelude::*;
use serde_json::json;

use crate::child::{Daemon, Event, Told};
use crate::deployment::domain_name;
use crate::sample::{self, Sample};

/// Peers that a daemon is told of at its start.
const SEEDS: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Where a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

/// The daemons that run, the platform, and what their logs tell.
pub struct Fleet {
    pub platform: PlatformHandle,
    pub daemons: Vec<Daemon>,
    pub warnings: BTreeMap<String, usize>,
    addresses: BTreeMap<VmName, Addresses>,
    listed: BTreeMap<VmName, PlatformVm>,
    program: PathBuf,
    folder: PathBuf,
    tx: Sender<Told>,
    rx: Receiver<Told>,
}

impl Fleet {
    /// Starts the platform and no daemon yet.
    pub fn new() -> Result<Self, String> {
        let this = std::env::current_exe().map_err(|e| e.to_string())?;
        let target = this.parent().and_then(|examples| examples.parent());
        let program = target.ok_or("no folder of programs")?.join("heatherknotd");
        if !program.exists() {
            let build = "cargo build --release --locked -p heatherknot-daemon --bins --examples";
            return Err(format!("{} is missing; run {build}", program.display()));
        }
        let folder = std::env::temp_dir().join(format!("heatherknot-fleet-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let (tx, rx) = channel();
        Ok(Self {
            platform: Platform::start(PlatformConfig::default()),
            daemons: Vec::new(),
            warnings: BTreeMap::new(),
            addresses: BTreeMap::new(),
            listed: BTreeMap::new(),
            program,
            folder,
            tx,
            rx,
        })
    }

    /// Starts daemons in the given domains at once, and waits until all listen.
    pub fn start(&mut self, vms: &[(VmName, DomainName)]) -> Result<(), String> {
        let seeds = self.seeds();
        for (vm, domain) in vms {
            let config = self.write_config(vm, domain, &seeds)?;
            let (name, domain) = (vm.clone(), domain.clone());
            let daemon = Daemon::start(&self.program, &config, name, domain, self.tx.clone())?;
            self.daemons.push(daemon);
        }
        let begun = Instant::now();
        let mut missing = vms.len();
        while missing > 0 {
            let told = self.next(START_TIMEOUT.saturating_sub(begun.elapsed()));
            let told = told.ok_or(format!("{missing} daemons do not listen"))?;
            if matches!(told.what, Event::Listening { .. }) {
                missing -= 1;
            }
        }
        self.list_vms();
        Ok(())
    }

    fn seeds(&self) -> Vec<serde_json::Value> {
        let running = self.daemons.iter().filter_map(|daemon| {
            let at = self.addresses.get(&daemon.vm)?;
            Some(json!({
                "vm": daemon.vm,
                "domain": daemon.domain,
                "peers": at.peers,
                "callers": at.callers,
            }))
        });
        running.take(SEEDS).collect()
    }

    fn write_config(
        &self,
        vm: &VmName,
        domain: &DomainName,
        seeds: &[serde_json::Value],
    ) -> Result<PathBuf, String> {
        let any = "127.0.0.1:0";
        let config = json!({
            "deployment": "fleet",
            "vm": vm,
            "domain": domain,
            "listen": { "callers": any, "peers": any, "operators": any },
            "platform": {
                "store": self.platform.address(),
                "vm_list": self.platform.address(),
            },
            "peers": seeds,
            "secret": "secret of a fleet on loopback",
        });
        let path = self.folder.join(format!("{vm}.json"));
        std::fs::write(&path, config.to_string()).map_err(|e| e.to_string())?;
        Ok(path)
    }

    /// Gives the next thing that a log tells, or nothing after the time given.
    pub fn next(&mut self, wait: Duration) -> Option<Told> {
        let told = self.rx.recv_timeout(wait).ok()?;
        match &told.what {
            Event::Listening {
                callers,
                peers,
                operators,
            } => {
                let at = Addresses {
                    callers: *callers,
                    peers: *peers,
                    operators: *operators,
                };
                self.addresses.insert(told.vm.clone(), at);
            }
            Event::Warned(text) => *self.warnings.entry(text.clone()).or_default() += 1,
            Event::InForce(_) | Event::Gone(_) => {}
        }
        Some(told)
    }

    /// Reads logs for the time given.
    pub fn run_for(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            self.next(left);
        }
    }

    /// Waits until each of the VMs has the revision in force, and gives how long each took
    /// from `begun`.
    pub fn until_in_force(
        &mut self,
        revision: Revision,
        mut vms: Vec<VmName>,
        begun: Instant,
        limit: Duration,
    ) -> Vec<Duration> {
        let wanted = revision.to_string();
        let mut took = Vec::new();
        while !vms.is_empty() {
            let Some(told) = self.next(limit.saturating_sub(begun.elapsed())) else {
                break;
            };
            if told.what == Event::InForce(wanted.clone()) && vms.contains(&told.vm) {
                vms.retain(|vm| *vm != told.vm);
                took.push(told.at.saturating_duration_since(begun));
            }
        }
        took
    }

    /// Ends all daemons of a domain at once, as its loss would, and gives their VMs.
    pub fn lose(&mut self, domain: &DomainName) -> Vec<(VmName, DomainName)> {
        let lost = self
            .daemons
            .extract_if(.., |daemon| daemon.domain == *domain);
        let lost: Vec<Daemon> = lost.collect();
        let vms = lost.iter().map(|d| (d.vm.clone(), d.domain.clone()));
        let vms = vms.collect();
        drop(lost);
        self.list_vms();
        vms
    }

    /// Has the platform's list name the daemons that run; those before are gone.
    fn list_vms(&mut self) {
        for vm in self.listed.values_mut() {
            vm.state = PlatformVmState::Gone;
        }
        for daemon in &self.daemons {
            let Some(at) = self.addresses.get(&daemon.vm) else {
                continue;
            };
            let vm = PlatformVm {
                name: daemon.vm.clone(),
                domain: daemon.domain.clone(),
                address: at.peers,
                state: PlatformVmState::Live,
            };
            self.listed.insert(daemon.vm.clone(), vm);
        }
        self.platform
            .set_vms(self.listed.values().cloned().collect());
    }

    /// Reads what every daemon and the platform have used.
    pub fn sample(&self) -> Result<Sample, String> {
        let at = Instant::now();
        let calls = self.platform.calls();
        let mut usage = Vec::new();
        for daemon in &self.daemons {
            let addresses = self.addresses.get(&daemon.vm);
            let operators = addresses.ok_or("a daemon without an address")?.operators;
            usage.push((daemon.vm.clone(), sample::usage(daemon.pid(), operators)?));
        }
        Ok(Sample { at, usage, calls })
    }

    /// Gives the names of the VMs that run.
    pub fn vms(&self) -> Vec<VmName> {
        self.daemons
            .iter()
            .map(|daemon| daemon.vm.clone())
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        // The folder holds only the start settings of this run.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Gives names for `size` VMs, dealt out to the domains in turn.
pub fn names(size: usize, domains: usize) -> Vec<(VmName, DomainName)> {
    let vm = |at: usize| VmName::from(format!("vm-{at:03}"));
    (0..size)
        .map(|at| (vm(at), domain_name(at % domains)))
        .collect()
}
