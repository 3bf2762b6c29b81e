//! How long requests took, by route and outcome.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::BTreeMap;

/// The longest time that is told apart, in milliseconds; a route's timeout is shorter.
const LONGEST_MS: u64 = 60_000;
/// Digits that are kept of a time.
const DIGITS: u8 = 1;
/// Routes that have histograms of their own; those that come later share one.
const ROUTES_MAX: usize = 64;
/// Name under which they share it.
const OTHER_ROUTES: &str = "other";
/// Shares of requests whose time is told.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// A target's answer was passed on.
    Answered,
    /// It was refused, or given up on.
    Refused,
    /// Its caller left.
    CallerLeft,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Histograms of the times of requests.
#[derive(Default)]
pub(crate) struct Latencies(Mutex<BTreeMap<(String, Outcome), Histogram<u32>>>);

impl Latencies {
    /// Takes a request in that took `took_ms`.
    pub(crate) fn record(&self, route: &str, outcome: Outcome, took_ms: u64) {
        let mut histograms = self.0.lock();
        let is_full = histograms.len() >= ROUTES_MAX;
        let key = (route.to_owned(), outcome);
        let key = if is_full && !histograms.contains_key(&key) {
            (OTHER_ROUTES.to_owned(), outcome)
        } else {
            key
        };
        if !histograms.contains_key(&key) {
            let Ok(histogram) = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS) else {
                log::error!(target: "metrics", "The bounds of histograms are wrong.");
                return;
            };
            histograms.insert(key.clone(), histogram);
        }
        if let Some(histogram) = histograms.get_mut(&key) {
            histogram.saturating_record(took_ms.max(1));
        }
    }

    /// All of them as lines of the Prometheus text format.
    pub(crate) fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for ((route, outcome), histogram) in &*self.0.lock() {
            let labels = format!("route=\"{route}\",outcome=\"{}\"", outcome.name());
            for quantile in QUANTILES {
                let time_ms = histogram.value_at_quantile(quantile);
                lines.push(format!(
                    "pinhaven_request_ms{{{labels},quantile=\"{quantile}\"}} {time_ms}"
                ));
            }
            let count = histogram.len();
            lines.push(format!("pinhaven_request_ms_count{{{labels}}} {count}"));
        }
        lines
    }
}
