//! Pause of an entry between an answer of the store with the configuration and the next call.
//!
//! The store sends the whole configuration at each change. Over a slow link the transfer can take longer than the time
//! until the next change. An entry that repeated the call at once each time would leave no capacity on its link to send
//! versions to its peers.

use pinhaven_types::Microseconds;

/// Maximum transfer time of an answer that needs no pause. A link of 10 Mbit/s transfers 2,700 routes in this time.
const FAST_ANSWER_MAX: Microseconds = Microseconds::from_ms(500);
/// Ratio of the pause to the transfer time of the answer, which leaves three quarters of the link to other traffic.
const PAUSE_FACTOR: u64 = 3;
/// Maximum pause. Versions that appear during a pause are received from peers.
const PAUSE_MAX: Microseconds = Microseconds::from_ms(30_000);

/// Returns the pause after an answer that took `transfer` from its first byte to its last.
///
/// `was_available` says whether the change was already available when the call began. If the call had to wait for the
/// change, the store sent nothing meanwhile, so the next call may follow at once.
///
/// Without the pause, 30 entries on links of 1 Mbit/s went up to 32 s without a newer version while a larger version
/// appeared every 250 ms; with the pause, less than 20 s.
pub fn pause_after_answer(was_available: bool, transfer: Microseconds) -> Microseconds {
    if !was_available || transfer <= FAST_ANSWER_MAX {
        return Microseconds::ZERO;
    }
    Microseconds::new(transfer.count() * PAUSE_FACTOR).min(PAUSE_MAX)
}
