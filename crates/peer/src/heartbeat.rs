//! Sending and answering heartbeats, and suspecting VMs that do not answer.

use std::collections::BTreeMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::info;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;
use crate::error::{Cause, Handled, PeerError, Step};
use crate::members::{Claim, Member, MemberState, MergeOutcome, Source};
use crate::membership::{HEARTBEAT, INDIRECT_PROBE, MembershipState};
use crate::options::CallOptions;
use crate::reports::Scope;

/// Number of peers that are asked to probe a VM that did not answer.
const MAX_HELPERS: usize = 2;

/// Payload of a heartbeat and of its answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Gossip {
    /// The revision of the settings in force.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    revision: u64,
    /// Digest of the sender's membership state.
    #[serde(rename = "h")]
    digest: u64,
    /// Claims about VMs whose state changed recently.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    updates: Vec<Claim>,
    /// Load reports.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    reports: Option<crate::reports::Batch>,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl MembershipState {
    pub(crate) fn gossip(&self, to: Option<&VmName>) -> Gossip {
        let domain = to.and_then(|vm| {
            let members = self.members.borrow();
            members.get(vm).map(|m| m.claim.id.domain.clone())
        });
        let scope = domain.map_or(Scope::OtherDomain, |domain| self.scope(&domain));
        let mut members = self.members.borrow_mut();
        Gossip {
            revision: (self.revision)().0,
            updates: members.take_updates(to),
            digest: members.digest(),
            reports: self
                .reports
                .as_ref()
                .and_then(|port| (port.next_batch)(scope)),
        }
    }

    pub(crate) fn answer_heartbeat(&self, caller: &PeerId, gossip: Gossip) -> Gossip {
        self.merge_gossip(caller, gossip);
        self.gossip(Some(&caller.vm))
    }

    /// Merges a VM's gossip and returns whether its digest matches this daemon's.
    pub(crate) fn merge_gossip(&self, from: &PeerId, gossip: Gossip) -> bool {
        let now = self.timer.now();
        self.record_alive(from, now);
        self.merge_claims(gossip.updates);
        if let (Some(port), Some(batch)) = (&self.reports, gossip.reports) {
            (port.merge)(self.scope(&from.domain), batch);
        }
        (self.hooks.on_peer_revision)(from, Revision(gossip.revision));
        gossip.digest == self.members.borrow().digest()
    }

    fn scope(&self, domain: &DomainName) -> Scope {
        if *domain == self.members.borrow().me().id.domain {
            return Scope::Domain;
        }
        Scope::OtherDomain
    }

    /// Exchanges a heartbeat with a VM and returns whether the digests match.
    pub(crate) async fn exchange_heartbeat(&self, vm: &VmName) -> Result<bool, PeerError> {
        let net = self.net().expect("heartbeats run after the connections");
        let opts = CallOptions::quick(self.options.answer_timeout);
        let gossip = self.gossip(Some(vm));
        let answer: Gossip = net.call_with(vm, HEARTBEAT, &gossip, opts).await?;
        // The handshake of the connection has recorded the VM's identity.
        let id = net
            .identity_of(vm)
            .ok_or_else(|| PeerError::new(Step::Resolve, vm, Handled::Yes, Cause::UnknownVm))?;
        Ok(self.merge_gossip(&id, answer))
    }

    /// Returns the next VM of the domain to probe.
    ///
    /// Probes go through all VMs of the domain in random order, which is shuffled anew for each
    /// pass, so that every pass finds each VM that was already dead when it began.
    pub(crate) fn next_probe_target(&self) -> Option<VmName> {
        let members = self.members.borrow();
        let mut queue = self.probe_queue.borrow_mut();
        for _ in 0..2 {
            while let Some(vm) = queue.pop_front() {
                let not_gone = |state| state != MemberState::Gone;
                if members.get(&vm).is_some_and(|m| not_gone(m.claim.state)) {
                    return Some(vm);
                }
            }
            queue.extend(members.in_domain().map(|m| m.claim.id.vm.clone()));
            self.rng.borrow_mut().shuffle(queue.make_contiguous());
        }
        None
    }

    pub(crate) fn heartbeat_in_domain(self: &Rc<Self>) {
        let Some(vm) = self.next_probe_target() else {
            return;
        };
        let state = Rc::clone(self);
        monoio::spawn(async move { state.probe(vm).await });
    }

    /// Sends a heartbeat to a VM and suspects the VM if neither this daemon nor the helpers get an
    /// answer. Helpers are asked because only the path from this daemon may be broken.
    pub(crate) async fn probe(self: Rc<Self>, vm: VmName) {
        let incarnation_before = self
            .members
            .borrow()
            .get(&vm)
            .map(|m| m.claim.id.incarnation);
        let error = match self.exchange_heartbeat(&vm).await {
            Ok(digests_match) => return self.sync_if_different(&vm, digests_match).await,
            Err(error) => error,
        };
        if self.probe_through_helpers(&vm).await {
            return;
        }
        let mut members = self.members.borrow_mut();
        let now = self.timer.now();
        let known = members.get(&vm);
        if known.map(|m| m.claim.id.incarnation) != incarnation_before {
            // A new incarnation of the VM has been learned in the meantime.
            return;
        }
        let outcome = members.claim_state(&vm, MemberState::Suspect, Source::Heartbeat, now);
        if outcome == MergeOutcome::Accepted {
            info!(vm:% = vm, error:% = error; "a VM is suspect");
        }
    }

    pub(crate) async fn probe_through_helpers(&self, vm: &VmName) -> bool {
        let Some(net) = self.net() else {
            return false;
        };
        let helpers = self.choose_helpers(vm);
        let timeout = self.options.answer_timeout + self.options.answer_timeout;
        let calls = helpers.iter().map(|helper| {
            let opts = CallOptions::idempotent(timeout);
            net.call_with::<_, bool>(helper, INDIRECT_PROBE, vm, opts)
        });
        let answers = futures_util::future::join_all(calls).await;
        answers
            .into_iter()
            .any(|reached| matches!(reached, Ok(true)))
    }

    pub(crate) fn choose_helpers(&self, target: &VmName) -> Vec<VmName> {
        let members = self.members.borrow();
        let alive = |m: &&Member| m.claim.state <= MemberState::Leaving;
        let local = members.in_domain().filter(alive);
        let mut names: Vec<_> = local
            .map(|m| m.claim.id.vm.clone())
            .filter(|vm| vm != target)
            .collect();
        if names.is_empty() {
            let remote = members.in_other_domains().filter(alive);
            names.extend(remote.map(|m| m.claim.id.vm.clone()));
        }
        self.rng.borrow_mut().choose_multiple(names, MAX_HELPERS)
    }

    /// Sends a heartbeat to a random VM of a random other domain, so that all domains are contacted
    /// equally often.
    ///
    /// A VM that does not answer is not suspected: the network between the domains may be
    /// partitioned, and the VM's own domain detects its failure.
    pub(crate) fn heartbeat_other_domain(self: &Rc<Self>) {
        let chosen = {
            let members = self.members.borrow();
            let mut domains: BTreeMap<&DomainName, Vec<&VmName>> = BTreeMap::new();
            for member in members.in_other_domains() {
                let id = &member.claim.id;
                domains.entry(&id.domain).or_default().push(&id.vm);
            }
            let mut rng = self.rng.borrow_mut();
            let vms = rng.choice(domains.into_values());
            vms.and_then(|vms| rng.choice(vms).cloned())
        };
        let Some(vm) = chosen else {
            return;
        };
        let state = Rc::clone(self);
        monoio::spawn(async move {
            if let Ok(digests_match) = state.exchange_heartbeat(&vm).await {
                state.sync_if_different(&vm, digests_match).await;
            }
        });
    }
}
