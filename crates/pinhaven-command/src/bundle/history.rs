//! `pinhaven bundle history`: lists the versions and their signers.

use crate::CommandError;
use crate::output::FormatArguments;
use crate::output::Row;
use crate::platform::PlatformArguments;
use crate::platform::parse_or_skip;
use crate::platform::run_calls;
use clap::Args;
use pinhaven_bundle::BundleHead;
use pinhaven_platform::TableService;
use serde::Serialize;

/// Key prefix of the history rows.
const HISTORY_PREFIX: &str = "pinhaven/bundle/history/";

#[derive(Debug, Args)]
pub(crate) struct HistoryArguments {
    #[command(flatten)]
    platform: PlatformArguments,
    #[command(flatten)]
    format: FormatArguments,
}

#[derive(Serialize)]
struct VersionRow {
    version: u64,
    signer: String,
    digest: String,
}

impl Row for VersionRow {
    const HEADERS: &'static [&'static str] = &["version", "signed off by", "digest"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.version.to_string(),
            self.signer.clone(),
            self.digest.clone(),
        ]
    }
}

pub(crate) fn run(arguments: &HistoryArguments) -> Result<(), CommandError> {
    let table = arguments.platform.table();
    let listed = run_calls(async { table.list(HISTORY_PREFIX).await })?;
    let mut rows = Vec::new();
    for row in listed {
        let Some(head) = parse_or_skip::<BundleHead>(&row) else {
            continue;
        };
        rows.push(VersionRow {
            version: head.version.number(),
            signer: head.signer.to_string(),
            digest: head.digest.to_string(),
        });
    }
    arguments.format.print(&rows)
}
