//! The figures of a replay: each metric over a window of the trace.

use heatherknot_types::prelude::*;

use crate::gauge::Second;
use crate::journal::{Journal, Loads, StreamKey, Tally};
use crate::trace::{Metric, StatedOutcome};

/// Goodput at which a fault counts as settled, in thousandths.
const SETTLED_PERMILLE: u64 = 990;
/// The span over which goodput is looked at for that, in seconds. In a single second of a
/// small service one refused request is more than ten thousandths.
const SETTLE_BLOCK_SECS: usize = 5;
/// The span over which a flow is averaged before its direction is looked at, in seconds.
const FLOW_BLOCK_SECS: usize = 5;
/// The least change of a flow that counts as one, in thousandths of the place's cap.
const FLOW_CHANGE_PERMILLE: u64 = 50;

/// What a metric is measured over.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    /// The beginning of the window.
    pub from: Millis,
    /// The end of the window.
    pub to: Millis,
    /// Only this client account.
    pub account: Option<AccountName>,
    /// Only this service.
    pub service: Option<ServiceName>,
    /// Only this class.
    pub class: Option<Class>,
    /// Only callers of this source domain.
    pub source: Option<DomainName>,
    /// Only this place.
    pub place: Option<PlaceName>,
    /// Only this region.
    pub region: Option<RegionName>,
}

impl Scope {
    /// Makes the scope of a whole trace.
    pub fn whole(duration: Millis) -> Self {
        Self {
            to: duration,
            ..Self::default()
        }
    }

    /// Makes the scope that a stated outcome names.
    pub fn of(stated: &StatedOutcome, duration: Millis) -> Self {
        Self {
            from: stated.from_ms,
            to: stated.to_ms.unwrap_or(duration).min(duration),
            account: stated.account.clone(),
            service: stated.service.clone(),
            class: stated.class,
            source: stated.source.clone(),
            place: stated.place.clone(),
            region: stated.region.clone(),
        }
    }

    fn seconds(&self) -> std::ops::Range<usize> {
        let to = self.to.0.div_ceil(1000) as usize;
        (self.from.0 as usize / 1000).min(to)..to
    }
}

/// What a replay leaves to be measured.
#[derive(Clone, Debug)]
pub struct Figures {
    journal: Journal,
    loads: Loads,
    accounts_of: Vec<(ServiceName, AccountName)>,
}

impl Figures {
    /// Closes the books of a replay.
    pub fn new(
        journal: Journal,
        end: Millis,
        accounts_of: Vec<(ServiceName, AccountName)>,
    ) -> Self {
        let (journal, loads) = journal.into_loads(end);
        Self {
            journal,
            loads,
            accounts_of,
        }
    }

    /// Gives the names and the true load of each place, second by second.
    pub fn places(&self) -> impl Iterator<Item = (&PlaceName, &[Second])> {
        let names = self.journal.place_names.names().iter();
        names.zip(self.loads.places.iter().map(Vec::as_slice))
    }

    /// Gives the refusals by service and reason.
    pub fn reasons(&self) -> impl Iterator<Item = (&ServiceName, &'static str, u32)> {
        let all = self.journal.reasons.iter();
        all.map(|((service, reason), n)| (service, *reason, *n))
    }

    /// Gives the measured value of a metric.
    pub fn measure(&self, metric: Metric, scope: &Scope) -> f64 {
        match metric {
            Metric::Overloads => self.overloads(scope) as f64,
            Metric::WorstExcessPermille => f64::from(self.worst_excess(scope)),
            Metric::GoodputPermille => self.goodput(scope),
            Metric::Refused => self.sum(scope, |t| t.refused),
            Metric::RefusedWithRoom => self.sum(scope, |t| t.refused_with_room),
            Metric::Shed => self.sum(scope, |t| t.shed),
            Metric::CutByStop => self.cut_by_stop(scope),
            Metric::DoubleRuns => self.sum(scope, |t| t.double_runs),
            Metric::LowestHeadroomPermille => f64::from(self.lowest_headroom(scope)),
            Metric::PeakPerSecond => f64::from(self.peak(scope)),
            Metric::DrainMs => self.drain_ms(scope) as f64,
            Metric::SettleMs => self.settle_ms(scope) as f64,
            Metric::StrandedPermille => self.stranded(scope),
            Metric::DirectionChanges => f64::from(self.direction_changes(scope)),
            Metric::MessagesPerSecond => self.control(scope, |c| c.messages),
            Metric::BytesPerSecond => self.control(scope, |c| c.bytes),
        }
    }

    fn streams<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = &'a Vec<Tally>> {
        let matching = self.journal.streams.iter();
        let matching = matching.filter(move |(key, _)| self.stream_matches(key, scope));
        matching.map(|(_, seconds)| seconds)
    }

    fn stream_matches(&self, key: &StreamKey, scope: &Scope) -> bool {
        let source = self.journal.domain_names.name(key.source);
        let account = self.accounts_of.iter().find(|(s, _)| *s == key.service);
        scope.service.as_ref().is_none_or(|s| *s == key.service)
            && scope.class.is_none_or(|c| c == key.class)
            && scope.source.as_ref().is_none_or(|s| s == source)
            && scope
                .account
                .as_ref()
                .is_none_or(|a| account.is_some_and(|(_, of)| of == a))
    }

    fn sum(&self, scope: &Scope, pick: impl Fn(&Tally) -> u32) -> f64 {
        let seconds = scope.seconds();
        let all = self.streams(scope).flat_map(|s| &s[seconds.clone()]);
        all.map(|tally| f64::from(pick(tally))).sum()
    }

    fn goodput(&self, scope: &Scope) -> f64 {
        let asked = self.sum(scope, |t| t.asked);
        if asked == 0.0 {
            return 1000.0;
        }
        1000.0 * self.sum(scope, |t| t.answered) / asked
    }

    /// Gives the loads that a scope names: one place, one region, or all places, regions and
    /// links.
    fn gauges<'a>(&'a self, scope: &'a Scope) -> Vec<&'a [Second]> {
        let journal = &self.journal;
        if let Some(place) = &scope.place {
            return vec![&self.loads.places[journal.place_names.of(place)]];
        }
        if let Some(region) = &scope.region {
            return vec![&self.loads.regions[journal.region_names.of(region)]];
        }
        let places = self.loads.places.iter();
        let all = places
            .chain(&self.loads.regions)
            .chain(self.loads.links.values());
        all.map(Vec::as_slice).collect()
    }

    fn seconds_of<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = &'a Second> {
        let seconds = scope.seconds();
        let gauges = self.gauges(scope).into_iter();
        gauges.flat_map(move |gauge| {
            &gauge[seconds.start.min(gauge.len())..seconds.end.min(gauge.len())]
        })
    }

    fn overloads(&self, scope: &Scope) -> usize {
        self.seconds_of(scope)
            .filter(|s| s.excess_permille > 0)
            .count()
    }

    fn worst_excess(&self, scope: &Scope) -> u32 {
        self.seconds_of(scope)
            .map(|s| s.excess_permille)
            .max()
            .unwrap_or(0)
    }

    fn peak(&self, scope: &Scope) -> u32 {
        self.seconds_of(scope)
            .map(|s| s.peak_rate)
            .max()
            .unwrap_or(0)
    }

    fn lowest_headroom(&self, scope: &Scope) -> u32 {
        let seconds = scope.seconds();
        if scope.place.is_some() || scope.region.is_some() {
            let all = self.seconds_of(scope).map(|s| s.headroom_permille);
            return all.min().unwrap_or(1000);
        }
        let regions = self.loads.regions.iter();
        let all = regions.flat_map(|r| &r[seconds.start.min(r.len())..seconds.end.min(r.len())]);
        all.map(|s| s.headroom_permille).min().unwrap_or(1000)
    }

    fn drain_ms(&self, scope: &Scope) -> u64 {
        let mut seconds = scope.seconds();
        let busy = |second: usize| {
            let gauges = self.gauges(scope).into_iter();
            gauges
                .filter_map(|g| g.get(second))
                .any(|s| s.started > 0 || s.peak_in_flight > 0)
        };
        let last = seconds.rfind(|s| busy(*s));
        last.map_or(0, |s| ((s as u64 + 1) * 1000).saturating_sub(scope.from.0))
    }

    fn settle_ms(&self, scope: &Scope) -> u64 {
        let streams: Vec<&Vec<Tally>> = self.streams(scope).collect();
        let seconds = scope.seconds();
        let unsettled = |start: &usize| {
            let end = (start + SETTLE_BLOCK_SECS).min(seconds.end);
            let tallies = streams.iter().flat_map(|s| &s[*start..end]);
            let (asked, answered) = tallies.fold((0, 0), |(asked, answered), tally| {
                (
                    asked + u64::from(tally.asked),
                    answered + u64::from(tally.answered),
                )
            });
            answered * 1000 < asked * SETTLED_PERMILLE
        };
        let mut blocks = seconds.clone().step_by(SETTLE_BLOCK_SECS);
        let last = blocks.rfind(unsettled);
        last.map_or(0, |start| {
            let end = (start + SETTLE_BLOCK_SECS).min(seconds.end) as u64;
            (end * 1000).saturating_sub(scope.from.0)
        })
    }

    fn stranded(&self, scope: &Scope) -> f64 {
        let seconds = &self.journal.control[scope.seconds()];
        let sum: f64 = seconds.iter().map(|s| s.stranded_permille).sum();
        sum / seconds.len().max(1) as f64
    }

    fn control(&self, scope: &Scope, pick: impl Fn(&crate::journal::Control) -> u64) -> f64 {
        let seconds = &self.journal.control[scope.seconds()];
        let sum: u64 = seconds.iter().map(&pick).sum();
        let daemons: u64 = seconds.iter().map(|s| u64::from(s.daemons)).sum();
        sum as f64 / daemons.max(1) as f64
    }

    fn cut_by_stop(&self, scope: &Scope) -> f64 {
        let inside = self.journal.cut_by_stop.iter();
        let inside = inside.filter(|(at, _)| *at >= scope.from && *at <= scope.to);
        inside.map(|(_, n)| f64::from(*n)).sum::<f64>() + 0.0
    }

    fn direction_changes(&self, scope: &Scope) -> u32 {
        let seconds = scope.seconds();
        let flows = self.journal.flows.iter();
        let flows = flows.filter(|((source, place), _)| {
            let source = self.journal.domain_names.name(*source);
            let place = self.journal.place_names.name(*place);
            scope.source.as_ref().is_none_or(|s| s == source)
                && scope.place.as_ref().is_none_or(|p| p == place)
        });
        flows
            .map(|((_, place), flow)| {
                let last = self.loads.places[*place].last();
                let cap = u64::from(last.map_or(1, |s| s.cap_rate));
                let least = (cap * FLOW_CHANGE_PERMILLE / 1000).max(1) * FLOW_BLOCK_SECS as u64;
                turns(flow, &seconds, least)
            })
            .sum()
    }
}

/// Counts how often a flow, summed over blocks of seconds, turns from growing to falling or
/// back by `least` or more.
fn turns(flow: &[u32], seconds: &std::ops::Range<usize>, least: u64) -> u32 {
    let at = |second: usize| u64::from(flow.get(second).copied().unwrap_or(0));
    let mut starts = seconds.clone().step_by(FLOW_BLOCK_SECS);
    let block = |start: usize| -> u64 { (start..start + FLOW_BLOCK_SECS).map(at).sum() };
    let Some(mut reference) = starts.next().map(block) else {
        return 0;
    };
    let mut growing = None;
    let mut turns = 0;
    for start in starts {
        let sum = block(start);
        if sum.abs_diff(reference) < least {
            if growing == Some(sum > reference) {
                reference = sum;
            }
            continue;
        }
        let grows = sum > reference;
        if growing.is_some_and(|before| before != grows) {
            turns += 1;
        }
        growing = Some(grows);
        reference = sum;
    }
    turns
}
