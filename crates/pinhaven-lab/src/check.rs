//! Checks that must pass after every run, whichever faults were injected.

use crate::lab::Lab;
use pinhaven_stand_in::caller::CallerReport;

/// Faults found in the report of a caller; empty if there are none.
///
/// Every answer must be complete and belong to its request, and every refusal must name a retry delay. A once-only
/// request that was reported as executed must have run exactly once, a request reported as not executed must not have
/// run, and any other request must have run at most once.
pub async fn faults_of_report(lab: &Lab, service: usize, report: &CallerReport) -> Vec<String> {
    let mut faults = Vec::new();
    for (kind, class) in [("repeatable", &report.repeatable), ("once", &report.once)] {
        if class.wrong > 0 {
            faults.push(format!("{} {kind} answers were wrong", class.wrong));
        }
        if class.without_retry_after > 0 {
            let count = class.without_retry_after;
            faults.push(format!(
                "{count} {kind} refusals did not name a retry delay"
            ));
        }
    }
    let runs = lab.runs(service).await;
    for (key, reported) in &report.once_said {
        let count = runs.get(key).copied().unwrap_or_default();
        let is_right = match reported.as_str() {
            "run" => count == 1,
            "not-run" => count == 0,
            _ => count <= 1,
        };
        if !is_right {
            faults.push(format!(
                "{key} was reported as {reported} and ran {count} times"
            ));
        }
    }
    for (key, count) in runs {
        if count > 1 && !report.once_said.contains_key(&key) {
            faults.push(format!("{key} ran {count} times"));
        }
    }
    faults
}

/// Promises that entries saw broken; empty if there are none.
pub async fn broken_promises(lab: &Lab) -> Vec<String> {
    let broken = lab.promises_broken().await;
    broken
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("promise {name} was broken {count} times"))
        .collect()
}
