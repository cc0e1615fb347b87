//! Handing requests to other daemons' addresses for callers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_gateway::{HandOver, HandOverError, HandOverPort};
use heatherknot_http::{Pool, PoolConfig, SendOptions, SendProgress};
use heatherknot_peer::PeerNet;
use heatherknot_types::prelude::*;

/// Connections kept to one other daemon.
const MAX_CONNECTIONS: usize = 64;

/// Makes the port that sends requests to other daemons, over pooled connections.
pub fn port(net: &PeerNet, clock: &Clock) -> HandOverPort {
    let pools = Rc::new(Pools {
        net: net.clone(),
        clock: clock.clone(),
        pools: RefCell::default(),
    });
    Rc::new(move |hand_over| {
        let pools = Rc::clone(&pools);
        Box::pin(async move { pools.send(hand_over).await })
    })
}

struct Pools {
    net: PeerNet,
    clock: Clock,
    pools: RefCell<HashMap<VmName, Pool>>,
}

impl Pools {
    async fn send(&self, hand_over: HandOver) -> Result<heatherknot_http::Response, HandOverError> {
        let vm = hand_over.vm;
        let Some(address) = self.net.identity_of(&vm).and_then(|id| id.callers) else {
            let cause = "its address for callers is not known".to_owned();
            return Err(HandOverError {
                vm,
                may_have_run: false,
                cause,
            });
        };
        let pool = self.pool(&vm, address);
        let options = SendOptions {
            deadline: Some(hand_over.deadline),
            idempotent: hand_over.idempotent,
            new_connection: false,
        };
        let sent = pool.send(hand_over.head, hand_over.body, options).await;
        sent.map_err(|error| HandOverError {
            vm,
            may_have_run: error.send_progress() != SendProgress::NotSent,
            cause: error.to_string(),
        })
    }

    /// Gives the pool of a VM, a new one where the VM has moved to another address.
    fn pool(&self, vm: &VmName, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(vm).filter(|pool| pool.address() == address) {
            return pool.clone();
        }
        let config = PoolConfig {
            max_connections: MAX_CONNECTIONS,
            ..PoolConfig::default()
        };
        let pool = Pool::new(address, config, self.clock.clone());
        pools.insert(vm.clone(), pool.clone());
        pool
    }
}
