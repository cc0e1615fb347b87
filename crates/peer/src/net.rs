//! The connections of one daemon to its peers, and calls over them.

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
use crate::outgoing::{OutgoingCall, Peer, run_peer};

/// Function that opens a TCP connection to an address.
pub type Dial = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>>>;

/// Configuration and dependencies of a daemon's connections.
pub struct PeerContext {
    /// Name of the deployment. Daemons of another deployment are refused.
    pub deployment: String,
    /// The secret shared by all daemons of the deployment.
    pub secret: Secret,
    /// This VM.
    pub vm: VmName,
    /// This VM's failure domain.
    pub domain: DomainName,
    /// The incarnation of this daemon process.
    pub incarnation: Incarnation,
    /// Orders this VM's incarnations: the start time of the process by the wall clock, in
    /// milliseconds. The clock may have been set back, so a daemon raises its epoch if it finds
    /// that a predecessor at its address had a higher one.
    pub epoch: u64,
    /// Address to listen on for peers; port zero selects any free port.
    pub listen: SocketAddr,
    /// Address at which peers reach this daemon, if it differs from the listening address.
    pub advertise: Option<SocketAddr>,
    /// Address on which this daemon listens for callers, if it does.
    pub callers: Option<SocketAddr>,
    /// Clock and timers.
    pub timer: Timer,
    /// Opens outgoing connections.
    pub dial: Dial,
    /// Limits and timeouts.
    pub options: PeerOptions,
    /// The methods that peers may call.
    pub methods: MethodTable,
}

impl PeerContext {
    /// Returns a function that opens connections through the operating system.
    pub fn system_dial() -> Dial {
        Rc::new(|address| Box::pin(TcpStream::connect(address)))
    }
}

type PeerTask = (Rc<Peer>, UnboundedSender<OutgoingCall>);
type CancelSignal = Shared<oneshot::Receiver<()>>;

/// Cancels the tasks that wait for its signal when it is replaced or dropped.
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

/// State shared by all connection tasks of one daemon.
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

    /// Records the identity of a VM, unless an incarnation with the same or a higher epoch is
    /// known. A process that was paused while another one replaced it is therefore refused when
    /// it resumes.
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

    /// Handles an authenticated refusal of this daemon's own identity.
    pub(crate) fn handle_refusal(&self, refusal: &HandshakeRefusal) {
        if let HandshakeRefusal::Superseded { by } = refusal {
            self.resolve_identity_conflict(by);
        }
    }

    /// Handles the report of another incarnation of this VM with the same or a higher epoch.
    ///
    /// If that incarnation has this daemon's address, it can only be a predecessor, since two
    /// processes cannot listen on one address: this daemon raises its own epoch above it. At
    /// another address it is a replacement of this VM, and this daemon is superseded.
    pub(crate) fn resolve_identity_conflict(&self, other: &PeerId) {
        let mut me = self.me.borrow_mut();
        if other.vm != me.vm || other.incarnation == me.incarnation || other.epoch < me.epoch {
            return;
        }
        if other.address == me.address {
            info!(
                predecessor:% = other.incarnation, epoch = other.epoch;
                "raised the epoch above that of the VM's previous incarnation"
            );
            me.epoch = other.epoch + 1;
            return;
        }
        error!(vm:% = me.vm, by:% = other.address; "another process has replaced this VM");
        *self.superseded.borrow_mut() = Some(other.clone());
    }
}

/// The connections of one daemon to its peers; cheap to clone.
#[derive(Clone)]
pub struct PeerNet {
    pub(crate) state: Rc<NetState>,
}

impl PeerNet {
    /// Starts listening for peers and spawns the task that accepts their connections.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails.
    ///
    /// # Panics
    ///
    /// Panics if called outside a `monoio` runtime.
    pub fn start(cx: PeerContext) -> Result<Self, PeerError> {
        let listen_error = |e: std::io::Error| {
            let message = e.to_string();
            PeerError::new(Step::Connect, cx.listen, Handled::No, Cause::Io { message })
        };
        // `resolve_identity_conflict` relies on at most one process listening on an address.
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

    /// Returns this daemon's own identity.
    pub fn me(&self) -> PeerId {
        self.state.me()
    }

    /// Returns the identity of the process that has replaced this VM, if there is one. This
    /// daemon must then stop, because its peers refuse it.
    pub fn superseded_by(&self) -> Option<PeerId> {
        self.state.superseded.borrow().clone()
    }

    /// Returns the traffic counters of all connections.
    pub fn traffic(&self) -> Rc<Traffic> {
        Rc::clone(&self.state.traffic)
    }

    /// Returns the number of peers that this daemon calls and the number of incoming
    /// connections.
    pub fn connections(&self) -> (usize, usize) {
        (self.state.peers.borrow().len(), self.state.incoming.get())
    }

    /// Records the identity and address of a VM.
    ///
    /// # Errors
    ///
    /// Returns a refusal if an incarnation of the VM with the same or a higher epoch is known.
    pub fn learn(&self, id: &PeerId) -> Result<(), HandshakeRefusal> {
        self.state.learn(id)
    }

    /// Returns the known identity of a VM.
    pub fn identity_of(&self, vm: &VmName) -> Option<PeerId> {
        self.state.identities.borrow().get(vm).cloned()
    }

    /// Handles the report that another process runs as this VM. See [`Self::superseded_by`].
    pub fn resolve_identity_conflict(&self, other: &PeerId) {
        self.state.resolve_identity_conflict(other);
    }

    /// Returns whether [`Self::close`] has been called.
    pub fn is_closed(&self) -> bool {
        self.state.close.borrow().is_none()
    }

    /// Closes all connections; later calls open new ones. A process that was paused does this
    /// first, so that it does not act on stale data buffered in its connections.
    pub fn reset_connections(&self) {
        *self.state.reset.borrow_mut() = CancelHandle::new();
    }

    /// Closes all connections and stops accepting new ones. Further calls fail.
    pub fn close(&self) {
        self.state.close.borrow_mut().take();
        self.reset_connections();
        self.state.peers.borrow_mut().clear();
    }

    /// Calls a method of a VM, at most once.
    ///
    /// # Errors
    ///
    /// Returns an error that states the failed step, the peer, and whether the call may have run.
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

    /// Calls a method of a VM with the given options.
    ///
    /// # Errors
    ///
    /// Returns an error that states the failed step, the peer, and whether the call may have run.
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

    /// Calls a method of whichever VM listens at an address, such as a seed address from the
    /// start settings.
    ///
    /// # Errors
    ///
    /// Returns an error that states the failed step, the peer, and whether the call may have run.
    pub async fn call_address<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        params: &P,
        opts: CallOptions,
    ) -> Result<R, PeerError> {
        self.run(address, None, method, params, opts).await
    }

    /// Sends a notification to a VM. It is lost if the VM cannot be reached.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not known, too many calls are outstanding, or the
    /// parameters cannot be encoded as JSON.
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
        let call = OutgoingCall {
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

    fn peer_at(&self, address: SocketAddr) -> (Rc<Peer>, UnboundedSender<OutgoingCall>) {
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
