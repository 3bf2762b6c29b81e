//! State that entries agree on: versions in force, target lists, once-only requests, membership and seats.
//!
//! A once-only request is a request with a caller's idempotency key, which must not run twice. Its home is the one
//! process that may dispatch the request. A seat is a lease on the right to send probes to a part of the targets.
//!
//! The crate does no I/O. Callers pass in received messages, rows of the store and the current time; the
//! types of this crate return decisions such as a request to send or a row to write.
//!
//! A process can be paused between a check of its lease and the action that relies on the check. Agreement
//! therefore never depends on such a check alone:
//!
//! - The version in force of an entry never decreases, nor does the revision of its drained failure domains.
//! - A once-only request has one home, and only the home may dispatch the request.
//! - A member that has announced its stop never becomes ready again in the same incarnation.
//! - The holder of a seat checks its lease by its own clock before each probe. A pause after the check
//!   allows at most one probe too many, and the measuring budget reserves that probe in advance.

mod demand;
mod drained_domains;
mod heartbeat_routes;
mod latest_runs;
mod ledger;
mod list_step;
mod listed_target;
mod member;
mod membership;
mod near_entries;
mod owners;
mod packages;
mod ranking;
mod reach;
mod recent_deltas;
mod reported_leaves;
mod retry_backoff;
mod round_pace;
mod seat;
mod steering;
mod store_access;
mod store_failures;
mod store_lag;
mod store_pace;
mod target_list;
mod transfer_budget;
mod version;
mod version_fetch;
mod version_lag;

pub use demand::DemandMeter;
pub use demand::EntryWork;
pub use drained_domains::DrainChange;
pub use drained_domains::DrainOrder;
pub use drained_domains::DrainedDomains;
pub use drained_domains::KnownDrains;
pub use heartbeat_routes::Recipients;
pub use heartbeat_routes::TrafficFacts;
pub use heartbeat_routes::UpdateScope;
pub use ledger::BeginOutcome;
pub use ledger::Claim;
pub use ledger::Epoch;
pub use ledger::Home;
pub use ledger::Ledger;
pub use ledger::LedgerLimits;
pub use ledger::OnceFingerprint;
pub use ledger::OnceKey;
pub use ledger::ParseHomeError;
pub use ledger::Sending;
pub use ledger::StoredAnswer;
pub use list_step::ListStep;
pub use list_step::ListStepError;
pub use list_step::ListSteps;
pub use listed_target::ListedTarget;
pub use listed_target::TargetList;
pub use member::Heartbeat;
pub use member::HeartbeatSource;
pub use member::Member;
pub use member::MemberRow;
pub use member::MemberState;
pub use member::Silence;
pub use membership::Membership;
pub use owners::OwnedKeys;
pub use owners::OwnerCandidate;
pub use owners::UnassignedTarget;
pub use packages::PackageStart;
pub use packages::Packages;
pub use reach::Forwarder;
pub use reach::ServiceKey;
pub use reach::TargetReach;
pub use recent_deltas::RecentDeltas;
pub use reported_leaves::ReportedLeaves;
pub use retry_backoff::RetryBackoff;
pub use round_pace::FillLevel;
pub use seat::SeatAction;
pub use seat::SeatKeeper;
pub use seat::SeatRow;
pub use seat::seat_of;
pub use store_access::FOLLOWING_READERS;
pub use store_access::LIST_READER_FOR;
pub use store_access::STANDBY_READERS;
pub use store_access::StoreAccess;
pub use store_access::StoreAccessFacts;
pub use store_failures::StoreFailures;
pub use store_lag::StoreLag;
pub use store_pace::pause_after_answer;
pub use target_list::KnownTargets;
pub use target_list::PeerList;
pub use transfer_budget::RETRY_DELAY_MAX;
pub use transfer_budget::TransferBudget;
pub use version::Offer;
pub use version::Offered;
pub use version::OlderVersion;
pub use version::Verified;
pub use version::VersionInForce;
pub use version_fetch::Fetched;
pub use version_fetch::PART_BYTES_MAX;
pub use version_fetch::PART_TIMEOUT;
pub use version_fetch::Part;
pub use version_fetch::PartRequest;
pub use version_fetch::VersionFetch;
pub use version_lag::VersionLag;
