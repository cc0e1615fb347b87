//! Keeps the directory of entry VMs in step with membership.

use std::rc::Rc;
use std::time::Duration;

use heatherknot_peer::{MemberState, MemberView};
use heatherknot_steering::Peer;

use crate::context::DaemonContext;
use crate::lookup::directory::{Directory, EntryVm, Presence};

/// How often the beliefs of membership are taken over. A VM that announces that it leaves is
/// out of new answers after this and one message.
const PERIOD: Duration = Duration::from_millis(200);

/// Runs until the daemon stops.
pub async fn run(cx: Rc<DaemonContext>) {
    while !cx.stop.is_fired() {
        take_in(&cx);
        monoio::time::sleep(PERIOD).await;
    }
}

fn take_in(cx: &DaemonContext) {
    let views = cx.membership.views();
    let peers = views.iter().map(|view| Peer {
        vm: view.id.vm.clone(),
        domain: view.id.domain.clone(),
        usable: view.state == MemberState::Alive,
    });
    cx.steering.borrow_mut().on_peers(peers.collect());
    let entries = views.iter().filter_map(entry_of);
    let vms = entries.chain([own_entry(cx)]);
    *cx.directory.borrow_mut() = Directory::new(vms);
}

fn own_entry(cx: &DaemonContext) -> EntryVm {
    let me = cx.net.me();
    EntryVm {
        vm: me.vm,
        incarnation: me.incarnation,
        domain: me.domain,
        callers: cx.callers,
        presence: if cx.leaving.is_fired() {
            Presence::Leaving
        } else {
            Presence::Alive
        },
    }
}

/// Gives the entry of a VM that new answers may name: one that is suspected is named last, one
/// that is gone is not named.
fn entry_of(view: &MemberView) -> Option<EntryVm> {
    let presence = match view.state {
        MemberState::Alive => Presence::Alive,
        MemberState::Suspect => Presence::Suspect,
        MemberState::Leaving => Presence::Leaving,
        MemberState::Gone => return None,
    };
    Some(EntryVm {
        vm: view.id.vm.clone(),
        incarnation: view.id.incarnation,
        domain: view.id.domain.clone(),
        callers: view.id.callers?,
        presence,
    })
}
