//! Busy time of the executor's threads. The test is the only one of its process, because the time is the process's.

use pinhaven_runtime::busy_time;
use pinhaven_runtime::run_with_threads;
use pinhaven_runtime::sleep_ms;
use std::time::Duration;
use std::time::Instant;

#[test]
fn time_in_tasks_is_busy_and_time_between_them_is_not() {
    const WORK: Duration = Duration::from_millis(30);
    run_with_threads(1, async {
        let started = Instant::now();
        while started.elapsed() < WORK {}
        // A task that sleeps has returned to the executor, and only then counts what it did.
        for _ in 0..4 {
            sleep_ms(50).await;
        }
        let (busy, elapsed) = (busy_time(), started.elapsed());
        assert!(busy >= WORK, "{busy:?}");
        let idle = elapsed.saturating_sub(busy);
        assert!(idle >= Duration::from_millis(1), "{idle:?} of {elapsed:?}");
    });
}
