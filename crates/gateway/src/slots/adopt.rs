//! Adoption: how a VM becomes the home of upstreams.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use futures_util::future::join_all;
use heatherknot_types::prelude::*;
use log::{info, warn};

use super::message::{
    AdoptReply, AdoptSlots, HomeEpoch, Member, Members, UpstreamKey, UpstreamState,
};
use super::{Home, Slots};

impl Slots {
    /// Starts to adopt the upstreams whose home under the current members is this VM, unless it
    /// lends or is adopting them already.
    pub(super) fn adopt_missing(self: &Rc<Self>) {
        let members = self.members.borrow().clone();
        let missing: Vec<UpstreamKey> = self
            .upstreams
            .borrow()
            .iter()
            .filter(|key| members.home_of(key) == Some(&self.cx.own))
            .filter(|key| !self.is_home(key))
            .filter(|key| !self.is_adopting_at(key, members.version))
            .cloned()
            .collect();
        if missing.is_empty() {
            return;
        }
        let epoch = HomeEpoch {
            home: self.cx.own.clone(),
            version: members.version,
        };
        for key in &missing {
            let mut adopting = self.adopting.borrow_mut();
            adopting.insert(key.clone(), HashSet::new());
            let mut agreed_epochs = self.agreed_epochs.borrow_mut();
            agreed_epochs.insert(key.clone(), epoch.clone());
        }
        let slots = Rc::clone(self);
        monoio::spawn(async move { slots.adopt(members, missing).await });
    }

    fn is_adopting_at(&self, key: &UpstreamKey, version: u64) -> bool {
        let in_progress = self.adopting.borrow().contains_key(key);
        let agreed_epochs = self.agreed_epochs.borrow();
        let epoch = agreed_epochs.get(key);
        in_progress && epoch.is_some_and(|t| t.home == self.cx.own && t.version == version)
    }

    async fn adopt(self: Rc<Self>, members: Members, keys: Vec<UpstreamKey>) {
        let others = members.list.iter().filter(|m| **m != self.cx.own);
        let requests = others.map(|member| self.request_adoption(member, &members, &keys));
        let replies: Option<Vec<Vec<UpstreamState>>> =
            join_all(requests).await.into_iter().collect();
        let Some(replies) = replies else { return };
        let mut by_key: HashMap<UpstreamKey, Vec<UpstreamState>> = HashMap::new();
        for state in replies.into_iter().flatten() {
            by_key.entry(state.key.clone()).or_default().push(state);
        }
        for key in keys {
            let mut states = by_key.remove(&key).unwrap_or_default();
            states.push(UpstreamState {
                loans: self.own_active_loans(&key, self.cx.clock.now()),
                key: key.clone(),
                previous: self.last_lending_epoch.borrow().get(&key).cloned(),
                held: Millis::default(),
            });
            self.become_home(&key, &states, &members);
        }
    }

    /// Asks one member until it agrees, and returns the state of the upstreams there. Returns
    /// `None` if the members changed meanwhile.
    ///
    /// A member that doesn't reply may be the old home, paused or partitioned, and may lend
    /// slots again when it resumes. A missing reply is therefore never taken as consent: the
    /// slots stay unused until the member replies or the ledger no longer lists it, which is
    /// final.
    async fn request_adoption(
        self: &Rc<Self>,
        member: &Member,
        members: &Members,
        keys: &[UpstreamKey],
    ) -> Option<Vec<UpstreamState>> {
        while self.version() == members.version {
            let adopt = AdoptSlots {
                home: self.cx.own.clone(),
                members: members.clone(),
                keys: keys.to_vec(),
            };
            let call = (self.cx.port.adopt)(&member.vm, adopt);
            let reply = self.cx.timer.limit(self.cx.timing.call_timeout, call).await;
            match reply {
                Some(Ok(AdoptReply::Adopted(states))) => return Some(states),
                Some(Ok(AdoptReply::Newer(newer))) => {
                    self.on_members(newer);
                    return None;
                }
                Some(Err(error)) => {
                    warn!(peer = member.vm.as_str(), error:% = error; "VM has not relinquished its upstreams yet, retrying");
                }
                None => {
                    warn!(peer = member.vm.as_str(); "VM has not relinquished its upstreams yet, retrying: no reply");
                }
            }
            self.cx
                .timer
                .wait(self.cx.timing.adopt_retry_interval)
                .await;
        }
        None
    }

    fn become_home(&self, key: &UpstreamKey, states: &[UpstreamState], members: &Members) {
        let epoch = HomeEpoch {
            home: self.cx.own.clone(),
            version: members.version,
        };
        if self.agreed_epochs.borrow().get(key) != Some(&epoch) {
            return;
        }
        let Some(released) = self.adopting.borrow_mut().remove(key) else {
            return;
        };
        let now = self.cx.clock.now();
        let mut loans = self.reclaim_times(states, now);
        loans.retain(|loan, _| !released.contains(loan));
        let hold = self.hold_duration(states, members);
        let mut homes = self.homes.borrow_mut();
        let home = homes
            .entry(key.clone())
            .or_insert_with(|| Home::new(epoch.clone(), HashMap::new()));
        self.record_lending(key, &epoch);
        home.resume_lending(epoch, loans);
        if let Some(span) = hold {
            let unaccounted = (self.cx.limit)(key).saturating_sub(home.in_use());
            home.hold_back(unaccounted, now + span);
        }
        info!(service = key.service.as_str(), upstream = key.upstream.as_str(), version = members.version, in_use = home.in_use(); "became the home of an upstream and lends its slots");
        drop(homes);
        self.lend_free_slots(key);
    }

    /// Returns how long to hold back the slots that no member reports. The previous home may be
    /// gone together with its count: requests that it sent may still run, and no VM can tell.
    fn hold_duration(&self, states: &[UpstreamState], members: &Members) -> Option<Millis> {
        let inherited = states.iter().map(|state| state.held).max();
        let newest = states
            .iter()
            .filter_map(|state| state.previous.as_ref())
            .max_by_key(|epoch| epoch.version);
        let is_home_gone = match newest {
            Some(epoch) => !members.contains(&epoch.home),
            // No member knows of a home: there never was one, or all VMs were replaced.
            None => members.version > 1,
        };
        if is_home_gone {
            return Some(self.cx.timing.orphan_hold);
        }
        inherited.filter(|span| *span > Millis::default())
    }
}
