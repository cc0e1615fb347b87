//! Model of a fleet's feeds: the code of the feeds and of the requests between them, on simulated time,
//! links and a store that treats each VM in its own way.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use heatherknot_edge::feed::Feed;
use heatherknot_edge::feed_policy::FeedPolicy;
use heatherknot_edge::feed_topology::FeedTopology;
use heatherknot_edge::peer_feed::{Offers, PeerAnswers, PeerLinks, PeerRequests, Source};
use heatherknot_edge::presence::VmEntry;
use heatherknot_edge::propagation::STORE_HOLD;
use heatherknot_edge::routing_state::RoutingState;
use heatherknot_peer::{Cause as PeerCause, Handled, PeerError, Step as PeerStep};
use heatherknot_store::error::{Cause, Effect, Step, StoreError};
use heatherknot_store::port::{
    Event, KeyValue, LeaseId, RangeResponse, Store, StoreRevision, WatchMessage, WatchRequest,
    WatchStream,
};
use heatherknot_types::prelude::*;

use super::{SETTLE_TIME, TestClock, entry, routing_state, silent_store};

/// Time by which the model advances at once.
pub const TICK: u64 = 10;
/// Interval at which the only backend server writes its entry.
const HEARTBEAT: u64 = 300;
/// One-way time within a region and between regions.
const NEAR: Millis = Millis(TICK);
const FAR: Millis = Millis(50);
/// Time after which a call of the store fails that gets no answer.
const STORE_TIMEOUT: Millis = Millis(2_000);
const STORE_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// What the store does with the calls of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Served,
    Refused,
    Unanswered,
}

struct ModelStore {
    /// The changes, oldest first; their revisions count from 1.
    changes: RefCell<Vec<(&'static str, Bytes)>>,
    access: RefCell<Vec<Access>>,
    calls: Cell<u64>,
}

impl ModelStore {
    fn revision(&self) -> u64 {
        self.changes.borrow().len() as u64
    }

    fn key_value(&self, revision: u64) -> KeyValue {
        let (key, value) = self.changes.borrow()[revision as usize - 1].clone();
        KeyValue {
            key: key.to_owned(),
            value,
            create_revision: StoreRevision::from(1),
            mod_revision: StoreRevision::from(revision),
            lease: LeaseId(0),
        }
    }
}

/// One VM of the model.
pub struct ModelVm {
    pub feed: Rc<Feed>,
    pub is_near: bool,
    name: VmName,
    answers: PeerAnswers,
    routing_state: Rc<RefCell<RoutingState>>,
    is_alive: Cell<bool>,
}

type Tasks = Rc<RefCell<Vec<LocalBoxFuture<'static, ()>>>>;

/// A fleet whose VMs have all keys of the store and know each other.
pub struct FeedModel {
    clock: TestClock,
    tasks: Tasks,
    store: Rc<ModelStore>,
    pub vms: Rc<RefCell<Vec<Rc<ModelVm>>>>,
    pub topology: Rc<FeedTopology>,
}

impl FeedModel {
    /// Creates a fleet with these numbers of VMs in the domains of each region. The store stands in the
    /// first region.
    pub fn new(regions: &[&[usize]], seed: u64) -> Self {
        let entries = entries(regions);
        let topology = Rc::new(FeedTopology::new(&entries));
        let store = Rc::new(ModelStore {
            changes: RefCell::new(vec![
                ("catalog", "1 gallery".into()),
                ("server/a", entry("ready", 0, 0)),
            ]),
            access: RefCell::new(vec![Access::Served; entries.len()]),
            calls: Cell::new(0),
        });
        let clock = TestClock::default();
        clock.advance(100_000);
        let model = Self {
            clock,
            tasks: Tasks::default(),
            store,
            vms: Rc::default(),
            topology,
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        for (number, entry) in entries.iter().enumerate() {
            model.add(number, entry, entries.len(), rng.fork());
        }
        model
    }

    fn timer(&self) -> Timer {
        let clock = self.clock.clock();
        let sleeper = clock.clone();
        let sleep = move |span: Millis| -> LocalBoxFuture<'static, ()> {
            let (clock, until) = (sleeper.clone(), sleeper.now() + span);
            Box::pin(poll_fn(move |_| match clock.now() >= until {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }))
        };
        Timer {
            clock,
            sleep: Rc::new(sleep),
        }
    }

    fn add(&self, number: usize, entry: &VmEntry, fleet: usize, rng: fastrand::Rng) {
        let timer = self.timer();
        let is_near = entry.region.as_str() == "0";
        let state = Rc::new(RefCell::new(routing_state(&self.clock.clock())));
        let store = store_of(&self.store, &timer, number, way(is_near, true));
        let feed = Feed::new(store, timer.clone(), Rc::clone(&state), SETTLE_TIME);
        feed.stop_awaiting_peers();
        let topology = Rc::clone(&self.topology);
        let policy = FeedPolicy {
            vm: entry.name.clone(),
            domain: entry.domain.clone(),
            topology: Box::new(move || Rc::clone(&topology)),
            knows_vms: Box::new(|| true),
            live_vms: Box::new(move || fleet),
            rng: RefCell::new(rng),
        };
        policy.apply(&feed);
        let offers = Rc::new(Offers::default());
        let vm = Rc::new(ModelVm {
            answers: PeerAnswers::new(&feed, &offers, &timer),
            feed: Rc::clone(&feed),
            is_near,
            name: entry.name.clone(),
            routing_state: state,
            is_alive: Cell::new(true),
        });
        self.vms.borrow_mut().push(Rc::clone(&vm));
        let links = self.links(entry, number as u64);
        let requests = PeerRequests::new(&feed, &offers, &timer, links);
        let mut tasks = self.tasks.borrow_mut();
        tasks.push(Box::pin(feed.run()));
        tasks.push(Box::pin(Rc::clone(&requests).run()));
        tasks.push(Box::pin(requests.run_offers()));
    }

    fn links(&self, entry: &VmEntry, seed: u64) -> PeerLinks {
        let (me, domain) = (entry.name.clone(), entry.domain.clone());
        let topology = Rc::clone(&self.topology);
        let net = Net {
            vms: Rc::clone(&self.vms),
            timer: self.timer(),
            me: me.clone(),
        };
        let (request_net, offer_net) = (net.clone(), net.clone());
        let tasks = Rc::clone(&self.tasks);
        let rng = RefCell::new(fastrand::Rng::with_seed(seed));
        PeerLinks {
            may_request: Box::new(|| true),
            sources: Box::new(move || topology.sources(&me, &domain)),
            random_peer: Box::new(move || {
                let vms = net.vms.borrow();
                let others = vms.iter().map(|vm| vm.name.clone());
                let others: Vec<VmName> = others.filter(|vm| *vm != net.me).collect();
                rng.borrow_mut().choice(others)
            }),
            random_seed: Box::new(|| None),
            request: Box::new(move |source, after, timeout| {
                let (net, source) = (request_net.clone(), source.clone());
                Box::pin(async move {
                    let Source::Vm(vm) = source else {
                        return Err(no_answer("a seed"));
                    };
                    let call = async {
                        let peer = net.reach(&vm).await;
                        let answer = peer.answers.clone().answer(net.me.clone(), after).await;
                        net.wait_way(&peer).await;
                        answer
                    };
                    let answer = net.timer.limit(timeout, call).await;
                    answer.ok_or_else(|| no_answer(vm.as_str()))
                })
            }),
            offer: Box::new(move |vm, offer| {
                let net = offer_net.clone();
                tasks.borrow_mut().push(Box::pin(async move {
                    let peer = net.reach(&vm).await;
                    peer.answers.receive_offer(net.me.clone(), offer);
                }));
            }),
        }
    }

    /// Lets time pass.
    pub fn advance(&self, span: u64) {
        for _ in 0..span / TICK {
            self.clock.advance(TICK);
            if self.clock.clock().now().0.is_multiple_of(HEARTBEAT) {
                let sequence = self.store.revision();
                self.write("server/a", entry("ready", 0, sequence));
            }
            self.poll_tasks();
        }
    }

    fn poll_tasks(&self) {
        let mut cx = Context::from_waker(Waker::noop());
        let mut running = self.tasks.take();
        running.retain_mut(|task| task.as_mut().poll(&mut cx).is_pending());
        let mut tasks = self.tasks.borrow_mut();
        running.append(&mut tasks);
        *tasks = running;
    }

    fn write(&self, key: &'static str, value: Bytes) {
        self.store.changes.borrow_mut().push((key, value));
    }

    /// Writes a configuration of this version.
    pub fn configure(&self, version: u64) {
        self.write("catalog", format!("{version} gallery").into());
    }

    /// Returns whether a VM has the configuration of this version in force.
    pub fn has_version(&self, vm: usize, version: u64) -> bool {
        let vms = self.vms.borrow();
        let state = vms[vm].routing_state.borrow();
        state
            .catalog()
            .is_some_and(|catalog| catalog.version >= version)
    }

    /// Sets what the store does with the calls of a VM.
    pub fn set_access(&self, vm: usize, access: Access) {
        self.store.access.borrow_mut()[vm] = access;
    }

    /// Ends a VM's links to its peers.
    pub fn cut_from_peers(&self, vm: usize) {
        self.vms.borrow()[vm].is_alive.set(false);
    }

    /// Returns the number of calls of the store so far.
    pub fn calls(&self) -> u64 {
        self.store.calls.get()
    }

    /// Returns the number of VMs.
    pub fn len(&self) -> usize {
        self.vms.borrow().len()
    }
}

/// A VM's links to the others.
#[derive(Clone)]
struct Net {
    vms: Rc<RefCell<Vec<Rc<ModelVm>>>>,
    timer: Timer,
    me: VmName,
}

impl Net {
    fn vm(&self, name: &VmName) -> Rc<ModelVm> {
        let vms = self.vms.borrow();
        let vm = vms.iter().find(|vm| vm.name == *name);
        Rc::clone(vm.expect("the fleet has all VMs that are named"))
    }

    /// Waits for a message to arrive at a VM; for ever if it doesn't.
    async fn reach(&self, name: &VmName) -> Rc<ModelVm> {
        let peer = self.vm(name);
        self.wait_way(&peer).await;
        if !peer.is_alive.get() || !self.vm(&self.me).is_alive.get() {
            std::future::pending().await
        }
        peer
    }

    async fn wait_way(&self, peer: &ModelVm) {
        let is_near = self.vm(&self.me).is_near;
        self.timer.wait(way(is_near, peer.is_near)).await;
    }
}

fn way(from_near: bool, to_near: bool) -> Millis {
    match from_near == to_near {
        true => NEAR,
        false => FAR,
    }
}

fn entries(regions: &[&[usize]]) -> Vec<VmEntry> {
    let address = SocketAddr::from(STORE_ADDRESS);
    let mut entries = Vec::new();
    for (region, domains) in regions.iter().enumerate() {
        for (domain, vms) in domains.iter().enumerate() {
            for vm in 0..*vms {
                entries.push(VmEntry {
                    name: format!("{region}-{domain}-{vm}").as_str().into(),
                    domain: format!("{region}-{domain}").as_str().into(),
                    region: region.to_string().as_str().into(),
                    requests: address,
                    peers: address,
                    incarnation: Incarnation(1),
                    link_mbps: 100,
                    cpu_permille: 200,
                    handed: None,
                    store_rtt: Some(way(region == 0, true)),
                });
            }
        }
    }
    entries
}

fn no_answer(peer: &str) -> PeerError {
    PeerError {
        step: PeerStep::Answer,
        peer: peer.to_owned(),
        handled: Handled::Maybe,
        source: PeerCause::Closing,
    }
}

/// Returns the store as one VM reaches it.
fn store_of(store: &Rc<ModelStore>, timer: &Timer, vm: usize, way: Millis) -> Store {
    let (range_store, range_timer) = (Rc::clone(store), timer.clone());
    let (watch_store, watch_timer) = (Rc::clone(store), timer.clone());
    Store {
        range: Rc::new(move |_| {
            let (store, timer) = (Rc::clone(&range_store), range_timer.clone());
            Box::pin(async move {
                call(&store, &timer, vm, way, Step::Range).await?;
                let mut newest: HashMap<&str, u64> = HashMap::new();
                for (at, (key, _)) in store.changes.borrow().iter().enumerate() {
                    newest.insert(key, at as u64 + 1);
                }
                let mut kvs: Vec<KeyValue> =
                    newest.values().map(|at| store.key_value(*at)).collect();
                kvs.sort_by(|a, b| a.key.cmp(&b.key));
                let revision = StoreRevision::from(store.revision());
                timer.wait(way).await;
                Ok(RangeResponse {
                    revision,
                    kvs,
                    more: false,
                })
            })
        }),
        watch: Rc::new(move |req: WatchRequest| {
            let (store, timer) = (Rc::clone(&watch_store), watch_timer.clone());
            let after = req.start.number - 1;
            let messages = stream::try_unfold(after, move |after| {
                let (store, timer) = (Rc::clone(&store), timer.clone());
                async move {
                    let message = next_events(&store, &timer, vm, way, after).await?;
                    let revision = message.revision.number;
                    Ok(Some((message, revision)))
                }
            });
            let messages: WatchStream = Box::pin(messages);
            Box::pin(std::future::ready(Ok(messages)))
        }),
        ..silent_store()
    }
}

/// Waits for a call to arrive at the store.
async fn call(
    store: &ModelStore,
    timer: &Timer,
    vm: usize,
    way: Millis,
    step: Step,
) -> Result<(), StoreError> {
    store.calls.set(store.calls.get() + 1);
    timer.wait(way).await;
    let access = store.access.borrow()[vm];
    let source = match access {
        Access::Served => return Ok(()),
        Access::Refused => {
            timer.wait(way).await;
            Cause::RateLimited
        }
        Access::Unanswered => {
            timer.wait(STORE_TIMEOUT - way).await;
            Cause::Timeout {
                millis: STORE_TIMEOUT.0,
            }
        }
    };
    Err(StoreError {
        step,
        peer: STORE_ADDRESS.into(),
        effect: Effect::NotApplied,
        source,
    })
}

async fn next_events(
    store: &ModelStore,
    timer: &Timer,
    vm: usize,
    way: Millis,
    after: u64,
) -> Result<WatchMessage, StoreError> {
    call(store, timer, vm, way, Step::Watch).await?;
    let until = timer.now() + STORE_HOLD;
    while store.revision() == after && timer.now() < until {
        timer.wait(Millis(TICK)).await;
    }
    let revision = store.revision();
    let events = (after + 1..=revision).map(|at| Event::Put(store.key_value(at)));
    let message = WatchMessage {
        revision: StoreRevision::from(revision),
        events: events.collect(),
    };
    timer.wait(way).await;
    Ok(message)
}
