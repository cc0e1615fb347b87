//! The types of a trace: its head, its events and its stated outcomes.
//!
//! A trace file holds one JSON object a line. `docs/traces.md` describes each key; the
//! types here are that page in code.

use std::collections::BTreeMap;

use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The version of the format that this package reads and writes.
pub const FORMAT_VERSION: u32 = 1;
/// Length of one step where the head names none, in milliseconds.
pub const DEFAULT_STEP: Millis = Millis(100);

/// Requests on one look-up answer where the head names no number.
pub const DEFAULT_REQUESTS_PER_ANSWER: f64 = 2.0;

/// One trace, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Where the trace was read from, for messages.
    pub file: String,
    /// The circumstances that hold from the beginning.
    pub head: Head,
    /// What was seen, in order of time.
    pub events: Vec<Event>,
    /// What has to hold.
    pub outcomes: Vec<StatedOutcome>,
}

/// The circumstances of a trace that hold from its beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The version of the format, [`FORMAT_VERSION`].
    pub version: u32,
    /// The name of the trace, unique among the files of one run.
    pub name: String,
    /// What a user sees, in which order, and why.
    pub story: Vec<String>,
    /// The seed of all randomness in the replay.
    pub seed: u64,
    /// The end of the replay.
    pub duration_ms: Millis,
    /// The length of one step of demand.
    #[serde(default = "default_step")]
    pub step_ms: Millis,
    /// How long a message between two daemons is under way.
    pub message_delay: MessageDelay,
    /// How old a load report is when a daemon gets it.
    #[serde(default)]
    pub report_lag_ms: Millis,
    /// How often a refused caller asks again.
    #[serde(default)]
    pub caller_retries: u32,
    /// How many requests a caller makes on one look-up answer before that expires.
    #[serde(default = "default_requests_per_answer")]
    pub requests_per_answer: f64,
    /// The entry VMs of each failure domain that are up at the beginning.
    pub vms: BTreeMap<DomainName, Vec<VmName>>,
    /// How long a backend server works on a request, by service.
    pub service_times: BTreeMap<ServiceName, Millis>,
    /// The settings in force at the beginning.
    pub plan: Plan,
}

fn default_requests_per_answer() -> f64 {
    DEFAULT_REQUESTS_PER_ANSWER
}

fn default_step() -> Millis {
    DEFAULT_STEP
}

/// How long a message between two daemons is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MessageDelay {
    /// Between failure domains of one region, and within one.
    pub within_region_ms: Millis,
    /// Between failure domains of two regions.
    pub between_regions_ms: Millis,
}

/// One thing that a daemon saw.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// When, in milliseconds from the beginning of the trace.
    pub at: Millis,
    /// The daemon that saw it.
    pub vm: VmName,
    /// What it saw.
    #[serde(flatten)]
    pub seen: Seen,
}

/// What a daemon saw.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Seen {
    /// Callers of one source domain ask for a service at another rate from now on.
    Demand(Demand),
    /// The reports of one place change in what they have to do with the truth.
    Report(Report),
    /// An entry VM comes up, leaves or is gone.
    Vm(VmChange),
    /// The backend servers of one place and service change.
    Backend(BackendChange),
    /// Messages between failure domains stop for a while.
    Cut(Cut),
    /// The platform's store stops answering for a while.
    Store(StoreOutage),
    /// An operator's change of settings is accepted.
    Settings(SettingsChange),
    /// An operator starts or ends a drain.
    Drain(Drain),
    /// A decision that a running daemon took; a replay takes its own and passes over it.
    Decision(Decision),
}

/// Callers of one source domain ask for a service at another rate from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The failure domain that the callers are nearest to.
    pub source: DomainName,
    /// The block of callers; rates of several blocks of one source add up.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub block: String,
    /// The service that they ask for.
    pub service: ServiceName,
    /// How urgent their requests are.
    #[serde(default)]
    pub class: Class,
    /// Whether each of their requests may run only once.
    #[serde(default, skip_serializing_if = "is_false")]
    pub at_most_once: bool,
    /// Requests a second.
    pub per_second: f64,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The reports of one place change in what they have to do with the truth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The place that reports.
    pub place: PlaceName,
    /// What it reports from now on.
    pub reported: Reported,
    /// The load that it truly had, in thousandths of its cap, where that is known; for the
    /// reader only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub actual_permille: Option<u32>,
}

/// What a place reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reported {
    /// Its true load, as old as the head's `report_lag_ms`.
    Truth,
    /// Nothing.
    Silent,
    /// Always the same load, in thousandths of its cap.
    Permille(u32),
}

/// An entry VM comes up, leaves or is gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmChange {
    /// The entry VM that changes.
    pub subject: VmName,
    /// What becomes of it.
    pub state: VmState,
    /// The failure domain, for a VM that the head doesn't name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainName>,
    /// How much later the platform's list tells it.
    #[serde(default)]
    pub listed_after_ms: Millis,
}

/// What becomes of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs, as a new process.
    Up,
    /// It was told to stop and finishes what it has.
    Leaving,
    /// It has stopped.
    Gone,
}

/// The backend servers of one place and service change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendChange {
    /// The place that the backend servers belong to.
    pub place: PlaceName,
    /// The service that they serve; every service of the place where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The part of their slots that truly work, in thousandths.
    #[serde(default = "whole")]
    pub working_permille: u32,
    /// How long they work on a request; the head's value where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service_ms: Option<Millis>,
    /// The part of requests that run but whose answer is lost, in thousandths.
    #[serde(default)]
    pub answer_lost_permille: u32,
    /// Their caches, where those are empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
    /// Whether their health endpoint says that they are well.
    #[serde(default = "yes")]
    pub healthy: bool,
}

/// An empty cache, which fills with the traffic it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Requests that each upstream has to run until its cache is warm.
    pub requests: u32,
    /// How long it works on each of them.
    pub service_ms: Millis,
}

fn whole() -> u32 {
    1000
}

fn yes() -> bool {
    true
}

/// Messages between failure domains stop for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// The failure domains on the one side.
    pub from: Vec<DomainName>,
    /// The failure domains on the other side; all others where absent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<DomainName>,
    /// Whether messages from the other side still arrive.
    #[serde(default)]
    pub one_way: bool,
    /// Whether the failure domains of `from` lose the platform too.
    #[serde(default)]
    pub platform: bool,
    /// When the cut ends.
    pub until_ms: Millis,
}

/// The platform's store stops answering for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreOutage {
    /// When it answers again.
    pub until_ms: Millis,
}

/// An operator's change of settings is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsChange {
    /// New values in the plan, by JSON pointer (RFC 6901) from the plan's root.
    pub set: BTreeMap<String, serde_json::Value>,
}

/// An operator starts or ends a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What is drained.
    pub subject: DrainSubject,
    /// Whether the drain starts; otherwise it ends.
    #[serde(default = "yes")]
    pub on: bool,
}

/// What a drain moves traffic away from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainSubject {
    /// One place.
    Place(PlaceName),
    /// All places of a region.
    Region(RegionName),
    /// One entry VM.
    Vm(VmName),
}

/// A decision that a running daemon took.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// The service that the requests were for.
    pub service: ServiceName,
    /// Requests that it sent to each place since its last line.
    pub sent: BTreeMap<PlaceName, u32>,
    /// Requests that it refused since its last line.
    pub refused: u32,
}

/// Something that has to hold, with its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedOutcome {
    /// What it means to a user.
    pub name: String,
    /// What is measured.
    pub metric: Metric,
    /// How the measured value is compared.
    pub is: Comparison,
    /// What it is compared with.
    pub value: f64,
    /// The beginning of the window; the beginning of the trace where absent.
    #[serde(default)]
    pub from_ms: Millis,
    /// The end of the window; the end of the trace where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_ms: Option<Millis>,
    /// Only this client account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// Only this service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Only this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// Only callers of this source domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<DomainName>,
    /// Only this place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<PlaceName>,
    /// Only this region.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
}

/// What a stated outcome measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Seconds in which a place, region or link was over its cap, each counted.
    Overloads,
    /// The furthest that a place, region or link was over its cap, in thousandths of it.
    WorstExcessPermille,
    /// Requests answered, in thousandths of those asked.
    GoodputPermille,
    /// Requests refused.
    Refused,
    /// Requests refused in a step in which a place that could have run them had room.
    RefusedWithRoom,
    /// Requests that a backend server shed because its slots were full.
    Shed,
    /// Requests in progress at an entry VM that was told to stop, when it stopped.
    CutByStop,
    /// Runs of at-most-once requests beyond the first.
    DoubleRuns,
    /// The least room under a region's cap in any second, in thousandths of the cap; under
    /// the place's where the outcome names one.
    LowestHeadroomPermille,
    /// The most that any second of the window brought, in requests a second.
    PeakPerSecond,
    /// From the beginning of the window until nothing runs at the place or region any more.
    DrainMs,
    /// From the beginning of the window until goodput stays at 990 thousandths or more in
    /// each block of five seconds.
    SettleMs,
    /// Capacity lent and not used, in thousandths of all caps, mean over the window.
    StrandedPermille,
    /// Times that a flow between a source and a place turned round.
    DirectionChanges,
    /// Messages between daemons, per daemon and second.
    MessagesPerSecond,
    /// Bytes of those messages, per daemon and second.
    BytesPerSecond,
}

/// How a measured value is compared with the stated one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// The measured value is the stated one or less.
    AtMost,
    /// The measured value is the stated one or more.
    AtLeast,
}
