//! Decides when an entry leaves the role of a store delegate because its own calls to the store fail.
//!
//! The load pattern is a store that turns some entries away and serves the others. A delegate that gets no answers holds
//! new versions back from all entries that rely on it, so it tells its peers and others take over. It goes on trying at
//! the pace of its retries and is a delegate again with its first answer.
//!
//! While the store answers nobody, the role moves on from entry to entry, a few each second. A mark holds for a time
//! after the last failure, so that each entry tries once and then stands back.

use pinhaven_types::Microseconds;

/// Number of failed calls in succession that a mark takes. Answers get lost one at a time.
const FAILURES_MIN: u32 = 2;
/// Time from the first to the last of them that a mark takes.
const FAILING_FOR_MIN: Microseconds = Microseconds::from_ms(700);
/// Time after the last failure for which the mark holds unless a call is answered.
const HOLDS_FOR: Microseconds = Microseconds::from_ms(30_000);

/// Calls to the store that failed in succession.
#[derive(Debug, Clone, Copy)]
struct Failing {
    since: Microseconds,
    last_at: Microseconds,
    count: u32,
}

/// Outcomes of an entry's calls as a store delegate.
#[derive(Debug, Default)]
pub struct StoreFailures(Option<Failing>);

impl StoreFailures {
    /// Records the outcome of a call.
    pub fn record(&mut self, is_answered: bool, now: Microseconds) {
        if is_answered {
            self.0 = None;
            return;
        }
        let failing = self.0.get_or_insert(Failing {
            since: now,
            last_at: now,
            count: 0,
        });
        failing.last_at = now;
        failing.count += 1;
    }

    /// Whether other entries should take over because the store does not answer this one.
    pub fn lacks_store(&self, now: Microseconds) -> bool {
        self.0.is_some_and(|failing| {
            failing.count >= FAILURES_MIN
                && failing.last_at >= failing.since.plus(FAILING_FOR_MIN)
                && now < failing.last_at.plus(HOLDS_FOR)
        })
    }
}
