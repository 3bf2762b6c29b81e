//! Load reports in the ORCA format: the header `endpoint-load-metrics: JSON {...}`, or the same JSON as a probe's body.

use crate::wire::header;
use http::HeaderMap;
use pinhaven_decide::LoadReport;
use serde::Deserialize;

/// Prefix of the header's value in JSON format.
const JSON_FORM: &str = "JSON ";

#[derive(Deserialize)]
struct OrcaReport {
    #[serde(default)]
    named_metrics: NamedMetrics,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct NamedMetrics {
    requests_running: f64,
    requests_waiting: f64,
    draining: f64,
}

/// Returns the report in the headers of an answer; `None` if there is no valid report.
pub(crate) fn from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(header::LOAD_REPORT)?.to_str().ok()?;
    from_json(text.strip_prefix(JSON_FORM)?.as_bytes())
}

/// Returns the report in the body of a probe's answer; `None` if the body is no valid report.
pub(crate) fn from_json(bytes: &[u8]) -> Option<LoadReport> {
    let report: OrcaReport = serde_json::from_slice(bytes).ok()?;
    let metrics = report.named_metrics;
    Some(LoadReport {
        running: metrics.requests_running as u32,
        waiting: metrics.requests_waiting as u32,
        is_draining: metrics.draining > 0.0,
        slowdown: None,
    })
}
