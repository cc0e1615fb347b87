//! Outgoing connections: one task for each peer that this daemon calls.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use heatherknot_types::prelude::*;
use jsonrpsee_types::{Id, Request, Response, ResponsePayload};
use log::{debug, info};
use serde_json::value::RawValue;

use crate::auth::{HandshakeRefusal, PeerId};
use crate::error::{Cause, Handled, PeerError, Step};
use crate::frame::{FrameError, FrameReader, FrameWriter};
use crate::handshake::{Connection, json_cause, open};
use crate::net::NetState;
use crate::options::CallOptions;

pub(crate) type CallResult = Result<Box<RawValue>, PeerError>;

/// A call that is queued or waits for its answer.
pub(crate) struct OutgoingCall {
    pub(crate) method: &'static str,
    pub(crate) params: Box<RawValue>,
    pub(crate) opts: CallOptions,
    /// The VM that must answer, if the caller named one.
    pub(crate) vm: Option<VmName>,
    /// Receives the answer; `None` for a notification.
    pub(crate) reply: Option<oneshot::Sender<CallResult>>,
    /// Number of connections that the call was written to.
    pub(crate) attempts: u8,
    /// Set before the first byte is written. Shared with the caller, which must know after a
    /// timeout whether the peer may have run the call.
    pub(crate) written: Rc<Cell<bool>>,
}

impl OutgoingCall {
    fn is_abandoned(&self) -> bool {
        self.reply
            .as_ref()
            .is_some_and(oneshot::Sender::is_canceled)
    }

    fn fail(self, peer: &Peer, step: Step, cause: Cause) {
        let handled = if self.written.get() {
            Handled::Maybe
        } else {
            Handled::No
        };
        let name = self.vm.as_ref().map(ToString::to_string);
        let name = name.unwrap_or_else(|| peer.address.to_string());
        if let Some(reply) = self.reply {
            // Sending fails if the caller has stopped waiting.
            let _ = reply.send(Err(PeerError::new(step, name, handled, cause)));
        }
    }
}

/// An address that this daemon calls.
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    /// Number of calls that are queued or wait for their answers.
    pub(crate) outstanding: Cell<usize>,
}

/// Why an outgoing connection ended or could not be opened.
struct Disconnect {
    step: Step,
    cause: Cause,
}

impl Disconnect {
    fn new(step: Step, cause: Cause) -> Self {
        Self { step, cause }
    }

    fn frame(step: Step, frame: FrameError) -> Self {
        Self::new(step, Cause::Frame { frame })
    }
}

/// Runs the calls to one address until there has been none for the idle timeout.
pub(crate) async fn run_peer(
    net: Rc<NetState>,
    peer: Rc<Peer>,
    mut calls: UnboundedReceiver<OutgoingCall>,
) {
    let mut backlog = VecDeque::new();
    loop {
        if backlog.is_empty() {
            let idle = net.options.idle_timeout;
            let Some(Some(call)) = net.timer.limit(idle, calls.next()).await else {
                break;
            };
            backlog.push_back(call);
        }
        let ended = match connect(&net, &peer).await {
            Ok(connection) => run_session(&net, &peer, connection, &mut backlog, &mut calls).await,
            Err(end) => {
                fail_all(&peer, &mut backlog, &mut calls, &end);
                Err(end)
            }
        };
        match ended {
            Ok(()) => break,
            Err(end) => debug!(
                step:% = end.step, peer:% = peer.address, cause:% = end.cause;
                "connection to a peer ended"
            ),
        }
    }
    net.remove_peer(&peer);
}

/// Fails all queued calls, so that callers learn immediately that the peer cannot be reached and
/// can call another one.
fn fail_all(
    peer: &Peer,
    backlog: &mut VecDeque<OutgoingCall>,
    calls: &mut UnboundedReceiver<OutgoingCall>,
    end: &Disconnect,
) {
    while let Ok(call) = calls.try_recv() {
        backlog.push_back(call);
    }
    for call in backlog.drain(..) {
        peer.outstanding.set(peer.outstanding.get() - 1);
        call.fail(peer, end.step, end.cause.clone());
    }
}

async fn connect(net: &NetState, peer: &Peer) -> Result<Connection, Disconnect> {
    let timeout = net.options.connect_timeout;
    let dialed = net.timer.limit(timeout, (net.dial)(peer.address)).await;
    let stream = match dialed {
        Some(Ok(stream)) => stream,
        Some(Err(e)) => {
            let message = e.to_string();
            return Err(Disconnect::new(Step::Connect, Cause::Io { message }));
        }
        None => return Err(Disconnect::new(Step::Connect, Cause::Timeout { timeout })),
    };
    let timeout = net.options.handshake_timeout;
    let opened = net.timer.limit(timeout, open(net, stream)).await;
    opened
        .unwrap_or(Err(Cause::Timeout { timeout }))
        .map_err(|cause| Disconnect::new(Step::Handshake, cause))
}

/// State shared by the reading and the writing half of a connection.
struct Session<'a> {
    net: &'a NetState,
    peer: &'a Peer,
    remote: PeerId,
    /// Calls that wait for their answers, by JSON-RPC identifier.
    pending: RefCell<BTreeMap<u64, OutgoingCall>>,
    next_id: Cell<u64>,
    /// Number of messages received.
    received: Cell<u64>,
    last_received: Cell<Millis>,
    /// Time of the last probe and the number of messages received before it. A probe is a
    /// heartbeat or a call that is answered immediately.
    probe: Cell<Option<(Millis, u64)>>,
}

async fn run_session(
    net: &NetState,
    peer: &Peer,
    connection: Connection,
    backlog: &mut VecDeque<OutgoingCall>,
    calls: &mut UnboundedReceiver<OutgoingCall>,
) -> Result<(), Disconnect> {
    let session = Session {
        net,
        peer,
        remote: connection.remote,
        pending: RefCell::default(),
        next_id: Cell::new(0),
        received: Cell::new(0),
        last_received: Cell::new(net.timer.now()),
        probe: Cell::new(None),
    };
    let reset = net.reset_signal();
    let ended = {
        let reading = std::pin::pin!(session.read_answers(connection.rd));
        let writing = std::pin::pin!(session.write_calls(connection.wr, backlog, calls));
        let halves = select(reading, writing);
        match select(halves, reset).await {
            Either::Left((halves, _)) => halves.factor_first().0,
            Either::Right(_) => Err(Disconnect::new(Step::Answer, Cause::Closing)),
        }
    };
    if let Err(end) = &ended {
        session.requeue_or_fail_pending(end, backlog);
    }
    ended
}

impl Session<'_> {
    async fn read_answers(&self, mut rd: FrameReader) -> Result<(), Disconnect> {
        loop {
            let frame = rd
                .read()
                .await
                .map_err(|e| Disconnect::frame(Step::Answer, e))?;
            self.received.set(self.received.get() + 1);
            self.last_received.set(self.net.timer.now());
            if !frame.is_empty() {
                self.complete(&frame)
                    .map_err(|cause| Disconnect::new(Step::Answer, cause))?;
            }
        }
    }

    fn complete(&self, frame: &[u8]) -> Result<(), Cause> {
        let answer: Response<'_, Box<RawValue>> =
            serde_json::from_slice(frame).map_err(json_cause)?;
        let Id::Number(id) = answer.id else {
            let message = String::from("an answer without the number of its call");
            return Err(Cause::Json { message });
        };
        if id >= self.next_id.get() {
            let message = format!("an answer to call {id}, which was not made");
            return Err(Cause::Json { message });
        }
        let Some(call) = self.pending.borrow_mut().remove(&id) else {
            // The caller has given up on this call, and the answer is late.
            return Ok(());
        };
        self.peer.outstanding.set(self.peer.outstanding.get() - 1);
        let result = match answer.payload {
            ResponsePayload::Success(value) => Ok(value.into_owned()),
            ResponsePayload::Error(e) => Err(self.answered_error(&e)),
        };
        if let Some(reply) = call.reply {
            // Sending fails if the caller has stopped waiting.
            let _ = reply.send(result);
        }
        Ok(())
    }

    fn answered_error(&self, e: &jsonrpsee_types::ErrorObject<'_>) -> PeerError {
        let handled = match e.code() {
            crate::methods::NOT_RUN_CODE => Handled::No,
            _ => Handled::Yes,
        };
        let cause = Cause::Answered {
            code: e.code(),
            message: e.message().to_string(),
        };
        PeerError::new(Step::Answer, &self.remote.vm, handled, cause)
    }

    async fn write_calls(
        &self,
        mut wr: FrameWriter,
        backlog: &mut VecDeque<OutgoingCall>,
        calls: &mut UnboundedReceiver<OutgoingCall>,
    ) -> Result<(), Disconnect> {
        loop {
            while let Some(call) = backlog.pop_front() {
                self.write_call(&mut wr, call).await?;
            }
            match self.net.timer.limit(self.next_check(), calls.next()).await {
                Some(Some(call)) => backlog.push_back(call),
                Some(None) => return Ok(()),
                None if self.is_idle() => return Ok(()),
                None => self.check_alive(&mut wr).await?,
            }
        }
    }

    async fn write_call(
        &self,
        wr: &mut FrameWriter,
        mut call: OutgoingCall,
    ) -> Result<(), Disconnect> {
        if call.is_abandoned() {
            self.peer.outstanding.set(self.peer.outstanding.get() - 1);
            return Ok(());
        }
        if let Some(cause) = self.identity_mismatch(&call) {
            self.peer.outstanding.set(self.peer.outstanding.get() - 1);
            call.fail(self.peer, Step::Handshake, cause);
            return Ok(());
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let message = match encode_call(&call, id) {
            Ok(message) if message.len() <= self.net.options.max_message => message,
            Ok(message) => {
                let frame = FrameError::Oversized {
                    len: message.len(),
                    limit: self.net.options.max_message,
                };
                self.peer.outstanding.set(self.peer.outstanding.get() - 1);
                call.fail(self.peer, Step::Send, Cause::Frame { frame });
                return Ok(());
            }
            Err(e) => {
                self.peer.outstanding.set(self.peer.outstanding.get() - 1);
                call.fail(self.peer, Step::Send, json_cause(e));
                return Ok(());
            }
        };
        let quick = call.opts.quick && call.reply.is_some();
        call.attempts += 1;
        call.written.set(true);
        if call.reply.is_some() {
            self.pending.borrow_mut().insert(id, call);
        } else {
            self.peer.outstanding.set(self.peer.outstanding.get() - 1);
        }
        self.write(wr, message.as_bytes()).await?;
        if quick {
            self.expect_answer();
            return Ok(());
        }
        self.probe_if_stale(wr).await
    }

    fn identity_mismatch(&self, call: &OutgoingCall) -> Option<Cause> {
        if call.vm.as_ref().is_some_and(|vm| *vm != self.remote.vm) {
            let refusal = HandshakeRefusal::WrongVm;
            return Some(Cause::Refused { refusal });
        }
        let expected = call.opts.incarnation?;
        let found = self.remote.incarnation;
        (expected != found).then_some(Cause::WrongIncarnation { expected, found })
    }

    async fn write(&self, wr: &mut FrameWriter, message: &[u8]) -> Result<(), Disconnect> {
        let timeout = self.net.options.heartbeat_timeout;
        match self.net.timer.limit(timeout, wr.write(message)).await {
            Some(written) => written.map_err(|e| Disconnect::frame(Step::Send, e)),
            None => Err(Disconnect::new(Step::Send, Cause::Silent { span: timeout })),
        }
    }

    /// Sends a heartbeat after a call if the connection was idle.
    ///
    /// A NAT or firewall may have dropped the state of an idle connection, which then stays open
    /// but delivers nothing. The heartbeat detects this within `heartbeat_timeout`, before the
    /// call's own, longer timeout expires.
    async fn probe_if_stale(&self, wr: &mut FrameWriter) -> Result<(), Disconnect> {
        let idle = self.net.timer.now().since(self.last_received.get());
        if self.probe_outstanding().is_some() || idle < self.net.options.heartbeat_period {
            return Ok(());
        }
        self.send_probe(wr).await
    }

    /// Returns the time of the last probe if nothing has been received since.
    fn probe_outstanding(&self) -> Option<Millis> {
        let (sent, received) = self.probe.get()?;
        (received == self.received.get()).then_some(sent)
    }

    async fn send_probe(&self, wr: &mut FrameWriter) -> Result<(), Disconnect> {
        self.write(wr, &[]).await?;
        self.expect_answer();
        Ok(())
    }

    /// Records a probe, unless one is already outstanding.
    fn expect_answer(&self) {
        if self.probe_outstanding().is_none() {
            let now = self.net.timer.now();
            self.probe.set(Some((now, self.received.get())));
        }
    }

    /// Probes the connection while calls wait for their answers. Any received message counts as a
    /// response, and a slow method does not delay the response to a heartbeat.
    async fn check_alive(&self, wr: &mut FrameWriter) -> Result<(), Disconnect> {
        let now = self.net.timer.now();
        self.drop_abandoned();
        if let Some(sent) = self.probe_outstanding() {
            if now.since(sent) >= self.net.options.heartbeat_timeout {
                let span = now.since(self.last_received.get());
                info!(
                    peer:% = self.remote.vm, silent_ms = span.0;
                    "no response to a probe, closing the connection"
                );
                return Err(Disconnect::new(Step::Answer, Cause::Silent { span }));
            }
            return Ok(());
        }
        let idle = now.since(self.last_received.get());
        if idle >= self.net.options.heartbeat_period {
            self.send_probe(wr).await?;
        }
        Ok(())
    }

    /// Drops the calls whose callers have stopped waiting, so that a peer that never answers does
    /// not exhaust memory.
    fn drop_abandoned(&self) {
        let mut pending = self.pending.borrow_mut();
        let before = pending.len();
        pending.retain(|_, call| !call.is_abandoned());
        let dropped = before - pending.len();
        self.peer
            .outstanding
            .set(self.peer.outstanding.get() - dropped);
    }

    fn next_check(&self) -> Millis {
        let now = self.net.timer.now();
        if let Some(sent) = self.probe_outstanding() {
            return (sent + self.net.options.heartbeat_timeout).since(now);
        }
        if self.pending.borrow().is_empty() {
            return (self.last_received.get() + self.net.options.idle_timeout).since(now);
        }
        self.net.options.heartbeat_period
    }

    fn is_idle(&self) -> bool {
        let idle = self.net.timer.now().since(self.last_received.get());
        self.pending.borrow().is_empty() && idle >= self.net.options.idle_timeout
    }

    /// Requeues idempotent calls for the next connection and fails the others, which the peer may
    /// have run before the connection ended.
    fn requeue_or_fail_pending(&self, end: &Disconnect, backlog: &mut VecDeque<OutgoingCall>) {
        for (_, call) in self.pending.take() {
            let may_retry = call.opts.idempotent && call.attempts < self.net.options.max_attempts;
            if may_retry && !call.is_abandoned() {
                backlog.push_back(call);
                continue;
            }
            self.peer.outstanding.set(self.peer.outstanding.get() - 1);
            call.fail(self.peer, end.step, end.cause.clone());
        }
    }
}

fn encode_call(call: &OutgoingCall, id: u64) -> Result<String, serde_json::Error> {
    if call.reply.is_some() {
        let params = Some(call.params.as_ref());
        return serde_json::to_string(&Request::borrowed(call.method, params, Id::Number(id)));
    }
    serde_json::to_string(&jsonrpsee_types::Notification::new(
        call.method.into(),
        call.params.as_ref(),
    ))
}
