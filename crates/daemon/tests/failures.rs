//! What must hold for callers and operators while daemons, the store and backend servers fail.

mod support;

use std::net::{SocketAddr, TcpStream};
use std::thread;

use heatherknot_cli::CommandOutput;
use heatherknot_cli::exit::Exit;
use heatherknot_daemon::callers::{TICKET_PATH, TicketAnswer};
use heatherknot_settings::NewKey;
use heatherknot_test_support::backend::Behavior;
use heatherknot_test_support::layouts;
use heatherknot_test_support::platform::{
    Down, Platform, PlatformConfig, PlatformHandle, PlatformVm, PlatformVmState,
};
use heatherknot_types::prelude::*;
use http::StatusCode;

use support::backends::{Backends, PUBLISHER, fetch_until_answered, submit, submit_until_run};
use support::{DaemonProcess, apply, get, key, operate, operate_at, pause, start};

/// Long enough that an answer takes many writes.
const LONG_BODY: usize = 4 << 20;
/// Requests after which a backend server that takes new work has had one for sure.
const MANY: usize = 40;

/// Two daemons of one failure domain, ready for requests.
struct Pair {
    _platform: PlatformHandle,
    first: DaemonProcess,
    second: DaemonProcess,
}

fn start_pair(backends: &Backends) -> Pair {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let first = start("vm-1", &platform, &[], &key);
    let second = start("vm-2", &platform, &[&first], &key);
    apply(&first, &key, &backends.document());
    for daemon in [&first, &second] {
        daemon.wait_until(|status| status.capacity_part == 500);
        fetch_until_answered(daemon.callers, "warm-up");
    }
    Pair {
        _platform: platform,
        first,
        second,
    }
}

/// Starts one daemon, ready for requests.
fn start_single(backends: &Backends) -> (PlatformHandle, DaemonProcess) {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let daemon = start("vm-1", &platform, &[], &key);
    apply(&daemon, &key, &backends.document());
    daemon.wait_until(|status| status.capacity_part == 1000);
    fetch_until_answered(daemon.callers, "warm-up");
    (platform, daemon)
}

fn wait_for_run(backends: &Backends, id: &str) {
    while backends.runs_of(id) == 0 {
        pause();
    }
}

fn new_ticket(callers: SocketAddr) -> String {
    let (_, body) = get(callers, &format!("{TICKET_PATH}?service={PUBLISHER}"));
    let answer: TicketAnswer = serde_json::from_slice(&body).expect("a ticket");
    answer.ticket
}

// An impatient caller sends its submission with one idempotency key to both daemons of its
// failure domain in the same instant. Neither knows of the other's request beforehand. The
// submission must reach the store once, and the caller must not get two different answers.
#[test]
fn a_key_sent_to_two_daemons_at_once_runs_once() {
    let backends = Backends::start(Behavior::default());
    let pair = start_pair(&backends);
    let ask = |daemon: &DaemonProcess, key: String, id: &'static str| {
        let callers = daemon.callers;
        thread::spawn(move || submit_until_run(callers, &key, id))
    };

    for round in 0..10 {
        let key = format!("order-{round}");
        let (a, b) = (["a0", "a1"][round % 2], ["b0", "b1"][round % 2]);
        let before = [a, b].map(|id| backends.runs_of(id));
        let (at_first, at_second) = (
            ask(&pair.first, key.clone(), a),
            ask(&pair.second, key.clone(), b),
        );
        let answers = [at_first, at_second].map(|asked| asked.join().expect("no panic"));
        let answers = answers.map(|answer| answer.expect("both daemons run"));

        let after = [a, b].map(|id| backends.runs_of(id));
        let runs: usize = after.iter().sum::<usize>() - before.iter().sum::<usize>();
        assert_eq!(runs, 1, "{key}: {answers:?}");
        let answered: Vec<_> = answers.iter().filter(|a| a.is_answered()).collect();
        assert!(!answered.is_empty(), "{key}: {answers:?}");
        assert!(answered.iter().all(|a| a.body == answered[0].body));
        assert!(answers.iter().all(|a| a.is_answered() || a.is_unknown()));
    }
}

// A daemon is killed while a backend server runs a submission for it. The caller's connection
// breaks, and it sends the submission again with the same key to the other daemon. Whether the
// first run ended is known to nobody, so the caller must be told so, and nothing runs again.
#[test]
fn a_key_of_a_killed_daemon_never_runs_again() {
    let backends = Backends::start(Behavior::default());
    let pair = start_pair(&backends);
    backends.change(|server| server.held = true);
    let callers = pair.first.callers;
    let cut = thread::spawn(move || submit_until_run(callers, "order", "first-try"));
    wait_for_run(&backends, "first-try");

    pair.first.kill();
    let cut = cut.join().expect("no panic");
    backends.change(|server| server.held = false);
    let repeat = submit_until_run(pair.second.callers, "order", "repeat");
    let later = submit(pair.second.callers, "order", "later");

    assert!(cut.is_none(), "{cut:?}");
    for answer in [repeat, later] {
        let answer = answer.expect("the second daemon runs");
        assert!(answer.is_unknown(), "{answer:?}");
    }
    assert_eq!(backends.runs_of("first-try"), 1);
    assert_eq!(backends.runs_of("repeat") + backends.runs_of("later"), 0);
}

// The platform's store goes down. A submission with the caller's own key needs the store to
// make sure that no other daemon runs it, so it is refused as not run and has not run. One
// with a ticket of this daemon needs no store and runs as before.
#[test]
fn without_the_store_tickets_run_and_own_keys_are_refused() {
    let backends = Backends::start(Behavior::default());
    let (platform, daemon) = start_single(&backends);
    let ticket = new_ticket(daemon.callers);

    platform.faults(|faults| faults.down = Some(Down::Closes));
    let own_key = submit(daemon.callers, "order", "own-key").expect("the daemon runs");
    let with_ticket = submit_until_run(daemon.callers, &ticket, "ticket");
    let with_ticket = with_ticket.expect("the daemon runs");
    let runs_meanwhile = backends.runs_of("own-key");
    platform.faults(|faults| faults.down = None);
    let again = submit_until_run(daemon.callers, "order", "own-key").expect("the daemon runs");

    assert!(own_key.is_not_run(), "{own_key:?}");
    assert_eq!(own_key.reason, "claim-failed");
    assert_eq!(runs_meanwhile, 0);
    assert!(with_ticket.is_answered(), "{with_ticket:?}");
    assert_eq!(backends.runs_of("ticket"), 1);
    assert!(again.is_answered(), "{again:?}");
    assert_eq!(backends.runs_of("own-key"), 1);
}

// An entry VM is taken out of service as planned while a backend server still works on a long
// submission. The daemon stops taking connections, waits for the request, and ends only after
// the caller has the whole answer.
#[test]
fn a_planned_stop_lets_a_request_in_flight_end() {
    let backends = Backends::start(Behavior {
        body_len: LONG_BODY,
        ..Behavior::default()
    });
    let (_platform, daemon) = start_single(&backends);
    backends.change(|server| server.held = true);
    let callers = daemon.callers;
    let ticket = new_ticket(callers);
    let asked = thread::spawn(move || submit_until_run(callers, &ticket, "long"));
    wait_for_run(&backends, "long");

    daemon.terminate();
    // The request must outlast the time in which the daemon still serves as usual.
    while TcpStream::connect(callers).is_ok() {
        pause();
    }
    backends.change(|server| server.held = false);
    let answer = asked.join().expect("no panic");

    let answer = answer.expect("the connection holds");
    assert!(answer.is_answered(), "{:?}", answer.outcome);
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.len(), LONG_BODY);
    assert!(answer.body.starts_with(b"long"));
    assert!(daemon.wait());
}

// The platform announces in its list of VMs that a backend server's VM will be taken away. The
// server itself knows nothing of it and goes on answering. Once a daemon has read the list,
// the server gets no new request, and the callers are served by the others.
#[test]
fn a_backend_server_that_the_platform_takes_away_gets_no_new_request() {
    let backends = Backends::start(Behavior::default());
    let (platform, daemon) = start_single(&backends);
    let names = backends.names();
    let (leaving, others) = names.split_first().expect("several upstreams");
    while backends.runs_at(leaving) == 0 {
        fetch_until_answered(daemon.callers, "before");
    }

    platform.set_vms(vec![PlatformVm {
        name: VmName::from("backend-1"),
        domain: DomainName::from("north-1"),
        address: backends.address(leaving),
        state: PlatformVmState::Leaving,
    }]);
    daemon.wait_for_log(&["backend server is leaving", leaving, "VmList"]);
    let at_leaving = backends.runs_at(leaving);
    let at_others = || {
        others
            .iter()
            .map(|name| backends.runs_at(name))
            .sum::<usize>()
    };
    let before = at_others();
    for _ in 0..MANY {
        fetch_until_answered(daemon.callers, "after");
    }

    assert_eq!(backends.runs_at(leaving), at_leaving);
    assert!(at_others() >= before + MANY);
}

// Two operators look at the same settings and change the same one at two daemons in the same
// instant. One change is accepted; the other operator is told that somebody came first.
#[test]
fn of_two_operators_racing_on_a_setting_one_wins() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let first = start("vm-1", &platform, &[], &key);
    let second = start("vm-2", &platform, &[&first], &key);
    let document = layouts::port_louis(layouts::unused_addresses());
    apply(&first, &key, &document);
    second.wait_until(|status| status.revision == Revision(1));

    let race = [(&first, "61"), (&second, "62")].map(|(daemon, value)| {
        let (operators, secret) = (daemon.operators, key.secret.clone());
        let args = ["set", "defaults/queue_len", value, "--base", "1"];
        thread::spawn(move || operate_at(operators, &secret, &args))
    });
    let [one, two] = race.map(|racer| racer.join().expect("no panic"));

    let (winner, loser, value) = match one.exit {
        Exit::Ok => (&one, &two, "61"),
        _ => (&two, &one, "62"),
    };
    assert_eq!(winner.exit, Exit::Ok, "{winner:?}");
    assert_eq!(loser.exit.code(), 3, "{loser:?}");
    for daemon in [&first, &second] {
        daemon.wait_until(|status| status.revision >= Revision(2));
        assert_eq!(daemon.status().revision, Revision(2));
        let shown = operate(daemon, &key, &["get", "defaults/queue_len"]);
        assert_eq!(shown.stdout.trim(), value);
    }
}

/// Runs a command again and again, as long as its outcome is unknown.
fn operate_until_known(daemon: &DaemonProcess, key: &NewKey, args: &[&str]) -> CommandOutput {
    loop {
        let finished = operate(daemon, key, args);
        if finished.exit != Exit::Unknown {
            return finished;
        }
    }
}

// The store applies every write and loses every answer, so the operator may not hear that the
// change was accepted. Then the store is down, and a second run of the command finds nothing
// out. Once the store answers, a third run must find the change made, and not make it again.
#[test]
fn a_command_whose_answer_was_lost_makes_one_revision() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let daemon = start("vm-1", &platform, &[], &key);
    let document = layouts::port_louis(layouts::unused_addresses());
    apply(&daemon, &key, &document);
    let set = |value| ["set", "defaults/queue_len", value, "--command-id", value];

    platform.faults(|faults| faults.lose_answers = u32::MAX);
    let unheard = operate(&daemon, &key, &set("63"));
    platform.faults(|faults| {
        faults.lose_answers = 0;
        faults.down = Some(Down::Closes);
    });
    let without_store = operate(&daemon, &key, &set("63"));
    platform.faults(|faults| faults.down = None);
    let again = operate_until_known(&daemon, &key, &set("63"));
    let other = operate_until_known(&daemon, &key, &set("64"));
    let late = operate_until_known(&daemon, &key, &set("63"));

    let may_be_made = matches!(unheard.exit, Exit::Ok | Exit::Unknown);
    assert!(may_be_made, "{unheard:?}");
    assert_eq!(without_store.exit, Exit::Unknown, "{without_store:?}");
    for answer in [&again, &late] {
        assert_eq!(answer.exit, Exit::Ok, "{answer:?}");
        assert!(answer.stdout.starts_with("accepted as r2\n"), "{answer:?}");
    }
    assert!(other.stdout.starts_with("accepted as r3\n"), "{other:?}");
    let shown = operate(&daemon, &key, &["get", "defaults/queue_len"]);
    assert_eq!(shown.stdout.trim(), "64");
}

// The store is down for a long stretch and one of two daemons is replaced meanwhile. The new
// one has nothing but its peer to start from; its peer's settings are the newest, and neither
// daemon may fall back to the ones before, also not when the store is there again.
#[test]
fn a_daemon_restarted_without_the_store_takes_the_newest_settings_of_its_peer() {
    let platform = Platform::start(PlatformConfig::default());
    let key = key();
    let first = start("vm-1", &platform, &[], &key);
    let second = start("vm-2", &platform, &[&first], &key);
    let document = layouts::port_louis(layouts::unused_addresses());
    apply(&first, &key, &document);
    let set = operate(&first, &key, &["set", "defaults/queue_len", "65"]);
    assert_eq!(set.exit, Exit::Ok, "{set:?}");
    second.wait_until(|status| status.revision == Revision(2));

    platform.faults(|faults| faults.down = Some(Down::Closes));
    second.kill();
    let second = start("vm-2", &platform, &[&first], &key);
    let started = second.wait_until(|status| status.revision != Revision::NONE);
    let of_first = first.status();
    platform.faults(|faults| faults.down = None);
    let next = ["set", "defaults/queue_len", "66", "--command-id", "next"];
    let next = operate_until_known(&second, &key, &next);

    assert_eq!(started.revision, Revision(2));
    assert_eq!(of_first.revision, Revision(2));
    assert!(next.stdout.starts_with("accepted as r3\n"), "{next:?}");
    let seen = first.wait_until(|status| status.revision != Revision(2));
    assert_eq!(seen.revision, Revision(3));
}
