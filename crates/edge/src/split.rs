//! Distributes the requests of one route over its targets.

use crate::catalog::Target;

/// Smooth weighted round robin. In any sequence of requests each target's count is within one
/// request of its weight, whereas random draws would deviate by the square root of the number of
/// requests.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    targets: Vec<Target>,
    weight: Vec<i64>,
}

impl TrafficSplit {
    /// Returns the target of the next request. A change of the targets resets the state.
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
