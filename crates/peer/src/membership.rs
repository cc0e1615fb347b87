//! Membership of the deployment, maintained by heartbeats between daemons.

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

/// Maximum number of newly accepted claims of one message that are forwarded with heartbeats.
const MAX_FORWARDED_CLAIMS: usize = 8;

pub(crate) const HEARTBEAT: &str = "m";
pub(crate) const INDIRECT_PROBE: &str = "mq";
pub(crate) const SYNC: &str = "ms";
pub(crate) const PUSH: &str = "mu";

/// Periods and timeouts of the heartbeats.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Interval between heartbeats to VMs of this daemon's domain.
    pub period: Millis,
    /// Number of periods between heartbeats to another domain.
    pub other_domain_periods: u64,
    /// Number of periods between attempts to reach a VM believed gone and a seed address.
    pub unreachable_retry_periods: u64,
    /// Number of periods between reads of the platform's VM list.
    pub vm_list_periods: u64,
    /// Timeout of a heartbeat's answer.
    pub answer_timeout: Millis,
    /// Time for which a VM is suspected before it is considered gone.
    pub suspicion_timeout: Millis,
    /// Time for which a VM that is gone is kept in the membership state.
    pub gone_retention: Millis,
    /// Minimum delay of a heartbeat period that indicates that the process was paused.
    pub pause_threshold: Millis,
    /// Minimum interval between comparisons of the membership state that a daemon starts because of
    /// a differing digest.
    pub sync_interval: Millis,
    /// The same for a daemon that has just started and knows few other VMs.
    pub startup_sync_interval: Millis,
    /// Time without contact to a domain after which its VMs that are not in the platform's list
    /// are considered gone.
    pub unlisted_timeout: Millis,
    /// Time after the start during which `startup_sync_interval` applies.
    pub startup_duration: Millis,
    /// Number of VMs of each domain that read the platform's list and watch the store.
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

/// Function that receives a peer and its revision in force.
pub type PeerRevisionHook = Rc<dyn Fn(&PeerId, Revision)>;

/// Functions that the membership calls on events.
#[derive(Clone)]
pub struct MembershipHooks {
    /// Called after the process was paused for the given time. Everything that it held for a
    /// limited time must be considered expired.
    pub on_resume: Rc<dyn Fn(Millis)>,
    /// Called when the platform or a peer says that this VM is leaving.
    pub on_leave_request: Rc<dyn Fn()>,
    /// Called with a peer's revision in force for each heartbeat and each answer to one.
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

/// Configuration and dependencies of the membership.
pub struct MembershipContext {
    /// Addresses of the peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The platform's VM list, if it can be read.
    pub platform: Option<VmList>,
    /// Returns the revision in force, which heartbeats carry.
    pub revision: Rc<dyn Fn() -> Revision>,
    /// Interface for exchanging load reports with heartbeats.
    pub reports: Option<crate::reports::ReportPort>,
    /// Functions to call on events.
    pub hooks: MembershipHooks,
    /// Periods and timeouts.
    pub options: MembershipOptions,
    /// Random number generator for the choice of peers.
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
    /// VMs of the domain that are still to be probed in the current pass.
    pub(crate) probe_queue: RefCell<VecDeque<VmName>>,
    /// When this daemon last started a comparison because of a differing digest.
    pub(crate) last_sync: Cell<Option<Millis>>,
    /// Whether a comparison that this daemon started is in progress.
    pub(crate) syncing: Cell<bool>,
    pub(crate) started_at: Millis,
}

/// The membership as seen by one daemon; cheap to clone.
#[derive(Clone)]
pub struct Membership {
    state: Rc<MembershipState>,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

impl Membership {
    /// Creates the membership and registers its methods. Claims are merged only after
    /// [`Membership::run`] has been called.
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

    /// Starts the heartbeats over `net`. Its identity replaces the one passed to
    /// [`Membership::new`], because the port may be known only after listening.
    pub fn run(&self, net: PeerNet) {
        *self.state.members.borrow_mut() = Members::new(net.me());
        *self.state.net.borrow_mut() = Some(net);
        monoio::spawn(run_heartbeats(Rc::clone(&self.state)));
    }

    /// Returns a number that grows with each change of the states of other VMs.
    pub fn generation(&self) -> u64 {
        self.state.members.borrow().generation()
    }

    /// Returns a view of every other VM.
    pub fn views(&self) -> Vec<MemberView> {
        let now = self.state.timer.now();
        self.state.members.borrow().views(now)
    }

    /// Returns the state that this daemon announces for itself.
    pub fn own_state(&self) -> MemberState {
        self.state.members.borrow().me().state
    }

    /// Announces to this daemon's whole domain that it is leaving.
    pub fn leave(&self) {
        self.state
            .members
            .borrow_mut()
            .announce(MemberState::Leaving);
        self.state.push_own_claim();
    }

    /// Returns whether this daemon is a watcher: one of the VMs of its domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        self.state.is_watcher()
    }

    /// Returns the watchers of this daemon's domain in ascending order of rank.
    pub fn watchers(&self) -> Vec<VmName> {
        let count = self.state.options.watchers;
        self.state.members.borrow().top_ranked(count)
    }

    /// Returns the other VMs of this daemon's domain that are not gone.
    pub fn domain_peers(&self) -> Vec<VmName> {
        let members = self.state.members.borrow();
        members.in_domain().map(|m| m.claim.id.vm.clone()).collect()
    }

    /// Returns a random VM of any domain that is not gone.
    pub fn random_peer(&self) -> Option<VmName> {
        let members = self.state.members.borrow();
        let all: Vec<_> = members
            .in_domain()
            .chain(members.in_other_domains())
            .collect();
        let peer = self.state.rng.borrow_mut().choice(all)?;
        Some(peer.claim.id.vm.clone())
    }
}

fn register(state: &Rc<MembershipState>, methods: &mut MethodTable) {
    let cx = Rc::clone(state);
    methods.register(HEARTBEAT, move |caller, gossip: Gossip| {
        let answer = cx.answer_heartbeat(&caller, gossip);
        async move { Ok(answer) }
    });
    let cx = Rc::clone(state);
    methods.register(INDIRECT_PROBE, move |_, vm: VmName| {
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

/// Sends a heartbeat each period without waiting for the answers to earlier ones.
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

    /// Handles a pause of the process or its VM, which is detected by a period that took too long.
    ///
    /// Meanwhile peers may have considered this daemon gone and taken over its work. It therefore
    /// closes its connections with all data buffered in them, calls the hook and announces itself
    /// again.
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

    /// Adopts the epoch of the connections, which a handshake may have raised.
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

    /// Records that this daemon heard from a VM, and adds the VM if it was not known.
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
        // Many accepted claims at once come from a comparison, not from new events. Forwarding them
        // would fill heartbeats for minutes; daemons that lack them find that their digests differ
        // and start a comparison themselves.
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
            // `learn` refuses the identity if the connections already know a later incarnation.
            MergeOutcome::Accepted => drop(net.learn(&id)),
            MergeOutcome::LeaveRequested => {
                (self.hooks.on_leave_request)();
                self.push_own_claim();
            }
            MergeOutcome::IdentityConflict => {
                net.resolve_identity_conflict(&id);
                self.members.borrow_mut().raise_epoch(net.me().epoch);
            }
            MergeOutcome::Refuted => {
                info!("refuted a claim that this daemon is suspect, leaving or gone")
            }
            MergeOutcome::Stale => {}
        }
        outcome
    }

    /// Sends this daemon's claim about itself to its domain.
    pub(crate) fn push_own_claim(&self) {
        let Some(net) = self.net() else {
            return;
        };
        let members = self.members.borrow();
        let claim = [members.me()];
        for peer in members.in_domain() {
            // A peer that cannot be reached now will receive the claim from others.
            let _ = net.notify(&peer.claim.id.vm, PUSH, &claim);
        }
    }
}
