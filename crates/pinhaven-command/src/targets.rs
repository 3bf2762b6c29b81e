//! `pinhaven targets`: lists the targets as the entries see them.

use crate::CommandError;
use crate::output::FormatArguments;
use crate::output::Row;
use crate::platform::PlatformArguments;
use crate::platform::list_entries;
use crate::platform::run_calls;
use clap::Args;
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Debug, Args)]
pub(crate) struct TargetsArguments {
    /// List the targets of this service only.
    #[arg(long)]
    service: Option<String>,
    #[command(flatten)]
    platform: PlatformArguments,
    #[command(flatten)]
    format: FormatArguments,
}

#[derive(Serialize)]
struct TargetRow {
    service: String,
    target: String,
    failure_domain: String,
    entries_live: usize,
    entries_ejected: usize,
    entries_resting: usize,
    entries_drained: usize,
    entries_leaving: usize,
    in_flight: u32,
    latency_ms_most: f32,
}

impl Row for TargetRow {
    const HEADERS: &'static [&'static str] = &[
        "service",
        "target",
        "failure domain",
        "live at",
        "ejected at",
        "resting at",
        "drained at",
        "leaving at",
        "in flight",
        "latency ms",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.service.clone(),
            self.target.clone(),
            self.failure_domain.clone(),
            self.entries_live.to_string(),
            self.entries_ejected.to_string(),
            self.entries_resting.to_string(),
            self.entries_drained.to_string(),
            self.entries_leaving.to_string(),
            self.in_flight.to_string(),
            format!("{:.1}", self.latency_ms_most),
        ]
    }
}

pub(crate) fn run(arguments: &TargetsArguments) -> Result<(), CommandError> {
    let table = arguments.platform.table();
    let listed = run_calls(list_entries(&table))?;
    let mut rows: BTreeMap<(String, String), TargetRow> = BTreeMap::new();
    let statuses = listed.into_iter().filter_map(|listed| listed.status);
    for service in statuses.flat_map(|status| status.services) {
        if arguments
            .service
            .as_ref()
            .is_some_and(|s| *s != service.name)
        {
            continue;
        }
        for target in service.targets {
            let key = (service.name.clone(), target.address.clone());
            let row = rows.entry(key).or_insert_with(|| TargetRow {
                service: service.name.clone(),
                target: target.address,
                failure_domain: target.failure_domain,
                entries_live: 0,
                entries_ejected: 0,
                entries_resting: 0,
                entries_drained: 0,
                entries_leaving: 0,
                in_flight: 0,
                latency_ms_most: 0.0,
            });
            match target.state.as_str() {
                "ejected" => row.entries_ejected += 1,
                "resting" => row.entries_resting += 1,
                "drained" => row.entries_drained += 1,
                "leaving" => row.entries_leaving += 1,
                _ => row.entries_live += 1,
            }
            row.in_flight += target.in_flight;
            row.latency_ms_most = row.latency_ms_most.max(target.latency_ms);
        }
    }
    let rows: Vec<TargetRow> = rows.into_values().collect();
    arguments.format.print(&rows)
}
