//! Timing of a rollout's stages, and the part of the requests that goes to the target version.
//!
//! A deployment limits the share of the requests between order and deadline that a bad version may
//! get. The canary takes less than half of it. The rest is left for the shift, so that a version
//! which fails only under load or only later can still be stopped within the limit. For the same
//! reason the shift comes as late as the deadline allows.

use heatherknot_store::port::StoreRevision;
use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use super::record::{RolloutOrder, RolloutRecord, Stage};

/// Part of the allowed share of the requests that goes to the target version in the canary stage.
const CANARY_FRACTION: f64 = 0.4;
/// Minimum number of servers of each region that get the canary's requests. With fewer, a fault of
/// one or two servers could not be told from one of their version.
pub const MIN_CANARY_SERVERS: usize = 3;
/// Minimum time over which the traffic moves to the target version. Each object's first request
/// there takes several times as long as usual, and all of them at once would overload the servers.
pub const MIN_RAMP: Millis = Millis(2_000);
/// Part of the ramp, by its height, in which all popular objects shift.
const POPULAR_PART: f64 = 0.02;
/// Time at the end of a rollout that is left for the shift, as a part of its time limit and within
/// bounds. It holds the propagation of a record (one second), the ramp, the last requests to the
/// previous version and the write of the result.
const SHIFT_FRACTION: f64 = 0.45;
const MIN_SHIFT_TIME: Millis = Millis(5_500);
const MAX_SHIFT_TIME: Millis = Millis(8_000);
/// Time before the deadline by which the previous version has to have answered all requests. A VM
/// that does not know how long its writes take writes the result then, even if some are left.
const FINISH_MARGIN: Millis = Millis(800);
/// Time after the deadline for which a rollout that has missed it still waits for requests in flight
/// at the previous version.
const OVERDUE_DRAIN_TIME: Millis = Millis(6_000);
/// Time after the ramp within which even VMs that received the record late have finished theirs.
const RAMP_LAG: Millis = Millis(1_200);
/// Time from the decision to shift until the record has reached most VMs.
const SHIFT_LAG: Millis = Millis(600);
/// Answers of the target version without which the traffic does not shift yet.
const MIN_ANSWERS: u64 = 10;
/// Time before the deadline from which the traffic shifts with fewer answers.
const LAST_SHIFT: Millis = Millis(3_200);
/// Answers of the previous version, and time in the canary stage, from which a target version that
/// answered nothing counts as broken, rather than as not asked.
const ANSWERS_THAT_REFUTE_IDLENESS: u64 = 100;
const MIN_CANARY_TIME: Millis = Millis(3_000);

/// What a VM knows of a rollout when it decides on the next stage.
#[derive(Clone, Debug)]
pub struct Progress<'a> {
    /// The order's revision, and the order; `None` if it was removed.
    pub order: Option<(StoreRevision, &'a RolloutOrder)>,
    /// The latest record of the service.
    pub record: Option<&'a RolloutRecord>,
    /// The version in use, if it is known.
    pub established: Option<&'a VersionName>,
    /// Time since the order.
    pub elapsed: Millis,
    /// Why the target version has failed, if it has.
    pub failure: Option<&'a str>,
    /// Answers of the target version and of the previous one, as counted by all VMs.
    pub answers: (u64, u64),
    /// Number of VMs that may still have requests at the previous version, if it is known.
    pub undrained_vms: Option<usize>,
    /// Time since this VM has learned of the record's stage.
    pub stage_age: Millis,
    /// How long before the deadline this VM has to propose the result, so that its record reaches
    /// the store in time; `None` if it does not know how long its writes take.
    pub write_lead: Option<Millis>,
}

/// The stage that a rollout has to enter, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The new stage.
    pub stage: Stage,
    /// The reason.
    pub cause: String,
}

/// Returns the next stage of a rollout, if it is due, where nothing is known of response times.
pub fn next_stage(progress: &Progress<'_>) -> Option<Transition> {
    next_stage_with(progress, Millis(0))
}

/// Returns the next stage of a rollout, if it is due, where a request to the previous version takes
/// `response_time`.
pub fn next_stage_with(progress: &Progress<'_>, response_time: Millis) -> Option<Transition> {
    let Some((revision, order)) = progress.order else {
        let record = progress.record.filter(|record| !record.stage.is_final());
        return record.map(|_| transition(Stage::Withdrawn, "the order was removed"));
    };
    match progress
        .record
        .filter(|record| record.order_revision() == revision)
        .map(|record| record.stage)
    {
        None => Some(first_stage(progress, order)),
        Some(Stage::Canary) => after_canary(progress, order.time_limit, response_time),
        Some(Stage::Shift) => after_shift(progress, order.time_limit),
        Some(Stage::Completed | Stage::RolledBack | Stage::Withdrawn) => None,
    }
}

fn first_stage(progress: &Progress<'_>, order: &RolloutOrder) -> Transition {
    let was_rolled_back = progress
        .record
        .is_some_and(|record| record.has_rolled_back(&order.target));
    if was_rolled_back {
        return transition(
            Stage::RolledBack,
            "the version was rolled back by an earlier rollout",
        );
    }
    if progress.established == Some(&order.target) {
        return transition(Stage::Completed, "the version was in use already");
    }
    transition(Stage::Canary, "the order was received")
}

fn after_canary(
    progress: &Progress<'_>,
    time_limit: Millis,
    response_time: Millis,
) -> Option<Transition> {
    if let Some(cause) = progress.failure {
        return Some(transition(Stage::RolledBack, cause));
    }
    let latest = time_limit - FINISH_MARGIN - response_time - MIN_RAMP - SHIFT_LAG;
    if progress.elapsed < shift_at(time_limit).min(latest) {
        return None;
    }
    let (answers, previous) = progress.answers;
    let has_evidence = answers >= MIN_ANSWERS;
    let is_last_chance = progress.elapsed + LAST_SHIFT >= time_limit;
    let is_tried = is_last_chance && progress.stage_age >= MIN_CANARY_TIME;
    if !has_evidence && !is_tried {
        return None;
    }
    if answers == 0 && previous >= ANSWERS_THAT_REFUTE_IDLENESS {
        return Some(transition(
            Stage::RolledBack,
            "no server of the version answered a request",
        ));
    }
    Some(transition(Stage::Shift, "the canary was not worse"))
}

fn after_shift(progress: &Progress<'_>, time_limit: Millis) -> Option<Transition> {
    if let Some(cause) = progress.failure {
        return Some(transition(Stage::RolledBack, cause));
    }
    let is_ramped = progress.stage_age >= MIN_RAMP;
    let is_drained = progress.undrained_vms == Some(0);
    if is_ramped && is_drained {
        return Some(transition(
            Stage::Completed,
            "no request is left at the previous version",
        ));
    }
    // While a write still arrives in time, it waits for requests that take longer than expected.
    let margin = progress.write_lead.unwrap_or(FINISH_MARGIN);
    let is_due = progress.elapsed + margin.min(FINISH_MARGIN) >= time_limit;
    // Once the deadline has passed, a rollout gains nothing by breaking off requests.
    let is_overdue = progress.elapsed >= time_limit;
    let is_due = is_due && (!is_overdue || progress.elapsed >= time_limit + OVERDUE_DRAIN_TIME);
    let has_propagated = progress.stage_age >= MIN_RAMP + RAMP_LAG;
    (is_due && has_propagated).then(|| {
        let left = progress.undrained_vms.map_or_else(
            || "an unknown number of VMs".to_owned(),
            |count| format!("{count} VMs"),
        );
        let cause =
            format!("the deadline is near; {left} may have requests left at the previous version");
        transition(Stage::Completed, &cause)
    })
}

fn transition(stage: Stage, cause: &str) -> Transition {
    Transition {
        stage,
        cause: cause.to_owned(),
    }
}

/// Returns when the traffic starts to shift, counted from the order, unless response times are long.
pub fn shift_at(time_limit: Millis) -> Millis {
    let shift_time = Millis((time_limit.0 as f64 * SHIFT_FRACTION) as u64);
    time_limit - shift_time.clamp(MIN_SHIFT_TIME, MAX_SHIFT_TIME)
}

/// How far a shift has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Time since it began.
    age: Millis,
    /// Time over which the traffic moves.
    ramp: Millis,
    /// Time until the previous version has to have answered all requests.
    time_to_drain: Millis,
}

impl Shift {
    /// Creates the shift of a rollout with this time limit, where the order is `order_age` old and
    /// the shift began `age` ago. A request to the previous version takes `response_time`.
    pub fn new(time_limit: Millis, order_age: Millis, age: Millis, response_time: Millis) -> Self {
        let drained_at = time_limit - FINISH_MARGIN;
        let began_at = order_age - age;
        Self {
            age,
            ramp: (drained_at - began_at - response_time).max(MIN_RAMP),
            time_to_drain: drained_at - order_age,
        }
    }

    /// Returns whether all traffic goes to the target version.
    pub fn is_complete(&self) -> bool {
        self.age >= self.ramp
    }

    /// Returns whether a server of the previous version that takes `response_time` can still answer
    /// a request before the deadline.
    pub fn has_time_for(&self, response_time: Millis) -> bool {
        response_time <= self.time_to_drain
    }

    /// Returns whether the requests for an object go to the target version. `object` is a hash of
    /// the object. Popular objects shift first, because the queues of their servers take the longest
    /// to drain.
    pub fn has_shifted(&self, object: u64, is_popular: bool) -> bool {
        // Hashed once more, because the placement of objects depends on the first hash.
        let digest = hash::digest(&object.to_le_bytes());
        let scale = if is_popular { POPULAR_PART } else { 1.0 };
        let progress = self.age.0 as f64 / self.ramp.0 as f64;
        // The part grows with the square of the time: a version that fails under load shows it
        // while it has few requests.
        hash::unit_interval(digest) * scale < progress * progress
    }
}

/// Returns the part of the requests that goes to the target version in the canary stage, where a
/// bad version may get `allowed` of all requests.
pub fn canary_share(allowed: f64) -> f64 {
    allowed * CANARY_FRACTION
}

/// Returns whether a request is part of the canary. `request` is a hash that differs between all
/// attempts of callers, so that the parts of all VMs add up to the same part of all requests.
pub fn is_in_canary(request: u64, canary_share: f64) -> bool {
    hash::unit_interval(request) < canary_share
}

/// Returns the number of a region's servers of the target version that get the canary's requests.
/// They are as loaded as they would be with all of the traffic, so that a version which fails only
/// under load shows it.
pub fn canary_servers(servers: usize, canary_share: f64) -> usize {
    let share = (servers as f64 * canary_share).ceil() as usize;
    share.max(MIN_CANARY_SERVERS).min(servers)
}
