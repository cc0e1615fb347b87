//! The baseline: every daemon sends a heartbeat to every other one each second, over the same
//! connections, with nothing else in it.

use std::time::Duration;

use heatherknot_peer::{CallOptions, PeerNet};
use heatherknot_types::prelude::*;

use crate::daemons::{add, context};
use crate::figures::{Cost, Moved};

const PERIOD: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(5);
/// Time for the tasks of closed connections to end, before the next run opens its own.
pub const CLOSING: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(10);

/// Gives what one daemon of a full mesh costs a second.
pub async fn full_mesh(size: usize) -> Cost {
    let nets: Vec<_> = (0..size).map(start).collect();
    for net in &nets {
        for other in nets.iter().filter(|other| other.me() != net.me()) {
            net.learn(&other.me()).expect("each is known once");
        }
        monoio::spawn(beat(net.clone(), nets.clone()));
    }
    monoio::time::sleep(WARM_UP).await;
    let before = Cost::mark(traffic(&nets));
    monoio::time::sleep(SPAN).await;
    let cost = before.until_now(traffic(&nets), size);
    nets.iter().for_each(PeerNet::close);
    monoio::time::sleep(CLOSING).await;
    cost
}

fn start(n: usize) -> PeerNet {
    let mut cx = context(&format!("vm-{n:03}"), "mesh");
    cx.options.max_incoming_connections = usize::MAX;
    cx.methods.register("h", |_, ()| async move { Ok(()) });
    PeerNet::start(cx).expect("listening on loopback")
}

async fn beat(net: PeerNet, others: Vec<PeerNet>) {
    let me = net.me().vm;
    let names: Vec<VmName> = others.iter().map(|other| other.me().vm).collect();
    drop(others);
    monoio::time::sleep(PERIOD.mul_f64(fastrand::f64())).await;
    while !net.is_closed() {
        for vm in names.iter().filter(|vm| **vm != me) {
            let (net, vm) = (net.clone(), vm.clone());
            monoio::spawn(async move {
                let opts = CallOptions::quick(Millis(1_500));
                // A heartbeat that fails costs as much as one that is answered.
                let _ = net.call_with::<_, ()>(&vm, "h", &(), opts).await;
            });
        }
        monoio::time::sleep(PERIOD).await;
    }
}

fn traffic(nets: &[PeerNet]) -> Moved {
    let mut moved = Moved::default();
    nets.iter().for_each(|net| add(&mut moved, net));
    moved
}
