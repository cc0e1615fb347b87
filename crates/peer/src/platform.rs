//! Merges the platform's list of VMs into the membership.
//!
//! The list lags behind, so it only complements the heartbeats.

use std::rc::Rc;

use heatherknot_store::vm_list::{VmRecord, VmState};
use heatherknot_types::prelude::*;
use log::info;

use crate::members::{MemberState, Source};
use crate::membership::MembershipState;

impl MembershipState {
    pub(crate) fn read_vm_list(self: &Rc<Self>) {
        let Some(list) = self.platform.clone() else {
            return;
        };
        let state = Rc::clone(self);
        monoio::spawn(async move {
            match (list.read)().await {
                Ok(vms) => state.merge_vm_list(&vms).await,
                Err(error) => {
                    info!(
                        step = "reading the VM list", error:% = error;
                        "failed to read the platform's VM list"
                    )
                }
            }
        });
    }

    pub(crate) async fn merge_vm_list(&self, vms: &[VmRecord]) {
        let me = self.members.borrow().me().id.vm.clone();
        let mut unknown = Vec::new();
        for vm in vms {
            if vm.name == me {
                self.handle_own_record(vm);
            } else if self.merge_record(vm) {
                unknown.push(vm.address);
            }
        }
        self.mark_unlisted_gone(vms, self.timer.now());
        for address in unknown {
            self.sync(address).await;
        }
    }

    fn handle_own_record(&self, record: &VmRecord) {
        let alive = self.members.borrow().me().state == MemberState::Alive;
        if alive && record.state == VmState::Leaving {
            self.members.borrow_mut().announce(MemberState::Leaving);
            (self.hooks.on_leave_request)();
            self.push_own_claim();
        }
    }

    /// Merges the record of another VM and returns whether this daemon should contact the VM: the
    /// list shows it as live, and this daemon does not know it or believes it gone.
    fn merge_record(&self, record: &VmRecord) -> bool {
        let known = self
            .members
            .borrow()
            .get(&record.name)
            .map(|m| m.claim.state);
        let new_state = match (record.state, known) {
            (VmState::Live, known) => return matches!(known, None | Some(MemberState::Gone)),
            (VmState::Leaving, Some(MemberState::Alive)) => MemberState::Leaving,
            // The platform never reuses a VM name, so this VM will not come back.
            (VmState::Gone, Some(_)) => MemberState::Gone,
            _ => return false,
        };
        let mut members = self.members.borrow_mut();
        members.claim_state(&record.name, new_state, Source::Platform, self.timer.now());
        false
    }

    /// Marks VMs of other failure domains as gone if the list no longer contains them and no VM of
    /// their domain has been heard from for `unlisted_timeout`. While a domain can be reached, its
    /// own VMs report which of them are gone.
    pub(crate) fn mark_unlisted_gone(&self, vms: &[VmRecord], now: Millis) {
        let mut members = self.members.borrow_mut();
        let listed = |vm: &VmName| vms.iter().any(|record| record.name == *vm);
        let silent = |domain: &DomainName| {
            let last_contact = members.last_contact(domain).unwrap_or_default();
            now.since(last_contact) >= self.options.unlisted_timeout
        };
        let unlisted: Vec<_> = members
            .in_other_domains()
            .map(|m| &m.claim.id)
            .filter(|id| !listed(&id.vm) && silent(&id.domain))
            .map(|id| id.vm.clone())
            .collect();
        for vm in unlisted {
            members.claim_state(&vm, MemberState::Gone, Source::Platform, now);
        }
    }
}
