//! Detects requests that crash the targets that execute them.
//!
//! When a target crashes, several requests are in flight there, and at most one of them is the cause. Entries
//! exchange which requests were in flight at which crash, each request identified by its
//! [`RequestFingerprint`](pinhaven_types::RequestFingerprint). All entries reach the same verdict from the same
//! evidence:
//!
//! - A request is harmful once three targets have crashed with it in flight, no other request explains these crashes
//!   better, and it has not succeeded meanwhile. A harmful request is held back: refused before any target receives it.
//! - A hold expires. One entry then tries the request, and if a target crashes again, the request is held back for
//!   four times as long.
//! - A request that is not yet harmful but has crashed two targets is not sent to a third target within the same
//!   attempt of its caller.
//!
//! Two simpler designs have drawbacks. Counting each crash against every request in flight would refuse innocent
//! requests: a target of six slots holds five of them, and in a service of ten targets many of them meet three crashes.
//! Trying suspects one at a time would delay all similar requests for as long as a harmful request takes to crash its
//! target, which may be seconds.

mod crash_count;
mod evidence;
mod suspects;
mod verdict;

pub(crate) use crash_count::CrashCount;
pub use evidence::CrashedRun;
pub use evidence::SuspectFacts;
pub use suspects::Audience;
pub use suspects::CrashSuspects;
pub use suspects::HeldRequest;
pub use suspects::SendDecision;
pub use suspects::TrialTurn;
