//! Where an entry learns its configuration, its targets and its peers, when a store holds all three.
//!
//! The implementation translates the store's rows; what to do with what it finds is decided by the
//! entry.

use crate::ForeignRow;
use crate::PlatformError;
use async_trait::async_trait;
use pinhaven_agree::MemberRow;
use pinhaven_agree::TargetList;
use pinhaven_bundle::Bundle;
use pinhaven_runtime::AnswerTimes;
use std::collections::BTreeMap;

/// A place in the store's history of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedPosition(pub u64);

/// What a look at the configuration brought.
#[derive(Debug)]
pub struct ConfigurationUpdate {
    /// The configuration, if there is one that was not known at the place looked from.
    pub bundle: Option<Bundle>,
    /// Where to look from next time.
    pub position: FeedPosition,
    /// How long a change was waited for, and how long it took to come; unknown of what was read as it stood.
    pub times: Option<AnswerTimes>,
}

/// The store, as an entry uses it.
#[async_trait]
pub trait Discovery: Send + Sync {
    /// Reads the configuration as it stands, or waits for a change after `position` and reads that.
    /// Returns without a configuration when the wait was long enough.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store did not answer. What is no configuration counts as none, and the
    /// position moves past it.
    async fn next_configuration(
        &self,
        position: Option<FeedPosition>,
    ) -> Result<ConfigurationUpdate, PlatformError>;

    /// Whether a new configuration is coming in at this moment.
    fn is_receiving_configuration(&self) -> bool;

    /// Reads the list of targets.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store did not answer. Entries of other writers name no target; the
    /// others hold.
    async fn targets(&self) -> Result<TargetList, PlatformError>;

    /// Reads the rows that entries have written about themselves; many may be out of date.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store did not answer. Rows of other writers are left out.
    async fn members(&self) -> Result<Vec<MemberRow>, PlatformError>;

    /// Writes the own row.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the write had no effect, or nobody can tell. Writing it again is
    /// harmless.
    async fn announce(&self, row: &MemberRow) -> Result<(), PlatformError>;

    /// How often each row of another writer was left out.
    fn foreign_rows(&self) -> BTreeMap<ForeignRow, u64> {
        BTreeMap::new()
    }
}
