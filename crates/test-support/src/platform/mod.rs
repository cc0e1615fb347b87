//! A stand-in for the platform: its key-value service and its VM list, in memory, on a
//! thread of its own, with faults that a test can switch on from any thread.

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

/// What a stand-in starts with.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    /// How many calls a second it answers.
    pub rates: Rates,
    /// The VMs in its list.
    pub vms: Vec<PlatformVm>,
}

/// Starts stand-ins for the platform.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts a stand-in on a port of 127.0.0.1 that the system chooses.
    ///
    /// # Panics
    ///
    /// Panics if no port or no thread can be had.
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

/// A running stand-in. Dropping the handle stops it.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    thread: Option<JoinHandle<()>>,
}

impl PlatformHandle {
    /// Gives the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults in force.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        change(&mut state.faults);
        state.wake();
    }

    /// Gives the faults in force; counted ones show how often they will still strike.
    pub fn current_faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Gives the number of calls so far, by kind.
    pub fn calls(&self) -> Calls {
        self.lock().limits.calls.clone()
    }

    /// Reads a key's value past the protocol and its limits.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().kv.value(key.as_bytes())
    }

    /// Gives the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().kv.keys_with_prefix(prefix)
    }

    /// Writes a key as another client would.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let mut state = self.lock();
        state.kv.put_now(key.as_bytes(), value.into());
        state.wake();
    }

    /// Ends every lease at once, as if its time had passed.
    pub fn expire_leases(&self) {
        let mut state = self.lock();
        state.kv.expire_all();
        state.wake();
    }

    /// Forgets all changes up to now, so that a watch can no longer start from them.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.kv.compact();
        state.wake();
    }

    /// Applies the writes that [`Faults::hold_writes`] kept back, in the order of arrival,
    /// and gives their number.
    pub fn apply_held_writes(&self) -> usize {
        let mut state = self.lock();
        let released = state.apply_held_writes();
        state.wake();
        released
    }

    /// Replaces the VM list; readers see it after [`Faults::vm_lag`].
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
            // A panic of the thread has been printed there; a second one here would abort.
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
        let stopped = Box::pin(state::until(&state, |state| state.stopped));
        match select(accept, stopped).await {
            Either::Left((Ok((conn, _)), _)) => {
                monoio::spawn(conn::serve(conn, state.clone()));
            }
            Either::Left((Err(err), _)) => log::warn!("accept failed: {err}"),
            Either::Right(_) => return,
        }
    }
}
