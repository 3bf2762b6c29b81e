//! How often an entry asks the store, and from when on.

use pinhaven_agree::RetryPause;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::Microseconds;

/// The least and the most age, in milliseconds, until which an entry asks only its seeds, drawn by each.
/// A seed that lives answers within a few milliseconds. When all have just started, the first few ask the
/// store and tell the others, which takes some 100 ms. Credit of the two seconds in which all entries lose power:
/// 0.543, and 0.530 at 20 to 220 ms, for two calls more (15 runs without processor time).
const SEEDS_ONLY_MS: (u64, u64) = (10, 110);

/// Rank of an entry where only few ask.
pub(crate) const FIRST_RANK: u32 = 0;

/// Waits before the next call of the entry that is `rank`th among those that ask.
pub(crate) async fn pause_before_retry(pause: &mut RetryPause, rank: u32) {
    let pause = pause.next(rank, fastrand::f64());
    sleep_ms(pause.count() / 1_000).await;
}

/// Age at which an entry may first ask the store.
pub(crate) fn store_access_after() -> Microseconds {
    let (least, most) = SEEDS_ONLY_MS;
    Microseconds::from_ms(fastrand::u64(least..most))
}
