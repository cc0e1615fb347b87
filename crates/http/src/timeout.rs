//! Timeouts for futures.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// Runs `future` for at most `limit`; returns `None` if the time ran out.
///
/// Most futures are ready immediately, so the timer is created only for one that has to wait.
/// It is boxed because a timer is large and aligned to a cache line, which would otherwise apply
/// to every future that contains a timeout.
pub(crate) async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    let mut sleep = None;
    poll_fn(|cx| {
        if let Poll::Ready(value) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(value));
        }
        let sleep = sleep.get_or_insert_with(|| Box::pin(monoio::time::sleep(limit)));
        sleep.as_mut().poll(cx).map(|()| None)
    })
    .await
}
