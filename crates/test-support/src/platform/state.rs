//! All that the stand-in's connections share.

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
    /// Writes kept back by a fault, with their paths.
    pub held: Vec<(String, Value)>,
    waiting: Vec<Waker>,
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
            waiting: Vec::new(),
        }
    }

    /// Wakes every task that waits for a change.
    pub fn wake(&mut self) {
        for waker in self.waiting.drain(..) {
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

/// Locks the state, whatever became of a thread that held it before.
pub(super) fn lock(state: &Arc<Mutex<State>>) -> MutexGuard<'_, State> {
    state
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits until `ready` holds.
pub(super) async fn until(state: &Arc<Mutex<State>>, ready: impl Fn(&State) -> bool) {
    poll_fn(|cx| {
        let mut state = lock(state);
        if ready(&state) {
            return Poll::Ready(());
        }
        state.waiting.push(cx.waker().clone());
        Poll::Pending
    })
    .await;
}
