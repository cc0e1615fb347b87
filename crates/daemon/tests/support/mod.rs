//! Daemons as real processes, for tests.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

pub mod backends;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use heatherknot_cli::CommandOutput;
use heatherknot_cli::env::Env;
use heatherknot_cli::exit::Exit;
use heatherknot_daemon::operators::page::{DAEMON_PATH, DaemonStatus};
use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions};
use heatherknot_settings::NewKey;
use heatherknot_test_support::platform::PlatformHandle;
use heatherknot_test_support::runtime;
use heatherknot_types::prelude::*;
use serde_json::{Value as Json, json};

/// A running daemon. Dropping it ends the process.
pub struct DaemonProcess {
    child: Child,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

/// What a daemon is started with.
pub struct DaemonSpec<'a> {
    /// The VM.
    pub vm: &'a str,
    /// The failure domain.
    pub domain: &'a str,
    /// The platform's stand-in.
    pub platform: SocketAddr,
    /// Daemons that run already.
    pub peers: &'a [&'a DaemonProcess],
    /// The first operator's key.
    pub key: &'a NewKey,
    /// Where to record, and for how many milliseconds.
    pub record: Option<(&'a Path, u64)>,
}

impl DaemonProcess {
    /// Starts a daemon and waits until it listens.
    pub fn start(spec: &DaemonSpec) -> Self {
        let file = config_file(spec);
        let mut child = Command::new(env!("CARGO_BIN_EXE_heatherknotd"))
            .arg("--config")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let listening = lines
            .by_ref()
            .map_while(Result::ok)
            .filter_map(|line| serde_json::from_str::<Json>(&line).ok())
            .find(|line| line["text"] == "listening" || line["message"] == "listening")
            .expect("the daemon logs that it listens");
        std::fs::remove_file(file).expect("the file is there");
        // The pipe is read to its end, or the daemon would block once it is full.
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().expect("no holder panics").push(line);
            }
        });
        let address = |name: &str| {
            let text = find_text(&listening, name).expect("the line names the address");
            text.parse().expect("an address")
        };
        Self {
            callers: address("callers"),
            peers: address("peers"),
            operators: address("operators"),
            child,
            log,
        }
    }

    /// Gives the identifier of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Gives what the daemon says of itself.
    pub fn status(&self) -> DaemonStatus {
        let (_, body) = get(self.operators, DAEMON_PATH);
        serde_json::from_slice(&body).expect("a status")
    }

    /// Waits until the daemon's own word fulfils `done`.
    pub fn wait_until(&self, done: impl Fn(&DaemonStatus) -> bool) -> DaemonStatus {
        loop {
            let status = self.status();
            if done(&status) {
                return status;
            }
            pause();
        }
    }

    /// Waits until the daemon has logged a line that contains all the texts.
    pub fn wait_for_log(&self, texts: &[&str]) {
        let is_it = |line: &String| texts.iter().all(|text| line.contains(text));
        while !self.log.lock().expect("no holder panics").iter().any(is_it) {
            pause();
        }
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process ends");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = libc::pid_t::try_from(self.pid()).expect("a process identifier");
        // SAFETY: the process is a child that has not been waited for, so the identifier is
        // still its own.
        #[expect(
            unsafe_code,
            reason = "the standard library sends no signal but SIGKILL"
        )]
        let sent = unsafe { libc::kill(pid, libc::SIGTERM) };
        assert_eq!(sent, 0);
    }

    /// Waits for the end of the process and says whether it ended well.
    pub fn wait(mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Draws the key of the first operator.
pub fn key() -> NewKey {
    NewKey::generate("first").expect("randomness")
}

/// Starts a daemon of the failure domain `north-1` and waits until it listens.
pub fn start(
    vm: &str,
    platform: &PlatformHandle,
    peers: &[&DaemonProcess],
    key: &NewKey,
) -> DaemonProcess {
    DaemonProcess::start(&spec(vm, platform, peers, key))
}

/// Gives how to start a daemon of the failure domain `north-1`.
pub fn spec<'a>(
    vm: &'a str,
    platform: &PlatformHandle,
    peers: &'a [&'a DaemonProcess],
    key: &'a NewKey,
) -> DaemonSpec<'a> {
    DaemonSpec {
        vm,
        domain: "north-1",
        platform: platform.address(),
        peers,
        key,
        record: None,
    }
}

/// Applies a whole document, which must be accepted.
pub fn apply(daemon: &DaemonProcess, key: &NewKey, document: &Json) {
    let file = settings_file(document);
    let finished = operate(daemon, key, &["apply", &file.to_string_lossy()]);
    std::fs::remove_file(file).expect("the file is there");
    assert_eq!(
        finished.exit,
        Exit::Ok,
        "{}{}",
        finished.stdout,
        finished.stderr
    );
}

/// Waits a little before a state is looked at again. Each look takes a connection, and a loop
/// that never pauses uses up the ports and the time of the machine.
pub fn pause() {
    std::thread::sleep(std::time::Duration::from_millis(5));
}

fn config_file(spec: &DaemonSpec) -> PathBuf {
    let any = "127.0.0.1:0";
    let peers: Vec<Json> = spec
        .peers
        .iter()
        .enumerate()
        .map(|(n, peer)| {
            json!({
                "vm": format!("seed-{n}"), "domain": "any",
                "peers": peer.peers, "callers": peer.callers
            })
        })
        .collect();
    let mut cfg = json!({
        "deployment": "tests",
        "vm": spec.vm,
        "domain": spec.domain,
        "listen": { "callers": any, "peers": any, "operators": any },
        "platform": { "store": spec.platform, "vm_list": spec.platform },
        "peers": peers,
        "secret": "the secret of the tests",
        "first_operator": { "id": "first", "key": {
            "holder": "tests", "branch": "", "rights": ["read", "change", "drain", "audit", "platform"],
            "salt": spec.key.salt, "hash": spec.key.hash
        }},
        "shutdown_grace_ms": 60_000,
    });
    if let Some((file, for_ms)) = spec.record {
        cfg["record"] = json!({ "file": file, "for_ms": for_ms });
    }
    settings_file(&cfg)
}

/// Finds a text by its key anywhere in a log line.
fn find_text<'a>(line: &'a Json, key: &str) -> Option<&'a str> {
    let object = line.as_object()?;
    let own = object.get(key).and_then(Json::as_str);
    own.or_else(|| object.values().find_map(|value| find_text(value, key)))
}

/// Gets a page.
pub fn get(address: SocketAddr, target: &str) -> (http::StatusCode, Vec<u8>) {
    runtime::block_on(async {
        let response = send(
            address,
            RequestHead::new(http::Method::GET, target.parse().expect("a target")),
        )
        .await;
        let status = response.status;
        (
            status,
            response
                .body
                .collect(1 << 20)
                .await
                .expect("a whole body")
                .to_vec(),
        )
    })
}

/// Sends one request without a body on a connection of its own.
pub async fn send(address: SocketAddr, head: RequestHead) -> Response {
    let pool = Pool::new(address, PoolConfig::default(), Clock::system());
    let sent = pool.send(head, Body::empty(), SendOptions::default()).await;
    sent.expect("the daemon answers")
}

/// Runs the operators' client against a daemon.
pub fn operate(daemon: &DaemonProcess, key: &NewKey, args: &[&str]) -> CommandOutput {
    operate_at(daemon.operators, &key.secret, args)
}

/// Runs the operators' client against the daemon at an address.
pub fn operate_at(operators: SocketAddr, secret: &str, args: &[&str]) -> CommandOutput {
    let env = Env {
        servers: Some(operators.to_string()),
        key: Some(secret.to_owned()),
        key_file: None,
    };
    heatherknot_cli::run(args.iter().map(Into::into).collect(), &env)
}

/// Writes a document to a file that no other test uses.
pub fn settings_file(document: &Json) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("heatherknot-{}-{number}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, document.to_string()).expect("a file can be written");
    file
}
