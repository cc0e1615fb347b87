//! Cleanup of dropped pools.

mod common;

use std::time::Duration;

use heatherknot_http::{Body, RequestHead, SendOptions};
use heatherknot_test_support::backend::{Behavior, FakeBackend};
use heatherknot_test_support::runtime::block_on;
use http::Method;

// Guards against a connection leak: when the address of a backend server is removed from the
// settings, its pool is dropped. If idle connections stayed open, every such change would leak
// file descriptors of the daemon and the backend server until none were left.
#[test]
fn idle_connections_of_a_dropped_pool_are_closed() {
    block_on(async {
        let server = FakeBackend::start(Behavior::default());
        let pool = common::pool(server.address());
        let head = RequestHead::new(Method::GET, "/".parse().unwrap());
        let sent = pool.send(head, Body::empty(), SendOptions::default()).await;
        sent.unwrap().body.collect(1024).await.unwrap();
        let before = (pool.idle(), server.connections());

        drop(pool);
        while server.connections() > 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }

        assert_eq!(before, (1, 1));
    });
}
