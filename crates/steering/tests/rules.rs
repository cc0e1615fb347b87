//! Tests of single components: windows, allowances, issuer selection, retries, upstreams, reports,
//! look-up answers and recordings.

mod common;

use std::sync::Arc;

use common::*;
use heatherknot_steering::allowance::Allowances;
use heatherknot_steering::holder::Holder;
use heatherknot_steering::lookup::LiveAnswers;
use heatherknot_steering::peer::rendezvous_winner;
use heatherknot_steering::record::{Decision, Entry, Input, step};
use heatherknot_steering::report::Reports;
use heatherknot_steering::retry::RetryBudget;
use heatherknot_steering::upstream::{RequestOutcome, UpstreamLoad, Upstreams};
use heatherknot_steering::window::Window;
use heatherknot_steering::{Grant, GrantReply, Identity, Steering, Tuning, VmReport};
use heatherknot_types::prelude::*;

/// Guards against an event that counts for less or more than one window, which would let a rate
/// exceed its cap or waste part of it.
#[test]
fn an_event_counts_for_exactly_one_window() {
    let mut window = Window::new(Millis(1_000), Millis(1));
    window.add_many(Millis(500), 3);
    window.add(Millis(900));

    let counts = [500, 900, 1_499, 1_500, 1_899, 1_900].map(|at| window.peek(Millis(at)));

    assert_eq!([4, 4, 4, 1, 1, 0], counts);
    assert_eq!(Millis(1_500), window.free_at(4, Millis(1_000)));
    assert_eq!(Millis(1_900), window.free_at(1, Millis(1_000)));
    assert_eq!(1, window.count(Millis(1_500)));
}

/// Guards against a coarse window that undercounts and so admits more than the cap.
#[test]
fn a_coarse_window_never_counts_too_little() {
    let mut exact = Window::new(Millis(1_000), Millis(1));
    let mut coarse = Window::new(Millis(1_000), Millis(100));
    let mut rng = fastrand::Rng::with_seed(5);

    for at in 0..20_000 {
        if rng.u32(0..20) == 0 {
            exact.add(Millis(at));
            coarse.add(Millis(at));
        }

        assert!(coarse.count(Millis(at)) >= exact.count(Millis(at)));
    }
}

/// Guards against the parts of a region's or link's cap summing to more than the cap, as they
/// would if each VM's part were rounded up.
#[test]
fn parts_of_a_cap_never_sum_above_it() {
    let mut plan = plan();
    plan.regions.get_mut("north").expect("a region").cap = cap(101, 51);
    plan.links.push(link("south", "north", cap(7, 5)));

    for part in 0..=1_000 {
        let parts = [
            ("n1", part),
            ("n1", 1_000 - part),
            ("n2", part),
            ("n2", 1_000 - part),
        ];
        let all = parts.map(|(domain, part)| Allowances::of(&plan, &domain.into(), part));

        let rate: u32 = all.iter().map(|a| a.region.per_second).sum();
        let in_flight: u32 = all.iter().map(|a| a.region.in_flight).sum();
        let link: u32 = all
            .iter()
            .flat_map(|a| a.links.values())
            .map(|c| c.per_second)
            .sum();
        assert!(rate <= 101 && in_flight <= 51 && link <= 7, "part {part}");
        assert!(rate >= 97, "rounding loses at most one per VM: {rate}");
    }
}

/// Guards against a VM that leaves and changes the issuer of VMs that did not request from it, and
/// against an uneven distribution over the issuers.
#[test]
fn a_removed_vm_moves_only_its_own_requesters() {
    let vms: Vec<VmName> = (0..36).map(|n| VmName::new(format!("d3-{n}"))).collect();
    let sources: Vec<String> = (0..540)
        .map(|n| format!("d{}-{}", n % 15, n / 15))
        .collect();
    let pair = |source: &String, gone: Option<&VmName>| {
        rendezvous_winner(source, vms.iter().filter(|vm| Some(*vm) != gone))
            .expect("a VM")
            .clone()
    };
    let before: Vec<VmName> = sources.iter().map(|s| pair(s, None)).collect();

    let after = sources.iter().map(|s| pair(s, Some(&vms[7])));

    let moved = before.iter().zip(after).filter(|(b, a)| *b != a);
    assert!(moved.clone().all(|(b, _)| *b == vms[7]));
    let most = vms
        .iter()
        .map(|vm| before.iter().filter(|b| *b == vm).count())
        .max();
    assert!(
        most <= Some(30),
        "15 requesters per VM on average, at most {most:?}"
    );
}

/// Guards against retries that double the load exactly when there is no capacity: every first try
/// fails and each is tried again.
#[test]
fn retries_are_limited_to_a_fraction_of_first_tries() {
    let mut budget = RetryBudget::default();
    let mut taken = 0;

    for at in 0..1_000 {
        budget.record_first_try(Millis(at));
        taken += u32::from(budget.take(100, Millis(at)));
    }

    assert!((95..=102).contains(&taken), "{taken}");
    budget.set_overloaded(Millis(3_000));
    for at in 1_000..2_000 {
        budget.record_first_try(Millis(at));
    }
    assert!(
        !budget.take(100, Millis(2_000)),
        "none while the place is overloaded"
    );
    assert!(budget.take(100, Millis(3_000)));
    assert!(!RetryBudget::default().take(0, Millis(0)));
}

fn upstreams() -> Upstreams {
    let mut plan = plan();
    for u in &mut plan.services.get_mut(GALLERY).expect("a service").upstreams {
        u.slots = 4;
    }
    let mut upstreams = Upstreams::default();
    upstreams.set_plan(&plan.services, &|place| place.as_str() == "n1");
    upstreams
}

fn pick(upstreams: &Upstreams, class: Class, now: Millis) -> Option<String> {
    let mut rng = fastrand::Rng::with_seed(1);
    let (service, place) = (GALLERY.into(), "n1".into());
    let tuning = Tuning::default();
    let picked = upstreams.pick(&service, &place, class, &tuning, &mut rng, now);
    picked.map(|u| u.plan().name.to_string())
}

fn load(in_use: u16) -> UpstreamLoad {
    UpstreamLoad {
        in_use,
        healthy: true,
        leaving: false,
        age: Millis(0),
    }
}

/// Guards against requests sent to the fuller upstream, and bulk requests that take the last slot
/// from interactive ones.
#[test]
fn picks_the_least_loaded_upstream_and_keeps_the_last_slot_from_bulk() {
    let mut u = upstreams();
    let service = ServiceName::from(GALLERY);
    u.report(&service, &"n1-0".into(), load(3), Millis(0));
    u.report(&service, &"n1-1".into(), load(1), Millis(0));
    assert_eq!(Some("n1-1".into()), pick(&u, Class::Bulk, Millis(0)));

    for _ in 0..3 {
        u.start(&service, &"n1-1".into());
    }

    assert_eq!(Some("n1-0".into()), pick(&u, Class::Interactive, Millis(0)));
    assert_eq!(None, pick(&u, Class::Bulk, Millis(0)));
    u.start(&service, &"n1-0".into());
    assert_eq!(None, pick(&u, Class::Interactive, Millis(0)));
}

/// Guards against queueing at a backend server that reports itself idle while its slots are full.
#[test]
fn a_report_below_the_own_requests_in_flight_is_ignored() {
    let mut u = upstreams();
    let service = ServiceName::from(GALLERY);
    for _ in 0..4 {
        u.start(&service, &"n1-0".into());
    }

    u.report(&service, &"n1-0".into(), load(0), Millis(10));

    assert_eq!(
        Some("n1-1".into()),
        pick(&u, Class::Interactive, Millis(10))
    );
}

/// Guards against new requests to an upstream that is shutting down, which would fail with it.
#[test]
fn an_upstream_that_shuts_down_gets_no_new_requests() {
    let mut u = upstreams();
    let service = ServiceName::from(GALLERY);
    u.set_leaving(&service, &"n1-0".into(), true);

    let picks: Vec<_> = (0..8)
        .map(|at| pick(&u, Class::Interactive, Millis(at)))
        .collect();

    assert!(
        picks.iter().all(|p| p.as_deref() == Some("n1-1")),
        "{picks:?}"
    );
}

/// Guards against full load on an upstream that has just started with cold caches.
#[test]
fn a_cold_upstream_gets_its_slots_gradually() {
    let mut u = upstreams();
    let service = ServiceName::from(GALLERY);
    u.mark_cold(&service, &"n1-0".into(), Millis(0));
    let tuning = Tuning::default();

    let slots =
        [0, 2_500, 5_000, 10_000, 20_000].map(|at| u.of(&service)[0].slots(&tuning, Millis(at)));

    assert_eq!([1, 1, 2, 4, 4], slots);
}

/// Guards against endless refusals by a backend server whose real capacity is below its configured
/// slots: the same number of requests sent again at once would be shed again.
#[test]
fn an_upstream_that_sheds_is_paused_and_then_gets_fewer_slots() {
    let mut u = upstreams();
    let tuning = Tuning::default();
    let (service, name) = (ServiceName::from(GALLERY), UpstreamName::from("n1-0"));
    u.set_leaving(&service, &"n1-1".into(), true);
    for _ in 0..3 {
        u.start(&service, &name);
    }

    u.finish(&service, &name, RequestOutcome::Shed, &tuning, Millis(100));

    assert_eq!(None, pick(&u, Class::Interactive, Millis(200)));
    assert_eq!(2, u.of(&service)[0].slots(&tuning, Millis(700)));
    for at in [2_200, 4_300] {
        u.tick(&tuning, Millis(at));
    }
    assert_eq!(4, u.of(&service)[0].slots(&tuning, Millis(4_300)));
}

/// Guards against an upstream that keeps getting requests while all of them fail.
#[test]
fn consecutive_failures_eject_an_upstream_for_doubling_periods() {
    let mut u = upstreams();
    let tuning = Tuning::default();
    let (service, name) = (ServiceName::from(GALLERY), UpstreamName::from("n1-0"));
    let fail = |u: &mut Upstreams, at: u64| {
        u.start(&service, &name);
        u.finish(&service, &name, RequestOutcome::Failed, &tuning, Millis(at));
    };
    fail(&mut u, 0);
    fail(&mut u, 0);
    assert!(u.of(&service)[0].usable(Millis(0)));

    fail(&mut u, 0);
    let first = u.of(&service)[0].usable(Millis(1_999));
    let after = u.of(&service)[0].usable(Millis(2_000));
    fail(&mut u, 2_000);

    assert!(!first && after);
    assert!(!u.of(&service)[0].usable(Millis(5_999)));
    assert!(u.of(&service)[0].usable(Millis(6_000)));
}

/// Returns a report half a second old: 80 of 100 requests per second used, 20 lendable.
fn report(seq: u64, health: u16) -> VmReport {
    let line = format!(
        r#"{{"v":"v-s1","d":"s1","i":1,"n":{seq},"l":[
            {{"p":"s1","a":500,"r":80,"c":100,"e":20,"h":{health},"w":80}}]}}"#
    );
    serde_json::from_str(&line).expect("a report as it goes over the wire")
}

/// Guards against decisions based on stale reports, and on a report that arrives after a newer
/// one.
#[test]
fn a_report_loses_weight_with_age() {
    let mut reports = Reports::new(Tuning::default());
    let place = PlaceName::from("s1");
    reports.record(&report(2, 900), Millis(0));
    reports.record(&report(1, 100), Millis(0));

    let at = |ms| {
        reports
            .summary(&place, Millis(ms))
            .map(|s| s.lendable.round() as u32)
    };

    assert_eq!(Some(20), at(2_500));
    assert_eq!(Some(10), at(8_500));
    assert_eq!(None, at(14_500));
    assert_eq!(
        900,
        reports.health(&place, Millis(0)),
        "the older report came too late"
    );
}

/// Guards against traffic that returns to a flapping place as soon as it reports itself healthy.
#[test]
fn the_hold_down_of_a_place_doubles_with_each_failure() {
    let mut reports = Reports::new(Tuning::default());
    let place = PlaceName::from("s1");
    let mut alone = Vec::new();

    for turn in 0..3_u64 {
        let start = turn * 20_000;
        reports.record(&report(2 * turn, 0), Millis(start));
        reports.update_hold_downs(Millis(start));
        reports.record(&report(2 * turn + 1, 1_000), Millis(start + 100));
        let mut at = start;
        while !reports.usable(&place) {
            at += 100;
            reports.update_hold_downs(Millis(at));
        }
        alone.push(at - start);
    }

    assert_eq!(vec![2_000, 4_000, 8_000], alone);
}

fn take_grant(holder: &mut Holder, seq: u64, now: Millis) {
    let ask = holder.start_request(&"s1".into(), &"v-s1".into(), now);
    let reply = GrantReply {
        ask,
        holder_incarnation: Incarnation(1),
        issuer: "v-s1".into(),
        issuer_incarnation: Incarnation(5),
        term: Millis(10_000),
        grants: vec![Grant {
            place: "s1".into(),
            seq,
            rate: 3,
            in_flight: 4,
        }],
        report_seq: seq,
        places: Vec::new(),
    };
    assert!(holder.accept_reply(&"s1".into(), &reply, now));
}

/// Guards against brief overloads of a link: a holder that forgot, with an expired grant, the
/// requests it sent in the last second and those in flight would send as many again under the next
/// grant.
#[test]
fn requests_under_an_expired_grant_count_against_the_next() {
    let mut holder = Holder::new("v-n1".into(), Incarnation(1), Tuning::default());
    let place = PlaceName::from("s1");
    take_grant(&mut holder, 1, Millis(0));
    let tokens: Vec<_> = (0..3)
        .filter_map(|_| holder.record_send(&place, 0, Millis(8_900)))
        .collect();
    assert_eq!(3, tokens.len());

    holder.tick(Millis(9_000));
    take_grant(&mut holder, 2, Millis(9_000));
    let at_once = holder.record_send(&place, 0, Millis(9_000));
    holder.tick(Millis(9_900));
    let later = (0..4)
        .filter_map(|_| holder.record_send(&place, 0, Millis(9_900)))
        .count();

    assert_eq!(None, at_once);
    assert_eq!(1, later, "three of four still run");

    holder.tick(Millis(19_000));
    take_grant(&mut holder, 3, Millis(19_000));
    let next = (0..4)
        .filter_map(|_| holder.record_send(&place, 0, Millis(19_000)))
        .count();
    assert_eq!(0, next, "four still run under expired grants");
    tokens.iter().for_each(|t| holder.finish(t));
    let next = (0..4)
        .filter_map(|_| holder.record_send(&place, 0, Millis(19_000)))
        .count();
    assert_eq!(3, next);
}

/// Guards against a rate above the grant when finished requests are forgotten together with an
/// expired grant.
#[test]
fn finished_requests_count_against_the_next_grant_for_one_window() {
    let mut holder = Holder::new("v-n1".into(), Incarnation(1), Tuning::default());
    let place = PlaceName::from("s1");
    take_grant(&mut holder, 1, Millis(0));
    for _ in 0..3 {
        let token = holder.record_send(&place, 0, Millis(8_900)).expect("room");
        holder.finish(&token);
    }

    holder.tick(Millis(9_000));
    take_grant(&mut holder, 2, Millis(9_000));
    let at_once = holder.record_send(&place, 0, Millis(9_000));
    let later = holder.record_send(&place, 0, Millis(9_900));

    assert_eq!(None, at_once);
    assert!(later.is_some());
}

/// Guards against cached look-up answers that stop counting as load while callers still use them.
#[test]
fn answers_count_until_they_expire() {
    let mut live = LiveAnswers::default();
    for until in [1_000, 500, 2_000, 1_000] {
        live.add(Millis(until));
    }

    let counts = [0, 500, 999, 1_000, 2_000].map(|at| live.count(Millis(at)));

    assert_eq!([4, 3, 3, 1, 0], counts);
}

/// Guards against a recording that lacks an input of the decisions, so that a replay of an
/// incident would differ from the daemon's behaviour.
#[test]
fn a_replayed_recording_gives_the_same_decisions() {
    let me = Identity {
        vm: "v-n1".into(),
        domain: "n1".into(),
        incarnation: Incarnation(1),
    };
    let mut inputs = vec![
        (0, Input::Plan(Arc::new(plan()))),
        (0, Input::Part(1_000)),
        (0, Input::Peers(peers(&plan()))),
    ];
    for at in (0..30_000).step_by(100) {
        inputs.push((at, Input::Tick));
        if at % 1_000 == 0 {
            inputs.push((at, Input::Ask));
            inputs.push((at, Input::Lookup(GALLERY.into())));
        }
        inputs.extend((0..15).map(|_| (at, Input::Arrival(arrival(GALLERY)))));
    }
    let mut vm = Steering::new(me.clone(), Tuning::default(), Millis(0));
    let mut rng = fastrand::Rng::with_seed(9);
    let mut lines = Vec::new();
    for (at, input) in inputs {
        let at = Millis(at);
        let decision = step(&mut vm, &input, &mut rng, at);
        let entry = Entry {
            at,
            input,
            decision,
        };
        lines.push(serde_json::to_string(&entry).expect("plain data"));
    }

    let mut vm = Steering::new(me, Tuning::default(), Millis(0));
    let mut rng = fastrand::Rng::with_seed(9);
    let mut asks = 0;
    for line in &lines {
        let entry: Entry = serde_json::from_str(line).expect("its own line");
        let decision = step(&mut vm, &entry.input, &mut rng, entry.at);
        asks += u32::from(matches!(&decision, Decision::Ask(a) if !a.is_empty()));
        assert_eq!(entry.decision, decision, "at {}", entry.at);
    }
    assert!(asks > 0, "the recording holds requests for grants");
}
