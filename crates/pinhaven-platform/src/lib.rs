//! Clients of the platform: a transactional table service and an object store.
//!
//! Both services are reached over HTTP with conditional requests. A write has three outcomes, which the result
//! distinguishes: the write took effect, had no effect, or its effect is unknown. After [`PlatformError::Unknown`] the
//! caller reads the row back: every row carries its writer's id, which shows whether the write took effect.
//!
//! [`Discovery`] is the interface to a store that holds configuration, targets and peers; its implementations
//! are outside this crate.

mod calls;
mod discovery;
mod error;
mod foreign;
mod http;
mod key;
mod store;

pub use crate::http::HttpObjectStore;
pub use crate::http::HttpTableService;
pub use calls::StoreCall;
pub use calls::StoreCalls;
pub use discovery::ConfigurationUpdate;
pub use discovery::Discovery;
pub use discovery::DrainUpdate;
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
