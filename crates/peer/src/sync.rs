//! Comparison of all beliefs of two daemons, which repairs what heartbeats missed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::auth::PeerId;
use crate::members::Claim;
use crate::membership::{PUSH, SYNC, State};
use crate::options::CallOptions;

/// Claims that one message of a comparison carries at most.
const CLAIMS_A_MESSAGE: usize = 512;

/// A comparison of all beliefs: the caller's digests, and the answer's claims about the
/// domains where they differ.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    #[serde(rename = "d")]
    digests: BTreeMap<DomainName, u64>,
    #[serde(rename = "u")]
    claims: Vec<Claim>,
}

impl State {
    /// Compares all beliefs with a VM that was just found to believe something else. While a
    /// change is on its way most exchanges find that, so a pause lies between two comparisons.
    pub(crate) async fn sync_if_different(&self, vm: &VmName, same: bool) {
        let now = self.timer.now();
        let pause = if now.since(self.begun) < self.options.startup_duration {
            self.options.startup_sync_interval
        } else {
            self.options.sync_interval
        };
        let paused = |last: Millis| now.since(last) < pause;
        if same || self.last_sync.get().is_some_and(paused) {
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
        let back = self.claims_where_different(&answer.digests);
        self.merge_all(answer.claims);
        let opts = CallOptions::quick(self.options.answer_timeout);
        // The next comparison repairs a push that was lost.
        let _ = net.call_address::<_, ()>(address, PUSH, &back, opts).await;
    }

    pub(crate) fn answer_sync(
        &self,
        caller: &PeerId,
        digests: &BTreeMap<DomainName, u64>,
    ) -> SyncAnswer {
        let mut claims = self.claims_where_different(digests);
        let members = self.members.borrow();
        claims.push(members.me().clone());
        let doubted = members.get(&caller.vm).map(|m| m.claim.clone());
        claims.extend(doubted);
        SyncAnswer {
            digests: members.digests(),
            claims,
        }
    }

    pub(crate) fn claims_where_different(&self, theirs: &BTreeMap<DomainName, u64>) -> Vec<Claim> {
        let members = self.members.borrow();
        let mine = members.digests();
        let different = mine
            .iter()
            .filter(|(domain, digest)| theirs.get(*domain) != Some(digest));
        let mut claims: Vec<_> = different
            .flat_map(|(domain, _)| members.claims_of_domain(domain))
            .collect();
        self.rng.borrow_mut().shuffle(&mut claims);
        claims.truncate(CLAIMS_A_MESSAGE);
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
    pub(crate) fn try_lost(self: &Rc<Self>, round: u64) {
        let nth = (round / self.options.unreachable_retry_periods) as usize;
        let gone = self.members.borrow().gone_address(nth);
        let seed = nth.checked_rem(self.seeds.len()).map(|at| self.seeds[at]);
        let state = Rc::clone(self);
        monoio::spawn(async move {
            for address in gone.into_iter().chain(seed) {
                state.sync(address).await;
            }
        });
    }
}
