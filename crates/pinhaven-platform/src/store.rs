//! Interfaces of the platform's table service and object store.

use crate::PlatformError;
use std::fmt;
use std::future::Future;

/// Version of a row: an opaque entity tag assigned by the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowVersion(String);

impl RowVersion {
    /// Creates a version from its entity tag.
    pub fn new(tag: impl Into<String>) -> Self {
        Self(tag.into())
    }

    /// Entity tag of the version.
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
    /// Key of the row.
    pub key: String,
    /// Version of the row, for conditional writes.
    pub version: RowVersion,
    /// Value of the row, as JSON text.
    pub value: String,
}

/// Precondition of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// Client of the transactional table service.
pub trait TableService: Send + Sync {
    /// Reads a row. Returns `None` if the row does not exist.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Lists the rows whose keys start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Writes a row if `condition` holds, and returns the new version.
    fn write(
        &self,
        key: &str,
        condition: Condition,
        value: String,
    ) -> impl Future<Output = Result<RowVersion, PlatformError>> + Send;
}

/// Client of the object store. Objects are immutable.
pub trait ObjectStore: Send + Sync {
    /// Reads an object. Returns `None` if the object does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;

    /// Writes an object. Writing the same object again has no effect.
    fn write(
        &self,
        key: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
