//! Reading a trace: one JSON object a line, each checked against the head.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use heatherknot_types::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::error::{Error, ReadSnafu, Result};
use crate::trace::{Event, FORMAT_VERSION, Head, Seen, StatedOutcome, Trace};

/// The shortest step that a head may ask for.
const MIN_STEP: Millis = Millis(10);
/// The longest step that a head may ask for: windows of one second hold whole steps.
const MAX_STEP: Millis = Millis(1000);
/// The longest trace that is replayed: a day.
const MAX_DURATION: Millis = Millis(86_400_000);

/// Reads a trace from a file.
///
/// # Errors
///
/// Fails where the file can't be read and for each fault that [`parse`] names.
pub fn read(path: &Path) -> Result<Trace> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&path.display().to_string(), &text)
}

/// Parses the text of a trace; `file` names it in errors.
///
/// Events are put in order of time; those of one time keep the order of their lines.
///
/// # Errors
///
/// Fails at the first bad line, and names the file, the line, the key and the cause.
pub fn parse(file: &str, text: &str) -> Result<Trace> {
    let mut lines = text
        .lines()
        .enumerate()
        .map(|(i, text)| Line {
            file,
            number: i + 1,
            text,
        })
        .filter(|line| !line.text.trim().is_empty());
    let Some(first) = lines.next() else {
        return Err(Error::Empty { file: file.into() });
    };
    let head = first.head()?;
    let known = Known::new(&head);
    let mut trace = Trace {
        file: file.into(),
        head,
        events: Vec::new(),
        outcomes: Vec::new(),
    };
    for line in lines {
        line.read_into(&mut trace, &known)?;
    }
    trace.events.sort_by_key(|event| event.at);
    Ok(trace)
}

/// The names that the lines after the head may use.
struct Known {
    vms: BTreeSet<VmName>,
    domains: BTreeSet<DomainName>,
    places: BTreeSet<PlaceName>,
    regions: BTreeSet<RegionName>,
    services: BTreeSet<ServiceName>,
    accounts: BTreeSet<AccountName>,
}

impl Known {
    fn new(head: &Head) -> Self {
        Self {
            vms: head.vms.values().flatten().cloned().collect(),
            domains: head.plan.domains.keys().cloned().collect(),
            places: head.plan.places.keys().cloned().collect(),
            regions: head.plan.regions.keys().cloned().collect(),
            services: head.plan.services.keys().cloned().collect(),
            accounts: head
                .plan
                .services
                .values()
                .map(|s| s.account.clone())
                .collect(),
        }
    }
}

/// One line with the place that it stands at.
#[derive(Clone, Copy)]
struct Line<'a> {
    file: &'a str,
    number: usize,
    text: &'a str,
}

impl Line<'_> {
    fn error(&self, key: &str, cause: impl Into<String>) -> Error {
        Error::Line {
            file: self.file.into(),
            line: self.number,
            key: key.into(),
            cause: cause.into(),
        }
    }

    /// Takes the line apart into its kind and its other keys.
    fn object(&self) -> Result<(String, Map<String, Value>)> {
        let value: Value = serde_json::from_str(self.text)
            .map_err(|e| self.error("", format!("not a JSON value: {e}")))?;
        let Value::Object(mut map) = value else {
            return Err(self.error("", format!("expected an object, found {value}")));
        };
        match map.remove("kind") {
            Some(Value::String(kind)) => Ok((kind, map)),
            Some(other) => Err(self.error("kind", format!("expected a string, found {other}"))),
            None => Err(self.error("kind", "missing")),
        }
    }

    fn decode<T: DeserializeOwned>(&self, prefix: &str, value: Value) -> Result<T> {
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let path = path.trim_start_matches('.');
            self.error(
                &format!("{prefix}{path}"),
                one_line(&e.into_inner().to_string()),
            )
        })
    }

    fn head(&self) -> Result<Head> {
        let (kind, map) = self.object()?;
        if kind != "head" {
            return Err(self.error(
                "kind",
                format!("the first line must be the head, found `{kind}`"),
            ));
        }
        if map.get("version").and_then(Value::as_u64) != Some(u64::from(FORMAT_VERSION)) {
            let found = map.get("version").unwrap_or(&Value::Null);
            return Err(self.error(
                "version",
                format!("expected {FORMAT_VERSION}, found {found}"),
            ));
        }
        let head: Head = self.decode("", Value::Object(map))?;
        self.check_head(&head)?;
        Ok(head)
    }

    fn check_head(&self, head: &Head) -> Result<()> {
        if head.step_ms < MIN_STEP || head.step_ms > MAX_STEP || 1000 % head.step_ms.0 != 0 {
            let cause = format!(
                "expected a divisor of 1000 from {} to {}, found {}",
                MIN_STEP.0, MAX_STEP.0, head.step_ms.0
            );
            return Err(self.error("step_ms", cause));
        }
        if head.duration_ms > MAX_DURATION || head.duration_ms < MAX_STEP {
            let cause = format!(
                "expected {} to {}, found {}",
                MAX_STEP.0, MAX_DURATION.0, head.duration_ms.0
            );
            return Err(self.error("duration_ms", cause));
        }
        if !(0.01..=1e6).contains(&head.requests_per_answer) {
            let cause = format!(
                "expected 0.01 to 1000000, found {}",
                head.requests_per_answer
            );
            return Err(self.error("requests_per_answer", cause));
        }
        for domain in head.vms.keys() {
            self.must_know(
                "vms",
                "failure domain",
                &head.plan.domains.keys().cloned().collect(),
                domain,
            )?;
        }
        for service in head.plan.services.keys() {
            if !head.service_times.contains_key(service) {
                return Err(self.error("service_times", format!("no time for service `{service}`")));
            }
        }
        Ok(())
    }

    fn read_into(&self, trace: &mut Trace, known: &Known) -> Result<()> {
        let (kind, mut map) = self.object()?;
        if kind == "outcome" {
            let outcome = self.decode("", Value::Object(map))?;
            self.check_outcome(&outcome, known)?;
            trace.outcomes.push(outcome);
            return Ok(());
        }
        let at = map
            .remove("at")
            .ok_or_else(|| self.error("at", "missing"))?;
        let at: Millis = self.decode("at", at)?;
        let vm = map
            .remove("vm")
            .ok_or_else(|| self.error("vm", "missing"))?;
        let vm: VmName = self.decode("vm", vm)?;
        let seen = self.seen(&kind, Value::Object(map))?;
        let event = Event { at, vm, seen };
        self.check_event(&event, &trace.head, known)?;
        trace.events.push(event);
        Ok(())
    }

    fn seen(&self, kind: &str, value: Value) -> Result<Seen> {
        Ok(match kind {
            "demand" => Seen::Demand(self.decode("", value)?),
            "report" => Seen::Report(self.decode("", value)?),
            "vm" => Seen::Vm(self.decode("", value)?),
            "backend" => Seen::Backend(self.decode("", value)?),
            "cut" => Seen::Cut(self.decode("", value)?),
            "store" => Seen::Store(self.decode("", value)?),
            "settings" => Seen::Settings(self.decode("", value)?),
            "drain" => Seen::Drain(self.decode("", value)?),
            "decision" => Seen::Decision(self.decode("", value)?),
            other => {
                let cause = format!(
                    "expected demand, report, vm, backend, cut, store, settings, drain, \
                     decision or outcome, found `{other}`"
                );
                return Err(self.error("kind", cause));
            }
        })
    }

    fn must_know<N: Ord + std::fmt::Display>(
        &self,
        key: &str,
        what: &str,
        known: &BTreeSet<N>,
        name: &N,
    ) -> Result<()> {
        if known.contains(name) {
            return Ok(());
        }
        Err(self.error(key, format!("the head names no {what} `{name}`")))
    }

    fn check_event(&self, event: &Event, head: &Head, known: &Known) -> Result<()> {
        if event.at > head.duration_ms {
            let cause = format!("after the end of the trace at {}", head.duration_ms);
            return Err(self.error("at", cause));
        }
        match &event.seen {
            Seen::Demand(demand) => {
                self.must_know("source", "failure domain", &known.domains, &demand.source)?;
                self.must_know("service", "service", &known.services, &demand.service)?;
                if !demand.per_second.is_finite() || demand.per_second < 0.0 {
                    return Err(self.error("per_second", "expected 0 or more"));
                }
            }
            Seen::Report(report) => {
                self.must_know("place", "place", &known.places, &report.place)?;
            }
            Seen::Vm(change) => match &change.domain {
                Some(domain) => {
                    self.must_know("domain", "failure domain", &known.domains, domain)?
                }
                None => self.must_know("subject", "entry VM", &known.vms, &change.subject)?,
            },
            Seen::Backend(change) => self.check_backend(change, known)?,
            Seen::Cut(cut) => {
                for domain in &cut.from {
                    self.must_know("from", "failure domain", &known.domains, domain)?;
                }
                for domain in &cut.to {
                    self.must_know("to", "failure domain", &known.domains, domain)?;
                }
            }
            Seen::Settings(change) => self.check_settings(change, head)?,
            Seen::Drain(drain) => self.check_drain(drain, known)?,
            Seen::Store(_) | Seen::Decision(_) => {}
        }
        Ok(())
    }

    fn check_backend(&self, change: &crate::trace::BackendChange, known: &Known) -> Result<()> {
        self.must_know("place", "place", &known.places, &change.place)?;
        if let Some(service) = &change.service {
            self.must_know("service", "service", &known.services, service)?;
        }
        for (key, value) in [
            ("working_permille", change.working_permille),
            ("answer_lost_permille", change.answer_lost_permille),
        ] {
            if value > 1000 {
                return Err(self.error(key, format!("expected 0 to 1000, found {value}")));
            }
        }
        Ok(())
    }

    fn check_settings(&self, change: &crate::trace::SettingsChange, head: &Head) -> Result<()> {
        let mut plan = serde_json::to_value(&head.plan).expect("a plan is plain JSON");
        for (pointer, value) in &change.set {
            let key = format!("set.{pointer}");
            let Some(slot) = plan.pointer_mut(pointer) else {
                return Err(self.error(&key, "the plan has no such value"));
            };
            *slot = value.clone();
            let checked: std::result::Result<heatherknot_types::plan::Plan, _> =
                serde_json::from_value(plan.clone());
            if let Err(e) = checked {
                return Err(self.error(&key, one_line(&e.to_string())));
            }
        }
        Ok(())
    }

    fn check_drain(&self, drain: &crate::trace::Drain, known: &Known) -> Result<()> {
        use crate::trace::DrainSubject::{Place, Region, Vm};
        match &drain.subject {
            Place(place) => self.must_know("subject.place", "place", &known.places, place),
            Region(region) => self.must_know("subject.region", "region", &known.regions, region),
            Vm(vm) => self.must_know("subject.vm", "entry VM", &known.vms, vm),
        }
    }

    fn check_outcome(&self, outcome: &StatedOutcome, known: &Known) -> Result<()> {
        if let Some(account) = &outcome.account {
            self.must_know("account", "client account", &known.accounts, account)?;
        }
        if let Some(service) = &outcome.service {
            self.must_know("service", "service", &known.services, service)?;
        }
        if let Some(source) = &outcome.source {
            self.must_know("source", "failure domain", &known.domains, source)?;
        }
        if let Some(place) = &outcome.place {
            self.must_know("place", "place", &known.places, place)?;
        }
        if let Some(region) = &outcome.region {
            self.must_know("region", "region", &known.regions, region)?;
        }
        if !outcome.value.is_finite() {
            return Err(self.error("value", "expected a number"));
        }
        Ok(())
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
