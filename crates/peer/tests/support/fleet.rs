//! Fleets of daemons on loopback that exchange heartbeats.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_peer::{
    Delivery, MemberState, MemberView, Membership, MembershipContext, MembershipHooks,
    MembershipOptions, PeerContext, PeerId, PeerNet, Relay, RelayOptions, RelayedChange,
    RelayedSnapshot, SettingsPort, StorePort,
};
use heatherknot_store::vm_list::{VmList, VmRecord};
use heatherknot_types::prelude::*;

use super::{Network, Path, TestTime, context};

/// A fake of the platform's VM list.
pub type ListedVms = Rc<RefCell<Vec<VmRecord>>>;

/// A fake of the replica of the settings, which keeps the changes of all revisions.
#[derive(Clone, Default)]
pub struct FakeSettings {
    pub changes: Rc<RefCell<Vec<RelayedChange>>>,
    /// A revision that this replica cannot read.
    pub unreadable: Rc<Cell<Option<Revision>>>,
    pub refusals: Rc<Cell<u32>>,
    /// Set once a revision has been replaced by an older one.
    pub reverted: Rc<Cell<bool>>,
}

/// Creates the change of one revision.
pub fn change(revision: u64, text: &str) -> RelayedChange {
    RelayedChange {
        revision: Revision(revision),
        body: serde_json::value::to_raw_value(text).expect("JSON"),
    }
}

impl FakeSettings {
    pub fn revision(&self) -> Revision {
        let changes = self.changes.borrow();
        changes.last().map_or(Revision::NONE, |c| c.revision)
    }

    fn apply(&self, delivery: &Delivery) -> Result<(), String> {
        if self.unreadable.get() == Some(delivery.revision()) {
            self.refusals.set(self.refusals.get() + 1);
            return Err(String::from("a newer schema"));
        }
        let current = self.revision();
        let mut changes = self.changes.borrow_mut();
        match delivery {
            Delivery::Changes(given) => {
                let newer: Vec<_> = given.iter().filter(|c| c.revision > current).collect();
                if newer.first().map(|c| c.revision) != Some(current.next()) {
                    return Err(String::from("a gap"));
                }
                changes.extend(newer.into_iter().cloned());
            }
            Delivery::Snapshot(snapshot) => {
                let read = serde_json::from_str(snapshot.body.get());
                *changes = read.map_err(|e| e.to_string())?;
            }
        }
        drop(changes);
        self.reverted
            .set(self.reverted.get() || self.revision() < current);
        Ok(())
    }

    pub fn snapshot(&self) -> Option<RelayedSnapshot> {
        let revision = self.revision();
        let body = serde_json::value::to_raw_value(&*self.changes.borrow()).expect("JSON");
        (revision != Revision::NONE).then_some(RelayedSnapshot { revision, body })
    }

    pub fn port(&self) -> SettingsPort {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        SettingsPort {
            revision: Rc::new(move || a.revision()),
            apply: Rc::new(move |delivery| b.apply(delivery)),
            snapshot: Rc::new(move || c.snapshot()),
        }
    }
}

/// A fake of the platform's store.
#[derive(Clone, Default)]
pub struct FakeStore {
    pub settings: FakeSettings,
    pub down: Rc<Cell<bool>>,
    /// Delivery to answer with instead of the newest changes.
    pub stale: Rc<RefCell<Option<Delivery>>>,
    pub calls: Rc<Cell<u64>>,
    pub waiting: Rc<Cell<u32>>,
}

impl FakeStore {
    /// Commits a change and returns its revision.
    pub fn commit(&self, text: &str) -> Revision {
        let next = self.settings.revision().next();
        self.settings
            .changes
            .borrow_mut()
            .push(change(next.0, text));
        next
    }

    /// Returns the interface for a daemon that can reach the store while `cut` is not set.
    pub fn port(&self, time: &TestTime, cut: &Rc<Cell<bool>>) -> StorePort {
        let (store, cut, timer) = (self.clone(), Rc::clone(cut), time.timer());
        StorePort {
            next: Rc::new(move |after| {
                let (store, cut, timer) = (store.clone(), Rc::clone(&cut), timer.clone());
                store.calls.set(store.calls.get() + 1);
                Box::pin(async move {
                    let waiting = WaitGuard::begin(&store.waiting);
                    while !store.down.get() && !cut.get() {
                        if let Some(stale) = &*store.stale.borrow() {
                            return Ok(stale.clone());
                        }
                        if store.settings.revision() > after {
                            return Ok(store.changes_after(after));
                        }
                        timer.wait(Millis(50)).await;
                    }
                    drop(waiting);
                    Err(String::from("the store is unreachable"))
                })
            }),
        }
    }

    fn changes_after(&self, after: Revision) -> Delivery {
        let changes = self.settings.changes.borrow();
        Delivery::Changes(
            changes
                .iter()
                .filter(|c| c.revision > after)
                .cloned()
                .collect(),
        )
    }
}

struct WaitGuard(Rc<Cell<u32>>);

impl WaitGuard {
    fn begin(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One daemon of a fleet.
pub struct TestDaemon {
    pub net: PeerNet,
    pub relay: Relay,
    pub settings: FakeSettings,
    /// Whether this daemon cannot reach the store.
    pub store_cut: Rc<Cell<bool>>,
    pub membership: Membership,
    pub resume_count: Rc<Cell<u32>>,
    pub leave_requests: Rc<Cell<u32>>,
    pub paused: Rc<Cell<bool>>,
}

/// Configuration of a daemon to start.
pub struct TestDaemonSetup {
    pub cx: PeerContext,
    pub seeds: Vec<SocketAddr>,
    pub listed: Option<ListedVms>,
    pub paused: Rc<Cell<bool>>,
    pub settings: FakeSettings,
    pub store: Option<StorePort>,
    pub store_cut: Rc<Cell<bool>>,
    pub relay_options: RelayOptions,
    pub reports: Option<heatherknot_peer::reports::ReportPort>,
}

impl TestDaemonSetup {
    pub fn new(vm: &str, domain: &str, time: &TestTime, network: &Network) -> Self {
        let paused = Rc::new(Cell::new(false));
        let mut cx = context(vm, domain, time);
        cx.timer = time.pausable_timer(&paused);
        cx.dial = network.dial(vm);
        Self {
            cx,
            seeds: Vec::new(),
            listed: None,
            paused,
            settings: FakeSettings::default(),
            store: None,
            store_cut: Rc::default(),
            relay_options: RelayOptions::default(),
            reports: None,
        }
    }

    /// Adds a store that the daemon can watch.
    pub fn with_store(mut self, store: &FakeStore, time: &TestTime) -> Self {
        self.store = Some(store.port(time, &self.store_cut));
        self
    }

    pub fn start(mut self) -> TestDaemon {
        let (resume_count, leave_requests) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let count = |cell: &Rc<Cell<u32>>| {
            let cell = Rc::clone(cell);
            move || cell.set(cell.get() + 1)
        };
        let (on_resume, on_leave_request) = (count(&resume_count), count(&leave_requests));
        let relay = Relay::new(
            self.settings.port(),
            self.store,
            self.cx.timer.clone(),
            self.relay_options,
            &mut self.cx.methods,
        );
        let settings = self.settings.clone();
        let membership = Membership::new(
            MembershipContext {
                seeds: self.seeds,
                platform: self.listed.map(platform_list),
                revision: Rc::new(move || settings.revision()),
                reports: self.reports,
                hooks: MembershipHooks {
                    on_resume: Rc::new(move |_| on_resume()),
                    on_leave_request: Rc::new(on_leave_request),
                    on_peer_revision: relay.peer_revision_hook(),
                },
                options: MembershipOptions::default(),
                rng: fastrand::Rng::with_seed(7),
            },
            identity(&self.cx),
            self.cx.timer.clone(),
            &mut self.cx.methods,
        );
        let net = super::start(self.cx);
        membership.run(net.clone());
        relay.run(net.clone(), membership.clone());
        TestDaemon {
            net,
            relay,
            settings: self.settings,
            store_cut: self.store_cut,
            membership,
            resume_count,
            leave_requests,
            paused: self.paused,
        }
    }
}

fn identity(cx: &PeerContext) -> PeerId {
    PeerId {
        vm: cx.vm.clone(),
        domain: cx.domain.clone(),
        incarnation: cx.incarnation,
        epoch: cx.epoch,
        address: cx.listen,
        callers: cx.callers,
    }
}

fn platform_list(listed: ListedVms) -> VmList {
    VmList {
        read: Rc::new(move || {
            let vms = listed.borrow().clone();
            Box::pin(async move { Ok(vms) })
        }),
    }
}

impl TestDaemon {
    pub fn address(&self) -> SocketAddr {
        self.net.me().address
    }

    pub fn vm(&self) -> VmName {
        self.net.me().vm
    }

    pub fn view(&self, vm: &VmName) -> Option<MemberView> {
        let views = self.membership.views();
        views.into_iter().find(|view| view.id.vm == *vm)
    }

    pub fn state(&self, vm: &VmName) -> Option<MemberState> {
        self.view(vm).map(|view| view.state)
    }
}

/// Starts daemons that are named after their domains and have the first one's address as seed.
pub fn fleet(domains: &[(&str, usize)], time: &TestTime, network: &Network) -> Vec<TestDaemon> {
    let mut nodes: Vec<TestDaemon> = Vec::new();
    for (domain, count) in domains {
        for n in 0..*count {
            let mut setup = TestDaemonSetup::new(&format!("{domain}{n}"), domain, time, network);
            setup.seeds.extend(nodes.first().map(TestDaemon::address));
            nodes.push(setup.start());
        }
    }
    nodes
}

/// Starts daemons that can watch a store, and waits until every daemon knows all others.
pub async fn settled_fleet_with_store(
    domains: &[(&str, usize)],
    time: &TestTime,
    network: &Network,
    store: &FakeStore,
) -> Vec<TestDaemon> {
    let mut nodes: Vec<TestDaemon> = Vec::new();
    for (domain, count) in domains {
        for n in 0..*count {
            let setup = TestDaemonSetup::new(&format!("{domain}{n}"), domain, time, network);
            let mut setup = setup.with_store(store, time);
            setup.seeds.extend(nodes.first().map(TestDaemon::address));
            nodes.push(setup.start());
        }
    }
    time.wait_until("all know all", || all_alive(&nodes)).await;
    nodes
}

/// Returns whether every daemon considers all others alive.
pub fn all_alive(nodes: &[TestDaemon]) -> bool {
    nodes.iter().all(|node| {
        let alive = node.membership.views().into_iter();
        alive
            .filter(|view| view.state == MemberState::Alive)
            .count()
            == nodes.len() - 1
    })
}

/// Starts a fleet and waits until every daemon knows all others.
pub async fn settled_fleet(
    domains: &[(&str, usize)],
    time: &TestTime,
    network: &Network,
) -> Vec<TestDaemon> {
    let nodes = fleet(domains, time, network);
    time.wait_until("all know all", || all_alive(&nodes)).await;
    nodes
}

/// Sets the state of the path between two daemons in both directions.
pub fn set_path_both_ways(network: &Network, a: &TestDaemon, b: &TestDaemon, path: Path) {
    network.set_path(a.vm().as_str(), b.address(), path);
    network.set_path(b.vm().as_str(), a.address(), path);
}

/// Sets the state of the paths between two groups of daemons in both directions.
pub fn set_path_between(
    network: &Network,
    these: &[&TestDaemon],
    those: &[&TestDaemon],
    path: Path,
) {
    for a in these {
        for b in those {
            set_path_both_ways(network, a, b, path);
        }
    }
}
