//! How long requests took, by route and outcome, and attempts, by target and outcome.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::BTreeMap;

/// The longest time that is told apart, in milliseconds; a route's timeout is shorter.
const LONGEST_MS: u64 = 60_000;
/// Digits that are kept of a time.
const DIGITS: u8 = 1;
/// Names and outcomes that have histograms of their own; those that come later share one an outcome. Each
/// takes about 1 KB.
const HISTOGRAMS_MAX: usize = 64;
/// Name under which they share it.
const OTHER_NAMES: &str = "other";
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
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Histograms of times, by a name and an outcome.
pub(crate) struct Latencies {
    /// What the histograms are called outside.
    metric: &'static str,
    /// What their names are names of.
    label: &'static str,
    histograms: Mutex<BTreeMap<(String, &'static str), Histogram<u32>>>,
}

impl Latencies {
    /// None yet.
    pub(crate) fn new(metric: &'static str, label: &'static str) -> Self {
        Self {
            metric,
            label,
            histograms: Mutex::default(),
        }
    }

    /// Takes in that something took `took_ms`.
    pub(crate) fn record(&self, name: &str, outcome: &'static str, took_ms: u64) {
        let mut histograms = self.histograms.lock();
        let is_full = histograms.len() >= HISTOGRAMS_MAX;
        let key = (name.to_owned(), outcome);
        let key = if is_full && !histograms.contains_key(&key) {
            (OTHER_NAMES.to_owned(), outcome)
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
        let (metric, label) = (self.metric, self.label);
        let mut lines = Vec::new();
        for ((name, outcome), histogram) in &*self.histograms.lock() {
            let labels = format!("{label}=\"{name}\",outcome=\"{outcome}\"");
            for quantile in QUANTILES {
                let time_ms = histogram.value_at_quantile(quantile);
                lines.push(format!(
                    "{metric}{{{labels},quantile=\"{quantile}\"}} {time_ms}"
                ));
            }
            let count = histogram.len();
            lines.push(format!("{metric}_count{{{labels}}} {count}"));
        }
        lines
    }
}
