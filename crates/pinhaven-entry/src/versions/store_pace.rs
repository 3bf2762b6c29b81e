//! Timing of calls to the store: the delay before the first call and the pauses between retries.

use pinhaven_agree::RetryBackoff;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::Microseconds;

/// Bounds of the age, in milliseconds, up to which an entry contacts only its seeds; each entry chooses
/// its age at random. A live seed answers within a few milliseconds. When all entries have just started,
/// the first few call the store and advertise the result to the others, which takes about 100 ms. A
/// longer range saves few calls to the store and costs requests after an outage of all entries.
const SEEDS_ONLY_MS: (u64, u64) = (10, 110);

/// Rank for the retries of calls that only few entries make.
pub(crate) const FIRST_RANK: u32 = 0;

/// Waits before the next call. `rank` is the position of this entry among those that call the store.
pub(crate) async fn pause_before_retry(pause: &mut RetryBackoff, rank: u32) {
    let pause = pause.next_delay(rank, fastrand::f64());
    sleep_ms(pause.count() / 1_000).await;
}

/// Age of the process from which an entry may call the store.
pub(crate) fn store_access_after() -> Microseconds {
    let (min, max) = SEEDS_ONLY_MS;
    Microseconds::from_ms(fastrand::u64(min..max))
}
