//! Tests of single rules: windows, parts of caps, pairing, retries, upstreams, reports, answers,
//! recordings.

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

/// Two VMs of each failure domain round their parts of a region's cap; were they rounded up,
/// the region would get more than its cap.
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
        assert!(rate >= 97, "at most one lost to each VM: {rate}");
    }
}

#[test]
fn a_vm_that_goes_moves_only_its_own_pairs() {
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
        "15 sources a VM on average, at most {most:?}"
    );
}

/// Every first try fails and every caller's VM tries again: without a budget the load doubles
/// just when there is no room.
#[test]
fn retries_are_bound_to_a_part_of_first_tries() {
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

#[test]
fn the_upstream_with_most_room_is_picked_and_bulk_leaves_the_last_slot() {
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

/// A backend server answers each probe that it is idle while its slots are full; requests sent
/// there queue behind the others.
#[test]
fn an_upstream_that_says_idle_while_full_is_not_believed() {
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

#[test]
fn a_leaving_upstream_gets_nothing_new() {
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

#[test]
fn a_cold_upstream_gets_its_slots_step_by_step() {
    let mut u = upstreams();
    let service = ServiceName::from(GALLERY);
    u.mark_cold(&service, &"n1-0".into(), Millis(0));
    let tuning = Tuning::default();

    let slots =
        [0, 2_500, 5_000, 10_000, 20_000].map(|at| u.of(&service)[0].slots(&tuning, Millis(at)));

    assert_eq!([1, 1, 2, 4, 4], slots);
}

/// A backend server refuses for want of room below the slots in its settings. Sent the same
/// number again at once it would refuse for ever.
#[test]
fn an_upstream_that_sheds_is_spared_and_then_given_less() {
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

#[test]
fn three_failures_in_a_row_eject_an_upstream_for_longer_each_time() {
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

/// Half a second old: 80/s of 100/s used, 20/s to lend.
fn report(seq: u64, health: u16) -> VmReport {
    let line = format!(
        r#"{{"v":"v-s1","d":"s1","i":1,"n":{seq},"l":[
            {{"p":"s1","a":500,"r":80,"c":100,"e":20,"h":{health},"w":80}}]}}"#
    );
    serde_json::from_str(&line).expect("a report as it goes over the wire")
}

#[test]
fn a_report_counts_for_less_as_it_ages_and_then_for_nothing() {
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

#[test]
fn a_place_is_left_alone_twice_as_long_after_each_failure() {
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

/// A link is over its cap for a moment, again and again: a source forgets an expired grant with
/// what it sent in its last second and what still runs, and sends as much under the next.
#[test]
fn what_was_sent_under_an_expired_grant_counts_against_the_next() {
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

#[test]
fn what_was_sent_and_answered_counts_against_the_next_grant_for_one_window() {
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

#[test]
fn answers_count_until_they_expire() {
    let mut live = LiveAnswers::default();
    for until in [1_000, 500, 2_000, 1_000] {
        live.add(Millis(until));
    }

    let counts = [0, 500, 999, 1_000, 2_000].map(|at| live.count(Millis(at)));

    assert_eq!([4, 3, 3, 1, 0], counts);
}

/// An operator replays an incident and gets other decisions than the daemon made: then the
/// recording misses something that the decisions depend on.
#[test]
fn a_recording_read_back_gives_the_same_decisions() {
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
