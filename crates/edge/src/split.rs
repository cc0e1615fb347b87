//! Distributes the requests of one route over its targets.

use crate::catalog::Target;

/// Smooth weighted round robin. In any sequence of requests each target's count is within one
/// request of its weighted share, whereas random draws would deviate by the square root of the
/// number of requests.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    targets: Vec<Target>,
    current_weights: Vec<i64>,
}

impl TrafficSplit {
    /// Returns the target of the next request. A change of the targets resets the state.
    pub fn next<'a>(&mut self, targets: &'a [Target]) -> Option<&'a Target> {
        if self.targets != targets {
            self.targets = targets.to_vec();
            self.current_weights = vec![0; targets.len()];
        }
        let total: i64 = targets.iter().map(|t| i64::from(t.weight)).sum();
        for (current, target) in self.current_weights.iter_mut().zip(targets) {
            *current += i64::from(target.weight);
        }
        let eligible = targets.iter().enumerate().filter(|(_, t)| t.weight > 0);
        let (at, target) = eligible.max_by_key(|(at, _)| self.current_weights[*at])?;
        self.current_weights[at] -= total;
        Some(target)
    }
}
