//! Conversions between the types of [`crate::port`] and the messages of the service.

use heatherknot_types::prelude::*;

use super::message_or_error;
use super::wire::{
    Base64, Int64, StreamObject, WireCompare, WireDelete, WireKeyValue, WireLease, WireOp, WirePut,
    WireRange, WireRangeResponse, WireTxn, WireTxnResponse, WireWatch, WireWatchCreate,
    WireWatchResponse,
};
use crate::error::Cause;
use crate::port::{
    Compare, Event, KeyValue, Lease, LeaseId, Op, RangeRequest, RangeResponse, StoreRevision, Txn,
    TxnResponse, WatchMessage, WatchRequest,
};

pub(super) fn range_to_wire(req: &RangeRequest) -> WireRange {
    WireRange {
        key: Base64::from_text(&req.key),
        range_end: req.end.as_deref().map(Base64::from_text),
        limit: Int64(req.limit.into()),
    }
}

pub(super) fn range_from_wire(resp: WireRangeResponse) -> Result<RangeResponse, Cause> {
    let kvs: Result<Vec<_>, _> = resp.kvs.into_iter().map(kv_from_wire).collect();
    Ok(RangeResponse {
        revision: StoreRevision::from(resp.header.revision.to_u64()),
        kvs: kvs?,
        more: resp.more,
    })
}

fn kv_from_wire(kv: WireKeyValue) -> Result<KeyValue, Cause> {
    Ok(KeyValue {
        key: key_from_wire(kv.key)?,
        value: kv.value.0,
        create_revision: StoreRevision::from(kv.create_revision.to_u64()),
        mod_revision: StoreRevision::from(kv.mod_revision.to_u64()),
        lease: LeaseId(kv.lease.0),
    })
}

fn key_from_wire(key: Base64) -> Result<String, Cause> {
    String::from_utf8(key.0.to_vec()).map_err(|err| {
        let message = format!("a key that is not text: {err}");
        Cause::Unreadable { message }
    })
}

pub(super) fn txn_to_wire(txn: &Txn) -> WireTxn {
    WireTxn {
        compare: txn.compares.iter().map(compare_to_wire).collect(),
        success: txn.success.iter().map(op_to_wire).collect(),
        failure: txn.failure.iter().map(op_to_wire).collect(),
    }
}

fn compare_to_wire(compare: &Compare) -> WireCompare {
    let (key, target, mod_revision, create_revision) = match compare {
        Compare::ModRevision(key, rev) => (key, "MOD", Some(Int64::from_u64(rev.number)), None),
        Compare::CreateRevision(key, rev) => {
            (key, "CREATE", None, Some(Int64::from_u64(rev.number)))
        }
    };
    WireCompare {
        key: Base64::from_text(key),
        result: "EQUAL",
        target,
        mod_revision,
        create_revision,
    }
}

fn op_to_wire(op: &Op) -> WireOp {
    match op {
        Op::Range(req) => WireOp::Range(range_to_wire(req)),
        Op::Put { key, value, lease } => WireOp::Put(WirePut {
            key: Base64::from_text(key),
            value: Base64(value.clone()),
            lease: Int64(lease.0),
        }),
        Op::Delete { key, end } => WireOp::Delete(WireDelete {
            key: Base64::from_text(key),
            range_end: end.as_deref().map(Base64::from_text),
        }),
    }
}

pub(super) fn txn_from_wire(resp: WireTxnResponse) -> Result<TxnResponse, Cause> {
    let ranges: Result<Vec<_>, _> = resp
        .responses
        .into_iter()
        .filter_map(|resp| resp.response_range)
        .map(range_from_wire)
        .collect();
    Ok(TxnResponse {
        revision: StoreRevision::from(resp.header.revision.to_u64()),
        succeeded: resp.succeeded,
        ranges: ranges?,
    })
}

pub(super) fn lease_from_wire(lease: &WireLease) -> Lease {
    Lease {
        id: LeaseId(lease.id.0),
        ttl: Millis(lease.ttl.to_u64() * 1000),
    }
}

pub(super) fn watch_to_wire(req: &WatchRequest) -> WireWatch {
    WireWatch {
        create_request: WireWatchCreate {
            key: Base64::from_text(&req.key),
            range_end: req.end.as_deref().map(Base64::from_text),
            start_revision: Int64::from_u64(req.start.number),
            progress_notify: true,
        },
    }
}

pub(super) fn watch_from_wire(
    object: StreamObject<WireWatchResponse>,
) -> Result<WatchMessage, Cause> {
    let Some(resp) = object.result else {
        let err = object.error.unwrap_or_default();
        let message = format!(
            "the watch failed: {}",
            message_or_error(err.message, err.error)
        );
        return Err(Cause::Connection { message });
    };
    let compacted = resp.compact_revision.to_u64();
    if compacted > 0 {
        return Err(Cause::Compacted { oldest: compacted });
    }
    if resp.canceled {
        let message = format!("the watch was cancelled: {}", resp.cancel_reason);
        return Err(Cause::Connection { message });
    }
    let mut events = Vec::with_capacity(resp.events.len());
    for event in resp.events {
        events.push(match event.kind.as_str() {
            "DELETE" => {
                let revision = StoreRevision::from(event.kv.mod_revision.to_u64());
                Event::Delete(key_from_wire(event.kv.key)?, revision)
            }
            _ => Event::Put(kv_from_wire(event.kv)?),
        });
    }
    Ok(WatchMessage {
        revision: StoreRevision::from(resp.header.revision.to_u64()),
        events,
    })
}
