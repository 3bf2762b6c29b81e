//! Counters of what an entry did and why.

use pinhaven_decide::RefusalReason;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// What is counted besides refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum Count {
    /// Requests taken in.
    Requests,
    /// Requests answered by a target.
    Answered,
    /// Address questions answered.
    Addresses,
    /// Attempts sent to targets.
    Attempts,
    /// Attempts that are proved not to have been sent.
    AttemptNotSent,
    /// Attempts that were not sent, as their target had begun to leave or to rest.
    AttemptClosed,
    /// Attempts that a target shed.
    AttemptShed,
    /// Attempts whose connection or answer broke.
    AttemptBroken,
    /// Attempts under way at a target that crashed.
    AttemptCrashed,
    /// Attempts that were not sent, as their request crashes targets.
    AttemptHeldBack,
    /// Answers that belonged to another request.
    AttemptCrossed,
    /// Successes without the mark of a target's own answer.
    AttemptForged,
    /// Attempts at an address that another target has now.
    AttemptMisdirected,
    /// Answers whose end can't be told from a cut.
    AttemptUnbounded,
    /// Answers that were cut while they were passed on.
    AnswerCut,
    /// Connections opened to targets.
    Connections,
    /// Targets that said with an answer that they leave.
    TargetLeft,
    /// Times that a target asked for a rest, or for a longer one.
    TargetRests,
    /// Rests that could not be read, or were longer than a target may ask for.
    TargetRestBad,
    /// Probes sent.
    Probes,
    /// Probes that failed.
    ProbeFailed,
    /// Requests with a bad head.
    BadRequest,
    /// Requests for a host that no service has.
    UnknownService,
    /// Requests with a body that is too large.
    BodyTooLarge,
    /// Requests whose body did not come whole.
    BodyCut,
    /// Requests refused because no version is in force here.
    NotReady,
    /// Requests refused because bodies fill the memory they may.
    BodyMemory,
    /// Requests that need a key and have none.
    KeyMissing,
    /// Once-only requests dispatched here.
    OnceDispatched,
    /// Once-only requests answered from the ledger.
    OnceReplayed,
    /// Once-only requests repeated while they were in flight.
    OnceInFlight,
    /// Once-only requests answered with "unknown".
    OnceUnknown,
    /// Keys used for two requests.
    OnceOtherRequest,
    /// Once-only requests refused for want of room.
    OnceFull,
    /// Once-only requests relayed to their home.
    OnceRelayed,
    /// Claims written at the platform.
    ClaimWritten,
    /// Claims refused because too many were asked for.
    ClaimRate,
    /// Claims whose write failed or could not be settled.
    ClaimFailed,
    /// Bundle versions put in force.
    BundleInForce,
    /// Bundle versions refused.
    BundleRefused,
    /// Tries to get a version from a peer that failed.
    BundleFetchFailed,
    /// Bytes of versions taken from peers.
    BundleBytes,
    /// Exchanges with peers.
    Exchanges,
    /// Exchanges that failed.
    ExchangeFailed,
    /// Calls to the platform.
    PlatformCalls,
    /// Calls to the platform that failed.
    PlatformFailed,
    /// Bytes sent to and received from peers, by message sizes.
    PeerBytes,
}

const COUNT_NAMES: [&str; 47] = [
    "requests",
    "answered",
    "addresses",
    "attempts",
    "attempt.not_sent",
    "attempt.closed",
    "attempt.shed",
    "attempt.broken",
    "attempt.crashed",
    "attempt.held_back",
    "attempt.crossed",
    "attempt.forged",
    "attempt.misdirected",
    "attempt.unbounded",
    "answer.cut",
    "connections",
    "target.left",
    "target.rests",
    "target.rest_bad",
    "probes",
    "probe.failed",
    "refused.bad_request",
    "refused.unknown_service",
    "refused.body_too_large",
    "refused.body_cut",
    "refused.not_ready",
    "refused.body_memory",
    "refused.key_missing",
    "once.dispatched",
    "once.replayed",
    "once.in_flight",
    "once.unknown",
    "once.other_request",
    "once.full",
    "once.relayed",
    "claim.written",
    "claim.rate",
    "claim.failed",
    "bundle.in_force",
    "bundle.refused",
    "bundle.fetch_failed",
    "bundle.bytes",
    "exchanges",
    "exchange.failed",
    "platform.calls",
    "platform.failed",
    "peer.bytes",
];

/// All counters of an entry.
#[derive(Debug)]
pub(crate) struct Counters {
    counts: [AtomicU64; COUNT_NAMES.len()],
    refusals: [AtomicU64; RefusalReason::ALL.len()],
}

impl Counters {
    pub(crate) fn new() -> Self {
        Self {
            counts: [const { AtomicU64::new(0) }; COUNT_NAMES.len()],
            refusals: [const { AtomicU64::new(0) }; RefusalReason::ALL.len()],
        }
    }

    pub(crate) fn add(&self, count: Count) {
        self.add_many(count, 1);
    }

    pub(crate) fn add_many(&self, count: Count, number: u64) {
        self.counts[count as usize].fetch_add(number, Ordering::Relaxed);
    }

    pub(crate) fn add_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// One counter.
    pub(crate) fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }

    /// All counters by name.
    pub(crate) fn all(&self) -> BTreeMap<String, u64> {
        let counts = COUNT_NAMES
            .iter()
            .zip(&self.counts)
            .map(|(name, count)| ((*name).to_owned(), count.load(Ordering::Relaxed)));
        let refusals = RefusalReason::ALL.iter().map(|reason| {
            let count = self.refusals[*reason as usize].load(Ordering::Relaxed);
            (format!("refused.{}", reason.name()), count)
        });
        counts.chain(refusals).collect()
    }
}
