//! Rate of the requests that an entry sends to targets for callers.
//!
//! Input is a running count of requests, output their recent peak rate. Entries publish the rate to their
//! peers, and the sum of the rates decides how many entries serve callers. Only requests that are sent to a target count. A refusal costs little, and
//! callers that retry after a refusal would make a service whose targets are full look like an overload
//! of the entries.

use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;

/// Minimum time over which a rate is computed. Over a shorter time, a few requests that arrive together
/// would look like a burst.
const WINDOW_MIN: Microseconds = Microseconds::from_ms(450);
/// Half-life of a peak rate. Callers cache an address answer for seconds, so if the number of serving
/// entries followed each lull, the number would always lag behind the demand.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Measures the peak request rate of the last seconds, with exponential decay.
#[derive(Debug, Default)]
pub struct DemandMeter {
    count: u64,
    sampled_at: Microseconds,
    peak_per_second: f64,
}

impl DemandMeter {
    /// Records the total number of requests up to `now`. Returns the decayed peak rate.
    pub fn record(&mut self, count: u64, now: Microseconds) -> RequestRate {
        let window = now.saturating_sub(self.sampled_at);
        if window < WINDOW_MIN {
            return self.rate();
        }
        let added = count.saturating_sub(self.count) as f64;
        let per_second = added * 1_000.0 / window.as_ms();
        let decayed = self.peak_per_second * (-window.as_ms() / HALF_LIFE_MS).exp2();
        self.peak_per_second = per_second.max(decayed);
        self.count = count;
        self.sampled_at = now;
        self.rate()
    }

    fn rate(&self) -> RequestRate {
        RequestRate::new(self.peak_per_second.ceil() as u32)
    }
}
