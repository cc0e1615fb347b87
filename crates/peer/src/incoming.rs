//! Incoming connections, each served by its own task.

use std::cell::Cell;
use std::rc::Rc;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use futures_util::{FutureExt, StreamExt};
use jsonrpsee_core::server::Methods;
use log::{debug, info};
use monoio::net::{TcpListener, TcpStream};

use crate::error::Cause;
use crate::frame::{FrameReader, FrameWriter};
use crate::handshake::{Connection, accept};
use crate::methods::{dispatch, encode_refusal};
use crate::net::NetState;

/// Accepts connections until the daemon closes its connections.
pub(crate) async fn accept_loop(net: Rc<NetState>, listener: TcpListener) {
    let close_signal = net.close_signal();
    loop {
        let accepted = std::pin::pin!(listener.accept());
        match select(accepted, close_signal.clone()).await {
            Either::Left((Ok((stream, _)), _)) => spawn_connection(&net, stream),
            Either::Left((Err(e), _)) => {
                // For example out of file descriptors: retrying immediately would busy-loop.
                info!(step = "accepting", error:% = e; "failed to accept a peer's connection");
                net.timer.wait(net.options.heartbeat_period).await;
            }
            Either::Right(_) => return,
        }
    }
}

fn spawn_connection(net: &Rc<NetState>, stream: TcpStream) {
    let open = net.incoming.get();
    if open >= net.options.max_incoming_connections {
        debug!(open; "refused a peer's connection: too many are open");
        return;
    }
    net.incoming.set(open + 1);
    let net = Rc::clone(net);
    monoio::spawn(async move {
        let reset = net.reset_signal();
        let work = std::pin::pin!(run_connection(&net, stream));
        if let Either::Left((Err(cause), _)) = select(work, reset).await {
            debug!(step = "serving", cause:% = cause; "a peer's connection ended");
        }
        net.incoming.set(net.incoming.get() - 1);
    });
}

async fn run_connection(net: &Rc<NetState>, stream: TcpStream) -> Result<(), Cause> {
    let timeout = net.options.handshake_timeout;
    let Some(accepted) = net.timer.limit(timeout, accept(net, stream)).await else {
        return Err(Cause::Timeout { timeout });
    };
    let connection = accepted.inspect_err(|cause| {
        if let Cause::Refused { refusal } = cause {
            info!(step = "handshake", refusal:% = refusal; "refused a peer in the handshake");
        }
    })?;
    serve(net, connection).await
}

/// Queue of answers from the reading half and the running calls to the writing half.
struct AnswerQueue {
    tx: UnboundedSender<Vec<u8>>,
    /// Number of answers that have not been written yet.
    queued: Cell<usize>,
    /// Number of calls that are running.
    running: Cell<usize>,
}

impl AnswerQueue {
    fn push(&self, message: Vec<u8>) {
        self.queued.set(self.queued.get() + 1);
        // Sending fails if the connection has ended; nobody waits for the answer then.
        let _ = self.tx.unbounded_send(message);
    }
}

async fn serve(net: &Rc<NetState>, connection: Connection) -> Result<(), Cause> {
    let (tx, rx) = unbounded();
    let answers = Rc::new(AnswerQueue {
        tx,
        queued: Cell::new(0),
        running: Cell::new(0),
    });
    let methods = net.methods.methods_for(&connection.remote);
    let reading = read_calls(net, connection.rd, methods, &answers);
    let writing = write_answers(net, connection.wr, rx, &answers);
    select(std::pin::pin!(reading), std::pin::pin!(writing))
        .map(|ended| ended.factor_first().0)
        .await
}

async fn read_calls(
    net: &Rc<NetState>,
    mut rd: FrameReader,
    methods: Methods,
    answers: &Rc<AnswerQueue>,
) -> Result<(), Cause> {
    let idle = net.options.incoming_idle_timeout;
    loop {
        // A client that disappears without closing would leave its connection open forever. A
        // live client that sent nothing for this long can open a new connection.
        let Some(read) = net.timer.limit(idle, rd.read()).await else {
            return Err(Cause::Silent { span: idle });
        };
        let frame = read.map_err(|frame| Cause::Frame { frame })?;
        let queued = answers.queued.get();
        if queued > 2 * net.options.max_running_calls {
            // The client sends calls without reading the answers, which would exhaust memory.
            return Err(Cause::QueueFull { waiting: queued });
        }
        if frame.is_empty() {
            answers.push(Vec::new());
            continue;
        }
        let message = String::from_utf8(frame.into_vec()).map_err(|e| Cause::Json {
            message: e.to_string(),
        })?;
        run_call(net, message, &methods, answers);
    }
}

fn run_call(net: &NetState, message: String, methods: &Methods, answers: &Rc<AnswerQueue>) {
    if answers.running.get() >= net.options.max_running_calls {
        if let Some(refusal) = encode_refusal(&message, "too many calls run on this connection") {
            answers.push(refusal);
        }
        return;
    }
    answers.running.set(answers.running.get() + 1);
    let methods = methods.clone();
    let answers = Rc::clone(answers);
    let limit = net.options.max_message;
    monoio::spawn(async move {
        match dispatch(&methods, &message).await {
            Ok(Some(answer)) if answer.get().len() > limit => {
                answers.tx.close_channel();
            }
            Ok(Some(answer)) => answers.push(String::from(Box::<str>::from(answer)).into_bytes()),
            Ok(None) => {}
            // An authenticated peer that sends invalid JSON-RPC is faulty, so its connection is
            // closed.
            Err(_) => answers.tx.close_channel(),
        }
        answers.running.set(answers.running.get() - 1);
    });
}

async fn write_answers(
    net: &NetState,
    mut wr: FrameWriter,
    mut rx: UnboundedReceiver<Vec<u8>>,
    answers: &AnswerQueue,
) -> Result<(), Cause> {
    let timeout = net.options.heartbeat_timeout;
    while let Some(message) = rx.next().await {
        match net.timer.limit(timeout, wr.write(&message)).await {
            Some(written) => written.map_err(|frame| Cause::Frame { frame })?,
            None => return Err(Cause::Silent { span: timeout }),
        }
        answers.queued.set(answers.queued.get() - 1);
    }
    Ok(())
}
