//! `pinhaven instances`: lists the entry instances.

use crate::CommandError;
use crate::output::FormatArguments;
use crate::output::Row;
use crate::platform::ListedEntry;
use crate::platform::PlatformArguments;
use crate::platform::list_entries;
use crate::platform::run_calls;
use clap::Args;
use serde::Serialize;

#[derive(Debug, Args)]
pub(crate) struct InstancesArguments {
    #[command(flatten)]
    platform: PlatformArguments,
    #[command(flatten)]
    format: FormatArguments,
}

#[derive(Serialize)]
struct InstanceRow {
    instance: String,
    failure_domain: String,
    state: String,
    version: u64,
    in_flight: Option<u32>,
    seat: Option<u32>,
    promises_broken: Option<u64>,
    caller_address: String,
    peer_address: String,
}

impl Row for InstanceRow {
    const HEADERS: &'static [&'static str] = &[
        "instance",
        "failure domain",
        "state",
        "version",
        "in flight",
        "seat",
        "promises broken",
        "callers",
        "peers",
    ];

    fn cells(&self) -> Vec<String> {
        let or_dash = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
        vec![
            self.instance.clone(),
            self.failure_domain.clone(),
            self.state.clone(),
            self.version.to_string(),
            or_dash(self.in_flight.map(|n| n.to_string())),
            or_dash(self.seat.map(|n| n.to_string())),
            or_dash(self.promises_broken.map(|n| n.to_string())),
            self.caller_address.clone(),
            self.peer_address.clone(),
        ]
    }
}

impl From<ListedEntry> for InstanceRow {
    fn from(listed: ListedEntry) -> Self {
        let ListedEntry { row, status } = listed;
        let state = match &status {
            Some(status) => format!("{:?}", status.own.state).to_lowercase(),
            None => "no answer".to_owned(),
        };
        let broken =
            |s: &pinhaven_entry::InstanceStatus| s.promises.values().map(|p| p.broken).sum();
        Self {
            instance: row.instance_id.to_string(),
            failure_domain: row.failure_domain.to_string(),
            state,
            version: status
                .as_ref()
                .map_or(row.version, |s| s.own.version)
                .number(),
            in_flight: status.as_ref().map(|s| s.in_flight),
            seat: status.as_ref().and_then(|s| s.seat),
            promises_broken: status.as_ref().map(broken),
            caller_address: row.caller_address.to_string(),
            peer_address: row.peer_address.to_string(),
        }
    }
}

pub(crate) fn run(arguments: &InstancesArguments) -> Result<(), CommandError> {
    let table = arguments.platform.table();
    let listed = run_calls(list_entries(&table))?;
    let rows: Vec<InstanceRow> = listed.into_iter().map(InstanceRow::from).collect();
    arguments.format.print(&rows)
}
