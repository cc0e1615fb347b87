//! Tests of requests that are withheld once their connection is there.

mod common;

use common::{get, pool};
use heatherknot_http::{Body, SendError, SendOptions, SendProgress};
use heatherknot_test_support::backend::{Behavior, FakeBackend};
use heatherknot_test_support::runtime::block_on;

/// Guards against sending a request whose server has asked for none while it waited for a connection.
#[test]
fn a_withheld_request_is_not_sent_and_leaves_its_connection_to_the_next_one() {
    block_on(async {
        let backend = FakeBackend::start(Behavior::default());
        let pool = pool(backend.address());
        let options = SendOptions::default();

        let result = pool
            .send_if(get("1"), Body::empty(), options, || false)
            .await;

        let Err(error) = result else {
            panic!("the request was sent");
        };
        assert!(matches!(error, SendError::Withheld { .. }), "{error}");
        assert_eq!(error.send_progress(), SendProgress::NotSent);
        assert_eq!((pool.open(), pool.idle()), (1, 1));
        assert!(backend.runs().is_empty());
    });
}
