//! What commands need of the platform and of the entries.

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

/// How long an entry may take to tell its status, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug, Args)]
pub(crate) struct PlatformArguments {
    /// Address of the platform's table service.
    #[arg(long, env = "PINHAVEN_TABLE")]
    table: SocketAddr,
    /// Address of the platform's object store; the table service's if left out.
    #[arg(long, env = "PINHAVEN_OBJECTS")]
    objects: Option<SocketAddr>,
    /// How long one call to the platform may take, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    timeout_ms: u64,
}

impl PlatformArguments {
    /// A client of the table service.
    pub(crate) fn table(&self) -> HttpTableService {
        HttpTableService::new(self.table, self.timeout_ms)
    }

    /// A client of the object store.
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

/// The head that a row holds, where nothing can be done without it.
pub(crate) fn parse_head(row: &Row) -> Result<BundleHead, CommandError> {
    serde_json::from_str(&row.value)
        .map_err(|error| CommandError::new(format!("row {} can't be read: {error}", row.key)))
}

/// What a row holds; one that can't be read is named and left out.
pub(crate) fn parse_or_skip<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value)
        .inspect_err(|error| eprintln!("note: row {} is left out: {error}", row.key))
        .ok()
}

/// An entry of the platform's list, with its status if it answers.
pub(crate) struct ListedEntry {
    pub(crate) row: MemberRow,
    pub(crate) status: Option<InstanceStatus>,
}

/// The entries of the platform's list, each asked for its status.
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

async fn status_of(peer: SocketAddr) -> Option<InstanceStatus> {
    let client = HttpClient::new(peer, STATUS_TIMEOUT_MS);
    let request = http::Request::get("/status")
        .body(Default::default())
        .ok()?;
    let answer = client.call(request).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

/// Runs a command's calls.
pub(crate) fn run_calls<T>(calls: impl Future<Output = T>) -> T {
    pinhaven_runtime::block_on(calls)
}
