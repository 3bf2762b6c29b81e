//! Records the evidence on all requests that were in flight when targets crashed.

use super::evidence::Crash;
use super::evidence::CrashedRun;
use super::evidence::Evidence;
use super::evidence::SuspectFacts;
use super::verdict::Verdict;
use super::verdict::verdict;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Maximum number of remembered requests, about 130 bytes each. A caller that sends many distinct requests which crash
/// targets makes an entry evict the requests with the fewest crashes.
const SUSPECTS_MAX: usize = 1_024;
/// Maximum number of crashes retained per request. Crashes of requests that were already in flight when the hold began
/// are not needed as further evidence. Each later crash in a trial is retained, also beyond the maximum.
const RETAINED_CRASHES_MAX: usize = 32;
/// Interval between two checks for expired requests.
const FORGET_INTERVAL: Microseconds = Microseconds::from_ms(1_000);
/// How long a request is remembered after its last crash or after the end of its hold. A request that returns less
/// often crashes three targets each time.
const RETENTION: Microseconds = Microseconds::from_ms(600_000);
/// How long new evidence is advertised repeatedly, so that a lost datagram is compensated. The period covers six
/// complete rounds.
const READVERTISE_FOR: Microseconds = Microseconds::from_ms(3_000);
/// How long one entry has the exclusive right to try a request whose hold has expired. A retry of the caller arrives
/// within this time, and a crash has been advertised to the entry whose turn is next. A request that is not sent on to
/// another target may be retried after the same time.
const TRIAL_TURN: Microseconds = Microseconds::from_ms(2_000);

/// Position of an entry in the order of trial turns. All entries rank the live entries in the same order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialTurn {
    /// Rank of this entry in that order, from 0.
    pub rank: u64,
    /// Number of live entries, including this one.
    pub entries: u64,
}

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// The request may be sent.
    Allowed,
    /// The request is held back.
    HeldBack {
        /// Time until the request may be tried again.
        for_us: Microseconds,
    },
}

/// Which entries should receive a crash at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// No entry, because the crash is not new.
    Nobody,
    /// The entries that serve callers.
    Serving,
    /// All entries.
    All,
}

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Number of targets that crashed with the request in flight.
    pub crashes: usize,
    /// Lower bound for the successes of the request since the first crash.
    pub successes: u32,
    /// When the current hold began.
    pub since: Microseconds,
    /// When the current hold ends and the request may be tried again.
    pub until: Microseconds,
}

/// Evidence on the requests that were in flight when targets crashed, as known to one entry.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    suspects: HashMap<RequestFingerprint, Evidence>,
    /// When this entry last tried a request whose hold had expired.
    trial_at: HashMap<RequestFingerprint, Microseconds>,
    /// When expired requests were last removed.
    last_forget_at: Microseconds,
}

impl CrashSuspects {
    /// Creates the state without any suspect.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether there is no evidence on any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of requests with evidence.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether any request was in flight at more than one crash. If not, all requests may be sent.
    pub fn has_repeated(&self) -> bool {
        let is_repeated = |evidence: &Evidence| evidence.crashes().len() > 1;
        self.suspects.values().any(is_repeated)
    }

    /// The requests that are held back or await a trial.
    pub fn held_back(&self) -> Vec<HeldRequest> {
        let held = |(fingerprint, evidence): (&RequestFingerprint, &Evidence)| {
            let Verdict::Harmful { since, until } = self.verdict(*fingerprint) else {
                return None;
            };
            Some(HeldRequest {
                fingerprint: *fingerprint,
                crashes: evidence.crashes().len(),
                successes: evidence.successes(),
                since,
                until,
            })
        };
        let mut held: Vec<HeldRequest> = self.suspects.iter().filter_map(held).collect();
        held.sort();
        held
    }

    fn is_held_back(&self, fingerprint: RequestFingerprint) -> bool {
        matches!(self.verdict(fingerprint), Verdict::Harmful { .. })
    }

    /// Records that a target crashed with a request in flight that has these fingerprints. Returns which entries should
    /// receive the crash at once.
    pub fn record_crash(
        &mut self,
        fingerprints: &[RequestFingerprint],
        run: CrashedRun,
        now: Microseconds,
    ) -> Audience {
        let crash = Crash { run, at: now };
        let mut audience = Audience::Nobody;
        for fingerprint in fingerprints {
            if self.add_crash(*fingerprint, crash, now) {
                audience = audience.max(self.audience_of(*fingerprint));
            }
        }
        self.forget(now);
        audience
    }

    /// Returns which entries should receive the evidence on a request at once. Nearly all requests that meet a crash
    /// are innocent and meet only one, and a tenth of the targets of a large deployment may crash at the same moment.
    fn audience_of(&self, fingerprint: RequestFingerprint) -> Audience {
        match self.suspects.get(&fingerprint) {
            Some(evidence) if evidence.crashes().len() > 1 => Audience::All,
            _ => Audience::Serving,
        }
    }

    fn add_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: Crash,
        now: Microseconds,
    ) -> bool {
        let has_many = |evidence: &Evidence| evidence.crashes().len() >= RETAINED_CRASHES_MAX;
        if self.suspects.get(&fingerprint).is_some_and(has_many)
            && let Verdict::Harmful { until, .. } = self.verdict(fingerprint)
            && crash.at <= until
        {
            return false;
        }
        let evidence = self.suspects.entry(fingerprint).or_default();
        evidence.add_crash(crash, now)
    }

    /// Records that a request with these fingerprints succeeded. Returns whether any of the fingerprints was held back
    /// before.
    pub fn record_success(
        &mut self,
        fingerprints: &[RequestFingerprint],
        now: Microseconds,
    ) -> bool {
        let was_held = fingerprints
            .iter()
            .any(|fingerprint| self.is_held_back(*fingerprint));
        for fingerprint in fingerprints {
            if let Some(evidence) = self.suspects.get_mut(fingerprint) {
                evidence.add_success(now);
            }
        }
        was_held
    }

    /// Returns how long a request with these fingerprints is held back at `now`, or `None` if it may be sent to a
    /// target. `is_further_target` says whether the request would be sent to another target after an attempt whose
    /// failure its caller doesn't know of. No request is tried again while the turn of this entry is unknown.
    pub fn held_back_for(
        &self,
        fingerprints: &[RequestFingerprint],
        is_further_target: bool,
        turn: Option<TrialTurn>,
        now: Microseconds,
    ) -> Option<Microseconds> {
        let held_for = |fingerprint: &RequestFingerprint| match self.verdict(*fingerprint) {
            Verdict::Clear => None,
            Verdict::Suspected => is_further_target.then_some(TRIAL_TURN),
            Verdict::Harmful { until, .. } if now < until => Some(until.saturating_sub(now)),
            Verdict::Harmful { .. } if is_further_target => Some(TRIAL_TURN),
            Verdict::Harmful { until, .. } => {
                self.wait_for_trial_turn(*fingerprint, until, turn, now)
            }
        };
        fingerprints.iter().find_map(held_for)
    }

    /// Decides whether a request may be sent at `now`. If the request was held back before, records the decision to
    /// send it as the trial of this turn.
    pub fn decide_send(
        &mut self,
        fingerprints: &[RequestFingerprint],
        is_further_target: bool,
        turn: Option<TrialTurn>,
        now: Microseconds,
    ) -> SendDecision {
        if let Some(for_us) = self.held_back_for(fingerprints, is_further_target, turn, now) {
            return SendDecision::HeldBack { for_us };
        }
        for fingerprint in fingerprints {
            if self.is_held_back(*fingerprint) {
                self.trial_at.insert(*fingerprint, now);
            }
        }
        SendDecision::Allowed
    }

    /// Returns how long a request that may be tried again has to wait in this entry, or `None` if this entry may try it
    /// now. Each turn allows one trial.
    fn wait_for_trial_turn(
        &self,
        fingerprint: RequestFingerprint,
        until: Microseconds,
        turn: Option<TrialTurn>,
        now: Microseconds,
    ) -> Option<Microseconds> {
        let elapsed_turns = now.saturating_sub(until).count() / TRIAL_TURN.count();
        let turn_started_at = until.plus(Microseconds::new(elapsed_turns * TRIAL_TURN.count()));
        let is_own = turn.is_some_and(|turn| elapsed_turns % turn.entries.max(1) == turn.rank);
        let has_used_turn = self
            .trial_at
            .get(&fingerprint)
            .is_some_and(|at| *at >= turn_started_at);
        let is_trial_allowed = is_own && !has_used_turn;
        (!is_trial_allowed).then_some(TRIAL_TURN)
    }

    fn verdict(&self, fingerprint: RequestFingerprint) -> Verdict {
        match self.suspects.get(&fingerprint) {
            Some(evidence) => verdict(fingerprint, evidence, &self.suspects),
            None => Verdict::Clear,
        }
    }

    /// Returns the evidence to advertise, on at most `max` requests that were in flight at `crashes_min` crashes or
    /// more: requests that are held back, chosen at random, and requests with recent evidence, newest first. If there
    /// are too many, each group gets half of `max`.
    pub fn advertised_facts(
        &self,
        max: usize,
        crashes_min: usize,
        now: Microseconds,
        random: &mut fastrand::Rng,
    ) -> Vec<SuspectFacts> {
        let should_advertise = |fingerprint: &RequestFingerprint, evidence: &Evidence| {
            let is_recent = now.saturating_sub(evidence.changed_at) < READVERTISE_FOR;
            let has_enough = evidence.crashes().len() >= crashes_min;
            has_enough && (is_recent || self.is_held_back(*fingerprint))
        };
        let candidates = self.suspects.iter();
        let candidates =
            candidates.filter(|(fingerprint, evidence)| should_advertise(fingerprint, evidence));
        let (mut held, mut recent): (Vec<_>, Vec<_>) =
            candidates.partition(|(fingerprint, _)| self.is_held_back(**fingerprint));
        random.shuffle(&mut held);
        recent.sort_by_key(|(fingerprint, evidence)| (Reverse(evidence.changed_at), **fingerprint));
        let recent_max = recent.len().min(max / 2);
        held.truncate(max - recent_max);
        recent.truncate(max - held.len());
        let facts = held.into_iter().chain(recent);
        let facts = facts.map(|(fingerprint, evidence)| SuspectFacts {
            fingerprint: *fingerprint,
            crashes: ages(evidence, now),
            successes: evidence.successes(),
        });
        facts.collect()
    }

    /// Merges evidence received from another entry. Evidence that has already expired is not recorded; otherwise
    /// entries would advertise it to each other indefinitely.
    pub fn merge_peer_facts(&mut self, facts: &[SuspectFacts], now: Microseconds) {
        for received in facts {
            for (run, age) in &received.crashes {
                let at = now.saturating_sub(*age);
                self.add_crash(received.fingerprint, Crash { run: *run, at }, now);
            }
            if let Some(evidence) = self.suspects.get_mut(&received.fingerprint) {
                evidence.raise_successes(received.successes, now);
            }
            if !self.is_remembered(received.fingerprint, now) {
                self.suspects.remove(&received.fingerprint);
            }
        }
        self.forget(now);
    }

    /// Removes requests without recent crashes, and evicts the least suspected requests if there are too many.
    pub fn forget(&mut self, now: Microseconds) {
        if now.saturating_sub(self.last_forget_at) >= FORGET_INTERVAL {
            self.last_forget_at = now;
            let fingerprints = self.suspects.keys().copied();
            let expired: Vec<RequestFingerprint> = fingerprints
                .filter(|fingerprint| !self.is_remembered(*fingerprint, now))
                .collect();
            for fingerprint in expired {
                self.suspects.remove(&fingerprint);
            }
        }
        if self.suspects.len() > SUSPECTS_MAX {
            self.evict_least_suspected();
        }
        let suspects = &self.suspects;
        self.trial_at
            .retain(|fingerprint, _| suspects.contains_key(fingerprint));
    }

    fn is_remembered(&self, fingerprint: RequestFingerprint, now: Microseconds) -> bool {
        let Some(evidence) = self.suspects.get(&fingerprint) else {
            return false;
        };
        let from = match self.verdict(fingerprint) {
            Verdict::Harmful { until, .. } => until,
            Verdict::Clear | Verdict::Suspected => evidence.last_at(),
        };
        now < from.plus(RETENTION)
    }

    /// Evicts an eighth of the maximum number at once, so that an eviction is not needed at each crash.
    fn evict_least_suspected(&mut self) {
        let mut order: Vec<(Reverse<usize>, Reverse<Microseconds>, RequestFingerprint)> = self
            .suspects
            .iter()
            .map(|(fingerprint, evidence)| {
                let count = evidence.crashes().len();
                (Reverse(count), Reverse(evidence.last_at()), *fingerprint)
            })
            .collect();
        order.sort();
        for (_, _, fingerprint) in &order[SUSPECTS_MAX * 7 / 8..] {
            self.suspects.remove(fingerprint);
        }
    }
}

fn ages(evidence: &Evidence, now: Microseconds) -> Vec<(CrashedRun, Microseconds)> {
    let crashes = evidence.crashes().iter();
    let ages = crashes.map(|crash| (crash.run, now.saturating_sub(crash.at)));
    ages.collect()
}
