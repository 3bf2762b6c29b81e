//! The task executor of the process.

use crate::busy_time::count_busy;
use crate::busy_time::set_threads;
use async_executor::Executor;
use async_executor::Task;
use std::future::Future;
use std::time::Duration;

static EXECUTOR: Executor<'static> = Executor::new();

/// Spawns a task on the executor of the process.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Blocks the current thread on a future and runs spawned tasks meanwhile.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_io::block_on(count_busy(EXECUTOR.run(future)))
}

/// Blocks the current thread on a future and runs spawned tasks on `thread_count` threads in total, the current one
/// included.
pub fn run_with_threads<T>(thread_count: usize, future: impl Future<Output = T>) -> T {
    set_threads(thread_count);
    let (stop_sender, stop_receiver) = async_channel::bounded::<()>(1);
    // The closure owns the sender: a panic in the closure drops the sender, which stops the other threads.
    std::thread::scope(move |scope| {
        for _ in 1..thread_count {
            let stop = stop_receiver.clone();
            scope.spawn(move || {
                block_on(async {
                    let _ = stop.recv().await;
                })
            });
        }
        let outcome = block_on(future);
        stop_sender.close();
        outcome
    })
}

/// Sleeps for `time_ms` milliseconds.
pub async fn sleep_ms(time_ms: u64) {
    async_io::Timer::after(Duration::from_millis(time_ms)).await;
}

/// Runs a future with a timeout. Returns `None` if the timeout expires first.
pub async fn within<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        async_io::Timer::after(timeout).await;
        None
    })
    .await
}

/// Executor for hyper that spawns on the executor of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct HyperExecutor;

impl<F> hyper::rt::Executor<F> for HyperExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        spawn(future).detach();
    }
}
