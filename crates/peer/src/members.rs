//! What one daemon believes of the deployment's VMs, and how claims about them combine.
//!
//! Everything here is a hint: a claim may be late or wrong, and two daemons may believe
//! different things for as long as they can't talk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;

/// Updates that one message carries at most.
const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// An update is sent this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 2;

/// What is believed of a VM, from the weakest claim to the strongest: of two claims about the
/// same run of a VM at the same count, the stronger one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It finishes what it has and stops.
    #[serde(rename = "l")]
    Leaving,
    /// It did not answer a peer, directly or through others.
    #[serde(rename = "s")]
    Suspect,
    /// It did not answer for longer than the suspicion lasts, or the platform removed it.
    #[serde(rename = "g")]
    Gone,
}

/// Where a belief comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This daemon's own heartbeats.
    Heartbeat,
    /// The word of a peer.
    Peer,
    /// The platform's list of VMs.
    Platform,
}

/// A claim about one run of one VM, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Which run of which VM, where.
    #[serde(flatten)]
    pub id: PeerId,
    /// Grows each time that the VM itself speaks about its state.
    #[serde(rename = "k")]
    pub version: u32,
    /// What is claimed.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl Claim {
    /// Tells whether this claim replaces `other` about the same VM.
    fn supersedes(&self, other: &Claim) -> bool {
        let run = (self.id.epoch, self.id.incarnation);
        let other_run = (other.id.epoch, other.id.incarnation);
        (run, self.version, self.state) > (other_run, other.version, other.state)
    }
}

/// What this daemon believes of one VM.
#[derive(Clone, Debug)]
pub struct Member {
    /// The strongest claim heard.
    pub claim: Claim,
    /// Where that claim came from.
    pub source: Source,
    /// When this daemon took it over.
    pub accepted_at: Millis,
    /// When the VM last gave this daemon a sign of life.
    pub last_heard: Option<Millis>,
}

/// A belief as other packages and operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Which run of which VM, where.
    pub id: PeerId,
    /// What is believed.
    pub state: MemberState,
    /// Where the belief comes from.
    pub source: Source,
    /// How long it has been believed.
    pub age: Millis,
    /// How long ago the VM gave a sign of life, or for a VM of another domain, how long ago
    /// any VM of that domain did.
    pub since_heard: Option<Millis>,
}

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It replaced what was believed.
    Accepted,
    /// Something at least as strong was believed already.
    Stale,
    /// It is about this daemon, which has answered by a new claim of its own.
    Refuted,
    /// It says that this daemon is leaving, which it now says itself.
    LeaveRequested,
    /// It is about another process in this VM's place.
    IdentityConflict,
}

/// All beliefs of one daemon.
pub struct Members {
    me: Claim,
    others: BTreeMap<VmName, Member>,
    /// Updates still to be sent, with how often they were.
    pending: BTreeMap<VmName, u32>,
    last_contacts: BTreeMap<DomainName, Millis>,
}

impl Members {
    /// Knows only this daemon, alive.
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
        }
    }

    /// Gives what this daemon says about itself.
    pub fn me(&self) -> &Claim {
        &self.me
    }

    /// Gives what is believed of one other VM.
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.others.get(vm)
    }

    /// Gives what is believed of all other VMs.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Gives the other VMs of this daemon's domain that are not gone.
    pub fn in_domain(&self) -> impl Iterator<Item = &Member> {
        let domain = &self.me.id.domain;
        self.not_gone()
            .filter(move |m| m.claim.id.domain == *domain)
    }

    /// Gives the VMs of other domains that are not gone.
    pub fn in_other_domains(&self) -> impl Iterator<Item = &Member> {
        let domain = &self.me.id.domain;
        self.not_gone()
            .filter(move |m| m.claim.id.domain != *domain)
    }

    fn not_gone(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|m| m.claim.state != MemberState::Gone)
    }

    /// Says something new about this daemon, which replaces all that others say of it.
    pub fn announce(&mut self, state: MemberState) {
        self.me.version += 1;
        self.me.state = state;
        self.pending.insert(self.me.id.vm.clone(), 0);
    }

    /// Takes over a new epoch of this daemon.
    pub fn raise_epoch(&mut self, epoch: u64) {
        if epoch > self.me.id.epoch {
            self.me.id.epoch = epoch;
            self.announce(self.me.state);
        }
    }

    /// Takes a claim in.
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

    /// Notes a sign of life of a VM and its domain. It does not change what is claimed: a
    /// suspected VM is told of the suspicion and answers it itself.
    pub fn record_contact(&mut self, id: &PeerId, now: Millis) {
        self.last_contacts.insert(id.domain.clone(), now);
        if let Some(member) = self.others.get_mut(&id.vm)
            && member.claim.id.incarnation == id.incarnation
        {
            member.last_heard = Some(now);
        }
    }

    /// Claims another state of a VM on this daemon's own evidence.
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

    /// Leaves what is believed of some VMs out of further messages.
    pub fn discard_updates(&mut self, vms: &[VmName]) {
        vms.iter().for_each(|vm| {
            self.pending.remove(vm);
        });
    }

    /// Gives the VMs suspected for longer than `suspicion`.
    pub fn expired_suspicions(&self, timeout: Millis, now: Millis) -> Vec<VmName> {
        self.others()
            .filter(|m| m.claim.state == MemberState::Suspect)
            .filter(|m| now.since(m.accepted_at) >= timeout)
            .map(|m| m.claim.id.vm.clone())
            .collect()
    }

    /// Starts every suspicion anew: a daemon that was paused heard nobody, which says nothing
    /// about the others.
    pub fn restart_suspicions(&mut self, now: Millis) {
        for member in self.others.values_mut() {
            member.accepted_at = member.accepted_at.max(now);
        }
    }

    /// Forgets VMs that have been gone for longer than `keep`.
    pub fn forget_gone(&mut self, retention: Millis, now: Millis) {
        self.others.retain(|_, m| {
            m.claim.state != MemberState::Gone || now.since(m.accepted_at) < retention
        });
    }

    /// Takes the updates that the next message to `to` carries: first what is believed of
    /// the receiver where it should answer that, then the least sent.
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

    /// Gives every claim about the VMs of one domain.
    pub fn claims_of_domain(&self, domain: &DomainName) -> Vec<Claim> {
        let others = self.others().map(|m| &m.claim);
        let all = std::iter::once(&self.me).chain(others);
        all.filter(|c| c.id.domain == *domain).cloned().collect()
    }

    /// Gives one number for each domain, the same for two daemons that believe the same of
    /// it. VMs that are gone don't count, since daemons forget them at different times.
    pub fn digests(&self) -> BTreeMap<DomainName, u64> {
        let mut digests = BTreeMap::new();
        let others = self.not_gone().map(|m| &m.claim);
        for claim in std::iter::once(&self.me).chain(others) {
            let digest: &mut u64 = digests.entry(claim.id.domain.clone()).or_default();
            *digest ^= hash_claim(claim);
        }
        digests
    }

    /// Gives one number, the same for two daemons that believe the same.
    pub fn digest(&self) -> u64 {
        self.digests().values().fold(0, |acc, digest| acc ^ digest)
    }

    /// Gives this daemon's place among the live VMs of its domain by rendezvous hash, from
    /// zero. Daemons that believe the same agree on it without a word.
    pub fn rank(&self) -> usize {
        let weight = |vm: &VmName| hash::rendezvous(&[], vm.as_str());
        let mine = weight(&self.me.id.vm);
        self.in_domain()
            .filter(|m| m.claim.state == MemberState::Alive)
            .filter(|m| weight(&m.claim.id.vm) > mine)
            .count()
    }

    /// Gives the live VMs of this daemon's domain whose [`rank`](Self::rank) is below `count`,
    /// the first one first; this daemon may be among them.
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

    /// Gives when a VM of the domain last gave a sign of life.
    pub fn last_contact(&self, domain: &DomainName) -> Option<Millis> {
        self.last_contacts.get(domain).copied()
    }

    /// Gives every belief as others see it.
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

    /// Gives an address of a VM believed gone, the `nth` of them, to try again.
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
