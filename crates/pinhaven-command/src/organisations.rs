//! `pinhaven organisations`: lists the organisations with their limits, use and refused requests.

use crate::CommandError;
use crate::output::FormatArguments;
use crate::output::Row;
use crate::platform::list_peers;
use crate::platform::read_from_entry;
use crate::platform::run_calls;
use clap::Args;
use pinhaven_bundle::RateLimit;
use pinhaven_entry::OrganisationCounts;
use pinhaven_entry::OrganisationStatus;
use pinhaven_platform::HttpTableService;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Timeout of one call to the platform, in milliseconds.
const TABLE_TIMEOUT_MS: u64 = 2_000;

#[derive(Debug, Args)]
pub(crate) struct OrganisationsArguments {
    /// Address of the platform's table service, which lists the entries.
    #[arg(long, env = "PINHAVEN_TABLE", required_unless_present = "peer")]
    table: Option<SocketAddr>,
    /// Peer address of an entry, which knows the others; instead of a table service.
    #[arg(long)]
    peer: Option<SocketAddr>,
    #[command(flatten)]
    format: FormatArguments,
}

#[derive(Serialize)]
struct OrganisationRow {
    name: String,
    limit: Option<RateLimit>,
    use_per_s: Option<f64>,
    #[serde(flatten)]
    counts: OrganisationCounts,
}

impl Row for OrganisationRow {
    const HEADERS: &'static [&'static str] = &[
        "organisation",
        "limit/s",
        "burst",
        "use/s",
        "requests",
        "in aim",
        "late",
        "caller left",
        "refused",
    ];

    fn cells(&self) -> Vec<String> {
        let or_dash = |number: Option<f64>| number.map_or("-".to_owned(), |n| format!("{n:.1}"));
        let refused = self.counts.refused.iter();
        let refused: Vec<String> = refused
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        vec![
            self.name.clone(),
            or_dash(self.limit.map(|limit| limit.requests_per_s)),
            or_dash(self.limit.map(|limit| limit.burst)),
            or_dash(self.use_per_s),
            self.counts.requests.to_string(),
            self.counts.in_aim.to_string(),
            self.counts.late.to_string(),
            self.counts.caller_left.to_string(),
            refused.join(", "),
        ]
    }
}

pub(crate) fn run(arguments: &OrganisationsArguments) -> Result<(), CommandError> {
    let (statuses, silent) = run_calls(read_statuses(arguments))?;
    for peer in silent {
        eprintln!("note: the entry at {peer} does not answer; its requests are missing");
    }
    let rows = sum(statuses);
    arguments.format.print(&rows)
}

/// Reads the organisations of all entries. Returns one list for each entry that answers, and the entries that don't.
async fn read_statuses(
    arguments: &OrganisationsArguments,
) -> Result<(Vec<Vec<OrganisationStatus>>, Vec<SocketAddr>), CommandError> {
    let table = arguments.table.filter(|_| arguments.peer.is_none());
    let table = table.map(|table| HttpTableService::new(table, TABLE_TIMEOUT_MS));
    let mut statuses = Vec::new();
    let mut silent = Vec::new();
    for peer in list_peers(table.as_ref(), arguments.peer).await? {
        match read_from_entry(peer, "/organisations").await {
            Some(status) => statuses.push(status),
            None => silent.push(peer),
        }
    }
    Ok((statuses, silent))
}

/// Sums the counts of all entries. Each entry estimates the use over all entries, so that the highest is shown.
fn sum(statuses: Vec<Vec<OrganisationStatus>>) -> Vec<OrganisationRow> {
    let mut rows: BTreeMap<String, OrganisationRow> = BTreeMap::new();
    for status in statuses.into_iter().flatten() {
        let row = rows
            .entry(status.name.clone())
            .or_insert_with(|| OrganisationRow {
                name: status.name,
                limit: None,
                use_per_s: None,
                counts: OrganisationCounts::default(),
            });
        row.limit = status.limit.or(row.limit);
        let uses = row.use_per_s.into_iter().chain(status.use_per_s);
        row.use_per_s = uses.reduce(f64::max);
        row.counts.add(&status.counts);
    }
    let mut rows: Vec<OrganisationRow> = rows.into_values().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.counts.requests));
    rows
}
