//! Rows in the store by which entries that know no peers find others.
//!
//! Only few entries write a row: the store delegates, which use the store on behalf of all entries.

use crate::entry::Entry;
use crate::versions::discovered::DELEGATE_POLL_MS;
use crate::versions::store_pace::FIRST_RANK;
use crate::versions::store_pace::pause_before_retry;
use pinhaven_agree::RetryBackoff;
use pinhaven_platform::Discovery;
use pinhaven_platform::PlatformError;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::Microseconds;
use std::sync::Arc;

/// Delay from the start until a store delegate writes its row, in milliseconds.
const FIRST_WRITE_DELAY_MS: u64 = 1_000;
/// Delay from writing the row until the first read of the rows of others, in milliseconds. All entries start at about
/// the same time, so an earlier read would find few rows.
const FIRST_READ_DELAY_MS: u64 = 500;
/// Interval between later reads of an entry without live peers, in milliseconds.
const READ_INTERVAL_MS: u64 = 3_000;
/// Number of read intervals between two reads of one of the first store delegates with live peers. Such a read joins two
/// groups of entries that do not know each other; each group has first delegates of its own.
const INTERVALS_PER_FIRST_READ: u32 = 4;
/// Number of store delegates that count as the first ones, as one may lose its connection to the store.
const FIRST_DELEGATES: usize = 2;
/// Number of read intervals between two reads of any other store delegate.
const INTERVALS_PER_DELEGATE_READ: u32 = 20;

impl Entry {
    /// Writes the row of this entry and reads the rows of others. With a store, runs until the process exits.
    pub(crate) async fn maintain_membership(self: Arc<Self>) {
        let Some(store) = self.store() else {
            return;
        };
        sleep_ms(FIRST_WRITE_DELAY_MS).await;
        while !self.uses_store(true) {
            sleep_ms(DELEGATE_POLL_MS).await;
        }
        let mut backoff = RetryBackoff::default();
        while let Err(error) = self.announce(&store).await {
            log::warn!(target: "members", "Writing the own row failed: {error}.");
            pause_before_retry(&mut backoff, FIRST_RANK).await;
        }
        sleep_ms(FIRST_READ_DELAY_MS).await;
        let mut intervals: u32 = 0;
        loop {
            let is_delegate_read_due = intervals.is_multiple_of(self.intervals_per_read());
            let is_alone = !self.members.lock().has_live_peer(self.now());
            if is_alone || (is_delegate_read_due && self.uses_store(true)) {
                self.read_members(&store).await;
            }
            intervals += 1;
            sleep_ms(READ_INTERVAL_MS).await;
        }
    }

    /// Number of read intervals between two reads of this entry as a store delegate.
    fn intervals_per_read(&self) -> u32 {
        let members = self.members.lock();
        let own = members.own().incarnation;
        let delegates = members.delegates(self.now());
        let mut first = delegates.iter().take(FIRST_DELEGATES);
        match first.any(|row| row.incarnation == own) {
            true => INTERVALS_PER_FIRST_READ,
            false => INTERVALS_PER_DELEGATE_READ,
        }
    }

    async fn announce(&self, store: &Arc<dyn Discovery>) -> Result<(), PlatformError> {
        let row = self.members.lock().own().clone();
        let written = store.announce(&row).await;
        self.count_platform(written)
    }

    async fn read_members(&self, store: &Arc<dyn Discovery>) {
        let read = store.members().await;
        match self.count_platform(read) {
            Ok(rows) => {
                let now = self.now();
                let mut members = self.members.lock();
                for row in rows {
                    members.record_relayed_member(row, Microseconds::ZERO, now);
                }
            }
            Err(error) => log::warn!(target: "members", "Reading peer rows failed: {error}."),
        }
    }
}
