//! The traces of the placement and practicum service.

use heatherknot_replay::trace::{Drain, DrainSubject, Metric, Seen, StoreOutage, Trace, VmState};
use heatherknot_types::prelude::*;

use crate::layout;
use crate::port_louis::lose_region;
use crate::story::{Asked, Narrow, Story, at_least, at_most, hill};

const CATALOGO: &str = "training/enlace:catalogo";
const ASIGNACIONES: &str = "training/tutores:asignaciones";
const EXPEDIENTE: &str = "training/enlace:expediente";

const LOOKUPS: Asked = Asked::interactive(CATALOGO);
const PACKS: Asked = Asked::bulk(CATALOGO);
const CONFIRMATIONS: Asked = Asked::once(ASIGNACIONES);
const SIGN_OFFS: Asked = Asked::once(EXPEDIENTE);

fn story(name: &str, seed: u64, seconds: u64, lines: &[&str]) -> Story {
    Story::new(layout::enlace(), name, seed, seconds, lines)
}

fn ordinary(story: &mut Story, lookups: f64, confirmations: f64, sign_offs: f64) {
    story.demand_everywhere(0, &LOOKUPS, lookups);
    story.demand_everywhere(0, &CONFIRMATIONS, confirmations);
    story.demand_everywhere(0, &SIGN_OFFS, sign_offs);
}

pub fn all() -> Vec<Trace> {
    vec![
        monday_reporting(),
        sign_off_deadline(),
        plan_packs(),
        region_loss(),
        store_down(),
        vms_replaced(),
        account_surge(),
    ]
}

fn monday_reporting() -> Trace {
    let mut s = story(
        "enlace-monday-reporting",
        11,
        240,
        &[
            "On Monday morning trainees of the whole country look up where to report, most of",
            "them in valle-central. Every look-up must come back, and no region may be near its",
            "limit while another has room.",
        ],
    );
    ordinary(&mut s, 90.0, 20.0, 6.0);
    for domain in s.domains() {
        let busy = domain.as_str().starts_with("valle-central");
        for step in 0..=16_u32 {
            let high = if busy { 95.0 } else { 30.0 };
            let rate = hill(15.0, high, f64::from(step) / 16.0);
            s.demand(30 + u64::from(step) * 10, &domain, &LOOKUPS, rate);
        }
    }
    s.never_over();
    s.states(
        at_least("every look-up comes back", Metric::GoodputPermille, 990.0)
            .service(CATALOGO)
            .from(20),
    );
    s.states(
        at_least(
            "valle-central keeps headroom",
            Metric::LowestHeadroomPermille,
            50.0,
        )
        .region("valle-central")
        .from(20),
    );
    s.trace
}

fn sign_off_deadline() -> Trace {
    let mut s = story(
        "enlace-sign-off-deadline",
        12,
        240,
        &[
            "Tutors sign off hours in the last minutes before a deadline, more than all regions",
            "can run. Those who are refused come back twice. No hour is credited twice, no",
            "region tips over, and look-ups go on.",
        ],
    );
    s.trace.head.caller_retries = 2;
    ordinary(&mut s, 120.0, 30.0, 8.0);
    for step in 0..=12_u32 {
        let rate = hill(8.0, 70.0, f64::from(step) / 12.0);
        s.demand_everywhere(60 + u64::from(step) * 10, &SIGN_OFFS, rate);
    }
    s.never_over();
    s.states(at_most(
        "no sign-off is credited twice",
        Metric::DoubleRuns,
        0.0,
    ));
    s.states(
        at_least("look-ups go on", Metric::GoodputPermille, 990.0)
            .service(CATALOGO)
            .from(20),
    );
    s.states(
        at_least("most sign-offs are taken", Metric::GoodputPermille, 700.0)
            .service(EXPEDIENTE)
            .from(60)
            .to(180),
    );
    s.trace
}

fn plan_packs() -> Trace {
    let mut s = story(
        "enlace-plan-packs",
        13,
        240,
        &[
            "A new term's lesson plans are out: packs are downloaded by the thousand. Look-ups",
            "of placements must still come back, and every pack for which there is room.",
        ],
    );
    ordinary(&mut s, 120.0, 20.0, 6.0);
    for step in 0..=12_u32 {
        let rate = hill(30.0, 420.0, f64::from(step) / 12.0);
        s.demand_everywhere(60 + u64::from(step) * 10, &PACKS, rate);
    }
    s.never_over();
    s.states(
        at_least("look-ups come back", Metric::GoodputPermille, 985.0)
            .service(CATALOGO)
            .class(Class::Interactive)
            .from(20),
    );
    s.states(
        at_least(
            "packs come as far as there is room",
            Metric::GoodputPermille,
            700.0,
        )
        .service(CATALOGO)
        .class(Class::Bulk)
        .from(60),
    );
    s.trace
}

fn region_loss() -> Trace {
    let mut s = story(
        "enlace-region-loss",
        14,
        300,
        &[
            "The region valle-central is lost at its Monday peak, and is back two minutes later",
            "with new VMs and empty caches. The other two must not tip over with its traffic.",
        ],
    );
    ordinary(&mut s, 200.0, 30.0, 6.0);
    lose_region(
        &mut s,
        &["valle-central-a", "valle-central-b"],
        60,
        180,
        Millis(1_200),
    );
    s.never_over();
    s.states(
        at_least(
            "look-ups come back ten seconds after the loss",
            Metric::GoodputPermille,
            950.0,
        )
        .service(CATALOGO)
        .from(70)
        .to(180),
    );
    s.states(
        at_least("the return disturbs nobody", Metric::GoodputPermille, 970.0)
            .service(CATALOGO)
            .from(180),
    );
    s.states(
        at_most(
            "all is settled half a minute after the return",
            Metric::SettleMs,
            30_000.0,
        )
        .service(CATALOGO)
        .from(180),
    );
    s.trace
}

fn store_down() -> Trace {
    let mut s = story(
        "enlace-store-down",
        15,
        420,
        &[
            "An operator starts to drain guanacaste-a; a few seconds later the platform's store",
            "goes down for five minutes. Meanwhile an entry VM of limon-a is told to stop. The",
            "drain ends, the stop cuts nothing, and nobody notices that the store is away.",
        ],
    );
    ordinary(&mut s, 150.0, 20.0, 6.0);
    let vm = s.witness(&"guanacaste-a".into());
    let drain = Drain {
        subject: DrainSubject::Place("guanacaste-a-site".into()),
        on: true,
    };
    s.event(60, vm.clone(), Seen::Drain(drain));
    s.event(
        64,
        vm,
        Seen::Store(StoreOutage {
            until_ms: Millis(364_000),
        }),
    );
    let leaver = VmName::from("limon-a-vm2");
    s.vm(120, &leaver, VmState::Leaving, None);
    s.vm(140, &leaver, VmState::Gone, None);
    s.never_over();
    s.states(at_most("the stop cuts nothing", Metric::CutByStop, 0.0));
    s.states(
        at_most(
            "guanacaste-a is empty after half a minute",
            Metric::DrainMs,
            30_000.0,
        )
        .place("guanacaste-a-site")
        .from(60),
    );
    s.states(at_least("everybody is served", Metric::GoodputPermille, 985.0).from(20));
    s.trace
}

fn vms_replaced() -> Trace {
    let mut s = story(
        "enlace-vms-replaced",
        16,
        240,
        &[
            "All entry VMs of valle-central-a are replaced within a minute by new ones of other",
            "names, without warning. Callers find others, and the new ones take their part once",
            "the platform's list tells that the old ones are gone.",
        ],
    );
    ordinary(&mut s, 150.0, 20.0, 6.0);
    let domain = DomainName::from("valle-central-a");
    for (number, old) in s.trace.head.vms[&domain].clone().into_iter().enumerate() {
        let at = 60 + 25 * number as u64;
        s.vm(at, &old, VmState::Gone, None);
        let new = VmName::from(format!("{domain}-vm{}", number + 3));
        s.vm(at + 15, &new, VmState::Up, Some(domain.clone()));
    }
    s.never_over();
    s.states(
        at_least("look-ups come back", Metric::GoodputPermille, 970.0)
            .service(CATALOGO)
            .from(20),
    );
    s.states(
        at_most(
            "all is settled a minute and a half later",
            Metric::SettleMs,
            90_000.0,
        )
        .from(60),
    );
    s.trace
}

fn account_surge() -> Trace {
    let mut s = story(
        "enlace-account-surge",
        17,
        240,
        &[
            "The tutors' account asks ten times as much as usual, by a mistake in a script. Its",
            "own requests beyond its share are refused; the other account notices nothing.",
        ],
    );
    ordinary(&mut s, 200.0, 40.0, 10.0);
    s.demand_everywhere(60, &CONFIRMATIONS, 400.0);
    s.demand_everywhere(180, &CONFIRMATIONS, 40.0);
    s.never_over();
    s.states(
        at_least(
            "the other account notices nothing",
            Metric::GoodputPermille,
            985.0,
        )
        .account("training/enlace")
        .from(20),
    );
    s.states(
        at_least(
            "the account keeps its own share",
            Metric::GoodputPermille,
            250.0,
        )
        .account("training/tutores")
        .from(60)
        .to(180),
    );
    s.trace
}
