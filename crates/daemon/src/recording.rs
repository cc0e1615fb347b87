//! Records what this daemon saw and decided as a trace that `heatherknot replay` reads.
//!
//! The trace is kept in memory, bounded, and written whole every few seconds: its head states
//! the duration and the times of the services, which are known only afterwards.

mod counts;

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use heatherknot_replay::trace::{
    DEFAULT_REQUESTS_PER_ANSWER, DEFAULT_STEP, Decision, Demand, Event, FORMAT_VERSION, Head,
    MessageDelay, Seen, SettingsChange, StoreOutage, Trace, VmChange, VmState,
};
use heatherknot_replay::write;
use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;
use serde_json::Value as Json;

use crate::config::Record;
use crate::context::DaemonContext;
use crate::lookup::directory::Presence;
use counts::Counts;

/// How often the inputs are looked at.
const PERIOD: Duration = Duration::from_secs(1);
/// Looks between two writings of the file.
const LOOKS_PER_WRITE: u64 = 10;
/// Most events kept; a record that is full goes on without new ones.
const MAX_EVENTS: usize = 50_000;
/// The least change of a rate that is recorded, in thousandths.
const LEAST_CHANGE_PERMILLE: f64 = 50.0;
/// Delays that a replay of the record assumes.
const DELAYS: MessageDelay = MessageDelay {
    within_region_ms: Millis(1),
    between_regions_ms: Millis(55),
};
/// The time of a service that has not answered yet.
const UNKNOWN_SERVICE_TIME: Millis = Millis(100);

/// One record under way.
struct Recording {
    cx: Rc<DaemonContext>,
    began: Millis,
    first_plan: Plan,
    first_vms: BTreeMap<DomainName, Vec<VmName>>,
    plan: Json,
    vms: BTreeMap<VmName, (DomainName, Presence)>,
    rates: BTreeMap<(ServiceName, Class), f64>,
    counts: Counts,
    store_down_since: Option<Millis>,
    events: Vec<Event>,
}

/// Records until the time in the start settings is over or the daemon stops.
pub async fn run(cx: Rc<DaemonContext>, record: Record) {
    while cx.holder.borrow().revision() == Revision::NONE {
        if cx.stop.is_fired() {
            return;
        }
        monoio::time::sleep(PERIOD).await;
    }
    let mut recording = Recording::begin(Rc::clone(&cx));
    for look in 1u64.. {
        monoio::time::sleep(PERIOD).await;
        recording.look();
        let over = recording.elapsed() >= record.for_ms || cx.stop.is_fired();
        if (over || look.is_multiple_of(LOOKS_PER_WRITE))
            && let Err(error) = recording.write(&record.file)
        {
            log::warn!(step = "write the record", file:? = record.file, error:% = error; "kept in memory");
        }
        if over {
            log::info!(file:? = record.file, events = recording.events.len(); "record finished");
            return;
        }
    }
}

impl Recording {
    fn begin(cx: Rc<DaemonContext>) -> Self {
        let first_plan = Plan::clone(cx.steering.borrow().plan());
        let mut recording = Self {
            began: cx.clock.now(),
            plan: plan_json(&first_plan),
            first_plan,
            first_vms: BTreeMap::new(),
            vms: BTreeMap::new(),
            rates: BTreeMap::new(),
            counts: Counts::read(&cx.registry),
            store_down_since: None,
            events: Vec::new(),
            cx,
        };
        recording.vms = recording.present_vms();
        for (vm, (domain, _)) in &recording.vms {
            recording
                .first_vms
                .entry(domain.clone())
                .or_default()
                .push(vm.clone());
        }
        recording
    }

    fn elapsed(&self) -> Millis {
        self.cx.clock.now().since(self.began)
    }

    fn add(&mut self, at: Millis, seen: Seen) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(Event {
                at,
                vm: self.cx.me.vm.clone(),
                seen,
            });
        }
    }

    fn look(&mut self) {
        let at = self.elapsed();
        self.look_at_traffic(at);
        self.look_at_vms(at);
        self.look_at_settings(at);
        self.look_at_store(at);
    }

    fn look_at_traffic(&mut self, at: Millis) {
        let counts = Counts::read(&self.cx.registry);
        let since = counts.since(&self.counts);
        self.counts = counts;
        let passed = PERIOD.as_secs_f64();
        let known: Vec<(ServiceName, Class)> = self.rates.keys().cloned().collect();
        for key in known.into_iter().chain(since.requests.keys().cloned()) {
            let rate = since.requests.get(&key).map_or(0.0, |n| *n as f64 / passed);
            let before = self.rates.get(&key).copied().unwrap_or(0.0);
            if (rate - before).abs() * 1000.0 <= before * LEAST_CHANGE_PERMILLE {
                continue;
            }
            self.rates.insert(key.clone(), rate);
            let (service, class) = key;
            let source = self.cx.cfg.domain.clone();
            let block = self.cx.me.vm.to_string();
            self.add(
                at,
                Seen::Demand(Demand {
                    source,
                    block,
                    service,
                    class,
                    at_most_once: false,
                    per_second: rate,
                }),
            );
        }
        for (service, decided) in since.decisions {
            let Some(decided) = decided.filter_some() else {
                continue;
            };
            let (sent, refused) = (decided.sent, decided.refused);
            self.add(
                at,
                Seen::Decision(Decision {
                    service,
                    sent,
                    refused,
                }),
            );
        }
    }

    fn present_vms(&self) -> BTreeMap<VmName, (DomainName, Presence)> {
        let directory = self.cx.directory.borrow();
        let vms = directory.vms();
        vms.map(|vm| (vm.vm.clone(), (vm.domain.clone(), vm.presence)))
            .collect()
    }

    fn look_at_vms(&mut self, at: Millis) {
        let now = self.present_vms();
        let before = std::mem::replace(&mut self.vms, now.clone());
        for (vm, (domain, presence)) in &now {
            let known = before.get(vm).map(|(_, presence)| *presence);
            let state = match (known, presence) {
                (None, Presence::Alive) => VmState::Up,
                (Some(Presence::Alive | Presence::Suspect), Presence::Leaving) => VmState::Leaving,
                _ => continue,
            };
            self.add_vm(at, vm, state, Some(domain.clone()));
        }
        for vm in before.keys().filter(|vm| !now.contains_key(*vm)) {
            self.add_vm(at, vm, VmState::Gone, None);
        }
    }

    fn add_vm(&mut self, at: Millis, vm: &VmName, state: VmState, domain: Option<DomainName>) {
        let subject = vm.clone();
        let listed_after_ms = Millis(0);
        self.add(
            at,
            Seen::Vm(VmChange {
                subject,
                state,
                domain,
                listed_after_ms,
            }),
        );
    }

    fn look_at_settings(&mut self, at: Millis) {
        let plan = plan_json(self.cx.steering.borrow().plan());
        let Some(sections) = plan.as_object() else {
            return;
        };
        let changed = sections
            .iter()
            .filter(|(name, value)| self.plan[name.as_str()] != **value);
        let set: BTreeMap<String, Json> = changed
            .map(|(name, value)| (format!("/{name}"), value.clone()))
            .collect();
        if !set.is_empty() {
            self.add(at, Seen::Settings(SettingsChange { set }));
        }
        self.plan = plan;
    }

    fn look_at_store(&mut self, at: Millis) {
        let down = self.cx.relay.status().store_error.is_some();
        match (down, self.store_down_since) {
            (true, None) => self.store_down_since = Some(at),
            (false, Some(since)) => {
                self.store_down_since = None;
                // The line states when the outage ended, so it is written only now.
                self.add(since, Seen::Store(StoreOutage { until_ms: at }));
            }
            _ => {}
        }
    }

    fn trace(&self) -> Trace {
        let times = Counts::service_times(&self.cx.registry);
        let service_times = self.first_plan.services.keys().map(|service| {
            let time = times.get(service).copied().unwrap_or(UNKNOWN_SERVICE_TIME);
            (service.clone(), time)
        });
        Trace {
            file: String::new(),
            head: Head {
                requests_per_answer: DEFAULT_REQUESTS_PER_ANSWER,
                version: FORMAT_VERSION,
                name: format!("record-{}", self.cx.me.vm),
                story: vec![format!("What {} saw and decided.", self.cx.me.vm)],
                seed: self.cx.me.incarnation.0,
                duration_ms: self.elapsed(),
                step_ms: DEFAULT_STEP,
                message_delay: DELAYS,
                report_lag_ms: Millis(0),
                caller_retries: 0,
                vms: self.first_vms.clone(),
                service_times: service_times.collect(),
                plan: self.first_plan.clone(),
            },
            events: self.events.clone(),
            outcomes: Vec::new(),
        }
    }

    /// Writes the record beside the file and renames it, so that a reader never finds half.
    fn write(&self, file: &Path) -> io::Result<()> {
        let beside = file.with_extension("part");
        std::fs::write(&beside, write::text(&self.trace()))?;
        std::fs::rename(&beside, file)
    }
}

fn plan_json(plan: &Plan) -> Json {
    serde_json::to_value(plan).expect("a plan always serialises")
}
