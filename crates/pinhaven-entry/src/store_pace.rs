//! How often an entry asks the store, and from when on.

use pinhaven_runtime::sleep_ms;
use pinhaven_types::Microseconds;

/// Pause after a failed call to the store, in milliseconds, doubled with each failure in a row.
const RETRY_FIRST_MS: u64 = 150;
/// The longest such pause, in milliseconds; the store's return must be noticed within a second.
const RETRY_MOST_MS: u64 = 800;
/// The least and the most age, in milliseconds, until which an entry asks only its seeds, drawn by each.
/// A seed that lives answers within a few milliseconds. When all have just started, the first few ask the
/// store and tell the others, which takes some 100 ms.
const ASK_PEERS_FIRST_MS: (u64, u64) = (20, 220);

/// A pause that grows with each failure in a row.
pub(crate) struct Backoff(u64);

impl Backoff {
    pub(crate) const fn new() -> Self {
        Self(RETRY_FIRST_MS)
    }

    pub(crate) async fn pause(&mut self) {
        let pause_ms = self.0 / 2 + fastrand::u64(0..=self.0);
        sleep_ms(pause_ms).await;
        self.0 = (self.0 * 2).min(RETRY_MOST_MS);
    }
}

/// Age at which an entry may first ask the store.
pub(crate) fn asks_store_from() -> Microseconds {
    let (least, most) = ASK_PEERS_FIRST_MS;
    Microseconds::from_ms(fastrand::u64(least..most))
}
