//! A daemon is stopped while a server has yet to read the body of a request.

use std::sync::Arc;
use std::time::Duration;

use super::{GRACE_S, Route, SETTLE, configure, keep_logs, pause};
use crate::client::{self, Outcome, Request, Sent};
use crate::fleet::{Fleet, SIGTERM};
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::{Setting, Verdict};

const REQUESTS: usize = 8;
const WAIT: Duration = Duration::from_millis(2_800);
const WORK: Duration = Duration::from_millis(300);
const BUDGET: Duration = Duration::from_secs(8);
const TIMEOUT_S: f64 = 7.5;
const BODY: usize = 60_000;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let route = Route {
        name: "r-upload",
        host: "upload.example",
        prefix: "/upload/",
        kind: "upload",
        timeout_s: TIMEOUT_S,
        service: "survey",
    };
    configure(&store, 1, &[route]);
    let wait = if setting.has_trouble {
        WAIT
    } else {
        Duration::ZERO
    };
    let plan = Arc::new(move |_: &_| Plan {
        wait_before_body: wait,
        ..Plan::new(WORK, 500)
    });
    for id in ["i-1", "i-2"] {
        Server::start(&store, record, (id, "survey", "north-a"), plan.clone());
    }
    let Some(fleet) = Fleet::start(&store, &[("north-a", "north")], record) else {
        return Verdict::CouldNotRun("the daemon did not become ready");
    };
    std::thread::sleep(SETTLE);
    let front = fleet.daemons[0].requests;
    let sent: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let request = Request {
                id: format!("upload-{n}"),
                method: "POST",
                host: "upload.example",
                path: format!("/upload/{n}"),
                budget: BUDGET,
                object: None,
                body: vec![b'b'; BODY],
            };
            client::send(front, request, record)
        })
        .collect();
    pause(0.3);
    let stopped_at = fleet.signal(0, SIGTERM, record);
    let sent: Vec<Sent> = sent
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    keep_logs(setting, &fleet);
    let lost = sent.iter().filter(|sent| {
        let reached = record
            .time_of(&format!("{} reaches server", sent.id))
            .is_some();
        let has_answer = matches!(
            sent.outcome,
            Outcome::Answered {
                is_signed: true,
                ..
            }
        );
        let is_around = (stopped_at..stopped_at + GRACE_S + 1.0).contains(&sent.ended_at);
        let is_due = sent.ended_at - sent.sent_at >= TIMEOUT_S;
        reached && !has_answer && is_around && !is_due
    });
    let lost = lost.count();
    record.add(format!(
        "{lost} of {REQUESTS} requests were broken off after they had been passed on"
    ));
    if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
