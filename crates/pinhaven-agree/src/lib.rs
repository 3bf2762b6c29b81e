//! What entries agree on, free of I/O: versions in force, once-only requests, membership and seats.
//!
//! Nothing here rests on a lease that was looked at before a pause. A version in force only grows; a
//! once-only request has one home that alone may dispatch it; a member's word that it stops is final;
//! a seat's holder asks its own clock before each use, and what a pause between asking and using can
//! cost is paid for beforehand.

mod demand;
mod latest_runs;
mod ledger;
mod list_step;
mod listed_target;
mod membership;
mod packages;
mod recent_deltas;
mod retry_backoff;
mod seat;
mod steering;
mod store_lag;
mod store_pace;
mod target_list;
mod transfer_budget;
mod version;
mod version_fetch;
mod version_lag;

pub use demand::DemandMeter;
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
pub use membership::Member;
pub use membership::MemberRow;
pub use membership::MemberState;
pub use membership::Membership;
pub use packages::PackageStart;
pub use packages::Packages;
pub use recent_deltas::RecentDeltas;
pub use retry_backoff::RetryBackoff;
pub use seat::SeatAction;
pub use seat::SeatKeeper;
pub use seat::SeatRow;
pub use seat::seat_of;
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
