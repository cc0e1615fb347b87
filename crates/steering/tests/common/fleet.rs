//! A simulation of several VMs with constant demand, whose messages arrive within the same step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use heatherknot_steering::upstream::RequestOutcome;
use heatherknot_steering::{Steering, Ticket, Tuning, Verdict};
use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;

use super::{arrival, vm};

/// Simulated time between two steps.
pub const STEP: Millis = Millis(100);

/// Arrivals at one place in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepCounts {
    pub local: u32,
    pub granted: u32,
}

pub struct Fleet {
    pub now: Millis,
    pub plan: Plan,
    pub vms: BTreeMap<DomainName, Steering>,
    /// Demand in requests per second by failure domain and service.
    pub demand: BTreeMap<(DomainName, ServiceName), u32>,
    pub partitioned: BTreeSet<DomainName>,
    /// Places whose backend servers answer with errors.
    pub failing: BTreeSet<PlaceName>,
    pub refused: u32,
    pub steps: Vec<BTreeMap<PlaceName, StepCounts>>,
    running: Vec<(DomainName, Ticket, RequestOutcome)>,
    due: BTreeMap<(DomainName, ServiceName), u32>,
    rng: fastrand::Rng,
}

impl Fleet {
    pub fn new(plan: &Plan) -> Self {
        let vms = plan
            .domains
            .keys()
            .map(|d| (d.clone(), vm(d.as_str(), plan, Tuning::default())));
        let mut fleet = Self {
            now: Millis(0),
            plan: plan.clone(),
            vms: vms.collect(),
            demand: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            failing: BTreeSet::new(),
            refused: 0,
            steps: Vec::new(),
            running: Vec::new(),
            due: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(7),
        };
        // A new VM lends nothing at first.
        fleet.run(Millis(15_000));
        fleet.steps.clear();
        fleet
    }

    pub fn demand(&mut self, domain: &str, service: &str, per_second: u32) {
        self.demand
            .insert((domain.into(), service.into()), per_second);
    }

    pub fn vm(&mut self, domain: &str) -> &mut Steering {
        self.vms
            .get_mut(domain)
            .expect("a failure domain of the plan")
    }

    pub fn change_plan(&mut self, change: impl FnOnce(&mut Plan)) {
        change(&mut self.plan);
        self.plan.revision = self.plan.revision.next();
        for vm in self.vms.values_mut() {
            vm.on_plan(Arc::new(self.plan.clone()), self.now);
        }
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.steps.push(BTreeMap::new());
            self.finish_running();
            let now = self.now;
            self.vms.values_mut().for_each(|vm| vm.tick(now));
            self.exchange_grants();
            self.send_requests();
        }
    }

    /// Returns the arrivals at `place` in the last second.
    pub fn last_second(&self, place: &str) -> StepCounts {
        let recent = self.steps.iter().rev().take(10);
        let here = recent.filter_map(|s| s.get(place));
        here.fold(StepCounts::default(), |sum, s| StepCounts {
            local: sum.local + s.local,
            granted: sum.granted + s.granted,
        })
    }

    /// Returns the most arrivals at `place` in any second since the fleet started.
    pub fn most_in_a_second(&self, place: &str) -> u32 {
        let arrivals =
            |s: &BTreeMap<PlaceName, StepCounts>| s.get(place).map_or(0, |s| s.local + s.granted);
        let sums = self.steps.windows(10).map(|w| w.iter().map(arrivals).sum());
        sums.max().unwrap_or(0)
    }

    fn finish_running(&mut self) {
        for (domain, ticket, end) in std::mem::take(&mut self.running) {
            let vm = self.vms.get_mut(&domain).expect("never removed");
            vm.finish(ticket, end, self.now);
        }
    }

    fn exchange_grants(&mut self) {
        let domains: Vec<DomainName> = self.vms.keys().cloned().collect();
        for from in &domains {
            let asks = self
                .vms
                .get_mut(from)
                .expect("known")
                .request_grants(self.now);
            for (to, req) in asks {
                let to_domain = DomainName::from(&to.as_str()[2..]);
                if self.partitioned.contains(from) || self.partitioned.contains(&to_domain) {
                    self.vms
                        .get_mut(from)
                        .expect("known")
                        .on_grant_request_failed(&to, self.now);
                    continue;
                }
                let issuer = self.vms.get_mut(&to_domain).expect("known");
                let reply = issuer.on_grant_request(&req, self.now);
                self.vms
                    .get_mut(from)
                    .expect("known")
                    .on_grant_reply(&reply, self.now);
            }
        }
    }

    fn send_requests(&mut self) {
        for ((domain, service), rate) in self.demand.clone() {
            let due = self
                .due
                .entry((domain.clone(), service.clone()))
                .or_insert(0);
            *due += rate;
            let n = *due / 10;
            *due %= 10;
            for _ in 0..n {
                self.request(&domain, &service);
            }
        }
    }

    fn request(&mut self, domain: &DomainName, service: &ServiceName) {
        let req = arrival(service.as_str());
        let vm = self.vms.get_mut(domain).expect("known");
        match vm.admit(&req, &mut self.rng, self.now) {
            Verdict::Run { ticket, place, .. } => {
                let end = self.outcome_at(&place);
                self.count(&place, true);
                self.running.push((domain.clone(), ticket, end));
            }
            Verdict::Relay { ticket, token, .. } => self.relay(domain, service, ticket, token),
            Verdict::Wait { .. } | Verdict::Refuse { .. } => self.refused += 1,
        }
    }

    fn relay(
        &mut self,
        domain: &DomainName,
        service: &ServiceName,
        ticket: Ticket,
        token: heatherknot_steering::GrantToken,
    ) {
        let to = DomainName::from(&token.issuer.as_str()[2..]);
        if self.partitioned.contains(domain) || self.partitioned.contains(&to) {
            self.running
                .push((domain.clone(), ticket, RequestOutcome::Failed));
            self.refused += 1;
            return;
        }
        let mut req = arrival(service.as_str());
        req.grant = Some(token);
        let vm = self.vms.get_mut(&to).expect("known");
        match vm.admit(&req, &mut self.rng, self.now) {
            Verdict::Run {
                ticket: there,
                place,
                ..
            } => {
                let end = self.outcome_at(&place);
                self.count(&place, false);
                self.running.push((to, there, end));
                self.running.push((domain.clone(), ticket, end));
            }
            Verdict::Refuse { reason, .. } => {
                self.refused += 1;
                self.running
                    .push((domain.clone(), ticket, reason.outcome()));
            }
            Verdict::Wait { .. } | Verdict::Relay { .. } => {
                self.refused += 1;
                self.running
                    .push((domain.clone(), ticket, RequestOutcome::Shed));
            }
        }
    }

    fn outcome_at(&self, place: &PlaceName) -> RequestOutcome {
        if self.failing.contains(place) {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Good
        }
    }

    fn count(&mut self, place: &PlaceName, local: bool) {
        let step = self.steps.last_mut().expect("a step has begun");
        let here = step.entry(place.clone()).or_default();
        if local {
            here.local += 1;
        } else {
            here.granted += 1;
        }
    }
}
