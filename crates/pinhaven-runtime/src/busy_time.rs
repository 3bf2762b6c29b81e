//! Time for which the executor's threads have been busy.
//!
//! A thread is busy while it runs tasks and idle while it waits for sockets and timers. The time is that of the steady
//! clock, so it includes time for which the operating system had the thread wait for a processor: an instance that may
//! use a fifth of a processor is full when its threads are always busy, although they run for a fifth of the time.

use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time for which all threads together have been busy, in nanoseconds.
static BUSY_NS: AtomicU64 = AtomicU64::new(0);
/// Number of threads.
static THREADS: AtomicU64 = AtomicU64::new(1);

/// Time for which the executor's threads have been busy, on average over the threads.
pub fn busy_time() -> Duration {
    let threads = THREADS.load(Ordering::Relaxed).max(1);
    Duration::from_nanos(BUSY_NS.load(Ordering::Relaxed) / threads)
}

pub(crate) fn set_threads(threads: usize) {
    THREADS.store(threads as u64, Ordering::Relaxed);
}

/// Counts the time in which `future` is polled as busy.
pub(crate) async fn count_busy<T>(future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    poll_fn(|context| {
        let began = Instant::now();
        let poll = future.as_mut().poll(context);
        let busy_ns = began.elapsed().as_nanos() as u64;
        BUSY_NS.fetch_add(busy_ns, Ordering::Relaxed);
        poll
    })
    .await
}
