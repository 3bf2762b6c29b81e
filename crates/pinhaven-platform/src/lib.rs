//! Clients of the platform: a transactional table service and an object store.
//!
//! Both are reached over HTTP with conditional requests. A write has three outcomes, and the error
//! type keeps them apart: it took effect, it did not, or nobody can tell. A caller that gets
//! [`PlatformError::Unknown`] settles it by reading back, as every row carries its writer's id.

mod discovery;
mod error;
mod foreign;
mod http;
mod key;
mod store;

pub use crate::http::HttpObjectStore;
pub use crate::http::HttpTableService;
pub use discovery::ConfigurationUpdate;
pub use discovery::Discovery;
pub use discovery::FeedPosition;
pub use error::PlatformError;
pub use error::PlatformStep;
pub use foreign::ForeignReason;
pub use foreign::ForeignRow;
pub use foreign::ForeignRows;
pub use foreign::RowFault;
pub use key::BUNDLE_HEAD;
pub use key::CLAIM_PREFIX;
pub use key::ENTRY_PREFIX;
pub use key::SEAT_PREFIX;
pub use key::TARGET_PREFIX;
pub use key::bundle_delta_object;
pub use key::bundle_history;
pub use key::bundle_object;
pub use store::Condition;
pub use store::ObjectStore;
pub use store::Row;
pub use store::RowVersion;
pub use store::TableService;
