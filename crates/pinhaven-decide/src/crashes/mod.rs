//! Requests that crash the targets that run them.
//!
//! A target that crashes has several requests under way, and at most one of them is the cause. Entries tell each other
//! which requests were under way at which crash, each by its [`RequestPrint`](pinhaven_types::RequestPrint), and all
//! come to the same judgement from the same evidence:
//!
//! - A request is known to crash targets once three have crashed with it under way, none of which another one explains
//!   better, and it never ran unharmed meanwhile. It is then held back: refused before any target sees it.
//! - That ends by itself. Then one entry tries it, and if a target crashes again it is held back for four times as long.
//! - Before that, one whose second target has crashed is not sent on to a third within the same try of its caller.
//!
//! Weighed: to count each crash against all that was under way (a target of six slots has five innocent requests
//! there, and in a service of ten targets many of them meet three crashes); to try suspects one at a time (a
//! request that takes seconds to crash its target would make all others like it wait as long).

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
pub use suspects::Permit;
pub use suspects::TryTurn;
