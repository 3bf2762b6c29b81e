//! The process's one executor.

use async_executor::Executor;
use async_executor::Task;
use std::future::Future;
use std::time::Duration;

static EXECUTOR: Executor<'static> = Executor::new();

/// Spawns a task on the process's executor.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Runs a future on this thread while also running tasks.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_io::block_on(EXECUTOR.run(future))
}

/// Runs a future on this thread with `thread_count` threads in all running tasks.
pub fn run_with_threads<T>(thread_count: usize, future: impl Future<Output = T>) -> T {
    let (stop_sender, stop_receiver) = async_channel::bounded::<()>(1);
    // The sender moves into the closure, so that a panic there also ends the other threads.
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

/// Waits for a number of milliseconds.
pub async fn sleep_ms(time_ms: u64) {
    async_io::Timer::after(Duration::from_millis(time_ms)).await;
}

/// Waits for a future for at most `timeout`; `None` when the time is up.
pub async fn within<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        async_io::Timer::after(timeout).await;
        None
    })
    .await
}

/// Lets hyper spawn on the process's executor.
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
