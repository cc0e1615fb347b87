//! Fixtures: operators' interfaces of daemons on loopback, over one store in memory.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

use std::cell::RefCell;
use std::ffi::OsString;
use std::io::Read as _;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use futures_util::FutureExt;
use heatherknot_cli::env::Env;
use heatherknot_cli::{CommandOutput, run};
use heatherknot_http::{Flag, Limits, Request, Response, serve};
use heatherknot_operator::api::{DaemonStatus, ExplainResponse, ExplainStep};
use heatherknot_operator::{CurrentSettings, OperatorContext, handler};
use heatherknot_settings::{
    BootstrapKey, ChainPoint, Change, NewKey, OperatorKey, SettingsReplica,
};
use heatherknot_store::commit::history::{HistoryPage, StoredChange};
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal, Rejection};
use heatherknot_test_support::layouts;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde_json::{Value as Json, json};

/// Starts a fake metrics address of a daemon that runs until the test process ends.
pub fn fake_daemon(page: Json) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        block_on(async move {
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            let handler = Rc::new(move |_: Request| {
                let page = page.to_string();
                Box::pin(async move { Response::json(StatusCode::OK, page) }) as _
            });
            serve(listener, handler, Limits::default(), Flag::new()).await;
        });
    });
    address
}

/// The accepted changes and the commands that made them.
#[derive(Default)]
struct SharedStore {
    changes: Vec<Change>,
    commands: Vec<(CommandId, Revision)>,
}

/// A daemon that runs until the test process ends.
pub struct Daemon {
    /// The operators' address.
    pub address: SocketAddr,
}

/// Daemons that share one store in memory.
#[derive(Clone, Default)]
pub struct Deployment {
    store: Arc<Mutex<SharedStore>>,
}

impl Deployment {
    /// Starts a daemon on a thread of its own.
    pub fn start_daemon(&self) -> Daemon {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let store = self.store.clone();
        std::thread::spawn(move || {
            block_on(async move {
                let listener = monoio::net::TcpListener::from_std(listener).unwrap();
                let handler = handler(operator_context(&store));
                serve(listener, handler, Limits::default(), Flag::new()).await;
            });
        });
        Daemon { address }
    }

    /// Returns the number of accepted changes.
    pub fn changes(&self) -> usize {
        self.store.lock().unwrap().changes.len()
    }
}

fn operator_context(store: &Arc<Mutex<SharedStore>>) -> OperatorContext {
    let replica = Rc::new(RefCell::new(SettingsReplica::new()));
    let (replica_for_current, replica_for_refresh) = (replica.clone(), replica);
    let (store_for_refresh, store_for_commit, store_for_find, store_for_history) =
        (store.clone(), store.clone(), store.clone(), store.clone());
    let store_for_status = store.clone();
    OperatorContext {
        current_settings: Rc::new(move || current_settings(&replica_for_current)),
        refresh: Rc::new(move || {
            let changes = store_for_refresh.lock().unwrap().changes.clone();
            replica_for_refresh
                .borrow_mut()
                .accept_changes(&changes)
                .unwrap();
            let current = current_settings(&replica_for_refresh);
            async move { Ok(current) }.boxed_local()
        }),
        commit: Rc::new(move |proposal| {
            let outcome = commit(&mut store_for_commit.lock().unwrap(), &proposal);
            async move { outcome }.boxed_local()
        }),
        find_command: Rc::new(move |command| {
            let found = find(&store_for_find.lock().unwrap(), &command);
            async move { Ok(found) }.boxed_local()
        }),
        history: Rc::new(move |after| {
            let history = history(&store_for_history.lock().unwrap(), after);
            async move { Ok(history) }.boxed_local()
        }),
        status: Rc::new(move || {
            let daemons = vec![status(store_for_status.lock().unwrap().changes.len() as u64)];
            async move { daemons }.boxed_local()
        }),
        explain: Rc::new(|_| async move { Some(explanation()) }.boxed_local()),
        first_key: Some(first_key()),
        wall_clock_ms: Rc::new(|| 1_796_238_123_000),
    }
}

fn current_settings(replica: &Rc<RefCell<SettingsReplica>>) -> CurrentSettings {
    let replica = replica.borrow();
    CurrentSettings {
        chain_point: replica.at(),
        tree: replica.tree().clone(),
    }
}

fn find(store: &SharedStore, command: &CommandId) -> Option<Revision> {
    let mut commands = store.commands.iter();
    commands
        .find(|(known, _)| known == command)
        .map(|(_, revision)| *revision)
}

fn commit(store: &mut SharedStore, proposal: &Proposal) -> CommitOutcome {
    let at = store
        .changes
        .last()
        .map_or(ChainPoint::default(), Change::point);
    if at.revision != proposal.base {
        return CommitOutcome::NotAccepted(Rejection::Conflict {
            newest: at.revision,
            winner: None,
        });
    }
    let change: Change = serde_json::from_slice(&proposal.change).unwrap();
    let revision = change.revision;
    store.changes.push(change);
    store.commands.push((proposal.command.clone(), revision));
    CommitOutcome::Accepted(revision)
}

fn history(store: &SharedStore, after: Revision) -> HistoryPage {
    let later = store
        .changes
        .iter()
        .filter(|change| change.revision > after);
    let changes = later.map(|change| StoredChange {
        revision: change.revision,
        change: json!(change).to_string().into(),
    });
    HistoryPage {
        changes: changes.collect(),
        more: false,
    }
}

fn status(revision: u64) -> DaemonStatus {
    DaemonStatus {
        vm: "entry-1".into(),
        domain: "north-1".into(),
        state: "alive".to_string(),
        revision: Revision(revision),
        in_force_ms: 4_200,
        age_ms: 300,
        unreadable: None,
    }
}

fn explanation() -> ExplainResponse {
    ExplainResponse {
        revision: Revision(1),
        places: vec!["north-1".into(), "south-1".into()],
        steps: vec![ExplainStep {
            subject: "place north-1".to_string(),
            fact: "18 requests in flight".to_string(),
            limit: Some("21".to_string()),
            age_ms: Some(250),
        }],
    }
}

fn new_key() -> NewKey {
    NewKey::from_bytes("first", [3; 16], [5; 32])
}

fn first_key() -> BootstrapKey {
    let key = new_key();
    let object = json!({
        "holder": "Night shift",
        "branch": "",
        "rights": ["read", "change", "drain", "audit", "platform"],
        "salt": key.salt,
        "hash": key.hash,
    });
    BootstrapKey {
        id: "first".into(),
        key: OperatorKey::read("first", object.as_object().unwrap()).unwrap(),
    }
}

/// Returns the first operator's secret.
pub fn secret() -> String {
    new_key().secret
}

/// Runs the program against daemons with the first operator's key from the environment.
pub fn run_cli(servers: &[SocketAddr], args: &[&str]) -> CommandOutput {
    let servers: Vec<String> = servers.iter().map(SocketAddr::to_string).collect();
    let env = Env {
        servers: Some(servers.join(",")),
        key: Some(secret()),
        key_file: None,
    };
    run(args.iter().map(OsString::from).collect(), &env)
}

/// Parses the standard output of a run as JSON.
pub fn stdout_json(output: &CommandOutput) -> Json {
    serde_json::from_str(&output.stdout).unwrap()
}

/// Returns the path of a file for one test in Cargo's directory for temporary test files, without
/// an earlier file there.
pub fn temp_file(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

/// Writes the layout of Port Louis to a file and returns its path.
pub fn layout_file(name: &str) -> String {
    let path = temp_file(name);
    let layout = layouts::port_louis(layouts::unused_addresses());
    std::fs::write(&path, layout.to_string()).unwrap();
    path.to_str().unwrap().to_string()
}

/// Starts a daemon that takes the layout of Port Louis as its first revision.
pub fn daemon_with_layout(deployment: &Deployment, name: &str) -> Daemon {
    let daemon = deployment.start_daemon();
    let applied = run_cli(&[daemon.address], &["apply", &layout_file(name)]);
    assert_eq!(applied.exit.code(), 0, "{applied:?}");
    daemon
}

/// Starts a listener that reads the first bytes of each connection and closes it without an answer.
pub fn dropping_daemon() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buf = [0; 512];
            let _ = stream.unwrap().read(&mut buf);
        }
    });
    address
}

/// Starts a proxy that forwards each request to the daemon, reads its answer and drops it.
pub fn answer_dropping_proxy(daemon: SocketAddr) -> SocketAddr {
    use std::io::Write as _;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut caller = stream.unwrap();
            let mut backend = std::net::TcpStream::connect(daemon).unwrap();
            let mut buf = vec![0; 1 << 20];
            let len = caller.read(&mut buf).unwrap();
            backend.write_all(&buf[..len]).unwrap();
            let _ = backend.read(&mut buf);
        }
    });
    address
}

/// Returns an address on which nothing listens. The port is below the ephemeral range: a port of
/// that range that was bound and closed may be taken by another test a moment later.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
