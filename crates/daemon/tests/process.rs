//! Daemons as real processes, with the operators' client and the platform's stand-in.

mod support;

use std::fs;

use heatherknot_cli::exit::Exit;
use heatherknot_daemon::lookup::answer::{LOOKUP_PATH, LookupAnswer};
use heatherknot_http::RequestHead;
use heatherknot_test_support::backend::{Behavior, FakeBackend};
use heatherknot_test_support::layouts;
use heatherknot_test_support::platform::{Down, Platform, PlatformConfig};
use heatherknot_test_support::runtime;
use heatherknot_types::outcome::{OUTCOME_HEADER, SERVICE_HEADER};
use heatherknot_types::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

use support::{
    DaemonProcess, DaemonSpec, apply, get, key, operate, pause, send, settings_file, spec, start,
};

const GALLERY: &str = "utilities/port-louis:gallery";

fn look_up(daemon: &DaemonProcess) -> (StatusCode, Vec<u8>) {
    get(
        daemon.callers,
        &format!("{LOOKUP_PATH}?service={GALLERY}&block=192.0.2.1"),
    )
}

#[test]
fn a_request_is_served_from_look_up_to_answer() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let daemon = start("vm-1", &platform, &[], &key);
    runtime::block_on(async {
        let answers = Behavior {
            body_len: 32,
            ..Behavior::default()
        };
        let document = layouts::port_louis(|_| FakeBackend::start(answers.clone()).address());
        let served = std::thread::spawn(move || {
            apply(&daemon, &key, &document);
            daemon.wait_until(|status| status.capacity_part == 1000);
            daemon
        });
        let daemon = wait_for(served).await;

        let target = format!("{LOOKUP_PATH}?service={GALLERY}&block=192.0.2.1");
        let answer = loop {
            let head = RequestHead::new(Method::GET, target.parse().unwrap());
            let response = send(daemon.callers, head).await;
            if response.status == StatusCode::OK {
                break response.body.collect(4096).await.unwrap();
            }
        };
        let answer: LookupAnswer = serde_json::from_slice(&answer).unwrap();
        let address = answer.entries[0].address;
        let mut head = RequestHead::new(Method::GET, "/preview".parse().unwrap());
        head.headers
            .insert(SERVICE_HEADER, GALLERY.parse().unwrap());
        // In its first second a daemon has nothing decided yet and refuses requests, not run.
        let response = loop {
            let response = send(address, head.clone()).await;
            if response.headers[OUTCOME_HEADER] != Outcome::NotRun.as_str() {
                break response;
            }
        };

        assert_eq!(answer.entries[0].address, daemon.callers);
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.headers[OUTCOME_HEADER], Outcome::Answered.as_str());
        assert_eq!(response.body.collect(4096).await.unwrap().len(), 32);
    });
}

/// Waits for a thread without holding up this thread's runtime.
async fn wait_for<T>(thread: std::thread::JoinHandle<T>) -> T {
    while !thread.is_finished() {
        monoio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    thread.join().expect("the thread ends")
}

#[test]
fn a_change_comes_into_force_on_daemons_that_do_not_watch_the_store() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let first = start("vm-1", &platform, &[], &key);
    let second = start("vm-2", &platform, &[&first], &key);
    let third = start("vm-3", &platform, &[&first], &key);
    let document = layouts::port_louis(layouts::unused_addresses());

    apply(&first, &key, &document);
    // A change made at a daemon that has not heard of the first one yet is a conflict with it.
    third.wait_until(|status| status.revision == Revision(1));
    let args = [
        "set",
        "defaults/queue_len",
        "99",
        "--wait",
        "--timeout",
        "600",
    ];
    let set = operate(&third, &key, &args);

    assert_eq!(set.exit, Exit::Ok, "{}{}", set.stdout, set.stderr);
    for daemon in [&first, &second, &third] {
        daemon.wait_until(|status| status.revision == Revision(2));
    }
    let shown = operate(&second, &key, &["get", "defaults/queue_len"]);
    assert!(shown.stdout.contains("99"), "{}", shown.stdout);
}

// The platform's store goes down after settings are in force. A caller that asks for entry
// VMs is answered as before; an operator's change is refused and says so; nothing is lost.
#[test]
fn look_ups_are_answered_while_the_store_is_down() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let daemon = start("vm-1", &platform, &[], &key);
    apply(
        &daemon,
        &key,
        &layouts::port_louis(layouts::unused_addresses()),
    );
    daemon.wait_until(|status| status.capacity_part == 1000);
    while look_up(&daemon).0 != StatusCode::OK {
        pause();
    }

    platform.faults(|faults| faults.down = Some(Down::Closes));
    let (status, _) = look_up(&daemon);
    let set = operate(
        &daemon,
        &key,
        &["set", "defaults/queue_len", "98", "--timeout", "2"],
    );

    assert_eq!(status, StatusCode::OK);
    assert_ne!(set.exit, Exit::Ok);
    assert_eq!(daemon.status().revision, Revision(1));
}

// A daemon starts while neither the store nor a peer can be reached. A caller must be told at
// once that its request did not run, and an operator what the daemon waits for.
#[test]
fn a_daemon_without_settings_says_what_it_waits_for() {
    let platform = Platform::start(PlatformConfig::default());
    platform.faults(|faults| faults.down = Some(Down::Closes));
    let daemon = start("vm-1", &platform, &[], &key());

    let (status, body) = look_up(&daemon);
    let waiting = daemon.wait_until(|status| status.waiting_for.is_some());

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(String::from_utf8_lossy(&body).contains("waiting for settings"));
    assert_eq!(waiting.revision, Revision::NONE);
}

// An operator holds a key that this deployment does not know, and asks for the settings.
#[test]
fn an_unknown_key_is_refused() {
    let platform = Platform::start(PlatformConfig::default());
    let daemon = start("vm-1", &platform, &[], &key());

    let refused = operate(&daemon, &key(), &["get"]);

    assert_ne!(refused.exit, Exit::Ok);
    assert!(refused.stdout.is_empty());
}

#[test]
fn the_daemon_uses_no_io_uring_and_starts_no_process() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let daemon = start("vm-1", &platform, &[], &key);
    apply(
        &daemon,
        &key,
        &layouts::port_louis(layouts::unused_addresses()),
    );
    daemon.wait_until(|status| status.capacity_part == 1000);

    let pid = daemon.pid();
    let files = fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let files: Vec<String> = files
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.to_string_lossy().into_owned())
        .collect();
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let children: String = tasks
        .filter_map(|task| fs::read_to_string(task.ok()?.path().join("children")).ok())
        .collect();

    assert!(
        files.iter().any(|file| file.contains("[eventpoll]")),
        "{files:?}"
    );
    assert!(
        !files.iter().any(|file| file.contains("io_uring")),
        "{files:?}"
    );
    assert_eq!(children.trim(), "");
}

#[test]
fn a_planned_stop_ends_the_process_well() {
    let platform = Platform::start(PlatformConfig::default());
    let daemon = start("vm-1", &platform, &[], &key());

    daemon.terminate();
    let status = daemon.wait_until(|status| status.leaving);

    assert_eq!(status.in_flight, 0);
    assert!(daemon.wait());
}

#[test]
fn bad_start_settings_are_refused_by_file_and_key() {
    let file = settings_file(&json!({ "deployment": "tests", "vmm": "x" }));
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_heatherknotd"))
        .arg("--config")
        .arg(&file)
        .output()
        .unwrap();
    fs::remove_file(&file).unwrap();

    let err = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        err.contains(&*file.to_string_lossy()) && err.contains("vmm"),
        "{err}"
    );
}

#[test]
fn a_record_of_a_daemon_can_be_replayed() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let file =
        std::env::temp_dir().join(format!("heatherknot-{}-record.jsonl", std::process::id()));
    let daemon = DaemonProcess::start(&DaemonSpec {
        record: Some((&file, 2_000)),
        ..spec("vm-1", &platform, &[], &key)
    });
    apply(
        &daemon,
        &key,
        &layouts::port_louis(layouts::unused_addresses()),
    );
    daemon.wait_until(|status| status.capacity_part == 1000);
    while look_up(&daemon).0 != StatusCode::OK {
        pause();
    }
    request_preview(&daemon);
    while !file.exists() {
        pause();
    }

    let replayed = operate(&daemon, &key, &["replay", &file.to_string_lossy()]);
    let trace = heatherknot_replay::parse::read(&file).expect("a trace");
    fs::remove_file(&file).unwrap();

    assert_eq!(
        replayed.exit,
        Exit::Ok,
        "{}{}",
        replayed.stdout,
        replayed.stderr
    );
    assert_eq!(trace.head.plan.revision, Revision(1));
    assert_eq!(
        trace.head.vms[&DomainName::from("north-1")],
        [VmName::from("vm-1")]
    );
}

/// Sends one request that no backend server answers.
fn request_preview(daemon: &DaemonProcess) {
    runtime::block_on(async {
        let mut head = RequestHead::new(Method::GET, "/preview".parse().unwrap());
        head.headers
            .insert(SERVICE_HEADER, GALLERY.parse().unwrap());
        send(daemon.callers, head).await;
    });
}

#[test]
fn an_explanation_names_the_places_drawn_for_the_client() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let daemon = start("vm-1", &platform, &[], &key);
    apply(
        &daemon,
        &key,
        &layouts::port_louis(layouts::unused_addresses()),
    );
    daemon.wait_until(|status| status.capacity_part == 1000);

    let explained = operate(
        &daemon,
        &key,
        &["explain", GALLERY, "192.0.2.0/24", "--json"],
    );
    let refused = operate(&daemon, &key, &["explain", GALLERY, "somewhere"]);

    assert_eq!(explained.exit, Exit::Ok, "{}", explained.stderr);
    let explained: serde_json::Value = serde_json::from_str(&explained.stdout).unwrap();
    assert!(explained["places"].is_array(), "{explained}");
    assert_ne!(refused.exit, Exit::Ok);
    assert!(refused.stderr.contains("client"), "{}", refused.stderr);
}
