//! Tests of the HTTP adapters against the fake platform: the calls, and the error reported for
//! each failure.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use heatherknot_store::error::{Cause, Effect, Step};
use heatherknot_store::http_store::{StoreConfig, connect};
use heatherknot_store::http_vm_list;
use heatherknot_store::port::{
    Compare, Event, LeaseId, Op, RangeRequest, Store, StoreRevision, Txn, WatchRequest, prefix_end,
};
use heatherknot_store::vm_list::VmState;
use heatherknot_test_support::platform::{
    Down, Platform, PlatformConfig, PlatformHandle, PlatformVm, PlatformVmState,
};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;

fn platform() -> PlatformHandle {
    Platform::start(PlatformConfig::default())
}

fn store(platform: &PlatformHandle) -> Store {
    connect(StoreConfig::new(platform.address()))
}

fn store_with_short_timeout(platform: &PlatformHandle) -> Store {
    connect(StoreConfig {
        call_limit: Duration::from_millis(500),
        ..StoreConfig::new(platform.address())
    })
}

fn create(key: &str, value: &'static str) -> Txn {
    Txn {
        compares: vec![Compare::absent(key)],
        success: vec![Op::put(key, value)],
        failure: vec![Op::get(key)],
    }
}

/// A read of a prefix returns keys out of order, beyond its limit or outside the prefix.
#[test]
fn keys_are_read_in_order_and_in_pages() {
    let platform = platform();
    let store = store(&platform);

    let (page, whole) = block_on(async {
        for key in ["a/2", "a/1", "b/1", "a/3"] {
            store.put(key, key.to_owned()).await.unwrap();
        }
        let page = store.range(RangeRequest::prefix("a/").limit(2)).await;
        let whole = store.range(RangeRequest::prefix("a/")).await;
        (page.unwrap(), whole.unwrap())
    });

    let keys = |found: &[heatherknot_store::port::KeyValue]| -> Vec<String> {
        found.iter().map(|kv| kv.key.clone()).collect()
    };
    assert_eq!(keys(&page.kvs), ["a/1", "a/2"]);
    assert!(page.more);
    assert_eq!(keys(&whole.kvs), ["a/1", "a/2", "a/3"]);
    assert!(!whole.more);
    assert_eq!(whole.kvs[0].value, Bytes::from("a/1"));
}

/// Two transactions both create the same key, or the second does not read the existing value.
#[test]
fn key_is_created_only_once() {
    let platform = platform();
    let store = store(&platform);

    let (first, second) = block_on(async {
        let first = store.txn(create("k", "one")).await.unwrap();
        let second = store.txn(create("k", "two")).await.unwrap();
        (first, second)
    });

    assert!(first.succeeded);
    assert!(!second.succeeded);
    assert_eq!(second.first_kv(0).unwrap().value, Bytes::from("one"));
}

/// A write that requires an outdated revision of a key is applied.
#[test]
fn write_requires_the_current_revision() {
    let platform = platform();
    let store = store(&platform);

    let (stale, fresh) = block_on(async {
        let old = store.put("k", "1").await.unwrap();
        let new = store.put("k", "2").await.unwrap();
        let change = |revision| Txn {
            compares: vec![Compare::unchanged("k", revision)],
            success: vec![Op::put("k", "3")],
            failure: Vec::new(),
        };
        let stale = store.txn(change(old)).await.unwrap();
        let fresh = store.txn(change(new)).await.unwrap();
        (stale, fresh)
    });

    assert!(!stale.succeeded);
    assert!(fresh.succeeded);
}

/// A key outlives its lease, or an expired lease is extended.
#[test]
fn expired_lease_deletes_its_keys() {
    let platform = platform();
    let store = store(&platform);

    let (before, after, extended) = block_on(async {
        let lease = (store.lease_grant)(Millis(30_000)).await.unwrap();
        let put = Op::Put {
            key: "k".to_owned(),
            value: Bytes::from("v"),
            lease: lease.id,
        };
        let txn = Txn {
            success: vec![put],
            ..Txn::default()
        };
        store.txn(txn).await.unwrap();
        (store.lease_keepalive)(lease.id).await.unwrap();
        let before = store.get("k").await.unwrap();
        platform.expire_leases();
        let after = store.get("k").await.unwrap();
        (before, after, (store.lease_keepalive)(lease.id).await)
    });

    assert!(before.is_some());
    assert_eq!(after, None);
    let err = extended.unwrap_err();
    assert_eq!(err.source, Cause::LeaseNotFound);
    assert_eq!(err.effect, Effect::NotApplied);
}

/// A watch skips changes made before it started, reports other keys or changes the order.
#[test]
fn watch_reports_old_and_new_changes_in_order() {
    let platform = platform();
    let store = store(&platform);

    let values = block_on(async {
        let first = store.put("w/1", "old").await.unwrap();
        let req = WatchRequest {
            key: "w/".to_owned(),
            end: Some(prefix_end("w/")),
            start: first,
        };
        let mut watch = (store.watch)(req).await.unwrap();
        store.put("x", "other").await.unwrap();
        store.put("w/2", "new").await.unwrap();
        let mut values = Vec::new();
        while values.len() < 2 {
            let message = watch.next().await.unwrap().unwrap();
            values.extend(message.events.into_iter().map(|event| match event {
                Event::Put(kv) => String::from_utf8(kv.value.to_vec()).unwrap(),
                Event::Delete(key, _) => key,
            }));
        }
        values
    });

    assert_eq!(values, ["old", "new"]);
}

/// A watch from a compacted revision does not fail, or fails with another error.
#[test]
fn watch_from_a_compacted_revision_fails() {
    let platform = platform();
    let store = store(&platform);

    let failure = block_on(async {
        let first = store.put("w", "1").await.unwrap();
        store.put("w", "2").await.unwrap();
        platform.compact();
        let req = WatchRequest {
            key: "w".to_owned(),
            end: None,
            start: first,
        };
        let mut watch = (store.watch)(req).await.unwrap();
        watch.next().await.unwrap().unwrap_err()
    });

    assert!(matches!(failure.source, Cause::Compacted { oldest } if oldest > 0));
}

/// A value of one megabyte is rejected, or the error for a longer one leaves its effect open.
#[test]
fn value_longer_than_a_megabyte_is_not_applied() {
    let platform = platform();
    let store = store(&platform);
    let longest = vec![b'x'; 1 << 20];
    let too_long = vec![b'x'; (1 << 20) + 1];

    let (read, refused) = block_on(async {
        store.put("k", longest.clone()).await.unwrap();
        let read = store.get("k").await.unwrap().unwrap();
        (read, store.put("k", too_long).await.unwrap_err())
    });

    assert_eq!(read.value, Bytes::from(longest));
    assert_eq!(refused.effect, Effect::NotApplied);
    assert!(matches!(refused.source, Cause::Refused { status: 400, .. }));
}

/// A write times out while the platform hangs. The platform may still apply it, so the error must
/// not claim that it was not applied.
#[test]
fn write_that_times_out_may_have_been_applied() {
    let platform = platform();
    let store = store_with_short_timeout(&platform);
    platform.faults(|faults| faults.down = Some(Down::Hangs));

    let failure = block_on(store.put("k", "v")).unwrap_err();

    assert_eq!(failure.effect, Effect::MayBeApplied);
    assert_eq!(failure.source, Cause::Timeout { millis: 500 });
    assert_eq!(
        (failure.step, failure.peer),
        (Step::Txn, platform.address())
    );
}

/// The platform applies a write and the connection fails before the response. The error must not
/// claim that the write was not applied.
#[test]
fn write_with_a_lost_response_may_have_been_applied() {
    let platform = platform();
    let store = store(&platform);
    platform.faults(|faults| faults.lose_answers = 1);

    let failure = block_on(store.put("k", "v")).unwrap_err();

    assert_eq!(failure.effect, Effect::MayBeApplied);
    assert_eq!(platform.get("k"), Some(Bytes::from("v")));
}

/// Nothing listens at the platform's address. No data was sent, so the error must report that the
/// write was not applied.
#[test]
fn write_on_a_refused_connection_is_not_applied() {
    let closed_port = "127.0.0.1:1".parse().unwrap();
    let store = connect(StoreConfig::new(closed_port));

    let failure = block_on(store.put("k", "v")).unwrap_err();

    assert_eq!(failure.effect, Effect::NotApplied);
    assert!(matches!(failure.source, Cause::Connection { .. }));
}

/// A write rejected by the rate limit is reported as possibly applied.
#[test]
fn rate_limited_write_is_not_applied() {
    let platform = platform();
    let store = store(&platform);
    platform.faults(|faults| faults.rate_limited = 1);

    let failure = block_on(store.put("k", "v")).unwrap_err();

    assert!(failure.is_rate_limited());
    assert!(failure.is_not_applied());
    assert_eq!(platform.calls().limited, 1);
}

/// A call times out and its response arrives later. The next call must read its own response, not
/// the late one of the previous call.
#[test]
fn late_response_is_not_read_by_the_next_call() {
    let platform = platform();
    let store = store_with_short_timeout(&platform);

    let (late, next) = block_on(async {
        store.put("a", "answer of a").await.unwrap();
        store.put("b", "answer of b").await.unwrap();
        platform.faults(|faults| faults.delay = Duration::from_millis(800));
        let late = store.get("a").await;
        platform.faults(|faults| faults.delay = Duration::ZERO);
        (late, store.get("b").await.unwrap().unwrap())
    });

    assert!(late.is_err());
    assert_eq!(next.value, Bytes::from("answer of b"));
}

/// A middlebox drops a watch's connection silently: it stays open but delivers nothing. The watch
/// must fail after its time limit, or the daemon would keep old settings for ever.
#[test]
fn silent_watch_fails_after_its_time_limit() {
    let platform = platform();
    let store = connect(StoreConfig {
        watch_limit: Duration::from_millis(50),
        ..StoreConfig::new(platform.address())
    });

    let failure = block_on(async {
        let req = WatchRequest {
            key: "w".to_owned(),
            end: None,
            start: StoreRevision::ZERO,
        };
        let mut watch = (store.watch)(req).await.unwrap();
        platform.faults(|faults| faults.watch_stalled = true);
        store.put("w", "1").await.unwrap();
        watch.next().await.unwrap().unwrap_err()
    });

    assert_eq!(failure.source, Cause::Timeout { millis: 50 });
}

/// A dropped watch stays open on the platform.
#[test]
fn dropped_watch_is_closed_on_the_platform() {
    let platform = platform();
    let store = store(&platform);

    let waiting = block_on(async {
        let req = WatchRequest {
            key: "w".to_owned(),
            end: None,
            start: StoreRevision::ZERO,
        };
        let watch = (store.watch)(req).await.unwrap();
        let waiting = platform.calls().watching;
        drop(watch);
        while platform.calls().watching > 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        waiting
    });

    assert_eq!(waiting, 1);
}

/// The VM list is not read anew, or fields of its records are lost.
#[test]
fn vm_list_reflects_the_lagging_state_of_the_platform() {
    let vm = |state| PlatformVm {
        name: VmName::from("vm-1"),
        domain: DomainName::from("north-a"),
        address: "127.0.0.1:7000".parse().unwrap(),
        state,
    };
    let platform = Platform::start(PlatformConfig {
        vms: vec![vm(PlatformVmState::Live)],
        ..PlatformConfig::default()
    });
    let list = http_vm_list::connect(platform.address(), Duration::from_secs(2));

    let (lagging, caught_up) = block_on(async {
        (list.read)().await.unwrap();
        platform.faults(|faults| faults.vm_list_frozen = true);
        platform.set_vms(vec![vm(PlatformVmState::Gone)]);
        let lagging = (list.read)().await.unwrap();
        platform.faults(|faults| faults.vm_list_frozen = false);
        (lagging, (list.read)().await.unwrap())
    });

    assert_eq!(lagging[0].state, VmState::Live);
    assert_eq!(caught_up[0].state, VmState::Gone);
    assert_eq!(caught_up[0].name, VmName::from("vm-1"));
    assert_eq!(caught_up[0].domain, DomainName::from("north-a"));
}

/// Revoking a lease a second time succeeds or fails with another error.
#[test]
fn revoked_lease_does_not_exist() {
    let platform = platform();
    let store = store(&platform);

    let again = block_on(async {
        let lease = (store.lease_grant)(Millis(10_000)).await.unwrap();
        assert_ne!(lease.id, LeaseId(0));
        (store.lease_revoke)(lease.id).await.unwrap();
        (store.lease_revoke)(lease.id).await
    });

    assert_eq!(again.unwrap_err().source, Cause::LeaseNotFound);
}

/// The platform closes an idle connection just when a read is sent on it. The read must be sent
/// again on a new connection and succeed.
#[test]
fn read_on_a_closed_connection_is_sent_again() {
    let platform = platform();
    let store = store(&platform);

    let read = block_on(async {
        store.put("k", "v").await.unwrap();
        store.get("k").await.unwrap();
        platform.faults(|faults| faults.close_reads = 1);
        store.get("k").await
    });

    assert_eq!(read.unwrap().unwrap().value, Bytes::from("v"));
    assert_eq!(platform.calls().range, 3);
}
