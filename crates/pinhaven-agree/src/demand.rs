//! Demand on an entry: the rate of the requests that it sends to targets for callers.
//!
//! Input is what the entry has done since its start, output the recent peak of the demand. Entries publish
//! their demand to their peers, and its sum decides how many entries serve callers. Only requests that are sent to a
//! target count. A refusal costs little, and callers that retry after a refusal would make a service whose targets are
//! full look like an overload of the entries.
//!
//! The rate alone hides an overload of the entries: where a request takes more processor time than was assumed, as
//! with many targets and peers, an entry whose threads are always busy sends fewer requests than its capacity, and no
//! further entry would join. So the demand is at least the capacity's share that corresponds to the busy time.

use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;

/// Minimum time over which a rate is computed. Over a shorter time, a few requests that arrive together
/// would look like a burst.
const WINDOW_MIN: Microseconds = Microseconds::from_ms(450);
/// Share of its time for which an entry is busy when its demand is its capacity.
const BUSY_SHARE_AT_CAPACITY: f64 = 0.6;
/// Minimum time over which the busy share is computed. A new bundle version keeps an entry busy for some hundred
/// milliseconds and doesn't call for further entries.
const BUSY_WINDOW_MIN: Microseconds = Microseconds::from_ms(2_000);
/// Maximum ratio of the demand by busy time to the rate of requests. An entry that is busy with other things than
/// requests gains nothing from further entries.
const BUSY_FACTOR_MAX: f64 = 4.0;
/// Half-life of a peak rate. Callers cache an address answer for seconds, so if the number of serving
/// entries followed each lull, the number would always lag behind the demand.
const HALF_LIFE_MS: f64 = 10_000.0;

/// What an entry has done since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryWork {
    /// Requests sent to targets.
    pub requests: u64,
    /// Time for which the entry was busy.
    pub busy_time: Microseconds,
}

/// An [`EntryWork`] and its time.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    total: EntryWork,
    at: Microseconds,
}

/// Measures the peak demand of the last seconds, with exponential decay.
#[derive(Debug)]
pub struct DemandMeter {
    capacity: RequestRate,
    sample: Sample,
    busy_sample: Sample,
    peak_per_second: f64,
}

impl DemandMeter {
    /// Creates a meter for an entry with this capacity.
    pub fn new(capacity: RequestRate) -> Self {
        Self {
            capacity,
            sample: Sample::default(),
            busy_sample: Sample::default(),
            peak_per_second: 0.0,
        }
    }

    /// Records what the entry has done up to `now`. Returns the decayed peak of the demand.
    pub fn record(&mut self, total: EntryWork, now: Microseconds) -> RequestRate {
        let window = now.saturating_sub(self.sample.at);
        if window < WINDOW_MIN {
            return self.rate();
        }
        let next = Sample { total, at: now };
        let per_second = next.requests_per_second(&self.sample);
        let decayed = self.peak_per_second * (-window.as_ms() / HALF_LIFE_MS).exp2();
        self.peak_per_second = per_second.max(decayed);
        self.sample = next;
        if now.saturating_sub(self.busy_sample.at) >= BUSY_WINDOW_MIN {
            let by_busy_time = self.demand_by_busy_time(&next);
            self.peak_per_second = self.peak_per_second.max(by_busy_time);
            self.busy_sample = next;
        }
        self.rate()
    }

    fn demand_by_busy_time(&self, next: &Sample) -> f64 {
        let busy = next.total.busy_time;
        let busy = busy.saturating_sub(self.busy_sample.total.busy_time);
        let window = next.at.saturating_sub(self.busy_sample.at);
        let capacity = f64::from(self.capacity.per_second());
        let by_busy_time = capacity * busy.as_ms() / (window.as_ms() * BUSY_SHARE_AT_CAPACITY);
        by_busy_time.min(next.requests_per_second(&self.busy_sample) * BUSY_FACTOR_MAX)
    }

    fn rate(&self) -> RequestRate {
        RequestRate::new(self.peak_per_second.ceil() as u32)
    }
}

impl Sample {
    fn requests_per_second(&self, before: &Self) -> f64 {
        let added = self.total.requests.saturating_sub(before.total.requests);
        added as f64 * 1_000.0 / self.at.saturating_sub(before.at).as_ms()
    }
}
