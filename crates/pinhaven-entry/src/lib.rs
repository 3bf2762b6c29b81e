//! The entry instance: the driver that joins decisions, callers, targets, peers and the platform.
//!
//! The decisions are made in `pinhaven-decide` and `pinhaven-agree`; this crate carries them out. A
//! request's path reads one snapshot and atomics. Everything else runs beside it in tasks of its own:
//! following the bundle history, talking to peers, renewing a seat, probing, reporting metrics.

mod added_attempts;
mod address;
mod attempt;
mod beliefs;
mod body;
mod bundles;
mod capacity;
mod claim_rate;
mod claims;
mod clock;
mod counters;
mod dialect;
mod directory;
mod discovered;
mod dispatch;
mod entry;
mod error;
mod gossip;
mod gossip_message;
mod header;
mod hold;
mod job;
mod latencies;
mod leaving;
mod leaving_news;
mod listed_targets;
mod listening;
mod load_report;
mod metrics;
mod metrics_text;
mod news;
mod news_message;
mod once;
mod owned_targets;
mod peer_rows;
mod places;
mod pool;
mod probes;
mod problem;
mod proxy;
mod recent_deltas;
mod recipients;
mod relay;
mod reload;
mod routes;
mod seats;
mod snapshot;
mod speed_probes;
mod start;
mod status;
mod stop;

pub use dialect::AddressQuestion;
pub use dialect::AnswerFacts;
pub use dialect::AttemptFacts;
pub use dialect::BadField;
pub use dialect::CallerFacts;
pub use dialect::Dialect;
pub use dialect::NamedEntry;
pub use dialect::OwnDialect;
pub use dialect::query_value;
pub use dialect::use_standard_fields;
pub use entry::EntryEnvironment;
pub use entry::Reread;
pub use error::EntryError;
pub use error::EntryStep;
pub use start::run_entry;
pub use status::InstanceStatus;
pub use status::MemberStatus;
pub use status::PromiseStatus;
pub use status::ServiceStatus;
pub use status::TargetStatus;
