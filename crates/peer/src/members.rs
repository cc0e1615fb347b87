//! One daemon's view of the deployment's VMs, and the rules for merging claims about them.
//!
//! The view is eventually consistent: a claim may be late or wrong, and the views of two daemons
//! may differ for as long as they cannot communicate.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;

/// Maximum number of updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// An update is sent this many times the binary logarithm of the number of members, rounded down.
const RETRANSMIT_FACTOR: u32 = 2;

/// The claimed state of a VM. Of two claims about the same incarnation with the same version, the
/// state declared later in this enum wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The VM answers.
    #[serde(rename = "a")]
    Alive,
    /// The VM finishes its current work and then stops.
    #[serde(rename = "l")]
    Leaving,
    /// The VM did not answer a peer, neither directly nor through helpers.
    #[serde(rename = "s")]
    Suspect,
    /// The VM was suspected for longer than the suspicion timeout, or the platform removed it.
    #[serde(rename = "g")]
    Gone,
}

/// The source of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This daemon's own heartbeats.
    Heartbeat,
    /// A peer.
    Peer,
    /// The platform's list of VMs.
    Platform,
}

/// A claim about the state of one incarnation of a VM, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The VM, its incarnation and its addresses.
    #[serde(flatten)]
    pub id: PeerId,
    /// Incremented each time the VM itself announces its state.
    #[serde(rename = "k")]
    pub version: u32,
    /// The claimed state.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl Claim {
    /// Returns whether this claim takes precedence over `other` about the same VM.
    fn supersedes(&self, other: &Claim) -> bool {
        let incarnation = (self.id.epoch, self.id.incarnation);
        let other_incarnation = (other.id.epoch, other.id.incarnation);
        (incarnation, self.version, self.state) > (other_incarnation, other.version, other.state)
    }
}

/// What this daemon knows of one VM.
#[derive(Clone, Debug)]
pub struct Member {
    /// The claim that takes precedence over all others received.
    pub claim: Claim,
    /// The source of the claim.
    pub source: Source,
    /// When this daemon accepted the claim.
    pub accepted_at: Millis,
    /// When this daemon last heard from the incarnation, if it has.
    pub last_heard: Option<Millis>,
}

/// What this daemon knows of one VM, as shown to other crates and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The VM, its incarnation and its addresses.
    pub id: PeerId,
    /// The state of the VM.
    pub state: MemberState,
    /// The source of the state.
    pub source: Source,
    /// Time since this daemon accepted the claim.
    pub age: Millis,
    /// Time since this daemon last heard from the VM. For a VM of another domain, time since it
    /// last heard from any VM of that domain.
    pub since_heard: Option<Millis>,
}

/// The result of merging a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The claim replaced the previous one.
    Accepted,
    /// The known claim takes precedence or is the same.
    Stale,
    /// The claim is about this daemon, which has refuted it with a new claim.
    Refuted,
    /// The claim says that this daemon is leaving, which it now announces itself.
    LeaveRequested,
    /// The claim is about another process that runs as this VM.
    IdentityConflict,
}

/// The membership state of one daemon.
pub struct Members {
    me: Claim,
    others: BTreeMap<VmName, Member>,
    /// VMs with updates still to be sent, and how often each update has been sent.
    pending: BTreeMap<VmName, u32>,
    /// When this daemon last heard from a VM of each domain.
    last_contacts: BTreeMap<DomainName, Millis>,
    /// Number of changes of the claims about other VMs.
    generation: u64,
}

impl Members {
    /// Creates a membership state that contains only this daemon, as alive.
    pub fn new(me: PeerId) -> Self {
        let me = Claim {
            id: me,
            version: 0,
            state: MemberState::Alive,
        };
        Self {
            pending: BTreeMap::from([(me.id.vm.clone(), 0)]),
            me,
            others: BTreeMap::new(),
            last_contacts: BTreeMap::new(),
            generation: 0,
        }
    }

    /// Returns this daemon's claim about itself.
    pub fn me(&self) -> &Claim {
        &self.me
    }

    /// Returns a number that grows with each change of the claims about other VMs.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns what is known of another VM.
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.others.get(vm)
    }

    /// Returns what is known of all other VMs.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Returns the other VMs of this daemon's domain that are not gone.
    pub fn in_domain(&self) -> impl Iterator<Item = &Member> {
        let domain = &self.me.id.domain;
        self.not_gone()
            .filter(move |m| m.claim.id.domain == *domain)
    }

    /// Returns the VMs of other domains that are not gone.
    pub fn in_other_domains(&self) -> impl Iterator<Item = &Member> {
        let domain = &self.me.id.domain;
        self.not_gone()
            .filter(move |m| m.claim.id.domain != *domain)
    }

    fn not_gone(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|m| m.claim.state != MemberState::Gone)
    }

    /// Announces a state of this daemon with a new version, which supersedes all claims of others
    /// about this incarnation.
    pub fn announce(&mut self, state: MemberState) {
        self.me.version += 1;
        self.me.state = state;
        self.pending.insert(self.me.id.vm.clone(), 0);
    }

    /// Raises this daemon's epoch and announces it.
    pub fn raise_epoch(&mut self, epoch: u64) {
        if epoch > self.me.id.epoch {
            self.me.id.epoch = epoch;
            self.announce(self.me.state);
        }
    }

    /// Merges a claim.
    pub fn merge(&mut self, claim: Claim, source: Source, now: Millis) -> MergeOutcome {
        if claim.id.vm == self.me.id.vm {
            return self.merge_own(claim);
        }
        let vm = claim.id.vm.clone();
        match self.others.get_mut(&vm) {
            Some(known) if !claim.supersedes(&known.claim) => return MergeOutcome::Stale,
            Some(known) => {
                if claim.id.incarnation != known.claim.id.incarnation {
                    known.last_heard = None;
                }
                known.claim = claim;
                known.source = source;
                known.accepted_at = now;
            }
            None => {
                let member = Member {
                    claim,
                    source,
                    accepted_at: now,
                    last_heard: None,
                };
                self.others.insert(vm.clone(), member);
            }
        }
        self.pending.insert(vm, 0);
        self.generation += 1;
        MergeOutcome::Accepted
    }

    fn merge_own(&mut self, claim: Claim) -> MergeOutcome {
        if claim.id.incarnation != self.me.id.incarnation {
            return MergeOutcome::IdentityConflict;
        }
        if !claim.supersedes(&self.me) {
            return MergeOutcome::Stale;
        }
        self.me.version = claim.version;
        let leave_requested =
            claim.state == MemberState::Leaving && self.me.state == MemberState::Alive;
        if leave_requested {
            self.announce(MemberState::Leaving);
            return MergeOutcome::LeaveRequested;
        }
        self.announce(self.me.state);
        MergeOutcome::Refuted
    }

    /// Records that this daemon heard from a VM, and thereby from its domain.
    ///
    /// This does not change the VM's claimed state: a suspected VM is told of the suspicion and
    /// refutes it itself.
    pub fn record_contact(&mut self, id: &PeerId, now: Millis) {
        self.last_contacts.insert(id.domain.clone(), now);
        if let Some(member) = self.others.get_mut(&id.vm)
            && member.claim.id.incarnation == id.incarnation
        {
            member.last_heard = Some(now);
        }
    }

    /// Claims a state of another VM on this daemon's own evidence, for the known version.
    pub fn claim_state(
        &mut self,
        vm: &VmName,
        state: MemberState,
        source: Source,
        now: Millis,
    ) -> MergeOutcome {
        let Some(known) = self.others.get(vm) else {
            return MergeOutcome::Stale;
        };
        let claim = Claim {
            state,
            ..known.claim.clone()
        };
        self.merge(claim, source, now)
    }

    /// Discards the pending updates about some VMs, so that later messages do not carry them.
    pub fn discard_updates(&mut self, vms: &[VmName]) {
        vms.iter().for_each(|vm| {
            self.pending.remove(vm);
        });
    }

    /// Returns the VMs that have been suspected for at least `timeout`.
    pub fn expired_suspicions(&self, timeout: Millis, now: Millis) -> Vec<VmName> {
        self.others()
            .filter(|m| m.claim.state == MemberState::Suspect)
            .filter(|m| now.since(m.accepted_at) >= timeout)
            .map(|m| m.claim.id.vm.clone())
            .collect()
    }

    /// Restarts the timeout of every suspicion. A daemon that was paused could not hear any VM, so
    /// the time it was paused must not count.
    pub fn restart_suspicions(&mut self, now: Millis) {
        for member in self.others.values_mut() {
            member.accepted_at = member.accepted_at.max(now);
        }
    }

    /// Removes VMs that have been gone for at least `retention`.
    pub fn forget_gone(&mut self, retention: Millis, now: Millis) {
        let before = self.others.len();
        self.others.retain(|_, m| {
            m.claim.state != MemberState::Gone || now.since(m.accepted_at) < retention
        });
        self.generation += u64::from(self.others.len() != before);
    }

    /// Returns the updates for the next message to `to`: first the claim about the receiver if it
    /// is suspected or gone, so that it can refute the claim, then the updates sent least often.
    pub fn take_updates(&mut self, to: Option<&VmName>) -> Vec<Claim> {
        let suspected = to
            .and_then(|vm| self.others.get(vm))
            .filter(|m| m.claim.state >= MemberState::Suspect);
        let mut claims: Vec<_> = suspected.map(|m| m.claim.clone()).into_iter().collect();
        let mut queue: Vec<_> = self
            .pending
            .iter()
            .map(|(vm, sent)| (*sent, vm.clone()))
            .collect();
        queue.sort();
        queue.truncate(MAX_UPDATES_PER_MESSAGE);
        let max_sends = RETRANSMIT_FACTOR * (self.others.len() as u32 + 2).ilog2().max(1);
        for (sent, vm) in queue {
            claims.extend(self.claim_of(&vm));
            if sent + 1 >= max_sends {
                self.pending.remove(&vm);
            } else {
                self.pending.insert(vm, sent + 1);
            }
        }
        claims
    }

    fn claim_of(&self, vm: &VmName) -> Option<Claim> {
        if *vm == self.me.id.vm {
            return Some(self.me.clone());
        }
        self.others.get(vm).map(|m| m.claim.clone())
    }

    /// Returns all claims about the VMs of one domain.
    pub fn claims_of_domain(&self, domain: &DomainName) -> Vec<Claim> {
        let others = self.others().map(|m| &m.claim);
        let all = std::iter::once(&self.me).chain(others);
        all.filter(|c| c.id.domain == *domain).cloned().collect()
    }

    /// Returns a digest of the claims about each domain, equal for daemons with equal claims. VMs
    /// that are gone are left out, because daemons remove them at different times.
    pub fn digests(&self) -> BTreeMap<DomainName, u64> {
        let mut digests = BTreeMap::new();
        let others = self.not_gone().map(|m| &m.claim);
        for claim in std::iter::once(&self.me).chain(others) {
            let digest: &mut u64 = digests.entry(claim.id.domain.clone()).or_default();
            *digest ^= hash_claim(claim);
        }
        digests
    }

    /// Returns a digest of all claims, equal for daemons with equal claims.
    pub fn digest(&self) -> u64 {
        self.digests().values().fold(0, |acc, digest| acc ^ digest)
    }

    /// Returns this daemon's rank among the live VMs of its domain by rendezvous hash, starting at
    /// zero. Daemons with equal claims agree on the ranks without communicating.
    pub fn rank(&self) -> usize {
        let weight = |vm: &VmName| hash::rendezvous(&[], vm.as_str());
        let own_weight = weight(&self.me.id.vm);
        self.in_domain()
            .filter(|m| m.claim.state == MemberState::Alive)
            .filter(|m| weight(&m.claim.id.vm) > own_weight)
            .count()
    }

    /// Returns the live VMs of this daemon's domain whose [`rank`](Self::rank) is below `count`, in
    /// ascending order of rank. This daemon may be among them.
    pub fn top_ranked(&self, count: usize) -> Vec<VmName> {
        let weight = |vm: &VmName| hash::rendezvous(&[], vm.as_str());
        let alive = self
            .in_domain()
            .filter(|m| m.claim.state == MemberState::Alive);
        let mut vms: Vec<VmName> = alive.map(|m| m.claim.id.vm.clone()).collect();
        vms.push(self.me.id.vm.clone());
        vms.sort_by_key(|vm| std::cmp::Reverse(weight(vm)));
        vms.truncate(count);
        vms
    }

    /// Returns when this daemon last heard from a VM of the domain.
    pub fn last_contact(&self, domain: &DomainName) -> Option<Millis> {
        self.last_contacts.get(domain).copied()
    }

    /// Returns a view of every other VM.
    pub fn views(&self, now: Millis) -> Vec<MemberView> {
        self.others().map(|m| self.view(m, now)).collect()
    }

    fn view(&self, member: &Member, now: Millis) -> MemberView {
        let id = &member.claim.id;
        let mut last_heard = member.last_heard;
        if id.domain != self.me.id.domain {
            last_heard = last_heard.max(self.last_contact(&id.domain));
        }
        MemberView {
            id: id.clone(),
            state: member.claim.state,
            source: member.source,
            age: now.since(member.accepted_at),
            since_heard: last_heard.map(|at| now.since(at)),
        }
    }

    /// Returns the address of the `nth` VM believed gone, modulo their number.
    pub fn nth_gone_address(&self, nth: usize) -> Option<SocketAddr> {
        let gone: Vec<_> = self
            .others()
            .filter(|m| m.claim.state == MemberState::Gone)
            .collect();
        let at = nth.checked_rem(gone.len())?;
        gone.get(at).map(|m| m.claim.id.address)
    }
}

fn hash_claim(claim: &Claim) -> u64 {
    let mut bytes = claim.id.vm.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&claim.id.epoch.to_be_bytes());
    bytes.extend_from_slice(&claim.id.incarnation.0.to_be_bytes());
    bytes.extend_from_slice(&claim.version.to_be_bytes());
    bytes.push(claim.state as u8);
    hash::digest(&bytes)
}

#[cfg(test)]
mod tests;
