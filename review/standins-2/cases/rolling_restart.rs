//! Two daemons are restarted in turn while requests that came to the second run at backend servers of both
//! zones.

use std::sync::Arc;
use std::time::Duration;

use super::{GRACE_S, Route, SETTLE, configure, keep_logs, pause};
use crate::client::{self, Outcome, Request, Sent};
use crate::fleet::{Fleet, SIGTERM};
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::{Setting, Verdict};

const REQUESTS: usize = 12;
const WORK: Duration = Duration::from_millis(7_000);
const BUDGET: Duration = Duration::from_secs(15);
const TIMEOUT_S: f64 = 10.0;
/// Pause between the two restarts.
const GAP_S: f64 = 2.0;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let route = Route {
        name: "r-confirm",
        host: "confirm.example",
        prefix: "/confirm/",
        kind: "unsafe",
        timeout_s: TIMEOUT_S,
        service: "booking",
    };
    configure(&store, 1, &[route]);
    let plan = Arc::new(|_: &_| Plan::new(WORK, 500));
    for (id, zone) in [
        ("i-1", "north-a"),
        ("i-2", "north-a"),
        ("i-3", "north-a"),
        ("i-4", "north-b"),
        ("i-5", "north-b"),
        ("i-6", "north-b"),
    ] {
        Server::start(&store, record, (id, "booking", zone), plan.clone());
    }
    let zones = [
        ("north-a", "north"),
        ("north-b", "north"),
        ("south-a", "south"),
    ];
    let Some(mut fleet) = Fleet::start(&store, &zones, record) else {
        return Verdict::CouldNotRun("the daemons did not become ready");
    };
    std::thread::sleep(SETTLE);
    let front = fleet.daemons[1].requests;
    let sent: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let request = Request {
                id: format!("confirm-{n}"),
                method: "POST",
                host: "confirm.example",
                path: format!("/confirm/{n}"),
                budget: BUDGET,
                object: None,
                body: vec![b'b'; 300],
            };
            client::send(front, request, record)
        })
        .collect();
    pause(0.5);
    let mut stopped_at = f64::MAX;
    if setting.has_trouble {
        fleet.signal(0, SIGTERM, record);
        pause(GAP_S);
        stopped_at = fleet.signal(1, SIGTERM, record);
        fleet.restart(0, Duration::from_secs_f64(GRACE_S - GAP_S), record);
        fleet.restart(1, Duration::from_secs_f64(GAP_S), record);
    }
    let sent: Vec<Sent> = sent
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    keep_logs(setting, &fleet);
    let lost = sent.iter().filter(|sent| {
        let began = record.time_of(&format!("{} runs at server", sent.id));
        let would_end = began.map(|at| at + WORK.as_secs_f64());
        is_lost(sent, would_end, stopped_at)
    });
    let lost = lost.count();
    record.add(format!(
        "{lost} of {REQUESTS} requests were broken off at work"
    ));
    let ran = sent.iter().filter(|sent| {
        record
            .time_of(&format!("{} runs at server", sent.id))
            .is_some()
    });
    match (lost, ran.count()) {
        (0, REQUESTS) => Verdict::Held,
        (0, _) => Verdict::CouldNotRun("not every request reached a server"),
        _ => Verdict::Broken,
    }
}

/// Returns whether rule LOST counts a request of the second daemon: it was passed on to a server, and ended
/// around that daemon's SIGTERM without the server's answer. Excused are the time limits, and servers that
/// would have worked into the last sixth of the grace period.
fn is_lost(sent: &Sent, would_end: Option<f64>, stopped_at: f64) -> bool {
    let has_answer = matches!(
        sent.outcome,
        Outcome::Answered {
            is_signed: true,
            ..
        }
    );
    let is_around = (stopped_at..stopped_at + GRACE_S + 1.0).contains(&sent.ended_at);
    let took = sent.ended_at - sent.sent_at;
    let is_due = took >= TIMEOUT_S.min(BUDGET.as_secs_f64());
    let is_late_work = would_end.is_some_and(|at| at >= stopped_at + GRACE_S * 5.0 / 6.0);
    would_end.is_some() && !has_answer && is_around && !is_due && !is_late_work
}
