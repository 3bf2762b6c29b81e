//! What a stand-in caller saw.

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest latency that is told apart, in microseconds.
const LATENCY_US_MAX: u64 = 60_000_000;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of its own.
    Answered,
    /// Refused, with the reason and whether it ran.
    Refused {
        /// The reason's name.
        reason: String,
        /// `run`, `not-run` or `unknown`.
        run: String,
        /// Whether it was told when to come back.
        has_retry_after: bool,
    },
    /// An answer that was cut, seen to be cut.
    Cut,
    /// An answer that belonged to another request, or was not whole but looked so.
    Wrong,
    /// No entry could be reached.
    Unreachable,
    /// No answer at all.
    Silent,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Whole answers before the deadline.
    pub in_time: u64,
    /// Refusals by reason and run state.
    pub refused: BTreeMap<String, u64>,
    /// Refusals that did not say when to come back.
    pub without_retry_after: u64,
    /// Answers seen to be cut.
    pub cut: u64,
    /// Answers that were another's, or cut without a sign.
    pub wrong: u64,
    /// Requests that found no entry.
    pub unreachable: u64,
    /// Requests that got no answer at all.
    pub silent: u64,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// The longest time to a refusal, in milliseconds.
    pub refusal_most_ms: f64,
}

/// What became of all requests.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CallerReport {
    /// Those that may be repeated.
    pub repeatable: ClassReport,
    /// Those that may not.
    pub once: ClassReport,
    /// What was said of each once-only request, by key: `run`, `not-run` or `unknown`.
    pub once_said: BTreeMap<String, String>,
}

impl CallerReport {
    /// Whether every answer was whole and its caller's own.
    pub fn is_clean(&self) -> bool {
        [&self.repeatable, &self.once]
            .iter()
            .all(|class| class.wrong == 0)
    }
}

pub(super) struct Class {
    report: ClassReport,
    latency: Histogram<u64>,
    refusal_most: Duration,
}

impl Class {
    pub(super) fn new() -> Self {
        let latency = Histogram::new_with_max(LATENCY_US_MAX, 3);
        Self {
            report: ClassReport::default(),
            latency: latency.unwrap_or_else(|_| unreachable!("the bounds are constants")),
            refusal_most: Duration::ZERO,
        }
    }

    pub(super) fn record(&mut self, outcome: &Outcome, latency: Duration, deadline: Duration) {
        let report = &mut self.report;
        report.sent += 1;
        match outcome {
            Outcome::Answered => {
                report.answered += 1;
                report.in_time += u64::from(latency <= deadline);
                let latency_us = latency.as_micros() as u64;
                self.latency.saturating_record(latency_us.max(1));
            }
            Outcome::Refused {
                reason,
                run,
                has_retry_after,
            } => {
                *report.refused.entry(format!("{reason}/{run}")).or_default() += 1;
                report.without_retry_after += u64::from(!has_retry_after);
                self.refusal_most = self.refusal_most.max(latency);
            }
            Outcome::Cut => report.cut += 1,
            Outcome::Wrong => report.wrong += 1,
            Outcome::Unreachable => report.unreachable += 1,
            Outcome::Silent => report.silent += 1,
        }
    }

    pub(super) fn into_report(self) -> ClassReport {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        ClassReport {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            refusal_most_ms: self.refusal_most.as_secs_f64() * 1_000.0,
            ..self.report
        }
    }
}
