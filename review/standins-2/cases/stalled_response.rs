//! Servers send a part of a long response and then no more, on channels that stay open.

use std::sync::Arc;
use std::time::Duration;

use super::{Route, SETTLE, configure, keep_logs};
use crate::client::{self, Request, Sent};
use crate::fleet::Fleet;
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::{Setting, Verdict};

const REQUESTS: usize = 12;
const BUDGET: Duration = Duration::from_secs(10);
const TIMEOUT_S: f64 = 2.0;
const LENGTH: usize = 200_000;
const SENT: usize = 120_000;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let route = Route {
        name: "r-pack",
        host: "pack.example",
        prefix: "/pack/",
        kind: "download",
        timeout_s: TIMEOUT_S,
        service: "studio",
    };
    configure(&store, 1, &[route]);
    let sent = if setting.has_trouble { SENT } else { LENGTH };
    let plan = Arc::new(move |_: &_| Plan {
        sent,
        ..Plan::new(Duration::from_millis(200), LENGTH)
    });
    for id in ["i-1", "i-2"] {
        Server::start(&store, record, (id, "studio", "north-a"), plan.clone());
    }
    let Some(fleet) = Fleet::start(&store, &[("north-a", "north")], record) else {
        return Verdict::CouldNotRun("the daemon did not become ready");
    };
    std::thread::sleep(SETTLE);
    let front = fleet.daemons[0].requests;
    let sent: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let request = Request {
                id: format!("pack-{n}"),
                method: "GET",
                host: "pack.example",
                path: format!("/pack/{n}"),
                budget: BUDGET,
                body: Vec::new(),
            };
            client::send(front, request, record)
        })
        .collect();
    let sent: Vec<Sent> = sent
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    keep_logs(setting, &fleet);
    // Rule CONFIG: of the requests that are unanswered at the route's time, eight or more and over a quarter
    // have no final answer half a second later.
    let lasting = |limit: f64| {
        sent.iter()
            .filter(|sent| sent.ended_at - sent.sent_at > limit)
            .count()
    };
    let (at_timeout, later) = (lasting(TIMEOUT_S), lasting(TIMEOUT_S + 0.5));
    record.add(format!("{at_timeout} of {REQUESTS} requests last longer than {TIMEOUT_S} s, {later} over half a second longer"));
    let is_broken = later >= 8 && later * 4 > at_timeout;
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
