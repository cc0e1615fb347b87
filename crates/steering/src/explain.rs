//! Explains the distribution of a service's traffic.

use std::fmt;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::issuer::ScopeName;
use crate::steering::Steering;

/// Explains how one VM distributes one service's traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The VM.
    pub vm: VmName,
    /// The revision of the settings in force.
    pub revision: Revision,
    /// Demand of callers of this VM, in requests per second.
    pub demand: f64,
    /// Weight of latency against headroom, in thousandths.
    pub latency_weight_permille: u16,
    /// Share of the traffic that no place can take, in thousandths.
    pub unplaced_permille: u16,
    /// The places that have upstreams of the service.
    pub places: Vec<PlaceExplanation>,
}

/// Explains the share of one place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceExplanation {
    /// The place.
    pub place: PlaceName,
    /// Its share of the traffic, in thousandths.
    pub permille: u16,
    /// One-way delay to it.
    pub delay: Millis,
    /// Rate that this VM may send there for all services together, in requests per second.
    pub limit: u32,
    /// What determines that limit.
    pub limited_by: Limit,
    /// Its utilization, in thousandths, as reported or measured.
    pub full_permille: u16,
    /// Its assumed health, in thousandths.
    pub health: u16,
    /// Age of the newest report, or `None` without a valid report.
    pub report_age: Option<Millis>,
}

/// What determines the limit of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// This VM's part of the place's cap, less what it has lent.
    PlaceCap,
    /// This VM's part of the region's cap, less what it has lent.
    RegionCap,
    /// A grant of a VM there.
    Grant,
    /// No grant is held.
    NoGrant,
    /// The place has not warmed up further.
    Growth,
    /// The place is unhealthy, or in the hold-down after it was.
    Health,
    /// An operator is draining the place.
    Drain,
    /// No backend server of the service is usable there.
    NoUpstream,
}

impl Steering {
    /// Explains the distribution of `service`'s traffic, or returns `None` for an unknown service.
    pub fn explain(&self, service: &ServiceName, now: Millis) -> Option<Explanation> {
        let plan = self.plan.services.get(service)?;
        let state = self.services.get(service)?;
        let mut names: Vec<&PlaceName> = plan.upstreams.iter().map(|u| &u.place).collect();
        names.sort();
        names.dedup();
        let mut places: Vec<PlaceExplanation> = names
            .into_iter()
            .map(|place| self.explain_place(service, place, now))
            .collect();
        places.sort_by_key(|p| (std::cmp::Reverse(p.permille), p.place.clone()));
        let placed: f64 = state.split.shares.iter().map(|p| p.share).sum();
        Some(Explanation {
            service: service.clone(),
            vm: self.identity.vm.clone(),
            revision: self.plan.revision,
            demand: state.demand.rate(),
            latency_weight_permille: plan.latency_weight_permille,
            unplaced_permille: permille(1.0 - placed),
            places,
        })
    }

    fn explain_place(
        &self,
        service: &ServiceName,
        place: &PlaceName,
        now: Millis,
    ) -> PlaceExplanation {
        let domain = self.plan.places.get(place).map(|p| p.domain.clone());
        let summary = self.reports.summary(place, now);
        let (limit, limited_by) = self.limit_of(service, place, now);
        let utilization = if self.is_local(place) {
            let name = ScopeName::Place(place.clone());
            let used = f64::from(self.issuer.used_in(&name, now).per_second);
            used / f64::from(self.issuer.usable_in(&name).per_second.max(1))
        } else {
            summary.map_or(0.0, |s| s.rate / s.allowance.max(1.0))
        };
        PlaceExplanation {
            place: place.clone(),
            permille: permille(self.weights(service).share(place)),
            delay: domain.map_or(Millis(0), |d| self.delay_to(&d)),
            limit,
            limited_by,
            full_permille: permille(utilization),
            health: self.reports.health(place, now),
            report_age: summary.map(|s| s.age),
        }
    }

    fn limit_of(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> (u32, Limit) {
        if !self.reports.usable(place) {
            return (0, Limit::Health);
        }
        let (limit, by) = if self.is_local(place) {
            self.local_limit(service, place, now)
        } else {
            match self.holder.live_grant(place, now) {
                Some(held) => (held.rate, Limit::Grant),
                None => (0, Limit::NoGrant),
            }
        };
        let by = if self.draining(place) {
            Limit::Drain
        } else {
            by
        };
        (limit, by)
    }

    fn local_limit(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> (u32, Limit) {
        if !self.upstreams.any_usable(service, place, now) {
            return (0, Limit::NoUpstream);
        }
        let left = |name: &ScopeName| {
            let lent = self.issuer.lent_in(name, None, now).per_second;
            self.issuer.usable_in(name).per_second.saturating_sub(lent)
        };
        let warm = self.plan.services.get(service).and_then(|plan| {
            let warm_up = self.places.get(place)?.warm_up.get(service)?;
            Some(warm_up.limit(self.growth_step(plan, place)))
        });
        let limits = [
            (left(&ScopeName::Place(place.clone())), Limit::PlaceCap),
            (left(&ScopeName::Region), Limit::RegionCap),
            (warm.unwrap_or(0), Limit::Growth),
        ];
        let least = limits.into_iter().min_by_key(|(limit, _)| *limit);
        least.unwrap_or((0, Limit::PlaceCap))
    }
}

fn permille(part: f64) -> u16 {
    (part.clamp(0.0, 60.0) * 1_000.0).round() as u16
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Limit::PlaceCap => "cap of the place",
            Limit::RegionCap => "cap of the region",
            Limit::Grant => "grant",
            Limit::NoGrant => "no grant held",
            Limit::Growth => "warming up",
            Limit::Health => "ill",
            Limit::Drain => "draining",
            Limit::NoUpstream => "no usable backend server",
        })
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} at {} under {}: {:.1}/s, latency weighs {} of 1000",
            self.service, self.vm, self.revision, self.demand, self.latency_weight_permille
        )?;
        for place in &self.places {
            writeln!(f, "  {place}")?;
        }
        if self.unplaced_permille > 0 {
            writeln!(
                f,
                "  {} of 1000 have no room anywhere",
                self.unplaced_permille
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for PlaceExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} of 1000, {} away, limit {}/s ({}), {} of 1000 full, health {}, ",
            self.place,
            self.permille,
            self.delay,
            self.limit,
            self.limited_by,
            self.full_permille,
            self.health
        )?;
        match self.report_age {
            Some(age) => write!(f, "report {age} old"),
            None => f.write_str("no report"),
        }
    }
}
