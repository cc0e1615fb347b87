//! A stand-in for a backend server: slots, response time, refusals, drains and faults.
//!
//! It reads requests with the library's own decoders, apart from the code that it tests,
//! and counts how often each request ran.

mod connection;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use monoio::net::TcpListener;

/// The request header that tells requests apart. Where it is missing, the path does.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// The path of the health and load answer.
pub const HEALTH_PATH: &str = "/healthz";

/// How a backend server treats its requests. It may change while the server runs.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Requests that run at once.
    pub slots: usize,
    /// What happens to a request while every slot is taken.
    pub when_full: WhenFull,
    /// How long each request runs.
    pub response_time: Duration,
    /// Whether requests that run go on running until this changes.
    pub held: bool,
    /// The first requests after the start, which take longer.
    pub cold_start: ColdStart,
    /// Whether every request is refused before it runs.
    pub shed_all: bool,
    /// Whether answers and the health answer say that the server is leaving.
    pub draining: bool,
    /// What a refused request gets.
    pub shed_response: (StatusCode, Vec<(HeaderName, HeaderValue)>),
    /// What the answers of a leaving server carry.
    pub drain_header: (HeaderName, HeaderValue),
    /// Length of the body of each answer, in bytes; it begins with the request's identifier.
    pub body_len: usize,
    /// Whether bodies are sent in the chunked coding.
    pub chunked: bool,
    /// What the health answer is, whatever the truth.
    pub health_lie: Option<Bytes>,
    /// What goes wrong with requests.
    pub fault: Fault,
}

/// What happens to a request while every slot is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// It waits for a slot.
    Queue,
    /// It is refused before it runs.
    Shed,
}

/// The first requests after the start, which take longer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// How many requests take longer.
    pub requests: usize,
    /// How much longer each takes.
    pub extra: Duration,
}

/// What goes wrong with requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The request is not run, and its connection is closed unanswered.
    ClosesBeforeRun,
    /// The request runs, and its connection is closed unanswered.
    ClosesAfterRun,
    /// The request runs and is never answered; the connection stays open.
    NeverAnswers,
    /// The connection closes after half of the answer's body.
    TruncatedBody,
    /// The request is answered before its body is read, and the connection is closed.
    AnswersEarly,
    /// The request runs, and these bytes are its answer.
    Raw(Bytes),
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            slots: usize::MAX,
            when_full: WhenFull::Queue,
            response_time: Duration::ZERO,
            held: false,
            cold_start: ColdStart::default(),
            shed_all: false,
            draining: false,
            shed_response: (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
            drain_header: (
                HeaderName::from_static("x-draining"),
                HeaderValue::from_static("1"),
            ),
            body_len: 0,
            chunked: false,
            health_lie: None,
            fault: Fault::None,
        }
    }
}

/// A running stand-in for a backend server. Clones refer to the same one.
#[derive(Clone)]
pub struct FakeBackend {
    state: Rc<State>,
    address: SocketAddr,
}

pub(crate) struct State {
    behavior: RefCell<Behavior>,
    runs: RefCell<HashMap<String, usize>>,
    bodies: RefCell<HashMap<String, Vec<u8>>>,
    running: Cell<usize>,
    most_running: Cell<usize>,
    cancelled: Cell<usize>,
    connections: Cell<usize>,
    accepted: Cell<usize>,
    /// Connections accepted before this one are silent.
    silent_below: Cell<usize>,
    killed: Cell<bool>,
}

impl FakeBackend {
    /// Starts a backend server on an ephemeral port of this thread's runtime.
    ///
    /// # Panics
    ///
    /// Panics if no port can be had.
    pub fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port");
        let address = listener.local_addr().expect("a bound address");
        let state = Rc::new(State {
            behavior: RefCell::new(behavior),
            runs: RefCell::default(),
            bodies: RefCell::default(),
            running: Cell::new(0),
            most_running: Cell::new(0),
            cancelled: Cell::new(0),
            connections: Cell::new(0),
            accepted: Cell::new(0),
            silent_below: Cell::new(0),
            killed: Cell::new(false),
        });
        monoio::spawn(connection::accept(listener, Rc::clone(&state)));
        Self { state, address }
    }

    /// Gives the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it treats requests from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.state.behavior.borrow_mut());
    }

    /// Makes every connection that is open now silent: its bytes are taken and lost, as by
    /// a middlebox that has forgotten it. New connections work.
    pub fn blackhole_open_connections(&self) {
        self.state.silent_below.set(self.state.accepted.get());
    }

    /// Closes each connection at its next request, and accepts no more.
    pub fn kill(&self) {
        self.state.killed.set(true);
    }

    /// Gives how often the request with this identifier ran.
    pub fn runs_of(&self, id: &str) -> usize {
        self.state.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Gives how often each request ran.
    pub fn runs(&self) -> HashMap<String, usize> {
        self.state.runs.borrow().clone()
    }

    /// Gives the body that the request with this identifier had when it ran last.
    pub fn body_of(&self, id: &str) -> Option<Vec<u8>> {
        self.state.bodies.borrow().get(id).cloned()
    }

    /// Gives the number of requests that run now.
    pub fn running(&self) -> usize {
        self.state.running.get()
    }

    /// Gives the most requests that ever ran at once.
    pub fn most_running(&self) -> usize {
        self.state.most_running.get()
    }

    /// Gives how often the connection of a running request was closed from the other side.
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.get()
    }

    /// Gives the number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.get()
    }

    /// Gives the number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.state.accepted.get()
    }
}
