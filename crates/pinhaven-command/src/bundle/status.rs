//! `pinhaven bundle status`: shows which version is in force in each failure domain.

use crate::CommandError;
use crate::output::FormatArguments;
use crate::output::Row;
use crate::platform::PlatformArguments;
use crate::platform::list_entries;
use crate::platform::parse_head;
use crate::platform::run_calls;
use clap::Args;
use pinhaven_platform::BUNDLE_HEAD;
use pinhaven_platform::TableService;
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Debug, Args)]
pub(crate) struct StatusArguments {
    #[command(flatten)]
    platform: PlatformArguments,
    #[command(flatten)]
    format: FormatArguments,
}

#[derive(Default, Serialize)]
struct DomainRow {
    failure_domain: String,
    newest: u64,
    in_force: Option<u64>,
    entries: usize,
    lagging: Vec<String>,
    silent: Vec<String>,
}

impl Row for DomainRow {
    const HEADERS: &'static [&'static str] = &[
        "failure domain",
        "newest",
        "in force",
        "entries",
        "lagging",
        "no answer",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.failure_domain.clone(),
            self.newest.to_string(),
            self.in_force.map_or("-".to_owned(), |v| v.to_string()),
            self.entries.to_string(),
            self.lagging.join(" "),
            self.silent.join(" "),
        ]
    }
}

pub(crate) fn run(arguments: &StatusArguments) -> Result<(), CommandError> {
    let table = arguments.platform.table();
    let (newest, listed) = run_calls(async {
        let newest = match table.read(BUNDLE_HEAD).await? {
            None => 0,
            Some(row) => {
                let head = parse_head(&row)?;
                head.version.number()
            }
        };
        Ok::<_, CommandError>((newest, list_entries(&table).await?))
    })?;
    let mut domains: BTreeMap<String, DomainRow> = BTreeMap::new();
    for entry in listed {
        let name = entry.row.failure_domain.to_string();
        let domain = domains.entry(name.clone()).or_default();
        domain.failure_domain = name;
        domain.newest = newest;
        let instance = entry.row.instance_id.to_string();
        let Some(status) = entry.status else {
            domain.silent.push(instance);
            continue;
        };
        let version = status.own.version.number();
        domain.entries += 1;
        domain.in_force = Some(
            domain
                .in_force
                .map_or(version, |lowest| lowest.min(version)),
        );
        if version < newest {
            domain.lagging.push(format!("{instance}@{version}"));
        }
    }
    let rows: Vec<DomainRow> = domains.into_values().collect();
    arguments.format.print(&rows)
}
