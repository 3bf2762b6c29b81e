//! How many requests an entry carries for callers.
//!
//! Only those that are sent to a target count: a refusal costs little, and callers who come back after
//! one would make a full service look like entries that are.

use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;

/// The shortest time over which a rate is taken. Over less, a handful of requests that come together
/// would look like a burst.
const WINDOW_MIN: Microseconds = Microseconds::from_ms(450);
/// Time after which a rate that was reached counts half. Callers keep an address answer for seconds,
/// so a number of entries that followed each lull would always be late.
const HALF_AFTER_MS: f64 = 10_000.0;

/// Measures the rate of requests: the most of the last seconds, fading.
#[derive(Debug, Default)]
pub struct DemandMeter {
    counted: u64,
    counted_at: Microseconds,
    peak_per_second: f64,
}

impl DemandMeter {
    /// Takes in how many requests there were up to `now`, and says what the rate is.
    pub fn record(&mut self, counted: u64, now: Microseconds) -> RequestRate {
        let window = now.saturating_sub(self.counted_at);
        if window < WINDOW_MIN {
            return self.rate();
        }
        let new = counted.saturating_sub(self.counted) as f64;
        let per_second = new * 1_000.0 / window.as_ms();
        let faded = self.peak_per_second * (-window.as_ms() / HALF_AFTER_MS).exp2();
        self.peak_per_second = per_second.max(faded);
        self.counted = counted;
        self.counted_at = now;
        self.rate()
    }

    fn rate(&self) -> RequestRate {
        RequestRate::new(self.peak_per_second.ceil() as u32)
    }
}
