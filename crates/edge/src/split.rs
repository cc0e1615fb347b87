//! Shares the requests of one route between its targets.

use crate::catalog::Target;

/// Smooth weighted round robin: each target gets its part of any run of requests, to within
/// one request, where random draws would be off by the root of their number.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    targets: Vec<Target>,
    credit: Vec<i64>,
}

impl TrafficSplit {
    /// Gives the target of the next request. Changed targets begin anew.
    pub fn next<'a>(&mut self, targets: &'a [Target]) -> Option<&'a Target> {
        if self.targets != targets {
            self.targets = targets.to_vec();
            self.credit = vec![0; targets.len()];
        }
        let total: i64 = targets.iter().map(|t| i64::from(t.weight)).sum();
        for (credit, target) in self.credit.iter_mut().zip(targets) {
            *credit += i64::from(target.weight);
        }
        let eligible = targets.iter().enumerate().filter(|(_, t)| t.weight > 0);
        let (at, target) = eligible.max_by_key(|(at, _)| self.credit[*at])?;
        self.credit[at] -= total;
        Some(target)
    }
}
