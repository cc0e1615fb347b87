//! One heartbeat and what follows from its answer, or from none.

use std::collections::BTreeMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::info;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;
use crate::error::{Cause, Handled, PeerError, Step};
use crate::members::{Claim, Member, MemberState, MergeOutcome, Source};
use crate::membership::{HEARTBEAT, MembershipState, PROBE_FOR};
use crate::options::CallOptions;
use crate::reports::Scope;

/// Peers that are asked to try a VM that did not answer.
const MAX_HELPERS: usize = 2;

/// What a heartbeat and its answer carry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Gossip {
    /// The revision in force.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    revision: u64,
    /// The digest of all beliefs.
    #[serde(rename = "h")]
    digest: u64,
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    updates: Vec<Claim>,
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

    /// Takes in what a VM sent, and tells whether it believes the same as this daemon.
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

    /// Exchanges one heartbeat with a VM, and tells whether it believes the same as this
    /// daemon.
    pub(crate) async fn exchange_heartbeat(&self, vm: &VmName) -> Result<bool, PeerError> {
        let net = self.net().expect("heartbeats run after the connections");
        let opts = CallOptions::quick(self.options.answer_timeout);
        let gossip = self.gossip(Some(vm));
        let answer: Gossip = net.call_with(vm, HEARTBEAT, &gossip, opts).await?;
        // The connection has just proven the VM's identity to the book.
        let id = net
            .identity_of(vm)
            .ok_or_else(|| PeerError::new(Step::Resolve, vm, Handled::Yes, Cause::UnknownVm))?;
        Ok(self.merge_gossip(&id, answer))
    }

    /// Draws the next VM of the domain: each one once before any comes again, in an order of
    /// its own for each round, so that a dead VM is tried within one round at the latest.
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

    /// Sends a heartbeat to a VM; where it does not answer, asks others to try it, since
    /// the fault may lie between the two; where they can't either, suspects it.
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
            // A new run of the VM has announced itself meanwhile.
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
            net.call_with::<_, bool>(helper, PROBE_FOR, vm, opts)
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

    /// Draws a domain first and a VM of it then, so that each domain is heard from equally
    /// often. A VM that does not answer is not suspected: the link between the domains may
    /// be cut, and its own domain knows better.
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
