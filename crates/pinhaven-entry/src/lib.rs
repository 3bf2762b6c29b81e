//! An entry instance: connects callers, targets, peers and the platform to the decision logic.
//!
//! `pinhaven-decide` and `pinhaven-agree` make the decisions without I/O; this crate carries them out.
//! A request reads one immutable snapshot and some atomics. All other work runs in background tasks:
//! following the bundle history, exchanging state with peers, renewing a seat, probing targets and
//! reporting metrics.
//!
//! A request arrives in `callers` and continues in `request`, or in `once_only` if it carries an
//! idempotency key. `versions`, `targets` and `peers` update the state that requests read, `watch`
//! exposes the state to operators, and `wire` defines the messages exchanged with callers and targets.

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
pub use watch::status::OrganisationStatus;
pub use watch::status::PromiseStatus;
pub use watch::status::ServiceStatus;
pub use watch::status::TargetStatus;
pub use wire::dialect::AddressQuery;
pub use wire::dialect::AnswerFacts;
pub use wire::dialect::AttemptFacts;
pub use wire::dialect::BadField;
pub use wire::dialect::CallerFacts;
pub use wire::dialect::Dialect;
pub use wire::dialect::NamedEntry;
pub use wire::dialect::OwnDialect;
pub use wire::dialect::query_value;
pub use wire::dialect::use_standard_fields;
pub use wire::dialect::write_organisation;
pub use wire::rest::ReceivedOrders;
pub use wire::rest::ReceivedRest;
pub use wire::rest::read_rest;
