//! Load reports in the published form (ORCA): the header `endpoint-load-metrics: JSON {...}`.

use crate::wire::header;
use http::HeaderMap;
use pinhaven_decide::LoadReport;
use serde::Deserialize;

/// Start of the JSON form of the header.
const JSON_FORM: &str = "JSON ";

#[derive(Deserialize)]
struct Published {
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

/// The report on a reply; `None` when there is none that can be read.
pub(crate) fn from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(header::LOAD_REPORT)?.to_str().ok()?;
    from_json(text.strip_prefix(JSON_FORM)?.as_bytes())
}

/// The report in the body of a probe's answer.
pub(crate) fn from_json(bytes: &[u8]) -> Option<LoadReport> {
    let published: Published = serde_json::from_slice(bytes).ok()?;
    let metrics = published.named_metrics;
    Some(LoadReport {
        running: metrics.requests_running as u32,
        waiting: metrics.requests_waiting as u32,
        is_draining: metrics.draining > 0.0,
        slowdown: None,
    })
}
