//! One daemon as a process, and what its log tells.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Sender;
use std::time::Instant;

use heatherknot_types::prelude::*;
use serde_json::Value;

/// What a line of a daemon's log told, and when it was read.
#[derive(Clone, Debug)]
pub struct Told {
    pub vm: VmName,
    pub at: Instant,
    pub what: Event,
}

/// What the run heeds of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Listening {
        callers: SocketAddr,
        peers: SocketAddr,
        operators: SocketAddr,
    },
    InForce(String),
    Gone(String),
    /// A warning, or a suspicion.
    Warned(String),
}

/// One running daemon. Dropping it ends the process.
pub struct Daemon {
    pub vm: VmName,
    pub domain: DomainName,
    process: Child,
}

impl Daemon {
    /// Starts the daemon's program with a file of start settings.
    pub fn start(
        program: &Path,
        config: &Path,
        vm: VmName,
        domain: DomainName,
        tx: Sender<Told>,
    ) -> Result<Self, String> {
        let mut command = Command::new(program);
        command.arg("--config").arg(config);
        command.stdin(Stdio::null());
        let started = command.stdout(Stdio::piped()).spawn();
        let mut process = started.map_err(|e| format!("start {}: {e}", program.display()))?;
        let log = process.stdout.take().expect("stdout is piped");
        let name = vm.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let told = event(&line).map(|what| Told {
                    vm: name.clone(),
                    at: Instant::now(),
                    what,
                });
                if told.is_some_and(|told| tx.send(told).is_err()) {
                    return;
                }
            }
        });
        Ok(Self {
            vm,
            domain,
            process,
        })
    }

    /// Gives the process's id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended by itself; there is nothing more to end then.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn event(line: &str) -> Option<Event> {
    let Ok(record) = serde_json::from_str::<Value>(line) else {
        return Some(Event::Warned(line.to_owned()));
    };
    let kv = &record["kv"];
    let address = |key: &str| kv[key].as_str()?.parse().ok();
    match record["text"].as_str()? {
        "listening" => Some(Event::Listening {
            callers: address("callers")?,
            peers: address("peers")?,
            operators: address("operators")?,
        }),
        "settings in force" => Some(Event::InForce(kv["revision"].as_str()?.to_owned())),
        "a VM is gone" => Some(Event::Gone(kv["vm"].as_str()?.to_owned())),
        "a VM is suspect" => Some(Event::Warned("a VM is suspect".to_owned())),
        text => match record["level"].as_str()? {
            "WARN" | "ERROR" => Some(Event::Warned(format!("{text} {kv}"))),
            _ => None,
        },
    }
}
