//! Metrics in the Prometheus text exposition format.

use crate::entry::Entry;
use crate::watch::organisations;
use crate::watch::status;
use pinhaven_types::Promise;
use pinhaven_types::promise_check_count;
use pinhaven_types::promise_violation_count;

/// Path that serves the metrics.
pub(crate) const PATH: &str = "/metrics";

/// Returns all metrics of an entry.
pub(crate) fn text(entry: &Entry) -> String {
    let mut lines: Vec<String> = Vec::new();
    for (name, count) in entry.counters.all() {
        lines.push(format!("pinhaven_{}_total {count}", name.replace('.', "_")));
    }
    for promise in Promise::ALL {
        let name = promise.name();
        let (checks, broken) = (
            promise_check_count(promise),
            promise_violation_count(promise),
        );
        lines.push(format!(
            "pinhaven_promise_checks_total{{promise=\"{name}\"}} {checks}"
        ));
        lines.push(format!(
            "pinhaven_promise_broken_total{{promise=\"{name}\"}} {broken}"
        ));
    }
    lines.extend(foreign_row_lines(entry));
    lines.extend(store_call_lines(entry));
    lines.extend(gauges(entry));
    lines.extend(service_lines(entry));
    lines.extend(organisations::metric_lines(entry));
    lines.extend(crossing_lines(entry));
    lines.extend(record_lines(entry));
    lines.extend(entry.request_times.lines());
    lines.extend(entry.attempt_times.lines());
    lines.extend(entry.named_silences.lines());
    lines.extend(entry.steps.lines());
    lines.push(String::new());
    lines.join("\n")
}

/// Returns lines that count how often rows of other writers were skipped, by table, reason and key.
fn foreign_row_lines(entry: &Entry) -> Vec<String> {
    let counts = entry.foreign_rows();
    let lines = counts.iter().map(|(row, count)| {
        format!(
            "pinhaven_foreign_rows_total{{table={:?},reason=\"{}\",key={:?}}} {count}",
            row.table, row.reason, row.key
        )
    });
    lines.collect()
}

/// Returns lines that count the calls to the store, by step and table.
fn store_call_lines(entry: &Entry) -> Vec<String> {
    let counts = entry.store_calls();
    let lines = counts.iter().map(|(call, count)| {
        let (step, table) = (call.step.name(), &call.table);
        format!("pinhaven_store_calls_total{{step=\"{step}\",table={table:?}}} {count}")
    });
    lines.collect()
}

fn gauges(entry: &Entry) -> Vec<String> {
    let now = entry.now();
    let version = entry.snapshot.load().version.number();
    let (list_age_ms, own_list_age, list_revision, retained) = {
        let targets = entry.targets.lock();
        let retained = targets.retained_count();
        let own_age = targets.own_age(now);
        (targets.age(now), own_age, targets.list().revision, retained)
    };
    let uses_store = u8::from(entry.uses_store(true));
    let configuration_call_age = entry.configuration_call_age();
    let (known_version, behind_ms, failed_tries) = {
        let lag = entry.version_lag.lock();
        let behind = lag.behind_for(now).unwrap_or_default();
        (lag.known(), behind.as_ms(), lag.failed_tries())
    };
    let held_back = entry.crashes.held_back().len();
    let members = entry.members.lock();
    let mut lines = vec![
        format!("pinhaven_requests_held_back {held_back}"),
        format!("pinhaven_in_flight {}", entry.in_flight()),
        format!("pinhaven_version {version}"),
        format!("pinhaven_version_known {}", known_version.number()),
        format!("pinhaven_version_behind_ms {behind_ms:.0}"),
        format!("pinhaven_version_failed_tries {failed_tries}"),
        format!("pinhaven_list_revision {list_revision}"),
        format!("pinhaven_targets_retained {retained}"),
        format!("pinhaven_live_peers {}", members.live_peers(now).len()),
        format!("pinhaven_members_examined {}", members.examined()),
        format!("pinhaven_state {}", members.own().state as u8),
        format!("pinhaven_uses_store {uses_store}"),
    ];
    if let Some(age) = configuration_call_age {
        lines.push(format!(
            "pinhaven_configuration_call_age_ms {:.0}",
            age.as_ms()
        ));
    }
    if let Some(age) = own_list_age {
        lines.push(format!("pinhaven_list_own_age_ms {:.0}", age.as_ms()));
    }
    if let Some(newest) = entry.drains.lock().newest() {
        lines.push(format!("pinhaven_drains_revision {}", newest.revision));
    }
    let domains = entry.drained_domains();
    lines.extend(
        domains
            .iter()
            .map(|domain| format!("pinhaven_domain_drained{{domain=\"{domain}\"}} 1")),
    );
    if let Some(age) = list_age_ms {
        lines.push(format!("pinhaven_list_age_ms {:.0}", age.as_ms()));
    }
    lines
}

fn service_lines(entry: &Entry) -> Vec<String> {
    let mut lines = Vec::new();
    for service in status::services_of(entry) {
        let label = format!("service=\"{}\"", service.name);
        let mut gauge = |name: &str, value: f64| {
            lines.push(format!("pinhaven_service_{name}{{{label}}} {value}"));
        };
        gauge("in_flight", f64::from(service.in_flight));
        gauge("waiting", f64::from(service.waiting));
        gauge("hedges_total", service.hedges as f64);
        gauge("retries_total", service.retries as f64);
        gauge("ejections_total", service.ejections as f64);
        gauge("failed_targets", f64::from(service.failed_targets));
        gauge("lost", f64::from(u8::from(service.is_lost)));
        gauge(
            "reached_by_peer",
            f64::from(u8::from(service.is_reached_by_peer)),
        );
        if let Some(heard_age_ms) = service.heard_age_ms {
            gauge("heard_age_ms", heard_age_ms);
        }
        gauge("targets", service.targets.len() as f64);
        for state in ["ejected", "resting", "drained", "leaving"] {
            let targets = service.targets.iter();
            let count = targets.filter(|target| target.state == state).count();
            gauge(&format!("targets_{state}"), count as f64);
        }
        let owned = service.targets.iter().filter(|target| target.is_owned);
        gauge("targets_owned", owned.count() as f64);
        let cold = service.targets.iter().filter(|target| target.is_cold);
        gauge("targets_cold", cold.count() as f64);
        let ages = service
            .targets
            .iter()
            .filter_map(|target| target.report_age_ms);
        if let Some(oldest_ms) = ages.reduce(f64::max) {
            gauge("oldest_report_ms", oldest_ms);
        }
    }
    lines
}

/// Returns lines that count what each service sent within the failure domain of the entry and to others.
fn crossing_lines(entry: &Entry) -> Vec<String> {
    let snapshot = entry.snapshot.load();
    let mut lines = Vec::new();
    for (name, service) in &snapshot.services {
        let crossings = service.state.crossings();
        for (side, sent) in [("near", crossings.near()), ("far", crossings.far())] {
            let label = format!("service=\"{name}\",domain=\"{side}\"");
            for (metric, count) in [
                ("attempts", sent.attempts),
                ("request_bytes", sent.request_bytes),
                ("answer_bytes", sent.answer_bytes),
            ] {
                lines.push(format!(
                    "pinhaven_service_sent_{metric}_total{{{label}}} {count}"
                ));
            }
        }
    }
    lines
}

fn record_lines(entry: &Entry) -> Vec<String> {
    let Some(recorder) = &entry.recorder else {
        return Vec::new();
    };
    let counts = recorder.ring().counts();
    let [plain, unusual, failure] = counts.dropped;
    vec![
        format!("pinhaven_record_lines_total {}", counts.accepted),
        format!("pinhaven_record_dropped_total{{importance=\"plain\"}} {plain}"),
        format!("pinhaven_record_dropped_total{{importance=\"unusual\"}} {unusual}"),
        format!("pinhaven_record_dropped_total{{importance=\"failure\"}} {failure}"),
    ]
}
