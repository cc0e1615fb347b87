//! A connection to the fake platform: reads requests, applies the active faults and answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::{Either, select};
use monoio::io::stream::Stream;
use monoio::io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_http::common::body::BodyExt;
use monoio_http::common::request::Request;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use serde_json::Value;

use super::api::{self, Reply};
use super::faults::Down;
use super::kv::{Change, KeyRange};
use super::limits::CallKind;
use super::state::{State, lock, wait_until};

/// Interval of the progress messages on an idle watch.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

type SharedState = Arc<Mutex<State>>;
type Reader = RequestDecoder<OwnedReadHalf<TcpStream>>;
type Writer = OwnedWriteHalf<TcpStream>;

/// How a request is handled.
enum Action {
    Reply(Reply, Duration),
    Watch(KeyRange, u64),
    Close(Duration),
    Hang,
}

pub(super) async fn serve(conn: TcpStream, state: SharedState) {
    let _ = conn.set_nodelay(true);
    let (reader, mut writer) = conn.into_split();
    let mut reader = RequestDecoder::new(reader);
    while let Some(Ok(req)) = reader.next().await {
        let Some((path, body)) = read(req, &mut reader).await else {
            return;
        };
        let action = decide_action(&mut lock(&state), &path, &body);
        lock(&state).wake();
        match action {
            Action::Reply(reply, delay) => {
                monoio::time::sleep(delay).await;
                if write_reply(&mut writer, &reply).await.is_none() {
                    return;
                }
            }
            Action::Watch(key_range, start) => {
                watch(&mut reader, &mut writer, &state, &key_range, start).await;
                return;
            }
            Action::Close(delay) => {
                monoio::time::sleep(delay).await;
                return;
            }
            Action::Hang => {
                wait_until(&state, |state| state.faults.down != Some(Down::Hangs)).await;
                return;
            }
        }
    }
}

async fn read(req: Request, reader: &mut Reader) -> Option<(String, Value)> {
    let (head, payload) = req.into_parts();
    reader.fill_payload().await.ok()?;
    let body = payload.bytes().await.ok()?;
    let body = match body.is_empty() {
        true => Value::Null,
        false => serde_json::from_slice(&body).ok()?,
    };
    Some((head.uri.path().to_owned(), body))
}

fn decide_action(state: &mut State, path: &str, body: &Value) -> Action {
    count_call(state, path);
    match state.faults.down {
        Some(Down::Closes) => return Action::Close(Duration::ZERO),
        Some(Down::Hangs) => return Action::Hang,
        None => {}
    }
    let delay = state.faults.delay;
    let write = api::is_write(path, body);
    let kind = if write {
        CallKind::Write
    } else {
        CallKind::Read
    };
    if !write && consume_fault(&mut state.faults.close_reads) {
        return Action::Close(delay);
    }
    if consume_fault(&mut state.faults.rate_limited) {
        state.limits.calls.limited += 1;
        return Action::Reply(Reply::too_many_requests(), delay);
    }
    if !state.limits.admit(kind) {
        return Action::Reply(Reply::too_many_requests(), delay);
    }
    match path {
        "/v1/vms" => {
            let faults = state.faults.clone();
            return Action::Reply(Reply::ok(state.vms.read(&faults)), delay);
        }
        "/v3/watch" => {
            let req = &body["create_request"];
            let start = api::number(&req["start_revision"]) as u64;
            return Action::Watch(api::key_range(req), start);
        }
        "/v3/kv/txn" if write => apply_concurrent_writes(state, body),
        _ => {}
    }
    if write && consume_fault(&mut state.faults.hold_writes) {
        state.held.push((path.to_owned(), body.clone()));
        return Action::Close(delay);
    }
    let reply = api::apply(&mut state.kv, path, body);
    if write && consume_fault(&mut state.faults.lose_answers) {
        return Action::Close(delay);
    }
    Action::Reply(reply, delay)
}

/// Applies the writes that a fault injects for another client before a transaction.
fn apply_concurrent_writes(state: &mut State, body: &Value) {
    for (key, value) in std::mem::take(&mut state.faults.concurrent_writes) {
        state.kv.put_at_next_revision(key.as_bytes(), value);
    }
    if consume_fault(&mut state.faults.conflicts) {
        for key in api::compared_keys(body) {
            state.kv.touch(&key);
        }
    }
}

fn consume_fault(left: &mut u32) -> bool {
    let occurs = *left > 0;
    *left = left.saturating_sub(1);
    occurs
}

fn count_call(state: &mut State, path: &str) {
    let calls = &mut state.limits.calls;
    let counter = match path {
        "/v3/kv/range" => &mut calls.range,
        "/v3/kv/txn" => &mut calls.txn,
        "/v3/watch" => &mut calls.watch,
        "/v1/vms" => &mut calls.vms,
        path if path.contains("/lease/") => &mut calls.lease,
        _ => &mut calls.put,
    };
    *counter += 1;
}

async fn watch(
    reader: &mut Reader,
    writer: &mut Writer,
    state: &SharedState,
    key_range: &KeyRange,
    start: u64,
) {
    lock(state).limits.calls.watching += 1;
    let closed = Box::pin(reader.next());
    let streaming = Box::pin(stream_changes(writer, state, key_range, start));
    select(closed, streaming).await;
    let mut state = lock(state);
    state.limits.calls.watching -= 1;
}

async fn stream_changes(
    writer: &mut Writer,
    state: &SharedState,
    key_range: &KeyRange,
    start: u64,
) -> Option<()> {
    let (mut next, created) = {
        let state = lock(state);
        let next = if start == 0 {
            state.kv.revision + 1
        } else {
            start
        };
        (next, api::watch_created(&state.kv))
    };
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    write(writer, head.into()).await?;
    write_chunk(writer, &created).await?;
    loop {
        let pending = Box::pin(wait_until(state, |state| {
            !state.faults.watch_stalled && state.kv.revision >= next || state.faults.down.is_some()
        }));
        let progress = Box::pin(monoio::time::sleep(PROGRESS_INTERVAL));
        let revision_advanced = matches!(select(pending, progress).await, Either::Left(_));
        let message = {
            let mut state = lock(state);
            if state.faults.down.is_some() {
                return None;
            }
            if state.faults.watch_stalled {
                continue;
            }
            if next <= state.kv.compacted {
                Err(api::watch_compacted(&state.kv))
            } else {
                let changes = collect_changes(&mut state, key_range, next);
                next = state.kv.revision + 1;
                let skip_message = changes.is_empty() && revision_advanced;
                Ok((!skip_message).then(|| api::watch_message(&state.kv, &changes)))
            }
        };
        match message {
            Err(compacted) => {
                write_chunk(writer, &compacted).await?;
                return write(writer, b"0\r\n\r\n".to_vec()).await;
            }
            Ok(Some(message)) => write_chunk(writer, &message).await?,
            Ok(None) => {}
        }
    }
}

fn collect_changes(state: &mut State, key_range: &KeyRange, from: u64) -> Vec<Change> {
    let history = &state.kv.history;
    let first = history.partition_point(|change| change.revision < from);
    let found = history[first..].iter();
    let found = found.filter(|change| key_range.contains(&change.key));
    let mut changes: Vec<Change> = found.cloned().collect();
    changes.retain(|_| !consume_fault(&mut state.faults.skip_events));
    changes
}

async fn write_reply(writer: &mut Writer, reply: &Reply) -> Option<()> {
    let body = reply.body.to_string();
    let (status, length) = (reply.status.as_u16(), body.len());
    let head = format!(
        "HTTP/1.1 {status} \r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    write(writer, [head, body].concat().into_bytes()).await
}

async fn write_chunk(writer: &mut Writer, object: &Value) -> Option<()> {
    let line = format!("{object}\n");
    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
    write(writer, chunk.into_bytes()).await
}

async fn write(writer: &mut Writer, bytes: Vec<u8>) -> Option<()> {
    writer.write_all(bytes).await.0.ok().map(|_| ())
}
