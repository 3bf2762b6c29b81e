//! The entry instance: the driver that joins decisions, callers, targets, peers and the platform.
//!
//! The decisions are made in `pinhaven-decide` and `pinhaven-agree`; this crate carries them out. A
//! request's path reads one snapshot and atomics. Everything else runs beside it in tasks of its own:
//! following the bundle history, talking to peers, renewing a seat, probing, reporting metrics.
//!
//! A request comes in at `callers` and goes on to `request`, or through `once_only` where it carries a key.
//! Beside that way, `versions`, `targets` and `peers` keep up to date what it reads, and `watch` shows
//! operators what happens. `wire` spells it all for callers and targets.

mod callers;
mod capacity;
mod clock;
mod crashes;
mod entry;
mod error;
mod listening;
mod once_only;
mod peers;
mod request;
mod start;
mod start_wait;
mod stop;
mod targets;
mod versions;
mod watch;
mod wire;

pub use entry::EntryEnvironment;
pub use entry::SettingsReader;
pub use error::EntryError;
pub use error::EntryStep;
pub use start::run_entry;
pub use watch::status::InstanceStatus;
pub use watch::status::MemberStatus;
pub use watch::status::PromiseStatus;
pub use watch::status::ServiceStatus;
pub use watch::status::TargetStatus;
pub use wire::dialect::AddressQuestion;
pub use wire::dialect::AnswerFacts;
pub use wire::dialect::AttemptFacts;
pub use wire::dialect::BadField;
pub use wire::dialect::CallerFacts;
pub use wire::dialect::Dialect;
pub use wire::dialect::NamedEntry;
pub use wire::dialect::OwnDialect;
pub use wire::dialect::query_value;
pub use wire::dialect::use_standard_fields;
pub use wire::rest::HeardOrders;
pub use wire::rest::HeardRest;
pub use wire::rest::read_rest;
