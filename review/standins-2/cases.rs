//! The cases.

mod killed_home;
mod rolling_restart;
mod slow_reader;

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::store::Store;
use crate::{Setting, Verdict};

/// Time that the daemons get to know each other and the backend servers.
const SETTLE: Duration = Duration::from_secs(7);

/// Runs the case with this name.
pub fn run(case: &str, setting: &Setting) -> Verdict {
    if !Path::new("target/release/heatherknotd").exists() {
        return Verdict::CouldNotRun("target/release/heatherknotd is missing");
    }
    match case {
        "killed-home" => killed_home::run(setting),
        "rolling-restart" => rolling_restart::run(setting),
        "slow-reader" => slow_reader::run(setting),
        _ => Verdict::CouldNotRun("there is no such case"),
    }
}

/// The bound `grace_s` of the installation.
const GRACE_S: f64 = 6.0;

/// A route of the configuration.
struct Route {
    name: &'static str,
    host: &'static str,
    prefix: &'static str,
    kind: &'static str,
    timeout_s: f64,
    service: &'static str,
}

/// Writes the operator's configuration.
fn configure(store: &Store, version: u32, routes: &[Route]) {
    let rows: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, host, prefix, kind, timeout_s, service } = route;
            format!("[\"{name}\",\"{host}\",\"{prefix}\",\"{kind}\",{timeout_s},2.0,1,\"{service}\",2,true,[],null]")
        })
        .collect();
    let mut services: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "[\"{}\",\"/healthz\",330,\"h1\",false,3.0,19.0]",
                route.service
            )
        })
        .collect();
    services.dedup();
    let text = format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout_s\",\
        \"target_latency_s\",\"priority\",\"service\",\"retry_attempts\",\"sticky\",\"home_regions\",\"traffic_split\"],\
        \"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\
        \"cold_start_s\",\"cold_per_s\"],\"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\
        \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        rows.join(","),
        services.join(",")
    );
    store.put("op/config", &text);
}

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Keeps the daemons' logs if that is asked for.
fn keep_logs(setting: &Setting, fleet: &Fleet) {
    if std::env::var("KEEP_LOGS").as_deref() == Ok("1") {
        fleet.keep_logs(&setting.folder);
    }
}
