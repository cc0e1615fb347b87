//! The async runtime for tests.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `task` to completion on the current thread, on a new epoll runtime with timers.
///
/// # Panics
///
/// Panics if the operating system cannot create an epoll instance.
pub fn block_on<F: Future>(task: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system should give an epoll instance")
        .block_on(task)
}
