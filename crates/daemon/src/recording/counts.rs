//! Reads what the record needs from the gateway's counters.

use std::collections::BTreeMap;

use heatherknot_types::prelude::*;
use prometheus::Registry;
use prometheus::proto::{Metric, MetricFamily};

const REQUESTS: &str = "heatherknot_requests_total";
const SENT: &str = "heatherknot_sent_total";
const LATENCY: &str = "heatherknot_request_seconds";

/// Counters of requests at one moment, or between two.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests by service and class.
    pub requests: BTreeMap<(ServiceName, Class), u64>,
    /// What was decided, by service.
    pub decisions: BTreeMap<ServiceName, Decided>,
}

/// What was decided for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decided {
    /// Requests sent to each place.
    pub sent: BTreeMap<PlaceName, u32>,
    /// Requests refused.
    pub refused: u32,
}

impl Decided {
    /// Gives the decisions unless there were none.
    pub fn filter_some(self) -> Option<Self> {
        (self.refused > 0 || !self.sent.is_empty()).then_some(self)
    }
}

impl Counts {
    /// Reads the counters.
    pub fn read(registry: &Registry) -> Self {
        let mut counts = Self::default();
        for family in registry.gather() {
            match family.name() {
                REQUESTS => counts.add_requests(&family),
                SENT => counts.add_sent(&family),
                _ => {}
            }
        }
        counts
    }

    /// Gives what was counted since `earlier`; what didn't grow is left out.
    pub fn since(&self, earlier: &Counts) -> Counts {
        let requests = self.requests.iter().filter_map(|(key, n)| {
            let grown = n - earlier.requests.get(key).copied().unwrap_or(0).min(*n);
            (grown > 0).then(|| (key.clone(), grown))
        });
        let none = Decided::default();
        let decisions = self.decisions.iter().map(|(service, now)| {
            let before = earlier.decisions.get(service).unwrap_or(&none);
            (service.clone(), now.since(before))
        });
        Counts {
            requests: requests.collect(),
            decisions: decisions.collect(),
        }
    }

    /// Gives the mean time to the head of an answer, by service.
    pub fn service_times(registry: &Registry) -> BTreeMap<ServiceName, Millis> {
        let mut sums: BTreeMap<ServiceName, (f64, u64)> = BTreeMap::new();
        let families = registry.gather();
        let latency = families.iter().filter(|family| family.name() == LATENCY);
        for metric in latency.flat_map(|family| family.get_metric()) {
            let histogram = metric.get_histogram();
            let sum = sums.entry(label(metric, "service").into()).or_default();
            sum.0 += histogram.get_sample_sum();
            sum.1 += histogram.get_sample_count();
        }
        let means = sums.into_iter().filter(|(_, (_, count))| *count > 0);
        means
            .map(|(service, (sum, count))| {
                let mean = (sum * 1000.0 / count as f64).round().max(1.0);
                (service, Millis(mean as u64))
            })
            .collect()
    }

    fn add_requests(&mut self, family: &MetricFamily) {
        for metric in family.get_metric() {
            let service = ServiceName::from(label(metric, "service"));
            let class = Class::ALL
                .into_iter()
                .find(|class| class.as_str() == label(metric, "class"));
            let Some(class) = class else { continue };
            let count = metric.get_counter().get_value() as u64;
            *self.requests.entry((service.clone(), class)).or_default() += count;
            if label(metric, "outcome") == Outcome::NotRun.as_str() {
                self.decisions.entry(service).or_default().refused += count as u32;
            }
        }
    }

    fn add_sent(&mut self, family: &MetricFamily) {
        for metric in family.get_metric() {
            let service = ServiceName::from(label(metric, "service"));
            let place = PlaceName::from(label(metric, "place"));
            let count = metric.get_counter().get_value() as u32;
            self.decisions
                .entry(service)
                .or_default()
                .sent
                .insert(place, count);
        }
    }
}

impl Decided {
    fn since(&self, earlier: &Decided) -> Decided {
        let sent = self.sent.iter().filter_map(|(place, n)| {
            let grown = n - earlier.sent.get(place).copied().unwrap_or(0).min(*n);
            (grown > 0).then(|| (place.clone(), grown))
        });
        Decided {
            sent: sent.collect(),
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }
}

fn label<'a>(metric: &'a Metric, name: &str) -> &'a str {
    let labels = metric.get_label().iter();
    labels
        .filter(|pair| pair.name() == name)
        .map(|pair| pair.value())
        .next()
        .unwrap_or("")
}
