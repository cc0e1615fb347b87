//! A fake backend server with configurable slots, response time, load shedding, draining and
//! faults.
//!
//! It decodes requests with the HTTP library's decoders, independently of the code under test,
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

/// The request header that identifies a request. Without it, the path identifies the request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// The path that reports health and load.
pub const HEALTH_PATH: &str = "/healthz";

/// How a backend server handles requests. It may change while the server runs.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// What happens to a request while every slot is taken.
    pub when_full: WhenFull,
    /// How long each request runs.
    pub response_time: Duration,
    /// Whether running requests are held until this is false again.
    pub held: bool,
    /// Extra response time of the first requests after the start.
    pub cold_start: ColdStart,
    /// Whether every request is rejected before it runs.
    pub shed_all: bool,
    /// Whether responses and the health report say that the server is draining.
    pub draining: bool,
    /// The status and headers of the response to a rejected request.
    pub shed_response: (StatusCode, Vec<(HeaderName, HeaderValue)>),
    /// The header that responses carry while the server drains.
    pub drain_header: (HeaderName, HeaderValue),
    /// Minimum length of each response body, in bytes. The body begins with the request's
    /// identifier, which is never truncated.
    pub body_len: usize,
    /// Whether response bodies use chunked transfer coding.
    pub chunked: bool,
    /// The body of the health report, in place of the server's actual state.
    pub health_override: Option<Bytes>,
    /// The fault applied to requests.
    pub fault: Fault,
}

/// What happens to a request while every slot is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// It waits for a slot.
    Queue,
    /// It is rejected before it runs.
    Shed,
}

/// Extra response time of the first requests after the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// How many requests take longer.
    pub requests: usize,
    /// The additional time that each takes.
    pub extra: Duration,
}

/// The fault applied to requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The request is not run, and its connection is closed without a response.
    ClosesBeforeRun,
    /// The request runs, and its connection is closed without a response.
    ClosesAfterRun,
    /// The request runs and is never answered; the connection stays open.
    NeverAnswers,
    /// The connection closes after half of the response body.
    TruncatedBody,
    /// The request is answered before its body is read, and the connection is closed.
    AnswersEarly,
    /// The request runs, and these bytes are sent as its response before the connection closes.
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
            health_override: None,
            fault: Fault::None,
        }
    }
}

/// A running fake backend server. Clones refer to the same server.
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
    /// Connections with a number below this one discard what they receive and never respond.
    blackholed_below: Cell<usize>,
    killed: Cell<bool>,
}

impl FakeBackend {
    /// Starts a backend server on an ephemeral port of this thread's runtime.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
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
            blackholed_below: Cell::new(0),
            killed: Cell::new(false),
        });
        monoio::spawn(connection::accept(listener, Rc::clone(&state)));
        Self { state, address }
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it handles requests from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.state.behavior.borrow_mut());
    }

    /// Discards everything received on the connections that are open now, as a middlebox does
    /// that has lost their state. New connections work.
    pub fn blackhole_open_connections(&self) {
        self.state.blackholed_below.set(self.state.accepted.get());
    }

    /// Closes each connection at its next request and accepts no new ones.
    pub fn kill(&self) {
        self.state.killed.set(true);
    }

    /// Returns how often the request with this identifier ran.
    pub fn runs_of(&self, id: &str) -> usize {
        self.state.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Returns how often each request ran.
    pub fn runs(&self) -> HashMap<String, usize> {
        self.state.runs.borrow().clone()
    }

    /// Returns the body that the request with this identifier had when it ran last.
    pub fn body_of(&self, id: &str) -> Option<Vec<u8>> {
        self.state.bodies.borrow().get(id).cloned()
    }

    /// Returns the number of requests currently running.
    pub fn running(&self) -> usize {
        self.state.running.get()
    }

    /// Returns the maximum number of requests that ran at once.
    pub fn most_running(&self) -> usize {
        self.state.most_running.get()
    }

    /// Returns how often the peer closed the connection of a running request.
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.get()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.get()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.state.accepted.get()
    }
}
