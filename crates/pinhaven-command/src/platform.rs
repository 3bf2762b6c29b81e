//! Access to the platform and the entries, shared by the commands.

use crate::CommandError;
use clap::Args;
use pinhaven_agree::MemberRow;
use pinhaven_bundle::BundleHead;
use pinhaven_entry::InstanceStatus;
use pinhaven_platform::ENTRY_PREFIX;
use pinhaven_platform::HttpObjectStore;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::PlatformError;
use pinhaven_platform::Row;
use pinhaven_platform::TableService;
use pinhaven_runtime::HttpClient;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::SocketAddr;

/// Timeout of a status request to an entry, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug, Args)]
pub(crate) struct PlatformArguments {
    /// Address of the platform's table service.
    #[arg(long, env = "PINHAVEN_TABLE")]
    table: SocketAddr,
    /// Address of the platform's object store; by default the address of the table service.
    #[arg(long, env = "PINHAVEN_OBJECTS")]
    objects: Option<SocketAddr>,
    /// Timeout of one call to the platform, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    timeout_ms: u64,
}

impl PlatformArguments {
    /// Creates a client of the table service.
    pub(crate) fn table(&self) -> HttpTableService {
        HttpTableService::new(self.table, self.timeout_ms)
    }

    /// Creates a client of the object store.
    pub(crate) fn objects(&self) -> HttpObjectStore {
        HttpObjectStore::new(self.objects.unwrap_or(self.table), self.timeout_ms)
    }
}

impl From<PlatformError> for CommandError {
    fn from(error: PlatformError) -> Self {
        let is_outcome_unknown = matches!(error, PlatformError::Unknown { .. });
        Self {
            is_outcome_unknown,
            ..Self::with_help(error)
        }
    }
}

/// Parses the bundle head in a row. Fails on a row that can't be parsed, since the command can't continue without the
/// head.
pub(crate) fn parse_head(row: &Row) -> Result<BundleHead, CommandError> {
    serde_json::from_str(&row.value)
        .map_err(|error| CommandError::new(format!("row {} can't be read: {error}", row.key)))
}

/// Parses the value of a row. Prints a note and returns `None` if the row can't be parsed.
pub(crate) fn parse_or_skip<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value)
        .inspect_err(|error| eprintln!("note: skipped row {}: {error}", row.key))
        .ok()
}

/// An entry listed in the table service, with its status if the entry answered.
pub(crate) struct ListedEntry {
    pub(crate) row: MemberRow,
    pub(crate) status: Option<InstanceStatus>,
}

/// Lists the entries in the table service and requests the status of each.
pub(crate) async fn list_entries(
    table: &HttpTableService,
) -> Result<Vec<ListedEntry>, CommandError> {
    let mut listed = Vec::new();
    for row in table.list(ENTRY_PREFIX).await? {
        let Some(row) = parse_or_skip::<MemberRow>(&row) else {
            continue;
        };
        let status = status_of(row.peer_address).await;
        let status = status.filter(|status| status.own.incarnation == row.incarnation);
        listed.push(ListedEntry { row, status });
    }
    Ok(listed)
}

/// Peer addresses of the entries that the table service lists, or of an entry and the live entries that it knows.
pub(crate) async fn list_peers(
    table: Option<&HttpTableService>,
    peer: Option<SocketAddr>,
) -> Result<Vec<SocketAddr>, CommandError> {
    if let Some(table) = table {
        let rows = table.list(ENTRY_PREFIX).await?;
        let rows = rows.iter().filter_map(parse_or_skip::<MemberRow>);
        return Ok(rows.map(|row| row.peer_address).collect());
    }
    let Some(peer) = peer else {
        return Ok(Vec::new());
    };
    let status = status_of(peer).await;
    let status =
        status.ok_or_else(|| CommandError::new(format!("the entry at {peer} does not answer")))?;
    let live = status.members.iter().filter(|member| member.is_live);
    let others = live.map(|member| member.row.peer_address);
    Ok(std::iter::once(peer).chain(others).collect())
}

async fn status_of(peer: SocketAddr) -> Option<InstanceStatus> {
    read_from_entry(peer, "/status").await
}

/// Reads a JSON document from the peer address of an entry; `None` if there is no valid answer.
pub(crate) async fn read_from_entry<T: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
) -> Option<T> {
    let client = HttpClient::new(peer, STATUS_TIMEOUT_MS);
    let request = http::Request::get(path).body(Default::default()).ok()?;
    let answer = client.call(request).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

/// Runs a command's calls to completion on the current thread.
pub(crate) fn run_calls<T>(calls: impl Future<Output = T>) -> T {
    pinhaven_runtime::block_on(calls)
}
