//! The platform's lagging list of VMs, as a second hint beside the heartbeats.

use std::rc::Rc;

use heatherknot_store::vm_list::{VmRecord, VmState};
use heatherknot_types::prelude::*;
use log::info;

use crate::members::{MemberState, Source};
use crate::membership::State;

impl State {
    pub(crate) fn read_platform(self: &Rc<Self>) {
        let Some(list) = self.platform.clone() else {
            return;
        };
        let state = Rc::clone(self);
        monoio::spawn(async move {
            match (list.read)().await {
                Ok(vms) => state.take_platform(&vms).await,
                Err(error) => {
                    info!(step = "reading the VM list", error:% = error; "the platform's list was not read")
                }
            }
        });
    }

    pub(crate) async fn take_platform(&self, vms: &[VmRecord]) {
        let me = self.members.borrow().me().id.vm.clone();
        let mut unknown = Vec::new();
        for vm in vms {
            if vm.name == me {
                self.heed_own_record(vm);
            } else if self.take_record(vm) {
                unknown.push(vm.address);
            }
        }
        self.remove_unlisted(vms, self.timer.now());
        for address in unknown {
            self.sync(address).await;
        }
    }

    fn heed_own_record(&self, record: &VmRecord) {
        let alive = self.members.borrow().me().state == MemberState::Alive;
        if alive && record.state == VmState::Leaving {
            self.members.borrow_mut().announce(MemberState::Leaving);
            (self.hooks.on_leave_request)();
            self.push_self();
        }
    }

    /// Takes in what the list says of another VM, and tells whether the VM is worth calling:
    /// the list shows it live and this daemon knows of no run that answers.
    fn take_record(&self, record: &VmRecord) -> bool {
        let known = self
            .members
            .borrow()
            .get(&record.name)
            .map(|m| m.claim.state);
        let claimed = match (record.state, known) {
            (VmState::Live, known) => return matches!(known, None | Some(MemberState::Gone)),
            (VmState::Leaving, Some(MemberState::Alive)) => MemberState::Leaving,
            // The platform never gives a name again: this VM won't come back.
            (VmState::Gone, Some(_)) => MemberState::Gone,
            _ => return false,
        };
        let mut members = self.members.borrow_mut();
        members.claim_state(&record.name, claimed, Source::Platform, self.timer.now());
        false
    }

    /// Counts VMs of other domains gone where the list no longer has them and nobody of their
    /// domain was heard from: its own VMs would have said so.
    pub(crate) fn remove_unlisted(&self, vms: &[VmRecord], now: Millis) {
        let mut members = self.members.borrow_mut();
        let listed = |vm: &VmName| vms.iter().any(|listed| listed.name == *vm);
        let silent = |domain: &DomainName| {
            let contact = members.contact(domain).unwrap_or_default();
            now.since(contact) >= self.options.unlisted_timeout
        };
        let lost: Vec<_> = members
            .elsewhere()
            .map(|m| &m.claim.id)
            .filter(|id| !listed(&id.vm) && silent(&id.domain))
            .map(|id| id.vm.clone())
            .collect();
        for vm in lost {
            members.claim_state(&vm, MemberState::Gone, Source::Platform, now);
        }
    }
}
