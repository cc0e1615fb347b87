//! The policies that a replay can run, by name.

use std::sync::Arc;

use heatherknot_steering::{Identity, Steering, Tuning};
use heatherknot_types::prelude::*;

use crate::baseline::{Baseline, Rule};
use crate::brain::{Brain, Newcomer, Policy};
use crate::error::{Error, Result};

/// The name of the policy that the daemon runs.
pub const CURRENT: &str = "grants";

/// Gives every policy: the daemon's own first, then earlier versions of it, then baselines.
pub fn all() -> Vec<Policy> {
    vec![
        steering(
            CURRENT,
            "what the daemon runs: destination-issued grants",
            Tuning::default(),
        ),
        steering(
            "grants-no-hold-down",
            "the same without a pause after failed health",
            Tuning {
                hold_down: Millis(0),
                hold_down_max: Millis(0),
                ..Tuning::default()
            },
        ),
        steering(
            "grants-no-slew",
            "the same, moving for preference at once",
            Tuning {
                move_permille: 1_000_000,
                dead_band_permille: 0,
                ..Tuning::default()
            },
        ),
        baseline(
            "static-split",
            "every cap split evenly among the VMs in advance",
            Rule::StaticSplit,
        ),
        baseline(
            "least-loaded",
            "the place with the least load in lagging reports",
            Rule::LeastLoaded,
        ),
        baseline("random", "any place that serves the service", Rule::Random),
    ]
}

/// Gives the policy of a name.
///
/// # Errors
///
/// Fails where no policy has the name.
pub fn find(name: &str) -> Result<Policy> {
    let known = all();
    let found = known.iter().find(|policy| policy.name == name).cloned();
    found.ok_or_else(|| Error::Policy {
        name: name.into(),
        known: known.iter().map(|p| p.name).collect::<Vec<_>>().join(", "),
    })
}

fn steering(name: &'static str, about: &'static str, tuning: Tuning) -> Policy {
    let make = move |new: &Newcomer| {
        let identity = Identity {
            vm: new.vm.clone(),
            domain: new.domain.clone(),
            incarnation: new.incarnation,
        };
        Brain::Steering(Box::new(Steering::new(identity, tuning, new.now)))
    };
    Policy {
        name,
        about,
        make: Arc::new(make),
    }
}

fn baseline(name: &'static str, about: &'static str, rule: Rule) -> Policy {
    let make = move |new: &Newcomer| {
        let vm = Baseline::new(rule, new.vm.clone(), new.domain.clone(), new.fleet);
        Brain::Baseline(Box::new(vm))
    };
    Policy {
        name,
        about,
        make: Arc::new(make),
    }
}
