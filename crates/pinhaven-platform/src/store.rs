//! The two interfaces of the platform.

use crate::PlatformError;
use std::fmt;
use std::future::Future;

/// Version of a row, as the table service names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowVersion(String);

impl RowVersion {
    /// The version with this entity tag.
    pub fn new(tag: impl Into<String>) -> Self {
        Self(tag.into())
    }

    /// The entity tag.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: RowVersion,
    /// Its value, JSON.
    pub value: String,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// The transactional table service.
pub trait TableService: Send + Sync {
    /// Reads a row; `None` when there is none.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Lists the rows whose keys start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Writes a row when a condition holds.
    fn write(
        &self,
        key: &str,
        condition: Condition,
        value: String,
    ) -> impl Future<Output = Result<RowVersion, PlatformError>> + Send;
}

/// The object store; objects never change.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` when there is none.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;

    /// Writes an object. Writing the same object twice is harmless.
    fn write(
        &self,
        key: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
