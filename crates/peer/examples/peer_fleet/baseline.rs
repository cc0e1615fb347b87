//! Baseline for comparison: a full mesh, in which every daemon sends an empty heartbeat to every
//! other one each second, over the same kind of connections.

use std::time::Duration;

use heatherknot_peer::{CallOptions, PeerNet};
use heatherknot_types::prelude::*;

use crate::daemons::{add, context};
use crate::figures::{Cost, TrafficTotals};

const PERIOD: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(5);
/// Time for the tasks of closed connections to end before the next run starts.
pub const SHUTDOWN: Duration = Duration::from_secs(2);
const MEASUREMENT: Duration = Duration::from_secs(10);

/// Returns the cost per second of one daemon in a full mesh.
pub async fn full_mesh(size: usize) -> Cost {
    let nets: Vec<_> = (0..size).map(start).collect();
    for net in &nets {
        for other in nets.iter().filter(|other| other.me() != net.me()) {
            net.learn(&other.me()).expect("each is known once");
        }
        monoio::spawn(send_heartbeats(net.clone(), nets.clone()));
    }
    monoio::time::sleep(WARM_UP).await;
    let before = Cost::start_measuring(traffic(&nets));
    monoio::time::sleep(MEASUREMENT).await;
    let cost = before.finish(traffic(&nets), size);
    nets.iter().for_each(PeerNet::close);
    monoio::time::sleep(SHUTDOWN).await;
    cost
}

fn start(n: usize) -> PeerNet {
    let mut cx = context(&format!("vm-{n:03}"), "mesh");
    cx.options.max_incoming_connections = usize::MAX;
    cx.methods.register("h", |_, ()| async move { Ok(()) });
    PeerNet::start(cx).expect("listening on loopback")
}

async fn send_heartbeats(net: PeerNet, others: Vec<PeerNet>) {
    let me = net.me().vm;
    let names: Vec<VmName> = others.iter().map(|other| other.me().vm).collect();
    drop(others);
    monoio::time::sleep(PERIOD.mul_f64(fastrand::f64())).await;
    while !net.is_closed() {
        for vm in names.iter().filter(|vm| **vm != me) {
            let (net, vm) = (net.clone(), vm.clone());
            monoio::spawn(async move {
                let opts = CallOptions::quick(Millis(1_500));
                // A failed heartbeat costs as much as an answered one.
                let _ = net.call_with::<_, ()>(&vm, "h", &(), opts).await;
            });
        }
        monoio::time::sleep(PERIOD).await;
    }
}

fn traffic(nets: &[PeerNet]) -> TrafficTotals {
    let mut moved = TrafficTotals::default();
    nets.iter().for_each(|net| add(&mut moved, net));
    moved
}
