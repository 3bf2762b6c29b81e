//! Decides whether a request may be sent to a target, from the crash evidence of all entries.
//!
//! Outcomes of attempts and the evidence of peers come in. The evidence and the rules are in `pinhaven-decide`; this
//! module holds them for the tasks of the entry and notes whom to notify of new evidence.

use crate::callers::job::Job;
use crate::crashes::fingerprints::RequestFingerprints;
use crate::entry::Entry;
use parking_lot::Mutex;
use pinhaven_decide::Audience;
use pinhaven_decide::CrashSuspects;
use pinhaven_decide::HeldRequest;
use pinhaven_decide::SendDecision;
use pinhaven_decide::SuspectFacts;
use pinhaven_decide::TargetState;
use pinhaven_decide::TrialTurn;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Crash evidence of this entry. Until some request was in flight at two crashes, the request path checks only an
/// atomic flag and takes no lock.
#[derive(Default)]
pub(crate) struct CrashWatch {
    /// Whether there is evidence on any request.
    has_suspects: AtomicBool,
    /// Whether any request was in flight at more than one crash.
    has_repeated: AtomicBool,
    suspects: Mutex<CrashSuspects>,
    /// Requests that were held back at the last update, to record changes.
    held: Mutex<BTreeMap<RequestFingerprint, HeldRequest>>,
    /// Which entries should receive new evidence at once, if any.
    audience: Mutex<Option<Audience>>,
    /// Notified when `audience` is set.
    pub(crate) audience_set: event_listener::Event,
}

/// A request that began to be held back or was released.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HeldChange {
    HeldBack(HeldRequest),
    Released(HeldRequest),
}

impl CrashWatch {
    /// Updates the set of requests that are held back. Returns the changes since the last update.
    pub(crate) fn update_held(&self) -> Vec<HeldChange> {
        let now = self.held_back().into_iter();
        let now: BTreeMap<_, _> = now.map(|request| (request.fingerprint, request)).collect();
        let mut before = self.held.lock();
        let began = now
            .values()
            .filter(|request| !before.contains_key(&request.fingerprint));
        let ended = before
            .values()
            .filter(|request| !now.contains_key(&request.fingerprint));
        let began = began.copied().map(HeldChange::HeldBack);
        let changes = began
            .chain(ended.copied().map(HeldChange::Released))
            .collect();
        *before = now;
        changes
    }

    /// Takes the entries that should receive new evidence at once, if any. The caller must notify them.
    pub(crate) fn take_audience(&self) -> Option<Audience> {
        self.audience.lock().take()
    }

    /// The requests that are held back.
    pub(crate) fn held_back(&self) -> Vec<HeldRequest> {
        self.suspects.lock().held_back()
    }

    /// Evidence for other entries on at most `suspects_max` requests that were in flight at `crashes_min` or more
    /// crashes.
    pub(crate) fn advertised_facts(
        &self,
        suspects_max: usize,
        crashes_min: usize,
        now: Microseconds,
    ) -> Vec<SuspectFacts> {
        if !self.has_suspects() {
            return Vec::new();
        }
        let mut random = fastrand::Rng::new();
        self.change(|suspects| {
            // Datagrams are sent also when nothing else happens, so expired evidence is removed here.
            suspects.forget(now);
            suspects.advertised_facts(suspects_max, crashes_min, now, &mut random)
        })
    }

    fn has_suspects(&self) -> bool {
        self.has_suspects.load(Ordering::Acquire)
    }

    fn has_repeated(&self) -> bool {
        self.has_repeated.load(Ordering::Acquire)
    }

    fn change<T>(&self, change: impl FnOnce(&mut CrashSuspects) -> T) -> T {
        let mut suspects = self.suspects.lock();
        let changed = change(&mut suspects);
        let has_suspects = !suspects.is_empty();
        self.has_suspects.store(has_suspects, Ordering::Release);
        let has_repeated = suspects.has_repeated();
        self.has_repeated.store(has_repeated, Ordering::Release);
        changed
    }

    fn notify_audience(&self, audience: Audience) {
        if audience == Audience::Nobody {
            return;
        }
        let mut pending = self.audience.lock();
        *pending = (*pending).max(Some(audience));
        drop(pending);
        self.audience_set.notify(usize::MAX);
    }
}

impl Entry {
    /// Records a crash of a target as evidence on a request that was in flight there.
    pub(crate) fn record_crash_evidence(
        &self,
        fingerprints: RequestFingerprints,
        target: &TargetState,
    ) {
        let now = self.now();
        // In a small service the same few targets crash repeatedly; each crash counts as a separate run.
        let run = target.record_crash(now);
        let record =
            |suspects: &mut CrashSuspects| suspects.record_crash(&fingerprints.both(), run, now);
        let audience = self.crashes.change(record);
        self.crashes.notify_audience(audience);
        self.record_held_back();
    }

    /// Records a success of a request if there is evidence on the request or some request was in flight at two crashes.
    pub(crate) fn record_success_evidence(&self, job: &Job) {
        let was_at_crash = job.fingerprints.get().is_some();
        if !was_at_crash && !self.crashes.has_repeated() {
            return;
        }
        let (fingerprints, now) = (job.fingerprints().both(), self.now());
        let record = |suspects: &mut CrashSuspects| suspects.record_success(&fingerprints, now);
        if self.crashes.change(record) {
            self.crashes.notify_audience(Audience::All);
            self.record_held_back();
        }
    }

    /// Merges the crash evidence of another entry.
    pub(crate) fn merge_crash_facts(&self, facts: &[SuspectFacts]) {
        if facts.is_empty() {
            return;
        }
        let now = self.now();
        self.crashes
            .change(|suspects| suspects.merge_peer_facts(facts, now));
        self.record_held_back();
    }

    /// Time until an arriving request may be retried, in milliseconds; `None` if it may be sent now.
    pub(crate) fn held_back_for_ms(&self, job: &Job) -> Option<u64> {
        if !self.crashes.has_repeated() {
            return None;
        }
        let (fingerprints, trial_turn) = (job.fingerprints().both(), self.trial_turn());
        let suspects = self.crashes.suspects.lock();
        let held_for = suspects.held_back_for(&fingerprints, false, trial_turn, self.now());
        held_for.map(in_ms)
    }

    /// Checks whether a request may be sent to a target. `is_further_target` is set if an earlier target may have
    /// received it.
    ///
    /// # Errors
    ///
    /// The time until the request may be retried, in milliseconds, if the request is held back.
    pub(crate) fn check_send(&self, job: &Job, is_further_target: bool) -> Result<(), u64> {
        if !self.crashes.has_repeated() {
            return Ok(());
        }
        let (fingerprints, trial_turn) = (job.fingerprints().both(), self.trial_turn());
        let mut suspects = self.crashes.suspects.lock();
        match suspects.decide_send(&fingerprints, is_further_target, trial_turn, self.now()) {
            SendDecision::Allowed => Ok(()),
            SendDecision::HeldBack { for_us } => Err(in_ms(for_us)),
        }
    }

    /// The rank of this entry among all live entries; `None` if no request is held back or awaits a trial.
    fn trial_turn(&self) -> Option<TrialTurn> {
        if self.crashes.held.lock().is_empty() {
            return None;
        }
        let now = self.now();
        let members = self.members.lock();
        Some(TrialTurn {
            rank: members.rank_among_all(now) as u64,
            entries: members.live_peers(now).len() as u64 + 1,
        })
    }
}

fn in_ms(time: Microseconds) -> u64 {
    time.as_ms().ceil() as u64
}
