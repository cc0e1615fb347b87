//! The calls of the key-value service, from JSON request to JSON response.
//!
//! This shares no code with the adapter under test, so that a mistake in one is not repeated
//! in the other.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};

use super::kv::{Change, Entry, KeyRange, Kv, MAX_VALUE_BYTES};

const CODE_INVALID_ARGUMENT: u32 = 3;
const CODE_NOT_FOUND: u32 = 5;
const CODE_RESOURCE_EXHAUSTED: u32 = 8;
const CODE_UNIMPLEMENTED: u32 = 12;

/// A response of the service.
#[derive(Debug)]
pub(super) struct Reply {
    pub status: StatusCode,
    pub body: Value,
}

impl Reply {
    pub fn ok(body: Value) -> Self {
        let status = StatusCode::OK;
        Self { status, body }
    }

    pub fn too_many_requests() -> Self {
        let message = "etcdserver: too many requests";
        Self::error(
            StatusCode::TOO_MANY_REQUESTS,
            CODE_RESOURCE_EXHAUSTED,
            message,
        )
    }

    fn invalid_argument(message: &str) -> Self {
        Self::error(StatusCode::BAD_REQUEST, CODE_INVALID_ARGUMENT, message)
    }

    fn error(status: StatusCode, code: u32, message: &str) -> Self {
        let body = json!({"error": message, "code": code, "message": message});
        Self { status, body }
    }
}

/// Returns whether a call may write.
pub(super) fn is_write(path: &str, body: &Value) -> bool {
    match path {
        "/v3/kv/range" | "/v3/watch" | "/v1/vms" => false,
        "/v3/kv/txn" => ["success", "failure"]
            .iter()
            .any(|branch| ops(body, branch).any(|op| op.get("request_range").is_none())),
        _ => true,
    }
}

/// Returns the keys that a transaction compares.
pub(super) fn compared_keys(body: &Value) -> Vec<Vec<u8>> {
    let compares = body["compare"].as_array();
    let compares = compares.into_iter().flatten();
    compares
        .map(|compare| decode_base64(&compare["key"]))
        .collect()
}

/// Executes a call and returns its response.
pub(super) fn apply(kv: &mut Kv, path: &str, body: &Value) -> Reply {
    kv.expire_due();
    if let Some(rejection) = validate(kv, path, body) {
        return rejection;
    }
    match path {
        "/v3/kv/range" => Reply::ok(range(kv, body)),
        "/v3/kv/txn" => txn(kv, body),
        "/v3/kv/put" => {
            kv.revision += 1;
            put(kv, body);
            Reply::ok(json!({"header": header(kv)}))
        }
        "/v3/kv/deleterange" => {
            let deleted = kv.delete(kv.revision + 1, &key_range(body));
            kv.revision += u64::from(deleted > 0);
            Reply::ok(json!({"header": header(kv), "deleted": deleted.to_string()}))
        }
        "/v3/lease/grant" => {
            let ttl = number(&body["TTL"]).max(1);
            let id = kv.grant(Duration::from_secs(ttl as u64));
            Reply::ok(json!({"header": header(kv), "ID": id.to_string(), "TTL": ttl.to_string()}))
        }
        "/v3/lease/keepalive" => keep_alive(kv, number(&body["ID"])),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => revoke(kv, number(&body["ID"])),
        _ => Reply::error(StatusCode::NOT_FOUND, CODE_UNIMPLEMENTED, "Not Found"),
    }
}

/// Returns the watch message that reports `changes`. Without changes it is a progress message.
pub(super) fn watch_message(kv: &Kv, changes: &[Change]) -> Value {
    let events = changes.iter().map(|change| match &change.entry {
        Some(entry) => json!({"kv": kv_json(&change.key, entry)}),
        None => json!({
            "type": "DELETE",
            "kv": {"key": encode_base64(&change.key), "mod_revision": change.revision.to_string()},
        }),
    });
    let events: Vec<Value> = events.collect();
    match events.is_empty() {
        true => json!({"result": {"header": header(kv)}}),
        false => json!({"result": {"header": header(kv), "events": events}}),
    }
}

pub(super) fn watch_created(kv: &Kv) -> Value {
    json!({"result": {"header": header(kv), "created": true}})
}

pub(super) fn watch_compacted(kv: &Kv) -> Value {
    let oldest = (kv.compacted + 1).to_string();
    json!({"result": {"header": header(kv), "canceled": true, "compact_revision": oldest}})
}

pub(super) fn key_range(body: &Value) -> KeyRange {
    let end = decode_base64(&body["range_end"]);
    KeyRange {
        key: decode_base64(&body["key"]),
        end: (!end.is_empty()).then_some(end),
    }
}

pub(super) fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn validate(kv: &Kv, path: &str, body: &Value) -> Option<Reply> {
    let puts: Vec<&Value> = match path {
        "/v3/kv/put" => vec![body],
        "/v3/kv/txn" => ["success", "failure"]
            .iter()
            .flat_map(|branch| ops(body, branch).filter_map(|op| op.get("request_put")))
            .collect(),
        _ => Vec::new(),
    };
    for put in puts {
        if decode_base64(&put["key"]).is_empty() {
            return Some(Reply::invalid_argument("etcdserver: key is not provided"));
        }
        if decode_base64(&put["value"]).len() > MAX_VALUE_BYTES {
            return Some(Reply::invalid_argument("etcdserver: request is too large"));
        }
        let lease = number(&put["lease"]);
        if lease != 0 && !kv.has_lease(lease) {
            return Some(lease_not_found());
        }
    }
    None
}

fn txn(kv: &mut Kv, body: &Value) -> Reply {
    let compares = body["compare"].as_array();
    let succeeded = compares
        .into_iter()
        .flatten()
        .all(|compare| compare_holds(kv, compare));
    let branch = if succeeded { "success" } else { "failure" };
    let operations: Vec<&Value> = ops(body, branch).collect();
    let writes = operations
        .iter()
        .any(|op| op.get("request_range").is_none());
    // All operations of a transaction share one revision.
    kv.revision += u64::from(writes);
    let responses: Vec<Value> = operations.iter().map(|op| run_op(kv, op)).collect();
    let mut answer = json!({"header": header(kv), "responses": responses});
    if succeeded {
        answer["succeeded"] = Value::Bool(true);
    }
    Reply::ok(answer)
}

fn run_op(kv: &mut Kv, op: &Value) -> Value {
    if let Some(req) = op.get("request_range") {
        return json!({"response_range": range(kv, req)});
    }
    if let Some(req) = op.get("request_put") {
        put(kv, req);
        return json!({"response_put": {"header": header(kv)}});
    }
    let deleted = kv.delete(kv.revision, &key_range(&op["request_delete_range"]));
    json!({"response_delete_range": {"header": header(kv), "deleted": deleted.to_string()}})
}

fn compare_holds(kv: &Kv, compare: &Value) -> bool {
    let entry = kv.entry(&decode_base64(&compare["key"]));
    let (found, expected) = match compare["target"].as_str() {
        Some("MOD") => (
            entry.map_or(0, |entry| entry.modified),
            number(&compare["mod_revision"]),
        ),
        Some("CREATE") => (
            entry.map_or(0, |entry| entry.created),
            number(&compare["create_revision"]),
        ),
        _ => (
            entry.map_or(0, |entry| entry.version),
            number(&compare["version"]),
        ),
    };
    let found = found as i64;
    match compare["result"].as_str() {
        Some("GREATER") => found > expected,
        Some("LESS") => found < expected,
        Some("NOT_EQUAL") => found != expected,
        _ => found == expected,
    }
}

fn put(kv: &mut Kv, req: &Value) {
    let value = Bytes::from(decode_base64(&req["value"]));
    let lease = number(&req["lease"]);
    kv.put(kv.revision, &decode_base64(&req["key"]), value, lease);
}

fn range(kv: &Kv, req: &Value) -> Value {
    let found = kv.range(&key_range(req));
    let limit = number(&req["limit"]) as usize;
    let kept = if limit == 0 { found.len() } else { limit };
    let kvs: Vec<Value> = found
        .iter()
        .take(kept)
        .map(|(key, entry)| kv_json(key, entry))
        .collect();
    let mut answer = json!({"header": header(kv), "count": found.len().to_string()});
    if !kvs.is_empty() {
        answer["kvs"] = Value::Array(kvs);
    }
    if found.len() > kept {
        answer["more"] = Value::Bool(true);
    }
    answer
}

fn keep_alive(kv: &mut Kv, id: i64) -> Reply {
    let mut result = json!({"header": header(kv), "ID": id.to_string()});
    if let Some(ttl) = kv.keep_alive(id) {
        result["TTL"] = Value::String(ttl.as_secs().to_string());
    }
    Reply::ok(json!({"result": result}))
}

fn revoke(kv: &mut Kv, id: i64) -> Reply {
    match kv.revoke(id) {
        true => Reply::ok(json!({"header": header(kv)})),
        false => lease_not_found(),
    }
}

fn lease_not_found() -> Reply {
    let message = "etcdserver: requested lease not found";
    Reply::error(StatusCode::NOT_FOUND, CODE_NOT_FOUND, message)
}

fn ops<'a>(body: &'a Value, branch: &str) -> impl Iterator<Item = &'a Value> {
    body[branch].as_array().into_iter().flatten()
}

fn header(kv: &Kv) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": kv.revision.to_string(), "raft_term": "1"})
}

fn kv_json(key: &[u8], entry: &Entry) -> Value {
    let mut kv = json!({
        "key": encode_base64(key),
        "value": encode_base64(&entry.value),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
    });
    if entry.lease != 0 {
        kv["lease"] = Value::String(entry.lease.to_string());
    }
    kv
}

fn encode_base64(raw: &[u8]) -> String {
    STANDARD.encode(raw)
}

fn decode_base64(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).unwrap_or_default()
}
