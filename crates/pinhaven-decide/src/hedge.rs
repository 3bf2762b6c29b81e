//! The delay of a hedge, which follows its budget.
//!
//! A fixed delay spends the budget on the merely slow when load rises, and has none left for the
//! stuck. The delay here is moved up a little by each request that outlasts it and down by each that
//! does not, in the proportion of the budget, and so settles where just that share is hedged.

use crate::atomic::AtomicF32;
use pinhaven_types::Microseconds;

/// How far one request moves the delay.
const STEP: f32 = 0.03;
/// Share of the budget that the delay aims at; the rest is kept for sudden slowness.
const AIM: f32 = 0.7;
/// The shortest delay, in typical times.
const DELAY_MIN: f32 = 1.0;
/// The first delay, in typical times.
const DELAY_FIRST: f32 = 3.0;

/// The delay after which a hedge is sent.
#[derive(Debug)]
pub(crate) struct HedgeDelay {
    share: f32,
    delay_ms: AtomicF32,
    least_ms: f32,
    most_ms: f32,
}

impl HedgeDelay {
    pub(crate) fn new(budget_share: f64, typical_ms: f32, deadline_ms: f32) -> Self {
        let least_ms = typical_ms * DELAY_MIN;
        Self {
            share: budget_share as f32 * AIM,
            delay_ms: AtomicF32::new(typical_ms * DELAY_FIRST),
            least_ms,
            most_ms: (deadline_ms / 2.0).max(least_ms),
        }
    }

    pub(crate) fn delay(&self) -> Microseconds {
        Microseconds::new((self.delay_ms.get() * 1_000.0) as u64)
    }

    /// Takes in whether a request outlasted the delay.
    pub(crate) fn record(&self, has_outlasted: bool) {
        let change = if has_outlasted {
            1.0 + STEP * (1.0 - self.share)
        } else {
            1.0 - STEP * self.share
        };
        self.delay_ms
            .update(|delay| (delay * change).clamp(self.least_ms, self.most_ms));
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        let delay = previous.delay_ms.get();
        self.delay_ms.set(delay.clamp(self.least_ms, self.most_ms));
    }
}
