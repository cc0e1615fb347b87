//! Drives the decisions: ticks and requests for grants.

use std::rc::Rc;
use std::time::Duration;

use heatherknot_store::vm_list::VmState;
use heatherknot_types::prelude::*;

use crate::context::DaemonContext;
use crate::ports::grants;

/// How often meters age and parts of traffic are worked out.
const TICK: Duration = Duration::from_millis(100);
/// How many ticks pass between two rounds of asking for grants.
const TICKS_PER_ASK: u64 = 10;

/// Runs until the daemon stops.
pub async fn run(cx: Rc<DaemonContext>) {
    for round in 0u64.. {
        if cx.stop.is_fired() {
            return;
        }
        let now = cx.clock.now();
        cx.steering.borrow_mut().tick(now);
        if round % TICKS_PER_ASK == 0 {
            ask_grants(&cx, now);
            cx.gateway.tick();
            if cx.gateway.reads_vm_list() {
                monoio::spawn(read_vm_list(Rc::clone(&cx)));
            }
        }
        monoio::time::sleep(TICK).await;
    }
}

/// Tells the gateway of the servers that the platform says are leaving or gone. A read that
/// fails changes nothing; what was read before holds.
async fn read_vm_list(cx: Rc<DaemonContext>) {
    match (cx.vm_list.read)().await {
        Ok(list) => {
            let leaving = list.iter().filter(|vm| vm.state != VmState::Live);
            let addresses = leaving.map(|vm| vm.address).collect();
            cx.gateway.on_leaving_servers(&addresses);
        }
        Err(error) => log::debug!(step = "VM list", error:% = error; "read failed"),
    }
}

fn ask_grants(cx: &Rc<DaemonContext>, now: Millis) {
    let requests = cx.steering.borrow_mut().request_grants(now);
    for (vm, req) in requests {
        monoio::spawn(grants::ask(Rc::clone(cx), vm, req));
    }
}
