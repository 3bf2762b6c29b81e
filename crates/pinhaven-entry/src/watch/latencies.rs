//! Histograms of durations: of requests by route and outcome, and of attempts by target and outcome.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use pinhaven_decide::RefusalReason;
use std::collections::BTreeMap;

/// Maximum duration that histograms distinguish, in milliseconds; the timeouts of routes are shorter.
const DURATION_MAX_MS: u64 = 60_000;
/// Significant digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Maximum number of names and outcomes with a histogram of their own; later names share one histogram
/// per outcome. Each histogram takes about 1 KB.
const HISTOGRAMS_MAX: usize = 64;
/// Name of the shared histograms.
const SHARED_NAME: &str = "other";
/// Quantiles that are reported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A target's answer was passed on to the caller.
    Answered,
    /// The request was refused or abandoned.
    Refused(RefusalReason),
    /// The caller disconnected before its answer was complete.
    CallerLeft,
}

impl Outcome {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(_) => "refused",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Histograms of durations by name and outcome.
pub(crate) struct Latencies {
    /// Name of the metric.
    metric: &'static str,
    /// Label that holds the name of a histogram.
    label: &'static str,
    histograms: Mutex<BTreeMap<(String, &'static str), Histogram<u32>>>,
}

impl Latencies {
    /// Creates an empty set of histograms.
    pub(crate) fn new(metric: &'static str, label: &'static str) -> Self {
        Self {
            metric,
            label,
            histograms: Mutex::default(),
        }
    }

    /// Records a duration in the histogram of `name` and `outcome`, or in the shared histogram of `outcome` if
    /// there is no histogram left.
    pub(crate) fn record(&self, name: &str, outcome: &'static str, duration_ms: u64) {
        let mut histograms = self.histograms.lock();
        let is_full = histograms.len() >= HISTOGRAMS_MAX;
        let key = (name.to_owned(), outcome);
        let key = if is_full && !histograms.contains_key(&key) {
            (SHARED_NAME.to_owned(), outcome)
        } else {
            key
        };
        if !histograms.contains_key(&key) {
            let Ok(histogram) = Histogram::new_with_bounds(1, DURATION_MAX_MS, SIGNIFICANT_DIGITS)
            else {
                log::error!(target: "metrics", "The bounds of histograms are invalid; the duration is not recorded.");
                return;
            };
            histograms.insert(key.clone(), histogram);
        }
        if let Some(histogram) = histograms.get_mut(&key) {
            histogram.saturating_record(duration_ms.max(1));
        }
    }

    /// Returns all histograms as lines of the Prometheus text format.
    pub(crate) fn lines(&self) -> Vec<String> {
        let (metric, label) = (self.metric, self.label);
        let mut lines = Vec::new();
        for ((name, outcome), histogram) in &*self.histograms.lock() {
            let labels = format!("{label}=\"{name}\",outcome=\"{outcome}\"");
            for quantile in QUANTILES {
                let value_ms = histogram.value_at_quantile(quantile);
                lines.push(format!(
                    "{metric}{{{labels},quantile=\"{quantile}\"}} {value_ms}"
                ));
            }
            let count = histogram.len();
            lines.push(format!("{metric}_count{{{labels}}} {count}"));
        }
        lines
    }
}
