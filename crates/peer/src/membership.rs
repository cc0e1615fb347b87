//! Heartbeats between daemons, and what they carry.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_store::vm_list::VmList;
use heatherknot_types::prelude::*;
use jsonrpsee_types::ErrorObjectOwned;
use log::{info, warn};

use crate::auth::PeerId;
use crate::heartbeat::Gossip;
use crate::members::{Claim, MemberState, MemberView, Members, MergeOutcome, Source};
use crate::methods::MethodTable;
use crate::net::PeerNet;
use crate::sync::SyncAnswer;

/// Claims taken over from one message that heartbeats still pass on.
const MAX_FORWARDED_CLAIMS: usize = 8;

pub(crate) const HEARTBEAT: &str = "m";
pub(crate) const PROBE_FOR: &str = "mq";
pub(crate) const SYNC: &str = "ms";
pub(crate) const PUSH: &str = "mu";

/// Periods of the heartbeats.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Between two heartbeats to VMs of this daemon's domain.
    pub period: Millis,
    /// Heartbeats inside the domain for each one to another domain.
    pub other_domain_periods: u64,
    /// Heartbeats inside the domain for each attempt on an address that does not answer.
    pub unreachable_retry_periods: u64,
    /// Heartbeats inside the domain for each reading of the platform's list.
    pub vm_list_periods: u64,
    /// Time allowed for a heartbeat's answer.
    pub answer_timeout: Millis,
    /// How long a VM is suspected before it counts as gone.
    pub suspicion_timeout: Millis,
    /// How long a VM that is gone is remembered.
    pub gone_retention: Millis,
    /// A period that took longer than this beyond its time means that the process was
    /// paused.
    pub pause_threshold: Millis,
    /// The least between two comparisons of all beliefs that one daemon begins.
    pub sync_interval: Millis,
    /// The same for a daemon that has just started and knows few others.
    pub startup_sync_interval: Millis,
    /// How long nobody of a domain was heard from before its VMs that the platform's list
    /// does not show count as gone.
    pub unlisted_timeout: Millis,
    /// How long a daemon counts as just started.
    pub startup_duration: Millis,
    /// VMs of each domain that read the platform's list and watch the store.
    pub watchers: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            period: Millis(1_000),
            other_domain_periods: 5,
            unreachable_retry_periods: 10,
            vm_list_periods: 30,
            answer_timeout: Millis(1_500),
            suspicion_timeout: Millis(4_000),
            gone_retention: Millis(600_000),
            pause_threshold: Millis(3_000),
            sync_interval: Millis(10_000),
            unlisted_timeout: Millis(10_000),
            startup_sync_interval: Millis(1_000),
            startup_duration: Millis(30_000),
            watchers: 2,
        }
    }
}

/// Takes a peer and the revision that it holds.
pub type PeerRevisionHook = Rc<dyn Fn(&PeerId, Revision)>;

/// What the rest of the daemon does at changes.
#[derive(Clone)]
pub struct MembershipHooks {
    /// The process was paused for the span given: whatever it held by time is void.
    pub on_resume: Rc<dyn Fn(Millis)>,
    /// The platform says that this VM is leaving.
    pub on_leave_request: Rc<dyn Fn()>,
    /// A peer holds the revision given; called for each heartbeat.
    pub on_peer_revision: PeerRevisionHook,
}

impl Default for MembershipHooks {
    fn default() -> Self {
        Self {
            on_resume: Rc::new(|_| {}),
            on_leave_request: Rc::new(|| {}),
            on_peer_revision: Rc::new(|_, _| {}),
        }
    }
}

/// What the heartbeats of one daemon are started with.
pub struct MembershipContext {
    /// Addresses of peers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The platform's list, where it can be read.
    pub platform: Option<VmList>,
    /// Gives the revision in force, which heartbeats carry.
    pub revision: Rc<dyn Fn() -> Revision>,
    /// Exchanges load reports: takes in what a peer sent and gives what to send it.
    pub reports: Option<crate::reports::ReportPort>,
    /// What the rest of the daemon does at changes.
    pub hooks: MembershipHooks,
    /// Periods.
    pub options: MembershipOptions,
    /// Draws peers.
    pub rng: fastrand::Rng,
}

pub(crate) struct MembershipState {
    pub(crate) members: RefCell<Members>,
    pub(crate) timer: Timer,
    pub(crate) net: RefCell<Option<PeerNet>>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) platform: Option<VmList>,
    pub(crate) revision: Rc<dyn Fn() -> Revision>,
    pub(crate) reports: Option<crate::reports::ReportPort>,
    pub(crate) hooks: MembershipHooks,
    pub(crate) options: MembershipOptions,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) probe_queue: RefCell<VecDeque<VmName>>,
    pub(crate) last_sync: Cell<Option<Millis>>,
    pub(crate) syncing: Cell<bool>,
    pub(crate) started_at: Millis,
}

/// The heartbeats of one daemon and what they found out; cheap to clone.
#[derive(Clone)]
pub struct Membership {
    state: Rc<MembershipState>,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

impl Membership {
    /// Registers the methods of the heartbeats. They answer once [`Membership::run`] is
    /// called.
    pub fn new(cx: MembershipContext, me: PeerId, timer: Timer, methods: &mut MethodTable) -> Self {
        let started_at = timer.now();
        let state = Rc::new(MembershipState {
            members: RefCell::new(Members::new(me)),
            timer,
            net: RefCell::default(),
            seeds: cx.seeds,
            platform: cx.platform,
            revision: cx.revision,
            reports: cx.reports,
            hooks: cx.hooks,
            options: cx.options,
            rng: RefCell::new(cx.rng),
            probe_queue: RefCell::default(),
            last_sync: Cell::new(None),
            syncing: Cell::new(false),
            started_at,
        });
        register(&state, methods);
        Self { state }
    }

    /// Starts the heartbeats over `net`, whose identity replaces the one given before, since
    /// only the listener knows its port.
    pub fn run(&self, net: PeerNet) {
        *self.state.members.borrow_mut() = Members::new(net.me());
        *self.state.net.borrow_mut() = Some(net);
        monoio::spawn(run_heartbeats(Rc::clone(&self.state)));
    }

    /// Gives every belief about other VMs.
    pub fn views(&self) -> Vec<MemberView> {
        let now = self.state.timer.now();
        self.state.members.borrow().views(now)
    }

    /// Gives the state that this daemon announces of itself.
    pub fn own_state(&self) -> MemberState {
        self.state.members.borrow().me().state
    }

    /// Announces that this daemon is leaving, to its whole domain at once.
    pub fn leave(&self) {
        self.state
            .members
            .borrow_mut()
            .announce(MemberState::Leaving);
        self.state.push_own_claim();
    }

    /// Tells whether this daemon is one of its domain's few that watch the store.
    pub fn is_watcher(&self) -> bool {
        self.state.is_watcher()
    }

    /// Gives the VMs of this daemon's domain that watch the store, the first one first.
    pub fn watchers(&self) -> Vec<VmName> {
        let count = self.state.options.watchers;
        self.state.members.borrow().top_ranked(count)
    }

    /// Gives the live VMs of this daemon's domain.
    pub fn domain_peers(&self) -> Vec<VmName> {
        let members = self.state.members.borrow();
        members.in_domain().map(|m| m.claim.id.vm.clone()).collect()
    }

    /// Draws a VM of any domain that is not gone.
    pub fn random_peer(&self) -> Option<VmName> {
        let members = self.state.members.borrow();
        let all: Vec<_> = members
            .in_domain()
            .chain(members.in_other_domains())
            .collect();
        let drawn = self.state.rng.borrow_mut().choice(all)?;
        Some(drawn.claim.id.vm.clone())
    }
}

fn register(state: &Rc<MembershipState>, methods: &mut MethodTable) {
    let cx = Rc::clone(state);
    methods.register(HEARTBEAT, move |caller, gossip: Gossip| {
        let answer = cx.answer_heartbeat(&caller, gossip);
        async move { Ok(answer) }
    });
    let cx = Rc::clone(state);
    methods.register(PROBE_FOR, move |_, vm: VmName| {
        let cx = Rc::clone(&cx);
        async move { Ok(cx.exchange_heartbeat(&vm).await.is_ok()) }
    });
    let cx = Rc::clone(state);
    methods.register(SYNC, move |caller, digests: BTreeMap<DomainName, u64>| {
        cx.members
            .borrow_mut()
            .record_contact(&caller, cx.timer.now());
        let answer: Answer<SyncAnswer> = Ok(cx.answer_sync(&caller, &digests));
        async move { answer }
    });
    let cx = Rc::clone(state);
    methods.register(PUSH, move |_, claims: Vec<Claim>| {
        cx.merge_claims(claims);
        async move { Answer::Ok(()) }
    });
}

/// Sends one heartbeat each period, whatever became of the ones before.
async fn run_heartbeats(state: Rc<MembershipState>) {
    let period = state.options.period;
    let phase = state.rng.borrow_mut().u64(0..period.0.max(1));
    state.join();
    state.timer.wait(Millis(phase)).await;
    let mut last = state.timer.now();
    for period_count in 1_u64.. {
        state.timer.wait(period).await;
        if !state.is_open() {
            return;
        }
        let now = state.timer.now();
        state.handle_pause(now.since(last + period));
        last = now;
        state.update_epoch();
        state.expire_suspicions(now);
        state.heartbeat_in_domain();
        if period_count % state.options.other_domain_periods == 0 {
            state.heartbeat_other_domain();
        }
        if period_count % state.options.unreachable_retry_periods == 0 {
            state.retry_unreachable(period_count);
        }
        if period_count % state.options.vm_list_periods == 0 && state.is_watcher() {
            state.read_vm_list();
        }
    }
}

impl MembershipState {
    pub(crate) fn net(&self) -> Option<PeerNet> {
        self.net.borrow().clone()
    }

    pub(crate) fn is_open(&self) -> bool {
        self.net().is_some_and(|net| !net.is_closed())
    }

    pub(crate) fn is_watcher(&self) -> bool {
        self.members.borrow().rank() < self.options.watchers
    }

    /// A process that was stopped, or a VM that was, finds that more time passed than it
    /// waited. Others may have counted it gone and taken its work meanwhile, so it ends its
    /// connections with whatever waits in them, tells the rest of the daemon, and announces
    /// itself anew.
    pub(crate) fn handle_pause(&self, late: Millis) {
        if late < self.options.pause_threshold {
            return;
        }
        warn!(paused_ms = late.0; "this process was paused");
        if let Some(net) = self.net() {
            net.reset_connections();
        }
        (self.hooks.on_resume)(late);
        let mut members = self.members.borrow_mut();
        members.restart_suspicions(self.timer.now());
        let state = members.me().state;
        members.announce(state);
    }

    /// Takes over the epoch where a handshake has raised it.
    fn update_epoch(&self) {
        if let Some(net) = self.net() {
            self.members.borrow_mut().raise_epoch(net.me().epoch);
        }
    }

    pub(crate) fn expire_suspicions(&self, now: Millis) {
        let mut members = self.members.borrow_mut();
        for vm in members.expired_suspicions(self.options.suspicion_timeout, now) {
            info!(vm:% = vm; "a VM is gone");
            members.claim_state(&vm, MemberState::Gone, Source::Heartbeat, now);
        }
        members.forget_gone(self.options.gone_retention, now);
    }

    /// Notes a sign of life of a VM, and that it exists where it was not known.
    pub(crate) fn record_alive(&self, id: &PeerId, now: Millis) {
        let mut members = self.members.borrow_mut();
        let claim = Claim {
            id: id.clone(),
            version: 0,
            state: MemberState::Alive,
        };
        members.merge(claim, Source::Heartbeat, now);
        members.record_contact(id, now);
    }

    pub(crate) fn merge_claims(&self, claims: Vec<Claim>) {
        let mut accepted = Vec::new();
        for claim in claims {
            let vm = claim.id.vm.clone();
            if self.merge(claim, Source::Peer) == MergeOutcome::Accepted {
                accepted.push(vm);
            }
        }
        // Many at once are no news but the contents of a comparison. Heartbeats would carry
        // them for minutes; whoever lacks them finds the difference and compares as well.
        if accepted.len() > MAX_FORWARDED_CLAIMS {
            self.members.borrow_mut().discard_updates(&accepted);
        }
    }

    pub(crate) fn merge(&self, claim: Claim, source: Source) -> MergeOutcome {
        let Some(net) = self.net() else {
            return MergeOutcome::Stale;
        };
        let id = claim.id.clone();
        let outcome = self
            .members
            .borrow_mut()
            .merge(claim, source, self.timer.now());
        match outcome {
            // The connections' own book may know a later run and keep it.
            MergeOutcome::Accepted => drop(net.learn(&id)),
            MergeOutcome::LeaveRequested => {
                (self.hooks.on_leave_request)();
                self.push_own_claim();
            }
            MergeOutcome::IdentityConflict => {
                net.resolve_identity_conflict(&id);
                self.members.borrow_mut().raise_epoch(net.me().epoch);
            }
            MergeOutcome::Refuted => info!("a peer took this daemon for suspect, leaving or gone"),
            MergeOutcome::Stale => {}
        }
        outcome
    }

    /// Sends what this daemon says of itself to its domain.
    pub(crate) fn push_own_claim(&self) {
        let Some(net) = self.net() else {
            return;
        };
        let members = self.members.borrow();
        let claim = [members.me()];
        for peer in members.in_domain() {
            // A peer that can't be told now hears it from others.
            let _ = net.notify(&peer.claim.id.vm, PUSH, &claim);
        }
    }
}
