//! The platform's lagging list of VMs, as a second hint beside the heartbeats.

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
                    info!(step = "reading the VM list", error:% = error; "the platform's list was not read")
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

    /// Takes in what the list says of another VM, and tells whether the VM is worth calling:
    /// the list shows it live and this daemon knows of no run that answers.
    fn merge_record(&self, record: &VmRecord) -> bool {
        let known = self
            .members
            .borrow()
            .get(&record.name)
            .map(|m| m.claim.state);
        let new_state = match (record.state, known) {
            (VmState::Live, known) => return matches!(known, None | Some(MemberState::Gone)),
            (VmState::Leaving, Some(MemberState::Alive)) => MemberState::Leaving,
            // The platform never gives a name again: this VM won't come back.
            (VmState::Gone, Some(_)) => MemberState::Gone,
            _ => return false,
        };
        let mut members = self.members.borrow_mut();
        members.claim_state(&record.name, new_state, Source::Platform, self.timer.now());
        false
    }

    /// Counts VMs of other domains gone where the list no longer has them and nobody of their
    /// domain was heard from: its own VMs would have said so.
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
