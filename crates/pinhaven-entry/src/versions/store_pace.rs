//! Timing of calls to the store: the pauses between retries.

use pinhaven_agree::RetryBackoff;
use pinhaven_runtime::sleep_ms;

/// Rank for the retries of calls that only few entries make.
pub(crate) const FIRST_RANK: u32 = 0;

/// Waits before the next call. `rank` is the position of this entry among those that call the store.
pub(crate) async fn pause_before_retry(pause: &mut RetryBackoff, rank: u32) {
    let pause = pause.next_delay(rank, fastrand::f64());
    sleep_ms(pause.count() / 1_000).await;
}
