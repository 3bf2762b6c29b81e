//! What must hold after any run, whatever went wrong in it.

use crate::lab::Lab;
use pinhaven_stand_in::caller::CallerReport;

/// The faults found in what callers were told; none if all is well.
///
/// Every answer was whole and its caller's own; every once-only request that was reported to have run ran
/// once, every one that was reported not to have run did not, and no other ran more than once.
pub async fn faults_of_report(lab: &Lab, service: usize, report: &CallerReport) -> Vec<String> {
    let mut faults = Vec::new();
    for (kind, class) in [("repeatable", &report.repeatable), ("once", &report.once)] {
        if class.wrong > 0 {
            faults.push(format!("{} {kind} answers were wrong", class.wrong));
        }
        if class.without_retry_after > 0 {
            let count = class.without_retry_after;
            faults.push(format!(
                "{count} {kind} refusals did not say when to come back"
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
                "{key} was reported to be {reported} and ran {count} times"
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

/// The promises that entries saw broken; none if all is well.
pub async fn broken_promises(lab: &Lab) -> Vec<String> {
    let broken = lab.promises_broken().await;
    broken
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("promise {name} was broken {count} times"))
        .collect()
}
