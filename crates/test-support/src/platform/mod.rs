//! An in-memory fake of the platform: its key-value service and its VM list.
//!
//! The fake runs on its own thread. A test can inject faults from any thread.

mod api;
mod conn;
mod faults;
mod kv;
mod limits;
mod state;
mod vms;

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;

use bytes::Bytes;
use futures_util::future::{Either, select};
use monoio::net::TcpListener;

pub use faults::{Down, Faults};
pub use limits::{Calls, Rates};
pub use vms::{PlatformVm, PlatformVmState};

use state::State;

/// The initial configuration of a fake platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    /// The rate limits on calls.
    pub rates: Rates,
    /// The initial VM list.
    pub vms: Vec<PlatformVm>,
}

/// Starts fake platforms.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts a fake platform on an ephemeral port of 127.0.0.1.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound or no thread can be spawned.
    pub fn start(cfg: PlatformConfig) -> PlatformHandle {
        let listener = StdListener::bind("127.0.0.1:0").expect("loopback should have a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let state = Arc::new(Mutex::new(State::new(cfg)));
        let shared = state.clone();
        let thread = std::thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || crate::runtime::block_on(serve(listener, shared)))
            .expect("the operating system should give a thread");
        PlatformHandle {
            address,
            state,
            thread: Some(thread),
        }
    }
}

/// A handle to a running fake platform. Dropping the handle stops it.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    thread: Option<JoinHandle<()>>,
}

impl PlatformHandle {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the active faults.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        change(&mut state.faults);
        state.wake();
    }

    /// Returns the active faults. A counted fault holds the number of times it is still to occur.
    pub fn current_faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns the number of calls so far, by kind.
    pub fn calls(&self) -> Calls {
        self.lock().limits.calls.clone()
    }

    /// Returns a key's value directly, without the protocol and its rate limits.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().kv.value(key.as_bytes())
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().kv.keys_with_prefix(prefix)
    }

    /// Writes a key as another client would, without the rate limits.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let mut state = self.lock();
        state.kv.put_at_next_revision(key.as_bytes(), value.into());
        state.wake();
    }

    /// Expires every lease immediately, as if its TTL had elapsed.
    pub fn expire_leases(&self) {
        let mut state = self.lock();
        state.kv.expire_all();
        state.wake();
    }

    /// Compacts the history up to the current revision, so that a watch can no longer start
    /// from an earlier one.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.kv.compact();
        state.wake();
    }

    /// Applies the writes held by [`Faults::hold_writes`] in the order of arrival and returns
    /// their number.
    pub fn apply_held_writes(&self) -> usize {
        let mut state = self.lock();
        let released = state.apply_held_writes();
        state.wake();
        released
    }

    /// Replaces the VM list; readers see the new list after [`Faults::vm_list_lag`].
    pub fn set_vms(&self, vms: Vec<PlatformVm>) {
        self.lock().vms.set(vms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        state::lock(&self.state)
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        {
            let mut state = self.lock();
            state.stopped = true;
            state.wake();
        }
        if let Some(thread) = self.thread.take() {
            // The thread has already printed its own panic. A second panic during unwinding
            // would abort the process.
            let _ = thread.join();
        }
    }
}

async fn serve(listener: StdListener, state: Arc<Mutex<State>>) {
    listener
        .set_nonblocking(true)
        .expect("a listener can be made non-blocking");
    let listener = TcpListener::from_std(listener).expect("epoll should take the listener");
    loop {
        let accept = Box::pin(listener.accept());
        let stopped = Box::pin(state::wait_until(&state, |state| state.stopped));
        match select(accept, stopped).await {
            Either::Left((Ok((conn, _)), _)) => {
                monoio::spawn(conn::serve(conn, state.clone()));
            }
            Either::Left((Err(err), _)) => log::warn!("accept failed: {err}"),
            Either::Right(_) => return,
        }
    }
}
