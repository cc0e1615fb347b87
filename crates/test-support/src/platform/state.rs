//! The state shared by the fake platform's connections.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Poll, Waker};

use serde_json::Value;

use super::PlatformConfig;
use super::api;
use super::faults::Faults;
use super::kv::Kv;
use super::limits::Limits;
use super::vms::Vms;

#[derive(Debug)]
pub(super) struct State {
    pub kv: Kv,
    pub faults: Faults,
    pub limits: Limits,
    pub vms: Vms,
    pub stopped: bool,
    /// Paths and bodies of the writes held by [`Faults::hold_writes`].
    pub held: Vec<(String, Value)>,
    wakers: Vec<Waker>,
}

impl State {
    pub fn new(cfg: PlatformConfig) -> Self {
        Self {
            kv: Kv::new(),
            faults: Faults::default(),
            limits: Limits::new(cfg.rates),
            vms: Vms::new(cfg.vms),
            stopped: false,
            held: Vec::new(),
            wakers: Vec::new(),
        }
    }

    /// Wakes every task that waits in [`wait_until`].
    pub fn wake(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }

    pub fn apply_held_writes(&mut self) -> usize {
        let held = std::mem::take(&mut self.held);
        for (path, body) in &held {
            api::apply(&mut self.kv, path, body);
        }
        held.len()
    }
}

/// Locks the state, ignoring poisoning by a thread that panicked.
pub(super) fn lock(state: &Arc<Mutex<State>>) -> MutexGuard<'_, State> {
    state
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits until `ready` returns true. It is checked again after each [`State::wake`].
pub(super) async fn wait_until(state: &Arc<Mutex<State>>, ready: impl Fn(&State) -> bool) {
    poll_fn(|cx| {
        let mut state = lock(state);
        if ready(&state) {
            return Poll::Ready(());
        }
        state.wakers.push(cx.waker().clone());
        Poll::Pending
    })
    .await;
}
