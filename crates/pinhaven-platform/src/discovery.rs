//! Interface to a store that holds the configuration, the targets and the peers of an entry.
//!
//! An implementation reads, writes and translates rows of the store. The entry decides what to do with the results.

use crate::ForeignRow;
use crate::PlatformError;
use crate::StoreCall;
use async_trait::async_trait;
use pinhaven_agree::DrainOrder;
use pinhaven_agree::DrainedDomains;
use pinhaven_agree::MemberRow;
use pinhaven_agree::TargetList;
use pinhaven_bundle::Bundle;
use pinhaven_runtime::AnswerTimes;
use std::collections::BTreeMap;

/// Position in the store's feed of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedPosition(pub u64);

/// What a read or a wait shows of the drained failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainUpdate {
    /// All of them.
    Whole(DrainedDomains),
    /// The orders since the position of the call, in the order in which they were given.
    Orders(Vec<DrainOrder>),
}

/// Result of a read or a wait for the configuration.
#[derive(Debug)]
pub struct ConfigurationUpdate {
    /// Configuration, if there is one that is newer than the position of the call.
    pub bundle: Option<Bundle>,
    /// The drained failure domains.
    pub drains: DrainUpdate,
    /// Position for the next call.
    pub position: FeedPosition,
    /// Time until a change arrived and time of its transfer; absent if the current configuration was read without
    /// waiting.
    pub times: Option<AnswerTimes>,
}

/// Store of an entry's configuration, targets and peers.
#[async_trait]
pub trait Discovery: Send + Sync {
    /// Reads the current configuration if `position` is `None`; otherwise waits for a change after `position` and
    /// reads the changed configuration. Returns without a configuration when the wait ends without a change. The operators'
    /// orders about failure domains are read in the same way.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store did not answer. A row that can't be read as a configuration is not an error:
    /// the result has no configuration, and its position is past the row.
    async fn next_configuration(
        &self,
        position: Option<FeedPosition>,
    ) -> Result<ConfigurationUpdate, PlatformError>;

    /// Whether a new configuration is being received.
    fn is_receiving_configuration(&self) -> bool;

    /// Reads the list of targets.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store did not answer. Rows of other writers are skipped and don't affect the
    /// remaining targets.
    async fn targets(&self) -> Result<TargetList, PlatformError>;

    /// Reads the rows that entries have written about themselves. Many of the rows may be out of date.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store did not answer. Rows of other writers are skipped.
    async fn members(&self) -> Result<Vec<MemberRow>, PlatformError>;

    /// Writes the row of the calling entry.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the write had no effect or its effect is unknown. Repeating the write is safe.
    async fn announce(&self, row: &MemberRow) -> Result<(), PlatformError>;

    /// Number of calls to the store by purpose.
    fn calls(&self) -> BTreeMap<StoreCall, u64> {
        BTreeMap::new()
    }

    /// Number of times each row of another writer was skipped.
    fn foreign_rows(&self) -> BTreeMap<ForeignRow, u64> {
        BTreeMap::new()
    }
}
