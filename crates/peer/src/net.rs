//! All connections of one daemon with its peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use heatherknot_types::prelude::*;
use log::{error, info};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::auth::{HandshakeRefusal, PeerId, Secret};
use crate::error::{Cause, Handled, PeerError, Step};
use crate::frame::Traffic;
use crate::handshake::json_cause;
use crate::incoming::accept_loop;
use crate::methods::MethodTable;
use crate::options::{CallOptions, PeerOptions};
use crate::outgoing::{Peer, QueuedCall, run_peer};

/// Opens a TCP connection.
pub type Dial = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>>>;

/// What the connections of one daemon are started with.
pub struct PeerContext {
    /// The deployment; daemons of another one are refused.
    pub deployment: String,
    /// The secret that the deployment's daemons share.
    pub secret: Secret,
    /// This VM.
    pub vm: VmName,
    /// This VM's failure domain.
    pub domain: DomainName,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// Orders this VM's incarnations: the time of the process's start in milliseconds of the
    /// calendar clock. A hint: a daemon that finds its predecessor ahead raises its own.
    pub epoch: u64,
    /// Where to listen; port zero takes any.
    pub listen: SocketAddr,
    /// Where peers reach this daemon, if not at the address that it listens on.
    pub advertise: Option<SocketAddr>,
    /// Where this daemon listens for callers, if it takes any.
    pub callers: Option<SocketAddr>,
    /// The clock.
    pub timer: Timer,
    /// Opens connections.
    pub dial: Dial,
    /// Limits and periods.
    pub options: PeerOptions,
    /// The methods that peers may call.
    pub methods: MethodTable,
}

impl PeerContext {
    /// Gives a port that opens connections by the operating system.
    pub fn system_dial() -> Dial {
        Rc::new(|address| Box::pin(TcpStream::connect(address)))
    }
}

type PeerTask = (Rc<Peer>, UnboundedSender<QueuedCall>);
type CancelSignal = Shared<oneshot::Receiver<()>>;

/// Ends what waits for it when it is replaced or dropped.
struct CancelHandle {
    _tx: oneshot::Sender<()>,
    signal: CancelSignal,
}

impl CancelHandle {
    fn new() -> Self {
        let (tx, rx) = oneshot::channel();
        Self {
            _tx: tx,
            signal: rx.shared(),
        }
    }
}

/// The state that all tasks of one daemon's connections share.
pub(crate) struct NetState {
    pub(crate) deployment: String,
    pub(crate) secret: Secret,
    pub(crate) timer: Timer,
    pub(crate) dial: Dial,
    pub(crate) options: PeerOptions,
    pub(crate) methods: MethodTable,
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) incoming: Cell<usize>,
    me: RefCell<PeerId>,
    superseded: RefCell<Option<PeerId>>,
    identities: RefCell<BTreeMap<VmName, PeerId>>,
    peers: RefCell<BTreeMap<SocketAddr, PeerTask>>,
    close: RefCell<Option<CancelHandle>>,
    reset: RefCell<CancelHandle>,
}

impl NetState {
    pub(crate) fn me(&self) -> PeerId {
        self.me.borrow().clone()
    }

    pub(crate) fn close_signal(&self) -> CancelSignal {
        match &*self.close.borrow() {
            Some(handle) => handle.signal.clone(),
            None => CancelHandle::new().signal,
        }
    }

    pub(crate) fn reset_signal(&self) -> CancelSignal {
        self.reset.borrow().signal.clone()
    }

    pub(crate) fn remove_peer(&self, peer: &Rc<Peer>) {
        let mut peers = self.peers.borrow_mut();
        if let Some((known, _)) = peers.get(&peer.address)
            && Rc::ptr_eq(known, peer)
        {
            peers.remove(&peer.address);
        }
    }

    /// Notes who a VM is. The incarnation with the higher epoch wins for good, so a process
    /// that was paused while another took its place is refused when it comes back.
    pub(crate) fn learn(&self, id: &PeerId) -> Result<(), HandshakeRefusal> {
        let mut identities = self.identities.borrow_mut();
        if let Some(known) = identities.get(&id.vm)
            && known.incarnation != id.incarnation
            && known.epoch >= id.epoch
        {
            let by = Box::new(known.clone());
            return Err(HandshakeRefusal::Superseded { by });
        }
        identities.insert(id.vm.clone(), id.clone());
        Ok(())
    }

    /// Acts on an authenticated refusal of this daemon's own identity.
    pub(crate) fn handle_refusal(&self, refusal: &HandshakeRefusal) {
        if let HandshakeRefusal::Superseded { by } = refusal {
            self.resolve_identity_conflict(by);
        }
    }

    /// Answers the claim that another incarnation of this VM is the later one. At this
    /// daemon's own address it can only be a predecessor, since two processes can't listen
    /// at one address: this daemon goes ahead of it. Elsewhere it has replaced this VM.
    pub(crate) fn resolve_identity_conflict(&self, other: &PeerId) {
        let mut me = self.me.borrow_mut();
        if other.vm != me.vm || other.incarnation == me.incarnation || other.epoch < me.epoch {
            return;
        }
        if other.address == me.address {
            info!(predecessor:% = other.incarnation, epoch = other.epoch; "going ahead of the VM's earlier run");
            me.epoch = other.epoch + 1;
            return;
        }
        error!(vm:% = me.vm, by:% = other.address; "another process has taken this VM's place");
        *self.superseded.borrow_mut() = Some(other.clone());
    }
}

/// All connections of one daemon with its peers; cheap to clone.
#[derive(Clone)]
pub struct PeerNet {
    pub(crate) state: Rc<NetState>,
}

impl PeerNet {
    /// Listens for peers and starts the task that accepts their connections.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be listened on.
    ///
    /// # Panics
    ///
    /// Panics outside a `monoio` runtime.
    pub fn start(cx: PeerContext) -> Result<Self, PeerError> {
        let listen_error = |e: std::io::Error| {
            let message = e.to_string();
            PeerError::new(Step::Connect, cx.listen, Handled::No, Cause::Io { message })
        };
        // One process at an address: `resolve_identity_conflict` relies on it.
        let opts = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(cx.listen, &opts).map_err(listen_error)?;
        let bound = listener.local_addr().map_err(listen_error)?;
        let me = PeerId {
            vm: cx.vm,
            domain: cx.domain,
            incarnation: cx.incarnation,
            epoch: cx.epoch,
            address: cx.advertise.unwrap_or(bound),
            callers: cx.callers,
        };
        let state = Rc::new(NetState {
            deployment: cx.deployment,
            secret: cx.secret,
            timer: cx.timer,
            dial: cx.dial,
            options: cx.options,
            methods: cx.methods,
            traffic: Rc::default(),
            incoming: Cell::new(0),
            me: RefCell::new(me),
            superseded: RefCell::default(),
            identities: RefCell::default(),
            peers: RefCell::default(),
            close: RefCell::new(Some(CancelHandle::new())),
            reset: RefCell::new(CancelHandle::new()),
        });
        monoio::spawn(accept_loop(Rc::clone(&state), listener));
        Ok(Self { state })
    }

    /// Gives this daemon's identity as its peers see it.
    pub fn me(&self) -> PeerId {
        self.state.me()
    }

    /// Gives the process that has taken this VM's place, where there is one. This daemon
    /// must then stop: its peers refuse it.
    pub fn superseded_by(&self) -> Option<PeerId> {
        self.state.superseded.borrow().clone()
    }

    /// Gives the counts of what crossed the connections.
    pub fn traffic(&self) -> Rc<Traffic> {
        Rc::clone(&self.state.traffic)
    }

    /// Gives the number of peers that this daemon has a task for, and of connections that
    /// peers opened.
    pub fn connections(&self) -> (usize, usize) {
        (self.state.peers.borrow().len(), self.state.incoming.get())
    }

    /// Notes the identity and address of a VM.
    ///
    /// # Errors
    ///
    /// Returns a refusal where a later incarnation of the VM is known.
    pub fn learn(&self, id: &PeerId) -> Result<(), HandshakeRefusal> {
        self.state.learn(id)
    }

    /// Gives the known identity of a VM.
    pub fn identity_of(&self, vm: &VmName) -> Option<PeerId> {
        self.state.identities.borrow().get(vm).cloned()
    }

    /// Answers the claim that another process runs as this VM: see [`Self::superseded_by`].
    pub fn resolve_identity_conflict(&self, other: &PeerId) {
        self.state.resolve_identity_conflict(other);
    }

    /// Tells whether [`Self::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.state.close.borrow().is_none()
    }

    /// Ends every connection; calls open new ones. A process that was paused does this before
    /// it acts on anything that waited in them.
    pub fn reset_connections(&self) {
        *self.state.reset.borrow_mut() = CancelHandle::new();
    }

    /// Ends every connection and accepts no more. Further calls fail.
    pub fn close(&self) {
        self.state.close.borrow_mut().take();
        self.reset_connections();
        self.state.peers.borrow_mut().clear();
    }

    /// Calls a method of a VM, at most once.
    ///
    /// # Errors
    ///
    /// Returns an error that tells the step, the peer, and whether the call may have run.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        vm: &VmName,
        method: &'static str,
        params: &P,
        timeout: Millis,
    ) -> Result<R, PeerError> {
        self.call_with(vm, method, params, CallOptions::once(timeout))
            .await
    }

    /// Calls a method of a VM as `opts` say.
    ///
    /// # Errors
    ///
    /// Returns an error that tells the step, the peer, and whether the call may have run.
    pub async fn call_with<P: Serialize, R: DeserializeOwned>(
        &self,
        vm: &VmName,
        method: &'static str,
        params: &P,
        opts: CallOptions,
    ) -> Result<R, PeerError> {
        let address = self.resolve(vm)?;
        self.run(address, Some(vm), method, params, opts).await
    }

    /// Calls a method of whichever VM listens at an address, such as one from the start
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error that tells the step, the peer, and whether the call may have run.
    pub async fn call_address<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        params: &P,
        opts: CallOptions,
    ) -> Result<R, PeerError> {
        self.run(address, None, method, params, opts).await
    }

    /// Sends a notification to a VM, which is lost where the VM can't be reached.
    ///
    /// # Errors
    ///
    /// Returns an error where the address is not known, too many calls wait, or the
    /// parameters can't be written as JSON.
    pub fn notify<P: Serialize>(
        &self,
        vm: &VmName,
        method: &'static str,
        params: &P,
    ) -> Result<(), PeerError> {
        let address = self.resolve(vm)?;
        let opts = CallOptions::once(Millis(0));
        self.enqueue(address, Some(vm), method, params, opts, None)?;
        Ok(())
    }

    fn resolve(&self, vm: &VmName) -> Result<SocketAddr, PeerError> {
        let known = self.state.identities.borrow().get(vm).map(|id| id.address);
        known.ok_or_else(|| PeerError::new(Step::Resolve, vm, Handled::No, Cause::UnknownVm))
    }

    async fn run<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        vm: Option<&VmName>,
        method: &'static str,
        params: &P,
        opts: CallOptions,
    ) -> Result<R, PeerError> {
        let timeout = opts.timeout;
        let name = vm.map_or_else(|| address.to_string(), ToString::to_string);
        let (tx, rx) = oneshot::channel();
        let written = self.enqueue(address, vm, method, params, opts, Some(tx))?;
        let fail = |step, cause| {
            let handled = if written.get() {
                Handled::Maybe
            } else {
                Handled::No
            };
            PeerError::new(step, &name, handled, cause)
        };
        let answer = match self.state.timer.limit(timeout, rx).await {
            Some(Ok(result)) => result?,
            Some(Err(_)) => return Err(fail(Step::Queue, Cause::Closing)),
            None => return Err(fail(Step::Answer, Cause::Timeout { timeout })),
        };
        serde_json::from_str(answer.get())
            .map_err(|e| PeerError::new(Step::Answer, &name, Handled::Yes, json_cause(e)))
    }

    fn enqueue<P: Serialize>(
        &self,
        address: SocketAddr,
        vm: Option<&VmName>,
        method: &'static str,
        params: &P,
        opts: CallOptions,
        reply: Option<oneshot::Sender<crate::outgoing::CallResult>>,
    ) -> Result<Rc<Cell<bool>>, PeerError> {
        let refuse = |step, cause| {
            let name = vm.map_or_else(|| address.to_string(), ToString::to_string);
            PeerError::new(step, name, Handled::No, cause)
        };
        let params = serde_json::value::to_raw_value(params)
            .map_err(|e| refuse(Step::Send, json_cause(e)))?;
        if self.state.close.borrow().is_none() {
            return Err(refuse(Step::Queue, Cause::Closing));
        }
        let (peer, tx) = self.peer_at(address);
        let waiting = peer.outstanding.get();
        if waiting >= self.state.options.max_outstanding_calls {
            return Err(refuse(Step::Queue, Cause::QueueFull { waiting }));
        }
        let written = Rc::new(Cell::new(false));
        let call = QueuedCall {
            method,
            params,
            opts,
            vm: vm.cloned(),
            reply,
            attempts: 0,
            written: Rc::clone(&written),
        };
        peer.outstanding.set(waiting + 1);
        tx.unbounded_send(call)
            .map_err(|_| refuse(Step::Queue, Cause::Closing))?;
        Ok(written)
    }

    fn peer_at(&self, address: SocketAddr) -> (Rc<Peer>, UnboundedSender<QueuedCall>) {
        let mut peers = self.state.peers.borrow_mut();
        let (peer, tx) = peers.entry(address).or_insert_with(|| {
            let peer = Rc::new(Peer {
                address,
                outstanding: Cell::new(0),
            });
            let (tx, rx) = unbounded();
            monoio::spawn(run_peer(Rc::clone(&self.state), Rc::clone(&peer), rx));
            (peer, tx)
        });
        (Rc::clone(peer), tx.clone())
    }
}
