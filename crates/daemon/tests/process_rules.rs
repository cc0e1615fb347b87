//! What the running daemon must not do to the machine it runs on: io_uring and child
//! processes.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A daemon that is killed when the test ends, however it ends.
struct Daemon {
    child: Child,
    config: PathBuf,
    callers: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config);
    }
}

/// Starts the binary with a platform that nobody answers for, and waits until it listens.
fn start_daemon() -> Daemon {
    let unused = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
    let platform = unused.local_addr().expect("a bound address").to_string();
    drop(unused);
    let config = std::env::temp_dir().join(format!("heatherknotd-{}.json", std::process::id()));
    let settings = serde_json::json!({
        "deployment": "test",
        "vm": "north-a-1",
        "domain": "north-a",
        "listen": {
            "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"
        },
        "platform": { "store": platform, "vm_list": platform },
        "secret": "0123456789abcdef"
    });
    fs::write(&config, settings.to_string()).expect("a file for the start settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_heatherknotd"))
        .arg("--config")
        .arg(&config)
        .stdout(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon's binary");
    let mut log = BufReader::new(child.stdout.take().expect("the daemon's log"));
    let callers = callers_address(&mut log);
    // The rest of the log is read, so that the daemon never waits for room to write it.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    Daemon {
        child,
        config,
        callers,
    }
}

fn callers_address(log: &mut impl BufRead) -> SocketAddr {
    let mut seen = String::new();
    loop {
        let mut line = String::new();
        let n = log.read_line(&mut line).expect("a line of the log");
        assert!(n > 0, "the daemon ended: {seen}");
        seen.push_str(&line);
        if line.contains("listening")
            && let Some(address) = field(&line, "callers")
        {
            return address.parse().expect("an address");
        }
    }
}

/// Finds the text that follows a key in a line of JSON, wherever the key stands in it.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!("\"{key}\":"))?;
    rest.trim_start().strip_prefix('"')?.split('"').next()
}

fn ask(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("a request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Gives what each open descriptor of a process refers to.
fn descriptors(pid: u32) -> Vec<String> {
    let dir = format!("/proc/{pid}/fd");
    let entries = fs::read_dir(dir).expect("the descriptors of the daemon");
    let links = entries
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok());
    links
        .map(|link| link.to_string_lossy().into_owned())
        .collect()
}

fn children(pid: u32) -> String {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("the threads of the daemon");
    let of_task = |task: &Path| fs::read_to_string(task.join("children"));
    tasks
        .flatten()
        .map(|task| of_task(&task.path()).expect("the children of a thread"))
        .collect()
}

#[test]
fn daemon_uses_epoll_and_starts_no_process() {
    let daemon = start_daemon();
    let pid = daemon.child.id();

    let answers = ["/", "/metrics", "/a/../b"].map(|path| ask(daemon.callers, path));
    let descriptors = descriptors(pid);
    let children = children(pid);

    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 ")));
    let has = |kind: &str| descriptors.iter().any(|d| d.contains(kind));
    assert!(has("eventpoll"), "{descriptors:?}");
    assert!(!has("io_uring"), "{descriptors:?}");
    assert_eq!(children.trim(), "");
}

// The check above sees the children of a process where there are any.
#[test]
fn children_of_a_process_are_seen() {
    let mut child = Command::new("sleep")
        .arg("60")
        .spawn()
        .expect("a child process");

    let children = children(std::process::id());

    child.kill().expect("the end of the child process");
    child.wait().expect("the end of the child process");
    assert!(
        children
            .split_whitespace()
            .any(|pid| pid == child.id().to_string())
    );
}
