//! Adaptive delay before a hedge is sent.
//!
//! With a fixed delay, rising load spends the hedge budget on requests that are merely slow, and none is left for
//! requests that are stuck. The delay here is increased slightly by each request that outlasts it and decreased by each
//! request that does not. The steps are weighted by the budget, so that the delay settles at the value which the
//! budgeted share of requests outlasts.

use crate::atomic::AtomicF32;
use pinhaven_types::Microseconds;

/// Step by which one request changes the delay, as a share of the delay.
const STEP: f32 = 0.03;
/// Share of the budget that the delay is adjusted to use. The rest is a reserve for sudden slowness.
const BUDGET_USE_SHARE: f32 = 0.7;
/// Minimum delay, in typical times.
const DELAY_MIN: f32 = 1.0;
/// Initial delay, in typical times.
const DELAY_INITIAL: f32 = 3.0;

/// Time after which a request that is not answered is hedged.
#[derive(Debug)]
pub(crate) struct HedgeDelay {
    share: f32,
    delay_ms: AtomicF32,
    min_ms: f32,
    max_ms: f32,
}

impl HedgeDelay {
    pub(crate) fn new(budget_share: f64, typical_ms: f32, deadline_ms: f32) -> Self {
        let min_ms = typical_ms * DELAY_MIN;
        Self {
            share: budget_share as f32 * BUDGET_USE_SHARE,
            delay_ms: AtomicF32::new(typical_ms * DELAY_INITIAL),
            min_ms,
            max_ms: (deadline_ms / 2.0).max(min_ms),
        }
    }

    pub(crate) fn delay(&self) -> Microseconds {
        Microseconds::new((self.delay_ms.get() * 1_000.0) as u64)
    }

    /// Adjusts the delay by whether a request outlasted it.
    pub(crate) fn record(&self, has_outlasted: bool) {
        let change = if has_outlasted {
            1.0 + STEP * (1.0 - self.share)
        } else {
            1.0 - STEP * self.share
        };
        self.delay_ms
            .update(|delay| (delay * change).clamp(self.min_ms, self.max_ms));
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        let delay = previous.delay_ms.get();
        self.delay_ms.set(delay.clamp(self.min_ms, self.max_ms));
    }
}
