//! Fixtures for the tests of this package: a virtual clock, daemons on loopback, and connections
//! that can be cut.
#![allow(dead_code)]

pub mod fleet;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use heatherknot_peer::{Dial, MethodTable, PeerContext, PeerNet, PeerOptions, Secret};
use heatherknot_types::prelude::*;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

/// Virtual milliseconds by which the clock advances for each real pause of one millisecond.
const STEP: u64 = 25;
/// Number of steps after which waiting for a condition fails the test.
const MAX_STEPS: u64 = 60_000;

/// Runs a test on the same runtime as the daemons.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test)
}

/// Sleeps for a real millisecond, so that sockets make progress.
pub async fn let_sockets_progress() {
    monoio::time::sleep(Duration::from_millis(1)).await;
}

/// The virtual time at which a sleep ends, and the channel that ends it.
type Sleeper = (u64, oneshot::Sender<()>);

/// A virtual clock that only the test advances.
#[derive(Clone, Default)]
pub struct TestTime {
    now: Rc<Cell<u64>>,
    sleepers: Rc<RefCell<Vec<Sleeper>>>,
}

impl TestTime {
    pub fn now(&self) -> Millis {
        Millis(self.now.get())
    }

    pub fn timer(&self) -> Timer {
        let (now, at) = (Rc::clone(&self.now), self.clone());
        Timer {
            clock: Clock::new(move || Millis(now.get())),
            sleep: Rc::new(move |span| at.sleep(span)),
        }
    }

    /// Returns a timer whose sleeps do not end while `paused` is set, as in a paused process.
    pub fn pausable_timer(&self, paused: &Rc<Cell<bool>>) -> Timer {
        let (time, paused) = (self.clone(), Rc::clone(paused));
        let mut timer = self.timer();
        timer.sleep = Rc::new(move |span| {
            let (time, paused) = (time.clone(), Rc::clone(&paused));
            Box::pin(async move {
                time.sleep(span).await;
                while paused.get() {
                    time.sleep(Millis(STEP)).await;
                }
            })
        });
        timer
    }

    fn sleep(&self, span: Millis) -> futures_util::future::LocalBoxFuture<'static, ()> {
        let (tx, rx) = oneshot::channel();
        let due = self.now.get() + span.0.max(1);
        self.sleepers.borrow_mut().push((due, tx));
        Box::pin(async move {
            let _ = rx.await;
        })
    }

    /// Advances the clock and ends all sleeps that are due.
    pub fn advance(&self, span: u64) {
        let now = self.now.get() + span;
        self.now.set(now);
        let mut sleepers = self.sleepers.borrow_mut();
        sleepers.retain(|(_, tx)| !tx.is_canceled());
        let due: Vec<_> = sleepers.extract_if(.., |(due, _)| *due <= now).collect();
        drop(sleepers);
        for (_, tx) in due {
            let _ = tx.send(());
        }
    }

    /// Advances the clock in steps until `done` returns true.
    pub async fn wait_until(&self, what: &str, mut done: impl FnMut() -> bool) {
        for _ in 0..MAX_STEPS {
            if done() {
                return;
            }
            let_sockets_progress().await;
            self.advance(STEP);
        }
        panic!("condition not met: {what}");
    }

    /// Advances the clock in steps until `work` completes, and returns its output.
    pub async fn drive<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> T {
        let (tx, mut rx) = oneshot::channel();
        monoio::spawn(async move {
            let _ = tx.send(work.await);
        });
        let output = RefCell::new(None);
        self.wait_until("the work ends", || {
            *output.borrow_mut() = rx.try_recv().expect("the work runs");
            output.borrow().is_some()
        })
        .await;
        output.into_inner().expect("checked above")
    }

    /// Advances the clock in steps by `span` milliseconds.
    pub async fn run_for(&self, span: u64) {
        let end = self.now.get() + span;
        self.wait_until("time passes", || self.now.get() >= end)
            .await;
    }
}

/// State of the network path between two daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Delivers all bytes.
    Open,
    /// Drops all bytes silently, on existing and new connections.
    Cut,
    /// Drops all bytes of existing connections silently and delivers those of new ones.
    CutExisting,
}

/// A simulated network through which daemons open connections.
#[derive(Clone, Default)]
pub struct Network {
    paths: Rc<RefCell<BTreeMap<(VmName, SocketAddr), Path>>>,
    generation: Rc<Cell<u64>>,
}

impl Network {
    /// Sets the state of the path for connections that `from` opens to `to`.
    pub fn set_path(&self, from: &str, to: SocketAddr, path: Path) {
        self.generation.set(self.generation.get() + 1);
        self.paths
            .borrow_mut()
            .insert((VmName::from(from), to), path);
    }

    fn delivers(&self, from: &VmName, to: SocketAddr, opened_in: u64) -> bool {
        match self.paths.borrow().get(&(from.clone(), to)) {
            None | Some(Path::Open) => true,
            Some(Path::Cut) => false,
            Some(Path::CutExisting) => opened_in >= self.generation.get(),
        }
    }

    /// Returns the dial function of `from`. Each connection runs through a proxy that drops bytes
    /// according to the state of the path.
    pub fn dial(&self, from: &str) -> Dial {
        let (network, from) = (self.clone(), VmName::from(from));
        Rc::new(move |to| Box::pin(network.clone().connect(from.clone(), to)))
    }

    async fn connect(self, from: VmName, to: SocketAddr) -> std::io::Result<TcpStream> {
        let opened_in = self.generation.get();
        if !self.delivers(&from, to, opened_in) {
            std::future::pending::<()>().await;
        }
        let far = TcpStream::connect(to).await?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let near = TcpStream::connect(listener.local_addr()?).await?;
        let (inner, _) = listener.accept().await?;
        let (inner_rd, inner_wr) = inner.into_split();
        let (far_rd, far_wr) = far.into_split();
        let there = (self.clone(), from.clone());
        monoio::spawn(async move {
            forward(inner_rd, far_wr, || {
                there.0.delivers(&there.1, to, opened_in)
            })
            .await;
        });
        monoio::spawn(async move {
            forward(far_rd, inner_wr, || self.delivers(&from, to, opened_in)).await;
        });
        Ok(near)
    }
}

async fn forward(
    mut rd: impl AsyncReadRent,
    mut wr: impl AsyncWriteRent,
    delivers: impl Fn() -> bool,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let (read, filled) = rd.read(buf).await;
        let Ok(len @ 1..) = read else {
            if delivers() {
                let _ = wr.shutdown().await;
            }
            return;
        };
        buf = filled;
        if delivers() && wr.write_all(buf[..len].to_vec()).await.0.is_err() {
            return;
        }
    }
}

pub fn secret() -> Secret {
    Secret::new("a secret of the tests")
}

/// Returns the context of a daemon in the deployment `tests`.
pub fn context(vm: &str, domain: &str, time: &TestTime) -> PeerContext {
    PeerContext {
        deployment: String::from("tests"),
        secret: secret(),
        vm: VmName::from(vm),
        domain: DomainName::from(domain),
        incarnation: Incarnation(fastrand::u64(..)),
        epoch: 1_000,
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertise: None,
        callers: None,
        timer: time.timer(),
        dial: PeerContext::system_dial(),
        options: PeerOptions::default(),
        methods: MethodTable::default(),
    }
}

/// Starts a daemon's connections.
pub fn start(cx: PeerContext) -> PeerNet {
    PeerNet::start(cx).expect("listening on loopback")
}

/// Makes the identity and address of `b` known to `a`.
pub fn introduce(a: &PeerNet, b: &PeerNet) {
    a.learn(&b.me()).expect("no later incarnation is known");
}
