//! One heartbeat and what follows from its answer, or from none.

use std::collections::BTreeMap;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::info;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;
use crate::error::{Cause, Handled, PeerError, Step};
use crate::members::{Claim, Member, MemberState, Merged, Source};
use crate::membership::{ASK_FOR, HEARTBEAT, State};
use crate::options::CallOptions;
use crate::reports::Scope;

/// Peers that are asked to try a VM that did not answer.
const HELPERS: usize = 2;

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

impl State {
    pub(crate) fn gossip(&self, to: Option<&VmName>) -> Gossip {
        let domain = to.and_then(|vm| {
            let members = self.members.borrow();
            members.get(vm).map(|m| m.claim.id.domain.clone())
        });
        let scope = domain.map_or(Scope::Elsewhere, |domain| self.scope(&domain));
        let mut members = self.members.borrow_mut();
        Gossip {
            revision: (self.revision)().0,
            updates: members.take_updates(to),
            digest: members.digest(),
            reports: self.reports.as_ref().and_then(|port| (port.take)(scope)),
        }
    }

    pub(crate) fn answer_heartbeat(&self, caller: &PeerId, gossip: Gossip) -> Gossip {
        self.take_gossip(caller, gossip);
        self.gossip(Some(&caller.vm))
    }

    /// Takes in what a VM sent, and tells whether it believes the same as this daemon.
    pub(crate) fn take_gossip(&self, from: &PeerId, gossip: Gossip) -> bool {
        let now = self.timer.now();
        self.introduce(from, now);
        self.merge_all(gossip.updates);
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
        Scope::Elsewhere
    }

    /// Exchanges one heartbeat with a VM, and tells whether it believes the same as this
    /// daemon.
    pub(crate) async fn exchange(&self, vm: &VmName) -> Result<bool, PeerError> {
        let net = self.net().expect("heartbeats run after the connections");
        let opts = CallOptions::quick(self.options.answer_timeout);
        let gossip = self.gossip(Some(vm));
        let answer: Gossip = net.call_with(vm, HEARTBEAT, &gossip, opts).await?;
        // The connection has just proven the VM's identity to the book.
        let id = net
            .identity_of(vm)
            .ok_or_else(|| PeerError::new(Step::Resolve, vm, Handled::Yes, Cause::UnknownVm))?;
        Ok(self.take_gossip(&id, answer))
    }

    /// Draws the next VM of the domain: each one once before any comes again, in an order of
    /// its own for each round, so that a dead VM is tried within one round at the latest.
    pub(crate) fn next_in_domain(&self) -> Option<VmName> {
        let members = self.members.borrow();
        let mut round = self.round.borrow_mut();
        for _ in 0..2 {
            while let Some(vm) = round.pop_front() {
                let present = |state| state != MemberState::Gone;
                if members.get(&vm).is_some_and(|m| present(m.claim.state)) {
                    return Some(vm);
                }
            }
            round.extend(members.in_domain().map(|m| m.claim.id.vm.clone()));
            self.rng.borrow_mut().shuffle(round.make_contiguous());
        }
        None
    }

    pub(crate) fn heartbeat_in_domain(self: &Rc<Self>) {
        let Some(vm) = self.next_in_domain() else {
            return;
        };
        let state = Rc::clone(self);
        monoio::spawn(async move { state.check(vm).await });
    }

    /// Sends a heartbeat to a VM; where it does not answer, asks others to try it, since
    /// the fault may lie between the two; where they can't either, suspects it.
    pub(crate) async fn check(self: Rc<Self>, vm: VmName) {
        let before = self
            .members
            .borrow()
            .get(&vm)
            .map(|m| m.claim.id.incarnation);
        let error = match self.exchange(&vm).await {
            Ok(same) => return self.sync_if_different(&vm, same).await,
            Err(error) => error,
        };
        if self.ask_helpers(&vm).await {
            return;
        }
        let mut members = self.members.borrow_mut();
        let now = self.timer.now();
        let known = members.get(&vm);
        if known.map(|m| m.claim.id.incarnation) != before {
            // A new run of the VM has announced itself meanwhile.
            return;
        }
        let merged = members.claim_state(&vm, MemberState::Suspect, Source::Heartbeat, now);
        if merged == Merged::Taken {
            info!(vm:% = vm, error:% = error; "a VM is suspect");
        }
    }

    pub(crate) async fn ask_helpers(&self, vm: &VmName) -> bool {
        let Some(net) = self.net() else {
            return false;
        };
        let helpers = self.draw_helpers(vm);
        let timeout = self.options.answer_timeout + self.options.answer_timeout;
        let asked = helpers.iter().map(|helper| {
            let opts = CallOptions::idempotent(timeout);
            net.call_with::<_, bool>(helper, ASK_FOR, vm, opts)
        });
        let answers = futures_util::future::join_all(asked).await;
        answers
            .into_iter()
            .any(|reached| matches!(reached, Ok(true)))
    }

    pub(crate) fn draw_helpers(&self, but: &VmName) -> Vec<VmName> {
        let members = self.members.borrow();
        let alive = |m: &&Member| m.claim.state <= MemberState::Leaving;
        let near = members.in_domain().filter(alive);
        let mut names: Vec<_> = near
            .map(|m| m.claim.id.vm.clone())
            .filter(|vm| vm != but)
            .collect();
        if names.is_empty() {
            let far = members.elsewhere().filter(alive);
            names.extend(far.map(|m| m.claim.id.vm.clone()));
        }
        self.rng.borrow_mut().choose_multiple(names, HELPERS)
    }

    /// Draws a domain first and a VM of it then, so that each domain is heard from equally
    /// often. A VM that does not answer is not suspected: the link between the domains may
    /// be cut, and its own domain knows better.
    pub(crate) fn heartbeat_elsewhere(self: &Rc<Self>) {
        let drawn = {
            let members = self.members.borrow();
            let mut domains: BTreeMap<&DomainName, Vec<&VmName>> = BTreeMap::new();
            for member in members.elsewhere() {
                let id = &member.claim.id;
                domains.entry(&id.domain).or_default().push(&id.vm);
            }
            let mut rng = self.rng.borrow_mut();
            let vms = rng.choice(domains.into_values());
            vms.and_then(|vms| rng.choice(vms).cloned())
        };
        let Some(vm) = drawn else {
            return;
        };
        let state = Rc::clone(self);
        monoio::spawn(async move {
            if let Ok(same) = state.exchange(&vm).await {
                state.sync_if_different(&vm, same).await;
            }
        });
    }
}
