//! The traces of the size of two years.

use heatherknot_replay::trace::{BackendChange, Metric, Trace, VmState};
use heatherknot_types::prelude::*;

use crate::layout;
use crate::story::{Asked, Narrow, Story, at_least, at_most, well};

const LOOKUPS: Asked = Asked::interactive("national/a:lookup");
const RECORDS: Asked = Asked::once("national/b:records");

pub fn all() -> Vec<Trace> {
    vec![peak(), domain_loss()]
}

fn peak() -> Trace {
    let mut s = Story::new(
        layout::two_years(),
        "two-years-peak",
        21,
        40,
        &[
            "At the size of two years, the callers of one failure domain ask for nearly twice",
            "what its places can bear, for ten seconds. The rest goes to others at once.",
        ],
    );
    s.demand_everywhere(0, &LOOKUPS, 6_400.0);
    s.demand_everywhere(0, &RECORDS, 1_600.0);
    s.demand(15, &"r1a".into(), &LOOKUPS, 1_500.0);
    s.demand(30, &"r1a".into(), &LOOKUPS, 400.0);
    s.never_over();
    s.states(at_least("everybody is served", Metric::GoodputPermille, 980.0).from(10));
    s.trace
}

fn domain_loss() -> Trace {
    let mut s = Story::new(
        layout::two_years(),
        "two-years-domain-loss",
        22,
        40,
        &[
            "At the size of two years, a failure domain with its 36 entry VMs and 7 places is",
            "lost. Its callers are served by the others within ten seconds.",
        ],
    );
    s.demand_everywhere(0, &LOOKUPS, 6_400.0);
    s.demand_everywhere(0, &RECORDS, 1_600.0);
    let lost = DomainName::from("r3a");
    for vm in s.trace.head.vms[&lost].clone() {
        s.vm(15, &vm, VmState::Gone, None);
    }
    let places = s.trace.head.plan.places.clone();
    for (place, _) in places.iter().filter(|(_, p)| p.domain == lost) {
        let gone = BackendChange {
            working_permille: 0,
            healthy: false,
            ..well(place.as_str())
        };
        s.backend(15, gone);
    }
    s.never_over();
    s.states(
        at_least(
            "everybody is served after ten seconds",
            Metric::GoodputPermille,
            980.0,
        )
        .from(25),
    );
    s.states(
        at_most(
            "the loss is settled within ten seconds",
            Metric::SettleMs,
            10_000.0,
        )
        .from(15),
    );
    s.trace
}
