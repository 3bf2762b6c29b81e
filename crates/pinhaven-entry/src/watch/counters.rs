//! Counters of an entry's events, among them refusals by reason.

use pinhaven_decide::RefusalReason;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counted events other than refusals by [`RefusalReason`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum Count {
    /// Requests received from callers.
    Requests,
    /// Requests answered by a target.
    Answered,
    /// Requests for entry addresses.
    Addresses,
    /// Attempts sent to targets.
    Attempts,
    /// Attempts that were provably not sent.
    AttemptNotSent,
    /// Attempts not sent because the target had begun to leave or to rest.
    AttemptClosed,
    /// Attempts that a target rejected to shed load.
    AttemptShed,
    /// Attempts whose connection or answer failed.
    AttemptBroken,
    /// Attempts in flight at a target that crashed.
    AttemptCrashed,
    /// Attempts not sent because their request crashes targets.
    AttemptHeldBack,
    /// Answers that belonged to another request.
    AttemptCrossed,
    /// Successful answers that lacked the mark of a target's own answer.
    AttemptForged,
    /// Attempts at an address that belongs to another target now.
    AttemptMisdirected,
    /// Answers whose end can't be distinguished from a truncation.
    AttemptUnbounded,
    /// Exchanges in which a target sent bytes without end.
    AttemptEndless,
    /// Answers with a length that is not that of their body.
    AnswerMisframed,
    /// Answers truncated while they were passed on.
    AnswerCut,
    /// Connections opened to targets.
    Connections,
    /// Targets that announced that they leave.
    TargetLeft,
    /// Later runs of targets that were listed once and that the store contradicted since.
    RunContradicted,
    /// Demands of targets for a rest or for a longer rest.
    TargetRests,
    /// Demands for a rest that were malformed or longer than allowed.
    TargetRestBad,
    /// Failure domains drained by operators.
    DomainDrained,
    /// Failure domains restored by operators.
    DomainRestored,
    /// Probes sent.
    Probes,
    /// Probes that failed.
    ProbeFailed,
    /// Requests with an invalid head.
    BadRequest,
    /// Requests that match no route and no host of a service.
    UnknownService,
    /// Requests with a body above the size limit.
    BodyTooLarge,
    /// Requests whose body did not arrive completely.
    BodyCut,
    /// Requests refused for the lack of a key.
    KeyRequired,
    /// Requests refused because of malformed credentials.
    KeyBad,
    /// Requests refused because no organisation holds their key.
    KeyUnknown,
    /// Relayed requests refused because the version here lacks the organisation that the sender's version has.
    OrganisationUnknown,
    /// Requests refused because their organisation is at its limit.
    OverLimit,
    /// Times that an organisation reached its limit at this entry.
    LimitReached,
    /// Hedges not sent because their organisation had no token to spare.
    HedgeOverLimit,
    /// Requests refused because no bundle version is in force here.
    NotReady,
    /// Requests refused because the memory for bodies is used up.
    BodyMemory,
    /// Requests without the idempotency key that their route requires.
    KeyMissing,
    /// Once-only requests dispatched here.
    OnceDispatched,
    /// Once-only requests answered from the ledger.
    OnceReplayed,
    /// Repetitions of once-only requests that were still in flight.
    OnceInFlight,
    /// Once-only requests answered with an unknown outcome.
    OnceUnknown,
    /// Keys that were used for two different requests.
    OnceOtherRequest,
    /// Once-only requests refused because the ledger was full.
    OnceFull,
    /// Once-only requests relayed to their home.
    OnceRelayed,
    /// Claims written to the platform.
    ClaimWritten,
    /// Claims refused by the rate limit.
    ClaimRate,
    /// Claims whose write failed or had no clear result.
    ClaimFailed,
    /// Bundle versions put in force.
    BundleInForce,
    /// Bundle versions refused.
    BundleRefused,
    /// Failed attempts to fetch a bundle version from a peer.
    BundleFetchFailed,
    /// Routes indexed for requests.
    RoutesIndexed,
    /// Bytes of bundle versions received from peers.
    BundleBytes,
    /// Exchanges with peers.
    Exchanges,
    /// Failed exchanges with peers.
    ExchangeFailed,
    /// Calls to the platform.
    PlatformCalls,
    /// Failed calls to the platform.
    PlatformFailed,
    /// Bytes of messages sent to and received from peers.
    PeerBytes,
    /// Datagrams sent to serving entries of the same failure domain.
    DatagramsNear,
    /// Datagrams sent to serving entries of other failure domains.
    DatagramsFar,
    /// Datagrams sent to entries that stand by.
    DatagramsStandby,
    /// Datagrams sent to ask for descriptions of entries, and answers to such requests.
    DatagramsDescribe,
    /// Datagrams sent at once with evidence on requests that were there at a crash.
    DatagramsCrash,
    /// Bytes of `DatagramsNear`.
    DatagramBytesNear,
    /// Bytes of `DatagramsFar`.
    DatagramBytesFar,
    /// Bytes of `DatagramsStandby`.
    DatagramBytesStandby,
    /// Bytes of `DatagramsDescribe`.
    DatagramBytesDescribe,
    /// Bytes of `DatagramsCrash`.
    DatagramBytesCrash,
    /// Checks whether this entry reaches the targets of a service.
    ConnectivityChecks,
    /// Requests forwarded to another entry.
    ForwardSent,
    /// Forwarded requests that another entry did not take.
    ForwardNotTaken,
    /// Forwarded requests that another entry refused.
    ForwardRefused,
    /// Forwarded requests whose connection failed.
    ForwardBroken,
    /// Forwarded requests that were answered by a target.
    ForwardAnswered,
    /// Requests received from other entries.
    ForwardReceived,
    /// Requests of other entries that this entry did not take.
    ForwardDeclined,
    /// Times that this entry did not run for long.
    Pauses,
    /// Duration of these pauses, in milliseconds.
    PausedMs,
}

const COUNT_NAMES: [&str; 80] = [
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
    "attempt.endless",
    "answer.misframed",
    "answer.cut",
    "connections",
    "target.left",
    "target.run_contradicted",
    "target.rests",
    "target.rest_bad",
    "domain.drained",
    "domain.restored",
    "probes",
    "probe.failed",
    "refused.bad_request",
    "refused.unknown_service",
    "refused.body_too_large",
    "refused.body_cut",
    "refused.key_required",
    "refused.bad_key",
    "refused.unknown_key",
    "refused.organisation_unknown",
    "refused.over_limit",
    "limit.reached",
    "limit.hedges_withheld",
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
    "bundle.routes_indexed",
    "bundle.bytes",
    "exchanges",
    "exchange.failed",
    "platform.calls",
    "platform.failed",
    "peer.bytes",
    "datagrams.near",
    "datagrams.far",
    "datagrams.standby",
    "datagrams.describe",
    "datagrams.crash",
    "datagram_bytes.near",
    "datagram_bytes.far",
    "datagram_bytes.standby",
    "datagram_bytes.describe",
    "datagram_bytes.crash",
    "connectivity.checks",
    "forward.sent",
    "forward.not_taken",
    "forward.refused",
    "forward.broken",
    "forward.answered",
    "forward.received",
    "forward.declined",
    "pauses",
    "paused_ms",
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

    /// Returns the value of a counter.
    pub(crate) fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters by name.
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
