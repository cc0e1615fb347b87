//! What a walkthrough runs: a layout and a trace of traffic and faults.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use heatherknot_replay::parse;
use heatherknot_replay::trace::Trace;
use heatherknot_test_support::layouts;
use heatherknot_types::prelude::*;

const PORT_LOUIS_TRACE: &str = include_str!("port-louis.jsonl");
const ENLACE_TRACE: &str = include_str!("enlace.jsonl");
/// The longest trace that keeps a walkthrough within a minute.
const MAX_DURATION: Millis = Millis(45_000);

/// Which layout of services and places is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// A screenshot and publishing service.
    PortLouis,
    /// A placement service.
    Enlace,
}

/// What a walkthrough runs.
pub struct Scenario {
    /// The layout.
    pub layout: Layout,
    /// The traffic and the faults.
    pub trace: Trace,
}

/// One entry VM of the scenario.
#[derive(Clone, Debug)]
pub struct VmSpec {
    /// Its name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
}

impl Scenario {
    /// Reads the command line: `[port-louis|enlace] [TRACE]`.
    pub fn from_args(args: &[String]) -> Result<Self, String> {
        let layout = match args.first().map(String::as_str) {
            None | Some("port-louis") => Layout::PortLouis,
            Some("enlace") => Layout::Enlace,
            Some(other) => return Err(format!("unknown layout {other}; port-louis or enlace")),
        };
        let (name, text) = match (args.get(1), layout) {
            (Some(file), _) => {
                let text = std::fs::read_to_string(Path::new(file));
                (file.clone(), text.map_err(|e| format!("{file}: {e}"))?)
            }
            (None, Layout::PortLouis) => {
                ("port-louis.jsonl".to_owned(), PORT_LOUIS_TRACE.to_owned())
            }
            (None, Layout::Enlace) => ("enlace.jsonl".to_owned(), ENLACE_TRACE.to_owned()),
        };
        let trace = parse::parse(&name, &text).map_err(|e| e.to_string())?;
        if trace.head.duration_ms > MAX_DURATION {
            return Err(format!("{name}: longer than {MAX_DURATION}"));
        }
        Ok(Self { layout, trace })
    }

    /// Gives the settings of the layout, with the addresses that `address` gives.
    pub fn settings(
        &self,
        address: impl FnMut(&layouts::UpstreamSpec) -> std::net::SocketAddr,
    ) -> serde_json::Value {
        match self.layout {
            Layout::PortLouis => layouts::port_louis(address),
            Layout::Enlace => layouts::enlace(address),
        }
    }

    /// Gives the entry VMs, as the trace names them.
    pub fn vms(&self) -> Vec<VmSpec> {
        let domains = self.trace.head.vms.iter();
        let vms = domains.flat_map(|(domain, vms)| {
            vms.iter().map(|vm| VmSpec {
                vm: vm.clone(),
                domain: domain.clone(),
            })
        });
        vms.collect()
    }

    /// Gives how long a backend server of each service works on a request.
    pub fn service_times(&self) -> BTreeMap<ServiceName, Duration> {
        let times = self.trace.head.service_times.iter();
        times
            .map(|(service, span)| (service.clone(), Duration::from_millis(span.0)))
            .collect()
    }
}
