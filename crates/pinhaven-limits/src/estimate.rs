//! Estimate of the requests that peers have admitted since their last counts.
//!
//! In steady use, a peer goes on at its rate. When the load of an organisation jumps, an entry sees it in its own
//! admissions before any count arrives. Callers spread over the entries, so what exceeds the own usual use is taken to
//! occur at every peer, in proportion to the shares of the use. A small excess may be chance and is not extrapolated:
//! it is covered by a part of the slack.

use crate::FIXED_SLACK;
use crate::Limit;
use crate::peers::SILENT_AFTER;
use pinhaven_types::Microseconds;

/// Assumed time from the state of a peer to the arrival of its counts. The news of a jump takes 100 to 400 ms.
const ASSUMED_DELAY: Microseconds = Microseconds::from_ms(300);
/// Part of the slack for admissions that are not extrapolated, over all entries.
const CHANCE_PART: f64 = 0.25;
/// Part of the slack that is proportional to the limit by which the bucket may be overdrawn.
const OVERDRAFT_PART: f64 = 0.25;
/// Part of the fixed slack by which the bucket may be overdrawn. Small organisations depend on it.
const OVERDRAFT_OF_FIXED: f64 = 0.5;
/// Part of the proportional overdraft that is allowed immediately after the start.
const PROPORTIONAL_AT_START: f64 = 0.8;
/// Part of the chance that is allowed immediately after the start.
const CHANCE_AT_START: f64 = 0.2;
/// Part of the fixed overdraft that is allowed immediately after the start.
const FIXED_AT_START: f64 = 0.1;
/// Age from which the slack is used in full.
const GROWS_FOR: Microseconds = Microseconds::from_ms(5_000);

/// Duration of a slot of [`RecentAdmissions`].
const SLOT: Microseconds = Microseconds::from_ms(25);
/// Number of slots.
const SLOTS: usize = 64;

/// Number of admissions of this entry at the ends of the last time slots.
#[derive(Debug)]
pub(crate) struct RecentAdmissions {
    totals: [u32; SLOTS],
    slot: u64,
}

impl RecentAdmissions {
    pub(crate) fn new() -> Self {
        Self {
            totals: [0; SLOTS],
            slot: 0,
        }
    }

    /// Sets the number of admissions up to now.
    pub(crate) fn set(&mut self, total: u32, now: Microseconds) {
        let slot = now.count() / SLOT.count();
        let before = self.totals[self.slot as usize % SLOTS];
        let skipped = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for past in slot.saturating_sub(skipped) + 1..slot {
            self.totals[past as usize % SLOTS] = before;
        }
        self.slot = self.slot.max(slot);
        self.totals[self.slot as usize % SLOTS] = total;
    }

    /// Number of admissions since a time.
    pub(crate) fn since(&self, time: Microseconds) -> f64 {
        let total = self.totals[self.slot as usize % SLOTS];
        let slot = time.count() / SLOT.count();
        if slot > self.slot {
            return 0.0;
        }
        let oldest = (self.slot + 1).saturating_sub(SLOTS as u64);
        let before = self.totals[slot.max(oldest) as usize % SLOTS];
        f64::from(total.wrapping_sub(before) as i32).max(0.0)
    }
}

/// What an entry knows of its own use of an organisation's limit.
pub(crate) struct OwnUse<'a> {
    pub(crate) admissions: &'a RecentAdmissions,
    pub(crate) rate_per_s: f64,
    /// Share of this entry in the use.
    pub(crate) share: f64,
    /// Number of entries that share the limit.
    pub(crate) sharers: usize,
    /// Admissions that are not extrapolated to peers.
    pub(crate) chance: f64,
}

/// Use that peers have not reported yet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Estimate {
    /// Use at the usual rate.
    pub(crate) usual: f64,
    /// Further use in a jump of the load.
    pub(crate) jump: f64,
}

impl Estimate {
    /// Adds the estimate for a peer with this rate and share whose last counts arrived at `heard_at`.
    pub(crate) fn add_peer(
        &mut self,
        own: &OwnUse<'_>,
        (rate_per_s, share): (f64, f64),
        heard_at: Microseconds,
        now: Microseconds,
    ) {
        let since = heard_at.saturating_sub(ASSUMED_DELAY);
        // A peer that is silent for longer is no longer estimated.
        let elapsed = now
            .saturating_sub(since)
            .min(ASSUMED_DELAY.plus(SILENT_AFTER));
        let elapsed_s = elapsed.as_ms() / 1_000.0;
        self.usual += rate_per_s * elapsed_s;
        let usual = own.rate_per_s * elapsed_s;
        let excess = own.admissions.since(since) - usual - usual.sqrt() - own.chance;
        if excess > 0.0 {
            // An entry with hardly any use can't tell a jump from callers that move to it.
            let own_share = own.share.max(1.0 / own.sharers as f64);
            self.jump += excess * share / own_share;
        }
    }

    pub(crate) fn total(&self) -> f64 {
        self.usual + self.jump
    }
}

/// Number of requests by which the bucket may be overdrawn, at this age of the entry.
pub(crate) fn overdraft(limit: &Limit, age: Microseconds) -> f64 {
    let proportional = OVERDRAFT_PART * (limit.slack() - FIXED_SLACK);
    let fixed = OVERDRAFT_OF_FIXED * FIXED_SLACK;
    fixed * grown(age).max(FIXED_AT_START) + proportional * grown(age).max(PROPORTIONAL_AT_START)
}

/// Number of admissions of one entry that are not extrapolated to its peers.
pub(crate) fn chance(limit: &Limit, sharers: usize, age: Microseconds) -> f64 {
    CHANCE_PART * limit.slack() / sharers as f64 * grown(age).max(CHANCE_AT_START)
}

/// Part of the slack that an entry of this age uses. What was admitted beyond the limit is forgotten at a restart, so the
/// part is small at first, and two restarts in 5 s don't add up to more than the slack.
fn grown(age: Microseconds) -> f64 {
    (age.as_ms() / GROWS_FOR.as_ms()).min(1.0).powi(2)
}
