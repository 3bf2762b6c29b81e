//! Queries to the processes of a lab, and waits for a condition.

use super::Lab;
use super::LabError;
use bytes::Bytes;
use http::Request;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_entry::InstanceStatus;
use pinhaven_platform::ENTRY_PREFIX;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::TableService as _;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::target::TargetCounts;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Maximum time to wait for a condition.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition, in milliseconds.
const POLL_MS: u64 = 20;
/// Timeout of a call to a process, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

impl Lab {
    /// Sum of a counter over all entries that answer.
    pub async fn counter(&self, name: &str) -> u64 {
        let statuses = self.statuses().await;
        statuses.iter().filter_map(|s| s.counters.get(name)).sum()
    }

    /// Rows of all entries in the platform's list; empty if the platform is unavailable.
    pub async fn rows(&self) -> Vec<MemberRow> {
        let table = HttpTableService::new(self.platform, CALL_TIMEOUT_MS);
        let rows = table.list(ENTRY_PREFIX).await.unwrap_or_default();
        rows.iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect()
    }

    /// Row of the entry with an index in the platform's list.
    pub async fn row(&self, index: usize) -> Option<MemberRow> {
        let name = Self::entry_name(index);
        let rows = self.rows().await;
        rows.into_iter()
            .find(|row| row.instance_id.as_str() == name)
    }

    /// Caller addresses of the running entries, or the addresses at the lab's start if the platform lists no entries.
    pub async fn caller_addresses(&self) -> Vec<SocketAddr> {
        let rows = self.rows().await;
        if rows.is_empty() {
            return self.first_caller_addresses.clone();
        }
        rows.iter()
            .filter(|row| self.entries.contains_key(row.instance_id.as_str()))
            .map(|row| row.caller_address)
            .collect()
    }

    /// Status of the entry with an index, if the entry answers.
    pub async fn status(&self, index: usize) -> Option<InstanceStatus> {
        let row = self.row(index).await?;
        get(row.peer_address, "/status").await
    }

    /// Version in force at the entry with a peer address, if the entry answers.
    pub async fn version_at(&self, peer: SocketAddr) -> Option<u64> {
        let status: InstanceStatus = get(peer, "/status").await?;
        Some(status.own.version.number())
    }

    /// State of the entry with a peer address, if the entry answers.
    pub async fn state_at(&self, peer: SocketAddr) -> Option<MemberState> {
        let status: InstanceStatus = get(peer, "/status").await?;
        Some(status.own.state)
    }

    /// Statuses of all entries that answer.
    pub async fn statuses(&self) -> Vec<InstanceStatus> {
        let mut statuses = Vec::new();
        for row in self.rows().await {
            let status: Option<InstanceStatus> = get(row.peer_address, "/status").await;
            let is_same_run = |s: &InstanceStatus| s.own.incarnation == row.incarnation;
            statuses.extend(status.filter(is_same_run));
        }
        statuses
    }

    /// Waits until every running entry is ready and knows all others as ready.
    ///
    /// # Errors
    ///
    /// [`LabError`] if the condition does not hold in time.
    pub async fn wait_until_ready(&self) -> Result<(), LabError> {
        let count = self.entries.len();
        self.wait_for("all entries to be ready", async || {
            let statuses = self.statuses().await;
            let ready = statuses.iter().filter(|status| {
                let live = status
                    .members
                    .iter()
                    .filter(|m| m.is_live && m.row.state == MemberState::Ready);
                status.own.state == MemberState::Ready && live.count() + 1 >= count
            });
            ready.count() >= count
        })
        .await
    }

    /// Waits until the last rolled version is in force at every running entry.
    ///
    /// # Errors
    ///
    /// [`LabError`] if the condition does not hold in time.
    pub async fn wait_until_in_force(&self) -> Result<(), LabError> {
        let count = self.entries.len();
        let version = self.version;
        self.wait_for("the version to be in force", async || {
            let statuses = self.statuses().await;
            let in_force = statuses
                .iter()
                .filter(|status| status.own.version.number() >= version);
            in_force.count() >= count
        })
        .await
    }

    /// Waits until a version is in force at all entries with a known peer address, without querying the platform.
    ///
    /// # Errors
    ///
    /// [`LabError`] if the condition does not hold in time.
    pub async fn wait_until_all_have(&self, version: u64) -> Result<(), LabError> {
        self.wait_for("the version to be in force", async || {
            for peer in self.peer_addresses.values() {
                if self
                    .version_at(*peer)
                    .await
                    .is_none_or(|held| held < version)
                {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until a condition holds. `what` names the condition in the error.
    ///
    /// # Errors
    ///
    /// [`LabError`] if the condition does not hold in time.
    pub async fn wait_for(
        &self,
        what: &str,
        mut holds: impl AsyncFnMut() -> bool,
    ) -> Result<(), LabError> {
        let began = Instant::now();
        while began.elapsed() < WAIT_MAX {
            if holds().await {
                return Ok(());
            }
            sleep_ms(POLL_MS).await;
        }
        Err(LabError::new(format!(
            "waiting for {what} took too long; see the logs in {}",
            self.folder.display()
        )))
    }

    /// Number of executions by idempotency key, over all targets of a service.
    pub async fn runs(&self, service: usize) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for target in self.targets(service) {
            let at_target: BTreeMap<String, u32> = get(*target, "/runs").await.unwrap_or_default();
            for (key, count) in at_target {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Number of violations by promise, over all entries that answer.
    pub async fn promises_broken(&self) -> BTreeMap<String, u64> {
        let mut broken = BTreeMap::new();
        for status in self.statuses().await {
            for (name, promise) in status.promises {
                *broken.entry(name).or_default() += promise.broken;
            }
        }
        broken
    }

    /// Counts of one target; all zero if the target doesn't answer.
    pub async fn target_counts(&self, target: SocketAddr) -> TargetCounts {
        get(target, "/counts").await.unwrap_or_default()
    }
}

async fn get<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Option<T> {
    let client = HttpClient::new(peer, CALL_TIMEOUT_MS);
    let request = Request::get(path).body(Bytes::new()).ok()?;
    let response = client.call(request).await.ok()?;
    serde_json::from_slice(response.body()).ok()
}
