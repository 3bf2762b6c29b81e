//! Request statistics of a stand-in caller.

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of the latency histogram, in microseconds; longer latencies are recorded as this value.
const LATENCY_US_MAX: u64 = 60_000_000;

/// Outcome of a request, as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to this request.
    Answered,
    /// A refusal or an error status, with its reason and whether the request was executed.
    Refused {
        /// Title of the problem answer, or `target_` and the status of an answer without one.
        reason: String,
        /// Value of the `pinhaven-run` header: `run`, `not-run` or `unknown`; empty if the header is missing.
        run: String,
        /// Whether the answer has a `retry-after` header; always set for an answer that isn't a problem answer.
        has_retry_after: bool,
    },
    /// The connection failed while the answer was received, so the truncation was detected.
    Cut,
    /// An answer to another request, or an incomplete answer whose truncation was not detected.
    Wrong,
    /// No entry was known, or the last connection attempt failed.
    Unreachable,
    /// Sending failed, or no answer arrived in time.
    Silent,
}

/// Statistics of one class of requests.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// Number of requests.
    pub sent: u64,
    /// Complete answers.
    pub answered: u64,
    /// Complete answers within the deadline.
    pub in_time: u64,
    /// Number of refusals by `reason/run`.
    pub refused: BTreeMap<String, u64>,
    /// Refusals without a `retry-after` header.
    pub without_retry_after: u64,
    /// Answers whose truncation was detected.
    pub cut: u64,
    /// Answers to another request, or truncated without detection.
    pub wrong: u64,
    /// Requests without a known entry, or whose last connection attempt failed.
    pub unreachable: u64,
    /// Requests whose sending failed or that got no answer in time.
    pub silent: u64,
    /// Median latency of complete answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of complete answers, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of complete answers, in milliseconds.
    pub p999_ms: f64,
    /// Maximum latency of a refusal, in milliseconds.
    pub refusal_most_ms: f64,
}

/// Statistics of all requests of a caller.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CallerReport {
    /// Statistics of repeatable requests.
    pub repeatable: ClassReport,
    /// Statistics of once-only requests.
    pub once: ClassReport,
    /// Reported execution of each once-only request, by idempotency key: `run`, `not-run` or `unknown`;
    /// empty if the last answer has no `pinhaven-run` header.
    pub once_said: BTreeMap<String, String>,
}

impl CallerReport {
    /// Whether no answer was wrong: no answer to another request and no undetected truncation.
    pub fn is_clean(&self) -> bool {
        [&self.repeatable, &self.once]
            .iter()
            .all(|class| class.wrong == 0)
    }
}

pub(super) struct Class {
    report: ClassReport,
    latency: Histogram<u64>,
    refusal_time_max: Duration,
}

impl Class {
    pub(super) fn new() -> Self {
        let latency = Histogram::new_with_max(LATENCY_US_MAX, 3);
        Self {
            report: ClassReport::default(),
            latency: latency.unwrap_or_else(|_| unreachable!("the bounds are constants")),
            refusal_time_max: Duration::ZERO,
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
                self.refusal_time_max = self.refusal_time_max.max(latency);
            }
            Outcome::Cut => report.cut += 1,
            Outcome::Wrong => report.wrong += 1,
            Outcome::Unreachable => report.unreachable += 1,
            Outcome::Silent => report.silent += 1,
        }
    }

    pub(super) fn into_report(self) -> ClassReport {
        let quantile_ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        ClassReport {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            refusal_most_ms: self.refusal_time_max.as_secs_f64() * 1_000.0,
            ..self.report
        }
    }
}
