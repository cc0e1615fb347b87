//! Shares the requests of one route between its targets.

use crate::catalog::Target;

/// Smooth weighted round robin: each target gets its part of any run of requests, to within
/// one request, where random draws would be off by the root of their number.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    targets: Vec<Target>,
    weight: Vec<i64>,
}

impl TrafficSplit {
    /// Gives the target of the next request. Changed targets begin anew.
    pub fn next<'a>(&mut self, targets: &'a [Target]) -> Option<&'a Target> {
        if self.targets != targets {
            self.targets = targets.to_vec();
            self.weight = vec![0; targets.len()];
        }
        let total: i64 = targets.iter().map(|t| i64::from(t.weight)).sum();
        for (weight, target) in self.weight.iter_mut().zip(targets) {
            *weight += i64::from(target.weight);
        }
        let eligible = targets.iter().enumerate().filter(|(_, t)| t.weight > 0);
        let (at, target) = eligible.max_by_key(|(at, _)| self.weight[*at])?;
        self.weight[at] -= total;
        Some(target)
    }
}
