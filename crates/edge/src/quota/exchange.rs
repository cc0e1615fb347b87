//! Carries counts to the heads of domains, and what may be admitted back.

use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use futures_util::future::select;
use heatherknot_http::Flag;
use heatherknot_peer::options::CallOptions;
use heatherknot_peer::{MethodTable, PeerError, PeerId};
use heatherknot_types::prelude::*;
use log::debug;
use serde::{Deserialize, Serialize};

use super::counts::{Counts, Teller, Word};
use super::meter::{Meter, Verdict};
use super::pool::{Pool, Standing};
use crate::accounts::{Account, Accounts};
use crate::catalog::Catalog;
use crate::context::EdgeContext;
use crate::presence;
use crate::switches::Mechanism;
use crate::world::World;

/// The method that takes counts in.
const COUNTS: &str = "e.counts";
/// The time between two words to a peer while no account surges. What is admitted meanwhile of an
/// account that begins to surge is beyond its limit; three words a second from each of 570 VMs
/// take 0.5 % of a core of a domain's head.
const PERIOD: Millis = Millis(300);
/// The time between two words while one does.
const LEAST_PERIOD: Millis = Millis(60);
/// The time allowed for an answer within a domain, and from another one. Between regions a word
/// takes a tenth of a second to and fro.
const LIMIT_HERE: Millis = Millis(400);
const LIMIT_AWAY: Millis = Millis(700);
/// How long a VM that is not seen any more may still be there and admit requests: longer than
/// most cuts last. Beyond it, those that are left use its share as well.
const REMEMBERED_FOR: Millis = Millis(30_000);
/// For how long the parts of all accounts that were worked out may be told again. A head is asked
/// by dozens of VMs, and working them out takes time for each account.
const PARTS_KEPT: Millis = Millis(40);

/// One VM's part in keeping to the quotas of all accounts.
pub struct Quota {
    timer: Timer,
    world: Rc<RefCell<World>>,
    meter: RefCell<Meter>,
    pool: RefCell<Pool>,
    tellers: RefCell<HashMap<VmName, Teller>>,
    seen: RefCell<MostSeen>,
    parts: RefCell<KeptParts>,
    /// Fires when an account surges.
    surge: RefCell<Flag>,
}

/// The parts of accounts' requests that may be admitted, as they were worked out last.
#[derive(Default)]
struct KeptParts {
    at: Millis,
    parts: BTreeMap<AccountName, f64>,
}

/// The answer to a word: the accounts of whose requests not all may be admitted.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Answer {
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    parts: BTreeMap<AccountName, f64>,
}

/// The most VMs that were there at once within [`REMEMBERED_FOR`], or up to twice as long.
#[derive(Debug, Default)]
struct MostSeen {
    since: Millis,
    before: usize,
    now: usize,
}

impl MostSeen {
    fn note(&mut self, vms: usize, now: Millis) {
        if now.since(self.since) >= REMEMBERED_FOR {
            self.since = now;
            self.before = std::mem::take(&mut self.now);
        }
        self.now = self.now.max(vms);
    }

    fn most(&self) -> usize {
        self.before.max(self.now)
    }
}

impl Quota {
    /// Makes the part of a VM that has just started.
    pub fn new(timer: Timer, world: Rc<RefCell<World>>) -> Self {
        let pool = Pool::new(timer.now());
        Self {
            timer,
            world,
            meter: RefCell::default(),
            pool: RefCell::new(pool),
            tellers: RefCell::default(),
            seen: RefCell::default(),
            parts: RefCell::default(),
            surge: RefCell::default(),
        }
    }

    /// Takes in how many VMs there are, once all of them are known.
    pub fn note_vms(&self, vms: usize) {
        self.seen.borrow_mut().note(vms, self.timer.now());
    }

    /// Says whether it is known how many VMs there are.
    pub fn knows_vms(&self) -> bool {
        self.seen.borrow().most() > 0
    }

    /// Says whether a request of an account may run, and counts it; `draw` is drawn evenly from 0
    /// to 1.
    pub fn ask(&self, account: &Account, draw: f64) -> Verdict {
        let Some(limit) = account.limit else {
            return Verdict::Admitted;
        };
        let vms = match self.seen.borrow().most() {
            // Nobody knows how many share the limit.
            0 => usize::MAX,
            most => most,
        };
        let mut meter = self.meter.borrow_mut();
        let verdict = meter.ask(&account.name, limit, vms, self.timer.now(), draw);
        if meter.has_surge() {
            self.surge.borrow().fire();
        }
        verdict
    }

    /// Takes in that a request that was admitted did not run.
    pub fn give_back(&self, account: &Account) {
        if account.limit.is_some() {
            self.meter.borrow_mut().give_back(&account.name);
        }
    }

    /// Gives what this VM admits by.
    pub fn meter(&self) -> Ref<'_, Meter> {
        self.meter.borrow()
    }

    /// Gives the current time.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Gives what is known of each account of which this VM collects any counts.
    pub fn standings(&self) -> HashMap<AccountName, Standing> {
        let vms = self.seen.borrow().most();
        self.pool.borrow_mut().standings(vms, self.timer.now())
    }

    /// Says whether this VM was told lately what may be admitted. One that has just started refuses
    /// a part of what callers may send until it is.
    fn is_told(&self) -> bool {
        let now = self.timer.now();
        self.meter.borrow().told_age(now).is_some()
    }

    fn catalog(&self) -> Option<Rc<Catalog>> {
        self.world.borrow().catalog().cloned()
    }

    fn is_avoided(&self, vm: &VmName) -> bool {
        let tellers = self.tellers.borrow();
        tellers.get(vm).is_some_and(Teller::is_avoided)
    }

    fn with_teller<T>(&self, vm: &VmName, act: impl FnOnce(&mut Teller) -> T) -> T {
        let mut tellers = self.tellers.borrow_mut();
        act(tellers.entry(vm.clone()).or_default())
    }

    /// Takes in what a peer counted.
    fn take(&self, from: &PeerId, word: &Word) -> Answer {
        let Some(catalog) = self.catalog() else {
            return Answer::default();
        };
        let Some(accounts) = catalog.accounts() else {
            return Answer::default();
        };
        let now = self.timer.now();
        let mut pool = self.pool.borrow_mut();
        pool.take(&from.vm, from.incarnation, word, accounts, now);
        if pool.has_surge() {
            self.surge.borrow().fire();
        }
        drop(pool);
        match word.vms {
            Some(_) => Answer::default(),
            None => Answer {
                parts: self.parts(accounts),
            },
        }
    }

    fn parts(&self, accounts: &Accounts) -> BTreeMap<AccountName, f64> {
        let now = self.timer.now();
        let mut kept = self.parts.borrow_mut();
        if now.since(kept.at) >= PARTS_KEPT || kept.at == Millis(0) {
            let vms = self.seen.borrow().most();
            let parts = self.pool.borrow_mut().parts(accounts, vms, now);
            kept.parts = parts
                .into_iter()
                .map(|(name, part)| (name, rounded(part)))
                .collect();
            kept.at = now;
        }
        kept.parts.clone()
    }
}

/// Gives a part with as many digits as make a difference on the wire.
fn rounded(part: f64) -> f64 {
    (part * 10_000.0).round() / 10_000.0
}

/// Registers the method that takes counts in.
pub fn register(methods: &mut MethodTable, quota: &Rc<Quota>) {
    let quota = Rc::clone(quota);
    methods.register(COUNTS, move |from, word: Word| {
        let answer = quota.take(&from, &word);
        async move { Ok(answer) }
    });
}

/// Tells counts for as long as the process runs.
pub async fn run(cx: Rc<EdgeContext>) {
    loop {
        let surge = Flag::new();
        *cx.quota.surge.borrow_mut() = surge.clone();
        cx.timer.wait(LEAST_PERIOD).await;
        if cx.quota.is_told() {
            let rest = Millis(PERIOD.0 - LEAST_PERIOD.0);
            select(surge.wait(), cx.timer.wait(rest)).await;
        }
        step(&cx);
    }
}

fn step(cx: &Rc<EdgeContext>) {
    let quota = &cx.quota;
    let Some(catalog) = quota.catalog() else {
        return;
    };
    let limited = |accounts: &&Accounts| accounts.all().any(|account| account.limit.is_some());
    let Some(accounts) = catalog.accounts().filter(limited) else {
        return;
    };
    if !quota.knows_vms() {
        return;
    }
    if !cx.switches.has(Mechanism::ToldQuota) {
        quota.meter.borrow_mut().take_untold();
        return;
    }
    let counts = quota.meter.borrow_mut().take_untold();
    let leaders = leaders_to_tell(cx, &cx.cfg.domain);
    let is_collector = leaders.last() == Some(&cx.cfg.vm);
    match is_collector {
        true => collect_own(cx, &counts, accounts),
        false => tell_leaders(cx, &leaders, &counts),
    }
    let heard = quota.pool.borrow().heard_here(cx.now()) + u32::from(is_collector);
    if heard > 0 {
        tell_other_heads(cx, heard);
    }
    let there = presence::alive(cx);
    let is_there = |name: &VmName| there.iter().any(|vm| vm.name == *name);
    quota.tellers.borrow_mut().retain(|vm, _| is_there(vm));
}

/// Gives the leaders of a domain up to the first one that answers, that one included. Those
/// before it are asked again from time to time.
fn leaders_to_tell(cx: &EdgeContext, domain: &DomainName) -> Vec<VmName> {
    let relay = cx.relay.borrow();
    let leaders = relay.leaders(domain);
    let answers = |vm: &VmName| *vm == cx.cfg.vm || !cx.quota.is_avoided(vm);
    let first = leaders.iter().position(answers);
    leaders[..first.map_or(leaders.len(), |first| first + 1)].to_vec()
}

fn collect_own(cx: &EdgeContext, counts: &Counts, accounts: &Accounts) {
    let quota = &cx.quota;
    let now = cx.now();
    quota.pool.borrow_mut().take_own(counts, accounts, now);
    let parts = quota.parts(accounts).into_iter().collect();
    quota.meter.borrow_mut().take_parts(parts, now);
}

/// Tells the last of `leaders` what this VM counted, and the others nothing. Where none answers,
/// the counts are lost: then the others have set this VM's share aside.
fn tell_leaders(cx: &Rc<EdgeContext>, leaders: &[VmName], counts: &Counts) {
    let nothing = Counts::new();
    for (at, leader) in leaders.iter().enumerate() {
        let is_last = at + 1 == leaders.len();
        tell(cx, leader, if is_last { counts } else { &nothing }, None);
    }
}

/// Tells the heads of the other domains, and that of this one where this VM stands in for it, what
/// VMs of this domain told.
fn tell_other_heads(cx: &Rc<EdgeContext>, heard: u32) {
    let collected = cx.quota.pool.borrow_mut().take_collected();
    let domains: Vec<DomainName> = cx.relay.borrow().domains().cloned().collect();
    for domain in domains {
        let leaders = leaders_to_tell(cx, &domain);
        for leader in leaders.iter().filter(|leader| **leader != cx.cfg.vm) {
            tell(cx, leader, &collected, Some(heard));
        }
    }
}

fn tell(cx: &Rc<EdgeContext>, to: &VmName, counts: &Counts, vms: Option<u32>) {
    let now = cx.now();
    let word = cx.quota.with_teller(to, |teller| {
        for (account, count) in counts {
            teller.add(account, *count, now);
        }
        teller.begin(vms, now)
    });
    if let Some(word) = word {
        monoio::spawn(send(Rc::clone(cx), to.clone(), word));
    }
}

async fn send(cx: Rc<EdgeContext>, to: VmName, word: Word) {
    let answer = call(&cx, &to, &word).await;
    let now = cx.now();
    match answer {
        Ok(answer) => {
            cx.quota.with_teller(&to, |teller| teller.answered(now));
            if word.vms.is_none() {
                let parts = answer.parts.into_iter().collect();
                cx.quota.meter.borrow_mut().take_parts(parts, now);
            }
        }
        Err(error) => {
            debug!(vm:% = to, error:% = error; "counts of accounts could not be told");
            let untold = cx.quota.with_teller(&to, |teller| teller.failed(now));
            if word.vms.is_none() {
                cx.quota.meter.borrow_mut().put_back(untold);
            }
        }
    }
}

async fn call(cx: &EdgeContext, to: &VmName, word: &Word) -> Result<Answer, PeerError> {
    let limit = match word.vms {
        None => LIMIT_HERE,
        Some(_) => LIMIT_AWAY,
    };
    let opts = CallOptions::idempotent(limit);
    match presence::peer_address(cx, to) {
        Some(at) => cx.net.call_address(at, COUNTS, word, opts).await,
        None => cx.net.call_with(to, COUNTS, word, opts).await,
    }
}
