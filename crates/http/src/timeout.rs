//! Time limits on single steps.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// Runs `future` for at most `limit`; gives nothing where the time ran out.
///
/// Most steps are ready at once, so the timer is made only for one that has to wait. It is
/// boxed, since a timer is large and aligned to a cache line: inline, it would make every
/// future that has a time limit so.
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
