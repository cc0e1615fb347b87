//! Entries of backend servers that contradict what is known of their servers.
//!
//! An entry may arrive late, from before the server started again or began to leave, and is ignored then.
//! But what is known may itself come from an odd entry that somebody wrote over the server's own. A late
//! entry comes once, while a server keeps writing its entry. So an entry that is repeated is believed,
//! unless others agree with what is known meanwhile.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

use super::RoutingState;
use crate::registration::Registration;

/// Number of entries with the same claim from which the claim is believed.
const MIN_ENTRIES: u32 = 3;
/// Shortest time from the first to the last of them. Late entries arrive within less.
const MIN_SPAN: Millis = Millis(2_000);
/// Time for which further entries are passed on to peers after a claim was believed here. A peer that
/// got the first one later believes it later.
const PASS_ON_FOR: Millis = Millis(6_000);
/// Time after which a claim that was not repeated is forgotten.
const MAX_PAUSE: Millis = Millis(30_000);
/// Longest time that a server may still count as cold after it has reported that it is not.
const MAX_COLD_ERROR: Millis = Millis(1_000);

/// What an entry says against what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// The server runs since another start than known, earlier or not stated.
    EarlierStart(Option<Millis>),
    /// The server takes requests, although it was leaving.
    NotLeaving,
    /// The server is not cold, although it was to stay cold for long.
    NotCold,
}

/// The claims about servers that are not believed yet, or were lately.
#[derive(Debug, Default)]
pub(super) struct EntryDisputes {
    by_server: HashMap<UpstreamName, Dispute>,
}

#[derive(Debug)]
struct Dispute {
    claim: Claim,
    entries: u32,
    began: Millis,
    latest: Millis,
    believed_at: Option<Millis>,
}

impl EntryDisputes {
    /// Records an entry with a claim. Returns whether the claim is believed.
    pub(super) fn record(&mut self, id: &UpstreamName, claim: Claim, now: Millis) -> bool {
        self.by_server
            .retain(|_, dispute| now.since(dispute.latest) < MAX_PAUSE);
        let new = || Dispute {
            claim,
            entries: 0,
            began: now,
            latest: now,
            believed_at: None,
        };
        let dispute = self.by_server.entry(id.clone()).or_insert_with(new);
        if dispute.claim != claim || dispute.believed_at.is_some() {
            *dispute = new();
        }
        dispute.entries += 1;
        dispute.latest = now;
        let is_believed = dispute.entries >= MIN_ENTRIES && now.since(dispute.began) >= MIN_SPAN;
        dispute.believed_at = is_believed.then_some(now);
        is_believed
    }

    /// Records an entry that agrees with what is known of the server.
    pub(super) fn settle(&mut self, id: &UpstreamName, now: Millis) {
        let is_over = |dispute: &Dispute| {
            dispute
                .believed_at
                .is_none_or(|at| now.since(at) >= PASS_ON_FOR)
        };
        if self.by_server.get(id).is_some_and(is_over) {
            self.by_server.remove(id);
        }
    }

    /// Returns whether peers need all entries of a server, to decide about a claim as well.
    pub(super) fn is_open(&self, id: &UpstreamName) -> bool {
        self.by_server.contains_key(id)
    }
}

impl RoutingState {
    /// Returns what a registration says against what is known of its server.
    pub(super) fn claim_of(&self, reg: &Registration) -> Option<Claim> {
        if let Some(known) = self.newest_run(&reg.id)
            && reg.started_at < Some(known)
        {
            return Some(Claim::EarlierStart(reg.started_at));
        }
        let upstream = self.upstreams.get(&reg.id)?;
        if !reg.is_same_run(&upstream.registration.borrow()) {
            return None;
        }
        let cold_left = upstream.cold_until.get().since(self.clock.now());
        let is_presumed = upstream.is_presumed_cold.get();
        if upstream.leaving.get() && !reg.leaving {
            Some(Claim::NotLeaving)
        } else if reg.cold_remaining == Millis(0) && cold_left > MAX_COLD_ERROR && !is_presumed {
            Some(Claim::NotCold)
        } else {
            None
        }
    }

    /// Believes a registration that claims something against what is known of its server; returns the
    /// service whose servers changed.
    pub(super) fn accept_claim(&mut self, reg: &Registration, claim: Claim) -> Option<ServiceName> {
        let is_of_server = |id: &UpstreamName| *id == reg.id;
        if let Claim::EarlierStart(_) = claim {
            let service = self.remove(&reg.id, "an entry with a later start was not its own");
            self.ended_runs.retain(|(id, _)| !is_of_server(id));
            let removed = self
                .removed_runs
                .iter()
                .filter(|(run, _)| is_of_server(&run.id));
            removed.for_each(|(_, signals)| signals.set_leaving_entry(false));
            return service;
        }
        let upstream = self.upstreams.get(&reg.id)?;
        upstream.leaving.set(reg.leaving);
        upstream.signals.set_leaving_entry(reg.leaving);
        if !upstream.is_presumed_cold.get() {
            upstream.cold_until.set(self.clock.now());
        }
        Some(upstream.service.clone())
    }
}
