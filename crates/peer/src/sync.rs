//! Anti-entropy: two daemons compare their whole membership state and exchange what differs.
//!
//! This repairs updates that heartbeats did not deliver.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;
use crate::members::Claim;
use crate::membership::{MembershipState, PUSH, SYNC};
use crate::options::CallOptions;

/// Maximum number of claims in a message of the comparison.
const MAX_CLAIMS_PER_MESSAGE: usize = 512;

/// The answer to a comparison: the answering daemon's digests, and its claims about the domains
/// whose digests differ from the caller's.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    #[serde(rename = "d")]
    digests: BTreeMap<DomainName, u64>,
    #[serde(rename = "u")]
    claims: Vec<Claim>,
}

impl MembershipState {
    /// Compares the membership state with a VM whose digest in a heartbeat differed.
    ///
    /// While an update spreads, most digests differ, so comparisons are rate-limited.
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

    /// Compares the membership state with that of the daemon at an address; both merge the claims
    /// that differ.
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
        // The next comparison repairs a lost push.
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

    /// Compares the membership state with the seed peers, which makes this daemon known to them.
    pub(crate) fn join(self: &Rc<Self>) {
        let state = Rc::clone(self);
        monoio::spawn(async move {
            for address in state.seeds.clone() {
                state.sync(address).await;
            }
        });
    }

    /// Tries to reach a VM believed gone and one of the seed addresses, so that both sides of a
    /// network partition find each other after it has healed.
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
