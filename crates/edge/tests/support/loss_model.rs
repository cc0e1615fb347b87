//! Simulates a store that loses its latest changes and comes back from a copy, its writers, and the
//! copies of its keys at VMs. Times are in milliseconds.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_edge::mirror::{Change, Mirror, VersionedValue};
use heatherknot_store::port::{StoreEra, StoreRevision};

pub const VMS: usize = 6;
/// VMs that read the store; each other one asks one of them.
const WATCHERS: usize = 2;
const SERVERS: usize = 12;
const STEP: u64 = 10;
const LOSS_AT: u64 = 12_000;
const END: u64 = LOSS_AT + 9_000;
/// How much the store loses, and for how long it is away.
const LOST: std::ops::RangeInclusive<u64> = 1_000..=6_000;
const AWAY: std::ops::RangeInclusive<u64> = 100..=600;
/// When writers write again what was lost, after the return.
const OPERATOR_REPAIR: std::ops::RangeInclusive<u64> = 300..=1_000;
const SERVER_REPAIR: std::ops::RangeInclusive<u64> = 300..=2_000;
/// Interval between two reads of a watch, between two requests to a peer, and the delay of an answer.
const WATCH_INTERVAL: std::ops::RangeInclusive<u64> = 20..=500;
const PEER_INTERVAL: std::ops::RangeInclusive<u64> = 20..=400;
/// How long a VM waits for lost keys.
const CONFIRM_TIME: u64 = 3_000;
/// Time by which a change has to be in force after its acknowledgement.
pub const CHANGE_TIMEOUT: u64 = 2_500;

const CONFIG: &str = "config";
const EVACUATION: &str = "evacuated";

/// How VMs treat a store that came back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Revisions are compared by number.
    Numbers,
    /// The era comes first; the store's state counts at once.
    Eras,
    /// A new era empties the copy, and all is read as after a start.
    Empty,
    /// The era comes first; what may be lost is kept until it had time to be written again.
    ErasAndWait,
}

/// What VMs did after the return of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Changes after the return that were not in force at some VM in time.
    pub late: u64,
    /// The longest time from an acknowledgement after the return to a VM.
    pub worst: u64,
    /// Time in which VMs did not use a server that was running, over all servers and VMs.
    pub unused: u64,
    /// Time in which VMs used a server whose end they had known, likewise.
    pub ended: u64,
    /// Time in which VMs used an evacuated domain whose evacuation they had known.
    pub opened: u64,
    /// Keys sent to VMs by the store and by peers after the loss.
    pub keys: u64,
}

#[derive(Clone)]
struct Item {
    value: String,
    number: u64,
    created: u64,
}

#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
}

impl Store {
    fn put(&mut self, key: &str, value: &str) {
        self.number += 1;
        let number = self.number;
        let created = self.items.get(key).map_or(number, |item| item.created);
        let value = value.to_owned();
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                number,
                created,
            },
        );
        self.history.push((number, key.to_owned()));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.number += 1;
            self.history.push((self.number, key.to_owned()));
        }
    }

    fn set(&mut self, key: &str, value: Option<&str>) {
        match value {
            Some(value) => self.put(key, value),
            None => self.delete(key),
        }
    }
}

/// A write that is due.
struct Write {
    at: u64,
    key: String,
    value: Option<String>,
    /// Whether it is written only if the store differs from it.
    is_repair: bool,
}

struct Vm {
    mirror: Mirror,
    /// When it reads next.
    next: u64,
    confirm_until: u64,
    /// The highest version of a configuration that it has read.
    version: u64,
    /// When each key had its present value here first.
    since: BTreeMap<String, (Option<Bytes>, u64)>,
}

struct World {
    way: Way,
    rng: fastrand::Rng,
    now: u64,
    store: Store,
    copies: Vec<(u64, Store)>,
    away_until: u64,
    writes: Vec<Write>,
    /// What each key should hold, since when, and whether that was set after the return.
    truth: BTreeMap<String, (Option<String>, u64)>,
    vms: Vec<Vm>,
    keys: u64,
}

/// Plays one loss of changes.
pub fn play(way: Way, seed: u64) -> Outcome {
    let mut world = World::new(way, seed);
    let mut outcome = Outcome::default();
    while world.now < END {
        world.step();
        world.observe(&mut outcome);
    }
    outcome.keys = world.keys;
    outcome
}

fn is_outdated(key: &str, held: &Bytes, value: &Bytes) -> bool {
    let version = |value: &Bytes| String::from_utf8_lossy(value).parse::<u64>().unwrap_or(0);
    key == CONFIG && version(value) < version(held)
}

fn server(n: usize) -> String {
    format!("servers/{n:02}")
}

impl World {
    fn new(way: Way, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = Store {
            era: 1,
            ..Store::default()
        };
        store.put(CONFIG, "1");
        (0..SERVERS).for_each(|n| store.put(&server(n), "ready"));
        let truth = store
            .items
            .iter()
            .map(|(key, item)| (key.clone(), (Some(item.value.clone()), 0)));
        let truth = truth.collect();
        let vm = |_| Vm {
            mirror: new_mirror(way),
            next: 0,
            confirm_until: 0,
            version: 0,
            since: BTreeMap::new(),
        };
        let writes = script(&mut rng);
        Self {
            way,
            vms: (0..VMS).map(vm).collect(),
            rng,
            now: 0,
            store,
            copies: Vec::new(),
            away_until: 0,
            writes,
            truth,
            keys: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.now.is_multiple_of(100) {
            self.copies.push((self.now, self.store.clone()));
        }
        if self.now == LOSS_AT {
            self.lose();
        }
        if self.now >= self.away_until {
            self.write_due();
        }
        for n in 0..VMS {
            if self.vms[n].next <= self.now {
                self.update(n);
            }
        }
    }

    fn lose(&mut self) {
        let until = LOSS_AT - self.rng.u64(LOST);
        let copy = self.copies.iter().rev().find(|(at, _)| *at <= until);
        let era = self.store.era + 1;
        self.store = copy.expect("a copy was made every 100 ms").1.clone();
        self.store.era = era;
        self.away_until = LOSS_AT + self.rng.u64(AWAY);
        self.keys = 0;
        let keys: Vec<String> = self.truth.keys().cloned().collect();
        for key in keys {
            let range = match key.starts_with("servers/") {
                true => SERVER_REPAIR,
                false => OPERATOR_REPAIR,
            };
            let at = self.away_until + self.rng.u64(range);
            self.writes.push(Write {
                at,
                key,
                value: None,
                is_repair: true,
            });
        }
    }

    fn write_due(&mut self) {
        let writes = std::mem::take(&mut self.writes);
        let (due, later): (Vec<_>, Vec<_>) = writes.into_iter().partition(|w| w.at <= self.now);
        self.writes = later;
        for write in due {
            let held = self.store.items.get(&write.key).map(|i| i.value.clone());
            if write.is_repair {
                let wanted = self.truth[&write.key].0.clone();
                if wanted != held {
                    self.store.set(&write.key, wanted.as_deref());
                }
                continue;
            }
            self.store.set(&write.key, write.value.as_deref());
            self.truth.insert(write.key, (write.value, self.now));
        }
    }

    fn update(&mut self, n: usize) {
        let interval = match n < WATCHERS {
            true => WATCH_INTERVAL,
            false => PEER_INTERVAL,
        };
        self.vms[n].next = self.now + self.rng.u64(interval);
        match n < WATCHERS {
            true if self.now >= self.away_until => self.read_store(n),
            true => {}
            false => self.ask_peer(n, n % WATCHERS),
        }
        let vm = &mut self.vms[n];
        if self.way == Way::Eras || self.now >= vm.confirm_until {
            let changes = vm.mirror.accept_unconfirmed();
            changes.iter().for_each(|c| vm.mirror.mark_relevant(&c.key));
        }
        let version = vm.mirror.get(CONFIG);
        let version = version.and_then(|v| String::from_utf8_lossy(v).parse().ok());
        vm.version = vm.version.max(version.unwrap_or(0));
    }

    fn era(&self) -> StoreEra {
        match self.way {
            Way::Numbers => StoreEra(0),
            _ => StoreEra(self.store.era),
        }
    }

    fn read_store(&mut self, n: usize) {
        let era = self.era();
        let at = StoreRevision::new(era, self.store.number);
        let held = self.vms[n].mirror.revision();
        let may_watch = held != StoreRevision::ZERO && held.era == era && held.number <= at.number;
        if !may_watch {
            self.enter(n, at);
            let listed = self.listed(era);
            self.keys += listed.len() as u64;
            let mirror = &mut self.vms[n].mirror;
            let changes = mirror.apply_snapshot(listed, at);
            changes.iter().for_each(|c| mirror.mark_relevant(&c.key));
            return;
        }
        let newer = self.store.history.iter();
        let newer = newer.filter(|(number, _)| *number > held.number);
        let changes: Vec<Change> = newer
            .map(|(number, key)| Change {
                key: key.clone(),
                current: match self.store.items.get(key) {
                    Some(item) if item.number == *number => current(era, item),
                    _ => VersionedValue {
                        revision: StoreRevision::new(era, *number),
                        created: 0,
                        value: None,
                    },
                },
            })
            .collect();
        // An event of a key that was written again later shows the key as missing for a moment.
        let changes: Vec<Change> = changes
            .iter()
            .filter(|change| {
                let last = changes.iter().rev().find(|other| other.key == change.key);
                last.is_some_and(|last| last.current.revision == change.current.revision)
            })
            .cloned()
            .collect();
        self.keys += changes.len() as u64;
        let mirror = &mut self.vms[n].mirror;
        for change in changes {
            if mirror.apply(&change) {
                mirror.mark_relevant(&change.key);
            }
        }
        mirror.advance(at);
    }

    fn listed(&self, era: StoreEra) -> Vec<Change> {
        let items = self.store.items.iter();
        let listed = items.map(|(key, item)| Change {
            key: key.clone(),
            current: current(era, item),
        });
        listed.collect()
    }

    fn enter(&mut self, n: usize, at: StoreRevision) {
        if !self.vms[n].mirror.is_new_era(at) {
            return;
        }
        self.vms[n].confirm_until = self.now + CONFIRM_TIME;
        if self.way == Way::Empty {
            self.vms[n].mirror = new_mirror(self.way);
        }
    }

    fn ask_peer(&mut self, n: usize, peer: usize) {
        let after = self.vms[n].mirror.revision();
        let source = &self.vms[peer].mirror;
        let at = source.revision();
        if at == StoreRevision::ZERO || at.era < after.era {
            return;
        }
        let enters_era = at.era > after.era;
        let needs_all = enters_era && self.way == Way::Empty;
        let changes = source.changes_since(after).filter(|_| !needs_all);
        let all = source.snapshot();
        let unconfirmed = source.unconfirmed().clone();
        let is_confirming = self.vms[peer].confirm_until > self.now;
        self.enter(n, at);
        let vm = &mut self.vms[n];
        match changes {
            Some(changes) => {
                self.keys += changes.len() as u64;
                for change in changes {
                    if vm.mirror.apply(&change) {
                        vm.mirror.mark_relevant(&change.key);
                    }
                }
                vm.mirror.advance(at);
            }
            None => {
                self.keys += all.len() as u64;
                vm.mirror.apply_snapshot(all, at);
            }
        }
        if enters_era && self.way != Way::Empty {
            vm.mirror.extend_unconfirmed(unconfirmed);
        }
        if !is_confirming {
            vm.confirm_until = 0;
        }
    }

    fn observe(&mut self, outcome: &mut Outcome) {
        let returned = self.away_until.max(LOSS_AT);
        if self.now < returned {
            return;
        }
        for vm in &mut self.vms {
            for (key, (wanted, at)) in &self.truth {
                let has = vm.mirror.get(key).cloned();
                let is_right = match key.as_str() {
                    CONFIG => wanted.as_ref().is_some_and(|v| v.parse() == Ok(vm.version)),
                    _ => has.is_some() == wanted.is_some(),
                };
                let lag = self.now - at;
                if *at >= returned {
                    let known = vm.since.get(key);
                    let is_reported = known.is_some_and(|(_, since)| since >= at);
                    if is_right {
                        vm.since.insert(key.clone(), (has, self.now));
                    } else if !is_reported {
                        outcome.worst = outcome.worst.max(lag);
                        outcome.late += u64::from(lag == CHANGE_TIMEOUT + STEP);
                    }
                    continue;
                }
                // Known at all VMs before the loss.
                if is_right || LOSS_AT < at + 1_500 {
                    continue;
                }
                match (key.as_str(), wanted.is_some()) {
                    (CONFIG, _) | (EVACUATION, false) => {}
                    (EVACUATION, true) => outcome.opened += STEP,
                    (_, true) => outcome.unused += STEP,
                    (_, false) => outcome.ended += STEP,
                }
            }
        }
    }
}

fn new_mirror(way: Way) -> Mirror {
    match way {
        Way::ErasAndWait => Mirror::new(Rc::new(is_outdated)).with_renewed_prefix("servers/"),
        _ => Mirror::default(),
    }
}

fn current(era: StoreEra, item: &Item) -> VersionedValue {
    VersionedValue {
        revision: StoreRevision::new(era, item.number),
        created: item.created,
        value: Some(item.value.clone().into()),
    }
}

/// Returns the changes that operators and servers make: before the loss, and from its end on.
fn script(rng: &mut fastrand::Rng) -> Vec<Write> {
    let mut writes = Vec::new();
    let mut write = |at: u64, key: String, value: Option<&str>| {
        writes.push(Write {
            at,
            key,
            value: value.map(str::to_owned),
            is_repair: false,
        });
    };
    let (mut version, mut at) = (1, 0);
    while at < END - CHANGE_TIMEOUT - 1_000 {
        at += rng.u64(400..2_500);
        version += 1;
        write(at, CONFIG.to_owned(), Some(&version.to_string()));
    }
    for n in 0..3 {
        write(rng.u64(1_000..LOSS_AT - 200), server(n), None);
        write(rng.u64(LOSS_AT + 600..LOSS_AT + 4_000), server(n + 3), None);
        let joins = rng.u64(1_000..LOSS_AT - 200);
        write(joins, server(SERVERS + n), Some("ready"));
    }
    let evacuated = rng.u64(1_000..LOSS_AT - 200);
    match rng.bool() {
        true => write(evacuated, EVACUATION.to_owned(), Some("")),
        false => write(LOSS_AT + 700, EVACUATION.to_owned(), Some("")),
    }
    writes
}
