//! From a failed request's identifier to its cause, by logs alone: a real daemon process fails
//! requests in three ways, and the operators' client tells why from what the process wrote.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use heatherknot_cli::env::Env;
use support::caller::{Answer, Connection, new_id};
use support::daemon::{ListenAddresses, settings};
use support::server::{Behavior, FakeServer};
use support::store::FakeStore;
use support::{caller, free_address, wait_until};

const HOST: &str = "shots.example";
const SAFE: &str = "/a/x";
const ONCE: &str = "/once/x";

/// A daemon process and what it writes.
struct Process {
    child: Child,
    at: ListenAddresses,
    log: PathBuf,
}

impl Process {
    fn start(name: &str, store: &FakeStore) -> Self {
        let dir =
            std::env::temp_dir().join(format!("heatherknot-walk-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the directory can be made");
        let [requests, ready, lookups, peers, metrics, handed] =
            std::array::from_fn(|_| free_address());
        let at = ListenAddresses {
            requests,
            ready,
            lookups,
            peers,
            metrics,
            handed,
        };
        let cfg = settings(name, "port-1", &at, store.open_endpoint(), &[]);
        let (file, log) = (dir.join("settings.json"), dir.join("log"));
        std::fs::write(&file, cfg.to_string()).expect("the directory can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_heatherknotd"))
            .args(["--platform", "--config"])
            .arg(&file)
            .stdout(File::create(&log).expect("the directory can be written"))
            .stdin(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let process = Self { child, at, log };
        wait_until("the daemon serves", || {
            caller::request(process.at.requests, "GET", HOST, SAFE).is_some_and(|a| a.status == 200)
        });
        process
    }

    /// Sends a request; gives its identifier and answer.
    fn ask(&self, method: &str, path: &str) -> (String, Answer) {
        let id = new_id();
        let mut connection = Connection::open(self.at.requests).expect("the daemon listens");
        let answer = connection
            .request(method, HOST, path, &id)
            .expect("an answer");
        (id, answer)
    }

    /// Gives what the operators' client tells of a request, once its end is written.
    fn story(&self, id: &str) -> String {
        let log = self.log.to_str().expect("the path is text");
        let mut told = String::new();
        wait_until("the request's end is in the log", || {
            let args = ["trace", "--around", id, log].map(Into::into).to_vec();
            told = heatherknot_cli::run(args, &Env::default()).stdout;
            told.contains("request ended")
        });
        told
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(dir) = self.log.parent() {
            let _ = std::fs::remove_dir_all(dir);
        }
    }
}

fn deployment() -> (FakeStore, FakeServer) {
    let (store, server) = (FakeStore::default(), FakeServer::start("i-1"));
    store.configure(
        7,
        &[("/a/", "safe", "gallery"), ("/once/", "unsafe", "gallery")],
    );
    store.put("servers/i-1", &server.entry("gallery", "port-1", "ready"));
    (store, server)
}

fn assert_tells(story: &str, facts: &[&str]) {
    for fact in facts {
        assert!(story.contains(fact), "{fact:?} is missing in:\n{story}");
    }
}

/// Story: a caller is refused and complains that servers were idle. The one server there is
/// refused the request itself, though by all that the daemon knew it had room.
#[test]
fn a_refused_request_leads_to_the_server_that_refused_it() {
    let (store, server) = deployment();
    let process = Process::start("refused", &store);
    server.set_behavior(Behavior::Refuses);

    let (id, answer) = process.ask("GET", SAFE);

    assert_eq!(answer.status, 503);
    let story = process.story(&id);
    assert_tells(
        &story,
        &[
            "i-1",
            "the server refused it unrun",
            "not-run",
            "load_age_ms",
            "free",
        ],
    );
    assert_tells(&story, &["configuration in force", "backend server joined"]);
}

/// Story: a preview came after a second instead of half of one. The daemon lost no time; the
/// server took it, against what was expected of it.
#[test]
fn a_late_answer_leads_to_the_server_that_was_slow() {
    let (store, server) = deployment();
    let process = Process::start("late", &store);
    server.set_behavior(Behavior::AnswersLate);

    let (id, answer) = process.ask("GET", SAFE);

    assert_eq!(answer.status, 200);
    let story = process.story(&id);
    assert_tells(
        &story,
        &["i-1", "answered", "expected_ms", "took_ms", "target_ms"],
    );
    let took = story.split("took_ms=").nth(1).and_then(|rest| {
        let digits = rest.chars().take_while(char::is_ascii_digit);
        digits.collect::<String>().parse::<u64>().ok()
    });
    assert!(took.is_some_and(|took| took >= 800), "{story}");
}

/// Story: nobody knows whether a store submission was done. It reached a server, which never
/// answered, and so it was sent to no other one.
#[test]
fn an_unknown_outcome_leads_to_the_send_without_an_answer() {
    let (store, server) = deployment();
    let process = Process::start("unknown", &store);
    server.set_behavior(Behavior::NeverAnswers);

    let (id, answer) = process.ask("POST", ONCE);

    assert!([502, 504].contains(&answer.status), "{}", answer.status);
    assert_eq!(server.runs_of(&id), 1);
    let story = process.story(&id);
    assert_tells(&story, &["i-1", "late", "no answer came in time", "failed"]);
    assert_eq!(story.matches("request sent").count(), 1, "{story}");
}
