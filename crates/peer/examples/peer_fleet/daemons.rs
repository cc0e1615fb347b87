//! The fleet of daemons of one run, with connections, heartbeats, load reports and the relay of
//! settings. The store is simulated by a cell in this process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heatherknot_peer::{
    Delivery, Dial, MemberState, Membership, MembershipContext, MembershipHooks, MembershipOptions,
    MethodTable, PeerContext, PeerId, PeerNet, PeerOptions, Relay, RelayOptions, RelayedChange,
    RelayedSnapshot, ReportOptions, ReportTable, Secret, SettingsPort, StorePort,
};
use heatherknot_types::prelude::*;
use monoio::net::TcpStream;

use crate::figures::TrafficTotals;

pub const DOMAINS: usize = 8;

/// Size of a change of settings, in bytes.
const CHANGE_BYTES: usize = 700;
/// Number of values in a load report.
const LOADS: usize = 6;
/// Interval between load reports of a daemon.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

pub struct Daemon {
    pub net: PeerNet,
    membership: Membership,
    relay: Relay,
    revision: Rc<Cell<Revision>>,
    report_table: ReportTable,
}

pub struct Fleet {
    daemons: Vec<Daemon>,
    store: Rc<Cell<Revision>>,
    vanished: Rc<RefCell<BTreeSet<SocketAddr>>>,
    /// Failure domains that cannot reach the store.
    cut_off: Rc<RefCell<BTreeSet<DomainName>>>,
    /// Traffic of the daemons that have been stopped.
    stopped_traffic: TrafficTotals,
}

fn change(revision: Revision) -> RelayedChange {
    RelayedChange {
        revision,
        body: serde_json::value::to_raw_value(&"x".repeat(CHANGE_BYTES)).expect("JSON"),
    }
}

fn settings_port(held: &Rc<Cell<Revision>>) -> SettingsPort {
    let (a, b, c) = (Rc::clone(held), Rc::clone(held), Rc::clone(held));
    SettingsPort {
        revision: Rc::new(move || a.get()),
        apply: Rc::new(move |delivery| {
            b.set(delivery.revision());
            Ok(())
        }),
        snapshot: Rc::new(move || {
            Some(RelayedSnapshot {
                revision: c.get(),
                body: change(c.get()).body,
            })
        }),
    }
}

impl Fleet {
    /// Returns a simulated watch of the store, which checks for new changes every 5 ms.
    fn store_port(&self, domain: &str) -> StorePort {
        let store = Rc::clone(&self.store);
        let cut_off = Rc::clone(&self.cut_off);
        let domain = DomainName::from(domain);
        StorePort {
            next: Rc::new(move |held| {
                let (store, cut_off) = (Rc::clone(&store), Rc::clone(&cut_off));
                let domain = domain.clone();
                Box::pin(async move {
                    while store.get() <= held || cut_off.borrow().contains(&domain) {
                        monoio::time::sleep(Duration::from_millis(5)).await;
                    }
                    let newer = held.0 + 1..=store.get().0;
                    Ok(Delivery::Changes(
                        newer.map(|n| change(Revision(n))).collect(),
                    ))
                })
            }),
        }
    }

    /// Cuts the first domain off from the store, or reconnects it.
    pub fn cut_off(&self, cut: bool) {
        let mut cut_off = self.cut_off.borrow_mut();
        cut_off.clear();
        if cut {
            cut_off.insert(DomainName::from("domain-0"));
        }
    }
}

/// Returns a function that opens connections. Connecting to a VM that has vanished hangs.
fn dial(vanished: &Rc<RefCell<BTreeSet<SocketAddr>>>) -> Dial {
    let vanished = Rc::clone(vanished);
    Rc::new(move |to| {
        let vanished = vanished.borrow().contains(&to);
        Box::pin(async move {
            if vanished {
                monoio::time::sleep(Duration::from_secs(3_600)).await;
            }
            TcpStream::connect(to).await
        })
    })
}

pub fn context(vm: &str, domain: &str) -> PeerContext {
    PeerContext {
        deployment: String::from("fleet"),
        secret: Secret::new("a secret of the benchmark"),
        vm: VmName::from(vm),
        domain: DomainName::from(domain),
        incarnation: Incarnation(fastrand::u64(..)),
        epoch: 1,
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertise: None,
        callers: None,
        timer: Timer::system(),
        dial: PeerContext::system_dial(),
        options: PeerOptions::default(),
        methods: MethodTable::default(),
    }
}

async fn report(report_table: ReportTable, incarnation: Incarnation, net: PeerNet) {
    let names: Vec<Arc<str>> = (0..LOADS).map(|n| Arc::from(format!("p{n}"))).collect();
    monoio::time::sleep(REPORT_PERIOD.mul_f64(fastrand::f64())).await;
    while !net.is_closed() {
        let load = |name: &Arc<str>| (Arc::clone(name), fastrand::u32(0..1_000));
        report_table.publish(incarnation, names.iter().map(load).collect());
        monoio::time::sleep(REPORT_PERIOD).await;
    }
}

impl Fleet {
    pub fn start(size: usize) -> Self {
        let mut fleet = Self {
            daemons: Vec::new(),
            store: Rc::new(Cell::new(Revision(1))),
            vanished: Rc::default(),
            cut_off: Rc::default(),
            stopped_traffic: TrafficTotals::default(),
        };
        for n in 0..size {
            let daemon = fleet.start_daemon(n);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn start_daemon(&self, n: usize) -> Daemon {
        let domain = format!("domain-{}", n % DOMAINS);
        let mut cx = context(&format!("vm-{n:03}"), &domain);
        cx.dial = dial(&self.vanished);
        let revision = Rc::new(Cell::new(Revision::NONE));
        let options = RelayOptions::default();
        let (settings, store) = (settings_port(&revision), self.store_port(&domain));
        let timer = cx.timer.clone();
        let relay = Relay::new(
            settings,
            Some(store),
            timer.clone(),
            options,
            &mut cx.methods,
        );
        let report_table = ReportTable::new(cx.vm.clone(), timer.clone(), ReportOptions::default());
        let held = Rc::clone(&revision);
        let seeds = fastrand::choose_multiple(&self.daemons, 3);
        let membership = MembershipContext {
            seeds: seeds.iter().map(|daemon| daemon.net.me().address).collect(),
            platform: None,
            revision: Rc::new(move || held.get()),
            reports: Some(report_table.port()),
            hooks: MembershipHooks {
                on_peer_revision: relay.peer_revision_hook(),
                ..MembershipHooks::default()
            },
            options: MembershipOptions::default(),
            rng: fastrand::Rng::new(),
        };
        let me = PeerId {
            vm: cx.vm.clone(),
            domain: cx.domain.clone(),
            incarnation: cx.incarnation,
            epoch: cx.epoch,
            address: cx.listen,
            callers: None,
        };
        let membership = Membership::new(membership, me, timer, &mut cx.methods);
        let incarnation = cx.incarnation;
        let net = PeerNet::start(cx).expect("listening on loopback");
        membership.run(net.clone());
        relay.run(net.clone(), membership.clone());
        monoio::spawn(report(report_table.clone(), incarnation, net.clone()));
        Daemon {
            net,
            membership,
            relay,
            revision,
            report_table,
        }
    }

    /// Returns the ages of the reports that each daemon has of the others in its domain, in
    /// milliseconds. A missing report counts as infinitely old.
    pub fn report_ages(&self) -> Vec<f64> {
        let mut ages = Vec::new();
        for daemon in &self.daemons {
            for vm in daemon.membership.domain_peers() {
                let age = daemon.report_table.view(&vm).map(|view| view.age.0 as f64);
                ages.push(age.unwrap_or(f64::INFINITY));
            }
        }
        ages
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    pub fn all_know_all(&self) -> bool {
        self.daemons.iter().all(|daemon| {
            let views = daemon.membership.views();
            let alive = views.iter().filter(|view| view.state == MemberState::Alive);
            alive.count() == self.len() - 1
        })
    }

    pub fn traffic(&self) -> TrafficTotals {
        let mut moved = self.stopped_traffic;
        for daemon in &self.daemons {
            add(&mut moved, &daemon.net);
        }
        moved
    }

    pub fn connections(&self) -> (f64, f64) {
        let each = self.daemons.iter().map(|daemon| daemon.net.connections());
        let sums = each.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let n = self.len() as f64;
        (sums.0 as f64 / n, sums.1 as f64 / n)
    }

    pub fn watchers(&self) -> usize {
        let watching = |daemon: &&Daemon| daemon.relay.status().watching;
        self.daemons.iter().filter(watching).count()
    }

    pub fn commit(&self) -> Revision {
        self.store.set(self.store.get().next());
        self.store.get()
    }

    pub fn all_hold(&self, revision: Revision) -> bool {
        self.daemons
            .iter()
            .all(|daemon| daemon.revision.get() >= revision)
    }

    /// Returns the index of a random daemon of a largest domain, because a failure is detected by
    /// other daemons of the domain.
    fn choose_daemon(&self) -> usize {
        let domain_size = |n: usize| {
            let domain = self.daemons[n].net.me().domain;
            let same = |daemon: &&Daemon| daemon.net.me().domain == domain;
            self.daemons.iter().filter(same).count()
        };
        let chosen = (0..self.len()).max_by_key(|n| (domain_size(*n), fastrand::u64(..)));
        chosen.expect("a fleet")
    }

    /// Stops a daemon and returns its name. If `silently` is set, its VM vanishes and connecting to
    /// its address hangs; otherwise its process ends and its address refuses connections.
    pub fn stop_one(&mut self, silently: bool) -> VmName {
        let daemon = self.daemons.swap_remove(self.choose_daemon());
        let me = daemon.net.me();
        if silently {
            self.vanished.borrow_mut().insert(me.address);
        }
        daemon.net.close();
        add(&mut self.stopped_traffic, &daemon.net);
        me.vm
    }

    fn state(daemon: &Daemon, vm: &VmName) -> Option<MemberState> {
        let views = daemon.membership.views();
        views
            .into_iter()
            .find(|view| view.id.vm == *vm)
            .map(|view| view.state)
    }

    pub fn anybody_suspects(&self, vm: &VmName) -> bool {
        let suspects = |d: &Daemon| Self::state(d, vm).is_some_and(|s| s >= MemberState::Suspect);
        self.daemons.iter().any(suspects)
    }

    pub fn all_count_gone(&self, vm: &VmName) -> bool {
        let gone = |d: &Daemon| Self::state(d, vm) == Some(MemberState::Gone);
        self.daemons.iter().all(gone)
    }

    pub fn stop(&self) {
        self.daemons.iter().for_each(|daemon| daemon.net.close());
    }
}

pub fn add(moved: &mut TrafficTotals, net: &PeerNet) {
    let traffic = net.traffic();
    moved.bytes += traffic.bytes_in.get() + traffic.bytes_out.get();
    moved.messages += traffic.frames_in.get() + traffic.frames_out.get();
}
