//! Comparison of all beliefs of two daemons, which repairs what heartbeats missed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;
use crate::members::Claim;
use crate::membership::{MembershipState, PUSH, SYNC};
use crate::options::CallOptions;

/// Claims that one message of a comparison carries at most.
const MAX_CLAIMS_PER_MESSAGE: usize = 512;

/// A comparison of all beliefs: the caller's digests, and the answer's claims about the
/// domains where they differ.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    #[serde(rename = "d")]
    digests: BTreeMap<DomainName, u64>,
    #[serde(rename = "u")]
    claims: Vec<Claim>,
}

impl MembershipState {
    /// Compares all beliefs with a VM that was just found to believe something else. While a
    /// change is on its way most exchanges find that, so a pause lies between two comparisons.
    pub(crate) async fn sync_if_different(&self, vm: &VmName, digests_match: bool) {
        let now = self.timer.now();
        let interval = if now.since(self.started_at) < self.options.startup_duration {
            self.options.startup_sync_interval
        } else {
            self.options.sync_interval
        };
        let is_recent = |last: Millis| now.since(last) < interval;
        if digests_match || self.last_sync.get().is_some_and(is_recent) {
            return;
        }
        self.last_sync.set(Some(now));
        let address = self.members.borrow().get(vm).map(|m| m.claim.id.address);
        if let Some(address) = address {
            self.sync(address).await;
        }
    }

    /// Compares all beliefs with the daemon at an address and takes over each other's.
    pub(crate) async fn sync(&self, address: SocketAddr) {
        let Some(net) = self.net() else {
            return;
        };
        if address == net.me().address || self.syncing.replace(true) {
            return;
        }
        let digests = self.members.borrow().digests();
        let opts = CallOptions::quick(self.options.answer_timeout);
        let answer = net
            .call_address::<_, SyncAnswer>(address, SYNC, &digests, opts)
            .await;
        self.syncing.set(false);
        let Ok(answer) = answer else {
            return;
        };
        let own_claims = self.differing_claims(&answer.digests);
        self.merge_claims(answer.claims);
        let opts = CallOptions::quick(self.options.answer_timeout);
        // The next comparison repairs a push that was lost.
        let _ = net
            .call_address::<_, ()>(address, PUSH, &own_claims, opts)
            .await;
    }

    pub(crate) fn answer_sync(
        &self,
        caller: &PeerId,
        digests: &BTreeMap<DomainName, u64>,
    ) -> SyncAnswer {
        let mut claims = self.differing_claims(digests);
        let members = self.members.borrow();
        claims.push(members.me().clone());
        let about_caller = members.get(&caller.vm).map(|m| m.claim.clone());
        claims.extend(about_caller);
        SyncAnswer {
            digests: members.digests(),
            claims,
        }
    }

    pub(crate) fn differing_claims(&self, their_digests: &BTreeMap<DomainName, u64>) -> Vec<Claim> {
        let members = self.members.borrow();
        let own_digests = members.digests();
        let different = own_digests
            .iter()
            .filter(|(domain, digest)| their_digests.get(*domain) != Some(digest));
        let mut claims: Vec<_> = different
            .flat_map(|(domain, _)| members.claims_of_domain(domain))
            .collect();
        self.rng.borrow_mut().shuffle(&mut claims);
        claims.truncate(MAX_CLAIMS_PER_MESSAGE);
        claims
    }

    /// Introduces this daemon to the peers that its start settings name.
    pub(crate) fn join(self: &Rc<Self>) {
        let state = Rc::clone(self);
        monoio::spawn(async move {
            for address in state.seeds.clone() {
                state.sync(address).await;
            }
        });
    }

    /// Tries an address that does not answer: a VM believed gone, or one of the start
    /// settings. Both sides of a cut that has healed find each other by it.
    pub(crate) fn retry_unreachable(self: &Rc<Self>, period_count: u64) {
        let nth = (period_count / self.options.unreachable_retry_periods) as usize;
        let gone = self.members.borrow().nth_gone_address(nth);
        let seed = nth.checked_rem(self.seeds.len()).map(|at| self.seeds[at]);
        let state = Rc::clone(self);
        monoio::spawn(async move {
            for address in gone.into_iter().chain(seed) {
                state.sync(address).await;
            }
        });
    }
}
