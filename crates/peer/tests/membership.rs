//! Membership over loopback: detection of failures, partitions, pauses and restarts.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use heatherknot_peer::{MemberState, Source};
use heatherknot_store::vm_list::{VmRecord, VmState};
use heatherknot_types::prelude::*;
use support::fleet::{
    ListedVms, TestDaemon, TestDaemonSetup, all_alive, set_path_between, set_path_both_ways,
    settled_fleet,
};
use support::{Network, Path, TestTime, run};

fn all_believe(nodes: &[&TestDaemon], vm: &VmName, state: MemberState) -> bool {
    nodes.iter().all(|node| node.state(vm) == Some(state))
}

#[test]
fn daemons_of_all_domains_find_each_other_through_one_seed() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());

        let nodes = settled_fleet(&[("a", 4), ("b", 4), ("c", 4)], &time, &network).await;

        assert!(all_alive(&nodes));
    });
}

/// Guards against a dead daemon that stays in the membership of its own or another domain.
#[test]
fn a_dead_daemon_is_suspect_first_and_then_gone_everywhere() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let mut nodes = settled_fleet(&[("a", 4), ("b", 3)], &time, &network).await;
        let dead = nodes.remove(1);
        let rest: Vec<_> = nodes.iter().collect();

        dead.net.close();
        let vm = dead.vm();
        let suspected = || {
            rest.iter()
                .any(|node| node.state(&vm) == Some(MemberState::Suspect))
        };
        time.wait_until("somebody suspects it", suspected).await;
        time.wait_until("all count it gone", || {
            all_believe(&rest, &vm, MemberState::Gone)
        })
        .await;

        let alive = |node: &&TestDaemon| {
            let views = node.membership.views();
            views
                .iter()
                .filter(|v| v.state == MemberState::Alive)
                .count()
        };
        assert!(rest.iter().map(alive).all(|count| count == rest.len() - 1));
    });
}

/// Guards against confusing a restarted daemon with its previous incarnation: a daemon dies and
/// restarts immediately at the same address, with its clock set back.
#[test]
fn a_restarted_daemon_is_a_new_incarnation() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let mut nodes = settled_fleet(&[("a", 4)], &time, &network).await;
        let old = nodes.remove(1);
        let (vm, address) = (old.vm(), old.address());
        old.net.close();
        support::let_sockets_progress().await;

        let mut setup = TestDaemonSetup::new(vm.as_str(), "a", &time, &network);
        setup.cx.listen = address;
        setup.cx.epoch = 10;
        setup.seeds.push(nodes[0].address());
        let new = setup.start();
        let incarnation = new.net.me().incarnation;
        let known = |node: &TestDaemon| {
            node.view(&vm).is_some_and(|view| {
                view.id.incarnation == incarnation && view.state == MemberState::Alive
            })
        };
        time.wait_until("all know the new run", || nodes.iter().all(known))
            .await;

        assert_ne!(incarnation, old.net.me().incarnation);
        assert_eq!(new.net.superseded_by(), None);
    });
}

/// Guards against removing a VM that only one peer cannot reach. Helpers reach the VM, so it is not
/// suspected, or refutes the suspicion in time.
#[test]
fn a_vm_that_one_peer_cannot_reach_is_not_gone() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 5)], &time, &network).await;
        let vm = nodes[3].vm();

        network.set_path(nodes[1].vm().as_str(), nodes[3].address(), Path::Cut);
        let gone = |node: &&TestDaemon| node.state(&vm) == Some(MemberState::Gone);
        let mut ever_gone = false;
        let end = time.now() + Millis(60_000);
        time.wait_until("a minute passes", || {
            ever_gone |= nodes.iter().any(|node| gone(&node));
            time.now() >= end
        })
        .await;

        assert!(!ever_gone);
    });
}

/// Guards against considering a partitioned domain's VMs gone. Daemons keep track of their own
/// domain, `since_heard` of the other domain's VMs grows, and the views agree again after the
/// partition heals.
#[test]
fn a_partitioned_domain_is_not_gone_but_its_age_grows() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 3), ("b", 3)], &time, &network).await;
        let (a, b) = nodes.split_at(3);
        let (a, b): (Vec<_>, Vec<_>) = (a.iter().collect(), b.iter().collect());

        set_path_between(&network, &a, &b, Path::Cut);
        time.run_for(40_000).await;
        let near = a[0].view(&a[1].vm()).expect("known");
        let far = a[0].view(&b[1].vm()).expect("known");
        let died = b[2].vm();
        b[2].net.close();
        time.wait_until("its own domain notices", || {
            all_believe(&b[..2], &died, MemberState::Gone)
        })
        .await;
        let unaware = a[0].state(&died);
        set_path_between(&network, &a, &b, Path::Open);
        time.wait_until("the others hear of it", || {
            all_believe(&a, &died, MemberState::Gone)
        })
        .await;

        assert_eq!(
            (near.state, far.state),
            (MemberState::Alive, MemberState::Alive)
        );
        assert!(near.since_heard < Some(Millis(10_000)), "{near:?}");
        assert!(far.since_heard > Some(Millis(30_000)), "{far:?}");
        assert_eq!(unaware, Some(MemberState::Alive));
    });
}

/// Guards against a paused process that continues as if nothing had happened, or that stays gone.
/// It is paused until its peers consider it gone and for 30 seconds more; when it resumes, it must
/// detect the pause, call the hook and announce itself again.
#[test]
fn a_paused_daemon_detects_the_pause_and_announces_itself_again() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 4)], &time, &network).await;
        let (stopped, rest) = nodes.split_first().expect("a fleet");
        let rest: Vec<_> = rest.iter().collect();
        let vm = stopped.vm();

        stopped.paused.set(true);
        set_path_between(&network, &[stopped], &rest, Path::Cut);
        time.wait_until("it is gone", || all_believe(&rest, &vm, MemberState::Gone))
            .await;
        time.run_for(30_000).await;
        let resumed_before = stopped.resume_count.get();
        set_path_between(&network, &[stopped], &rest, Path::Open);
        stopped.paused.set(false);
        time.wait_until("it is alive again", || all_alive(&nodes))
            .await;

        assert_eq!((resumed_before, stopped.resume_count.get()), (0, 1));
        assert!(rest.iter().all(|node| node.resume_count.get() == 0));
    });
}

/// Guards against two daemons that cannot reach each other declaring each other gone while the
/// others reach both.
#[test]
fn a_cut_between_two_daemons_makes_neither_gone() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 4)], &time, &network).await;

        set_path_both_ways(&network, &nodes[1], &nodes[2], Path::Cut);
        time.run_for(60_000).await;

        let gone = |node: &TestDaemon| {
            let views = node.membership.views();
            views.iter().any(|view| view.state == MemberState::Gone)
        };
        assert!(!nodes.iter().any(gone));
    });
}

#[test]
fn a_leaving_daemon_announces_it() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 3), ("b", 2)], &time, &network).await;
        let vm = nodes[0].vm();

        nodes[0].membership.leave();
        let rest: Vec<_> = nodes[1..].iter().collect();
        time.wait_until("all know", || all_believe(&rest, &vm, MemberState::Leaving))
            .await;

        assert_eq!(nodes[0].membership.own_state(), MemberState::Leaving);
    });
}

fn listed(node: &TestDaemon, state: VmState) -> VmRecord {
    let id = node.net.me();
    VmRecord {
        name: id.vm,
        domain: id.domain,
        address: id.address,
        state,
        age_ms: Millis(5_000),
    }
}

async fn fleet_with_list(time: &TestTime, network: &Network) -> (Vec<TestDaemon>, ListedVms) {
    let list = ListedVms::default();
    let mut nodes: Vec<TestDaemon> = Vec::new();
    for (vm, domain) in [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")] {
        let mut setup = TestDaemonSetup::new(vm, domain, time, network);
        setup.listed = Some(Rc::clone(&list));
        setup.seeds.extend(nodes.first().map(TestDaemon::address));
        nodes.push(setup.start());
    }
    *list.borrow_mut() = nodes
        .iter()
        .map(|node| listed(node, VmState::Live))
        .collect();
    time.wait_until("all know all", || all_alive(&nodes)).await;
    (nodes, list)
}

#[test]
fn a_vm_that_the_platform_lists_as_leaving_announces_it() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let (nodes, list) = fleet_with_list(&time, &network).await;
        let vm = nodes[1].vm();

        list.borrow_mut()[1].state = VmState::Leaving;
        let others = [&nodes[0], &nodes[2], &nodes[3]];
        time.wait_until("all know", || {
            all_believe(&others, &vm, MemberState::Leaving)
        })
        .await;
        time.wait_until("it was told", || nodes[1].leave_requests.get() > 0)
            .await;

        assert_eq!(nodes[1].leave_requests.get(), 1);
        assert_eq!(nodes[1].membership.own_state(), MemberState::Leaving);
    });
}

/// Guards against trusting the platform's list, which lags behind: it shows a dead VM as live and
/// does not yet show a live one. Neither state may change.
#[test]
fn a_lagging_list_neither_revives_nor_removes_a_vm() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let (nodes, list) = fleet_with_list(&time, &network).await;
        let (dead, unlisted) = (nodes[1].vm(), nodes[3].vm());

        list.borrow_mut().retain(|vm| vm.name != unlisted);
        nodes[1].net.close();
        let others = [&nodes[0], &nodes[2], &nodes[3]];
        time.wait_until("it is gone", || {
            all_believe(&others, &dead, MemberState::Gone)
        })
        .await;
        time.run_for(120_000).await;

        assert!(all_believe(&others, &dead, MemberState::Gone));
        assert!(all_believe(
            &[&nodes[0], &nodes[2]],
            &unlisted,
            MemberState::Alive
        ));
    });
}

/// Guards against a lost domain whose VMs stay alive in the view of others, because none of its VMs
/// is left to detect the failure. They are gone once the platform's list no longer shows them.
#[test]
fn a_lost_domain_is_gone_once_the_platform_no_longer_lists_it() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let (nodes, list) = fleet_with_list(&time, &network).await;

        nodes[2].net.close();
        nodes[3].net.close();
        list.borrow_mut().truncate(2);
        let rest = [&nodes[0], &nodes[1]];
        time.wait_until("both are gone", || {
            let gone = |node: &TestDaemon| all_believe(&rest, &node.vm(), MemberState::Gone);
            gone(&nodes[2]) && gone(&nodes[3])
        })
        .await;

        let view = nodes[0].view(&nodes[2].vm()).expect("remembered");
        assert!(matches!(view.source, Source::Platform | Source::Peer));
    });
}

/// Guards against a daemon that stays alone because it has no seed: it finds its peers through the
/// platform's list.
#[test]
fn a_daemon_without_seeds_finds_its_peers_through_the_platforms_list() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let old = TestDaemonSetup::new("a0", "a", &time, &network).start();
        let mut setup = TestDaemonSetup::new("a1", "a", &time, &network);
        setup.listed = Some(Rc::new(RefCell::new(vec![listed(&old, VmState::Live)])));

        let nodes = [old, setup.start()];

        time.wait_until("both know both", || all_alive(&nodes))
            .await;
    });
}

/// Guards against keeping a VM that the platform has removed: it hangs without closing its
/// connections, and the platform's list shows it as gone.
#[test]
fn a_vm_that_the_platform_removed_is_gone() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let (nodes, list) = fleet_with_list(&time, &network).await;
        let vm = nodes[3].vm();

        set_path_between(
            &network,
            &[&nodes[3]],
            &[&nodes[0], &nodes[1], &nodes[2]],
            Path::Cut,
        );
        list.borrow_mut()[3].state = VmState::Gone;
        let rest = [&nodes[0], &nodes[1], &nodes[2]];
        time.wait_until("all count it gone", || {
            all_believe(&rest, &vm, MemberState::Gone)
        })
        .await;

        assert_eq!(nodes[0].state(&nodes[2].vm()), Some(MemberState::Alive));
    });
}

/// Guards against views of two domains that differ for good after a partition in which an update
/// was sent as often as updates are. The first heartbeat between the domains must detect the
/// difference and start a comparison.
#[test]
fn domains_with_different_views_converge_after_a_partition() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 3), ("b", 3)], &time, &network).await;
        // Without the common seed, only heartbeats connect the two domains.
        nodes[0].net.close();
        let (a, b) = nodes[1..].split_at(2);
        let (a, b): (Vec<_>, Vec<_>) = (a.iter().collect(), b.iter().collect());
        let (lost, vm) = (nodes[0].vm(), b[0].vm());
        time.wait_until("all count it gone", || {
            all_believe(&a, &lost, MemberState::Gone) && all_believe(&b, &lost, MemberState::Gone)
        })
        .await;
        set_path_between(&network, &a, &b, Path::Cut);
        // When the partition ends, the update has been sent the maximum number of times.
        b[0].membership.leave();
        time.run_for(60_000).await;
        let unaware = all_believe(&a, &vm, MemberState::Alive);

        let healed = time.now();
        set_path_between(&network, &a, &b, Path::Open);
        let all = || all_believe(&a, &vm, MemberState::Leaving);
        time.wait_until("the others hear of it", all).await;

        assert!(unaware);
        assert!(time.now().since(healed) < Millis(30_000));
    });
}

/// Guards against views that never converge: daemons would then compare their whole membership
/// state again and again, and the average message would be larger than a heartbeat.
#[test]
fn an_idle_fleet_exchanges_only_small_heartbeats() {
    run(async {
        let (time, network) = (TestTime::default(), Network::default());
        let nodes = settled_fleet(&[("a", 6), ("b", 6), ("c", 6)], &time, &network).await;
        time.run_for(60_000).await;
        let byte_count = || -> u64 {
            let traffic = nodes.iter().map(|node| node.net.traffic());
            traffic.map(|t| t.bytes_in.get() + t.bytes_out.get()).sum()
        };
        let message_count = || -> u64 {
            let traffic = nodes.iter().map(|node| node.net.traffic());
            traffic
                .map(|t| t.frames_in.get() + t.frames_out.get())
                .sum()
        };

        let (bytes_before, messages_before) = (byte_count(), message_count());
        time.run_for(30_000).await;

        let bytes_per_message = (byte_count() - bytes_before) / (message_count() - messages_before);
        assert!(
            bytes_per_message < 150,
            "{bytes_per_message} bytes per message"
        );
    });
}
