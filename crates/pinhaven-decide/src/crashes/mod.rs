//!

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
