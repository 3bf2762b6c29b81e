//! Intervals between the updates that serving entries send each other.
//!
//! Answers two load patterns. The fuller the targets are, the sooner the counts of requests in flight are out of date, so
//! that intervals get shorter. And the more entries serve in other failure domains, the longer is the interval for them:
//! with a fixed one the traffic between failure domains grows with the square of their number, and at some hundred
//! entries costs more than the requests that it places. Each of many entries has few of the requests in flight, and uses
//! targets of other domains only when those of its own are full. Where operators set a crossing cost, the interval for other
//! domains is longer still.

use pinhaven_types::CrossingCost;
use pinhaven_types::Microseconds;

/// Interval between rounds while targets have capacity, in milliseconds. The speed of a target stays valid for some
/// hundred milliseconds, and a slot that is taken between rounds is not the last free slot.
const ROUND_MAX_MS: f32 = 50.0;
/// Interval between rounds when targets are full, in milliseconds. The target with the last free slot then changes with
/// each request.
const ROUND_MIN_MS: f32 = 8.0;
/// Factor by which the interval is longer for recipients in other failure domains while targets have capacity. Each
/// target has an owner in its own failure domain, and entries of other domains send requests there only when the
/// targets of their own domain are full. Together with the data omitted from datagrams, the factor halves the traffic
/// between failure domains at low load.
const FAR_FACTOR: f32 = 2.5;
/// Additional factors at a crossing cost of 1, while targets have capacity and when they are full. With a crossing cost,
/// requests stay in their failure domain, and entries need the counts of others mainly while targets are full.
const FAR_FACTORS_OF_COST: (f32, f32) = (5.5, 0.5);
/// Number of recipients in other failure domains above which the interval for them grows in proportion.
const FAR_RECIPIENTS: f32 = 8.0;
/// Utilization of a service's slots above which intervals get shorter, and at which they are shortest.
const BUSY_UTILIZATION: (f32, f32) = (0.15, 0.45);

/// How full the targets of the fullest service are, from 0 to 1, as far as it matters to the intervals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillLevel(f32);

impl FillLevel {
    /// The level at this utilization of the slots of the fullest service.
    pub fn new(utilization: f32) -> Self {
        let (from, to) = BUSY_UTILIZATION;
        Self(((utilization - from) / (to - from)).clamp(0.0, 1.0))
    }

    /// Interval between two rounds.
    pub fn round_interval(self) -> Microseconds {
        microseconds(self.round_ms())
    }

    /// Minimum interval between two rounds that go to this number of recipients in other failure domains, where sending
    /// a request there has this cost.
    pub fn far_interval(self, recipients: usize, cost: Option<CrossingCost>) -> Microseconds {
        let cost = cost.map_or(0.0, |cost| cost.factor() as f32);
        let (by_cost_idle, by_cost_full) = FAR_FACTORS_OF_COST;
        let idle = FAR_FACTOR + by_cost_idle * cost;
        let full = 1.0 + by_cost_full * cost;
        let by_load = full + (idle - full) * (1.0 - self.0);
        let by_size = (recipients as f32 / FAR_RECIPIENTS).max(1.0);
        // Half a round is subtracted, so that a round that is up to half a round early is not skipped.
        microseconds(self.round_ms() * (by_load * by_size - 0.5))
    }

    fn round_ms(self) -> f32 {
        ROUND_MAX_MS + (ROUND_MIN_MS - ROUND_MAX_MS) * self.0
    }
}

fn microseconds(time_ms: f32) -> Microseconds {
    Microseconds::new((time_ms * 1_000.0) as u64)
}
