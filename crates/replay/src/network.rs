//! What a message between daemons meets: the trace's fixed delay, or a cut that it states.

use std::collections::BTreeSet;

use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;

use crate::trace::{Cut, MessageDelay};

/// The delays and cuts of a trace.
#[derive(Clone, Debug)]
pub struct Network {
    delay: MessageDelay,
    regions: Vec<RegionName>,
    domains: Vec<DomainName>,
    cuts: Vec<ActiveCut>,
}

#[derive(Clone, Debug)]
struct ActiveCut {
    from: BTreeSet<usize>,
    to: BTreeSet<usize>,
    cut: Cut,
}

impl Network {
    /// Makes a network without cuts. Failure domains are numbered as the plan orders them.
    pub fn new(delay: MessageDelay, plan: &Plan) -> Self {
        Self {
            delay,
            regions: plan.domains.values().map(|d| d.region.clone()).collect(),
            domains: plan.domains.keys().cloned().collect(),
            cuts: Vec::new(),
        }
    }

    /// Begins a cut.
    pub fn cut(&mut self, cut: &Cut) {
        let number = |name: &DomainName| self.domains.iter().position(|d| d == name);
        let from: BTreeSet<usize> = cut.from.iter().filter_map(number).collect();
        let to = if cut.to.is_empty() {
            (0..self.domains.len())
                .filter(|d| !from.contains(d))
                .collect()
        } else {
            cut.to.iter().filter_map(number).collect()
        };
        self.cuts.push(ActiveCut {
            from,
            to,
            cut: cut.clone(),
        });
    }

    /// Tells whether a message from one failure domain to another passes at `now`.
    pub fn passes(&self, from: usize, to: usize, now: Millis) -> bool {
        let stops = |c: &ActiveCut| {
            let there = c.from.contains(&from) && c.to.contains(&to);
            let back = c.from.contains(&to) && c.to.contains(&from) && !c.cut.one_way;
            now < c.cut.until_ms && (there || back)
        };
        !self.cuts.iter().any(stops)
    }

    /// Tells whether a failure domain reaches the platform at `now`.
    pub fn reaches_platform(&self, domain: usize, now: Millis) -> bool {
        let stops =
            |c: &ActiveCut| now < c.cut.until_ms && c.cut.platform && c.from.contains(&domain);
        !self.cuts.iter().any(stops)
    }

    /// Gives how long a message between two failure domains is under way.
    pub fn delay(&self, from: usize, to: usize) -> Millis {
        if self.regions[from] == self.regions[to] {
            self.delay.within_region_ms
        } else {
            self.delay.between_regions_ms
        }
    }
}
