//! One daemon is killed and starts again while a few requests of the same text, which may run only once, are
//! at it as the home VM of their server.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::{Route, SETTLE, configure, keep_logs, pause};
use crate::client::{self, Outcome, Request, Sent};
use crate::fleet::{Fleet, SIGKILL};
use crate::http::Head;
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
];
const SERVERS_PER_ZONE: usize = 4;
const WORK: Duration = Duration::from_millis(2_500);
const BUDGET: Duration = Duration::from_secs(10);
/// Pause between two requests of one kind at one daemon.
const INTERVAL_S: f64 = 0.25;
/// Length of the traffic, and the time in it at which the daemon is killed.
const TRAFFIC_S: f64 = 45.0;
const KILLED_AT_S: f64 = 5.0;
/// How long the platform takes to start a killed process again.
const RESTART_DELAY_S: f64 = 0.5;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let route = |name, host, prefix, kind, service| Route {
        name,
        host,
        prefix,
        kind,
        timeout_s: 5.0,
        service,
    };
    let take = route("r-take", "orders.example", "/orders/", "unsafe", "orders");
    let read = route("r-read", "plans.example", "/plans/", "safe", "plans");
    configure(&store, 1, &[take, read]);
    let plan = Arc::new(|_: &Head| Plan::new(WORK, 500));
    for service in ["orders", "plans"] {
        for (zone, _) in ZONES {
            for n in 1..=SERVERS_PER_ZONE {
                let id = format!("i-{service}-{zone}-{n}");
                Server::start(&store, record, (&id, service, zone), plan.clone());
            }
        }
    }
    let Some(mut fleet) = Fleet::start(&store, &ZONES, record) else {
        return Verdict::CouldNotRun("the daemons did not become ready");
    };
    thread::sleep(SETTLE);
    let mut sent: Vec<JoinHandle<Sent>> = Vec::new();
    let rounds = (TRAFFIC_S / INTERVAL_S) as usize;
    let mut is_killed = false;
    let mut skipped = None;
    for round in 0..rounds {
        if setting.has_trouble && !is_killed && round as f64 * INTERVAL_S >= KILLED_AT_S {
            let Some(zone) = zone_of_order(setting) else {
                return Verdict::CouldNotRun("no order reached a server");
            };
            fleet.signal(zone, SIGKILL, record);
            pause(RESTART_DELAY_S);
            fleet.restart(zone, Duration::ZERO, record);
            is_killed = true;
            skipped = Some(zone);
        }
        for (n, daemon) in fleet.daemons.iter().enumerate() {
            // Clients don't come back to a killed daemon.
            if skipped != Some(n) {
                let order = order(format!("order-{round}-{n}"));
                sent.push(client::send(daemon.requests, order, record));
                for plan in ["a", "b"] {
                    let plan = read_plan(format!("plan-{round}-{n}-{plan}"), round);
                    sent.push(client::send(daemon.requests, plan, record));
                }
            }
        }
        pause(INTERVAL_S);
    }
    let sent: Vec<Sent> = sent
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    keep_logs(setting, &fleet);
    let orders: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.id.starts_with("order"))
        .collect();
    let all: Vec<&Sent> = sent.iter().collect();
    let (of_orders, of_all) = (served_share(&orders), served_share(&all));
    record.add(format!(
        "served: {of_orders:.3} of {} orders, {of_all:.3} of all {} requests",
        orders.len(),
        all.len()
    ));
    // Rule Starved: a kind of request is served less than a quarter as often as all requests.
    match of_orders < of_all / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Takes the next order of one queue: all such requests are alike but for their identifiers.
fn order(id: String) -> Request {
    Request {
        id,
        method: "POST",
        host: "orders.example",
        path: "/orders/next".to_owned(),
        budget: BUDGET,
        object: Some("queue-7".to_owned()),
        body: Vec::new(),
    }
}

fn read_plan(id: String, round: usize) -> Request {
    Request {
        id,
        method: "GET",
        host: "plans.example",
        path: format!("/plans/{}", round % 20),
        budget: BUDGET,
        object: Some(format!("plan-{}", round % 20)),
        body: Vec::new(),
    }
}

/// Returns the index of the zone whose server gets the orders; its only daemon is the server's home.
fn zone_of_order(setting: &Setting) -> Option<usize> {
    let line = setting.record.last_with("order-", " runs at server ")?;
    ZONES.iter().position(|(zone, _)| line.contains(zone))
}

fn served_share(sent: &[&Sent]) -> f64 {
    let is_served = |sent: &&&Sent| {
        matches!(
            sent.outcome,
            Outcome::Answered {
                status: 200,
                is_signed: true
            }
        )
    };
    sent.iter().filter(is_served).count() as f64 / sent.len().max(1) as f64
}
