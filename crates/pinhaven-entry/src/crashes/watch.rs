//! Which requests may be sent to targets, by what all entries know of crashes.

use crate::callers::job::Job;
use crate::crashes::prints::RequestPrints;
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

/// What this entry knows of crashes. Requests look at a flag and no further until one was there at two crashes, so that
/// they cost nothing more on other days.
#[derive(Default)]
pub(crate) struct CrashWatch {
    has_suspects: AtomicBool,
    /// Whether any request was there at more than one crash.
    has_repeated: AtomicBool,
    suspects: Mutex<CrashSuspects>,
    /// Requests that were held back when it was last looked, for the record.
    held: Mutex<BTreeMap<RequestFingerprint, HeldRequest>>,
    /// Who should hear at once what this entry has seen.
    audience: Mutex<Option<Audience>>,
    /// Notified when there is somebody.
    pub(crate) news: event_listener::Event,
}

/// A request that began to be held back, or is not any more.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HeldChange {
    HeldBack(HeldRequest),
    LetGo(HeldRequest),
}

impl CrashWatch {
    /// Looks which requests are held back, and says what has changed since the last look.
    pub(crate) fn look_at_held(&self) -> Vec<HeldChange> {
        let now = self.held_back().into_iter();
        let now: BTreeMap<_, _> = now.map(|request| (request.fingerprint, request)).collect();
        let mut before = self.held.lock();
        let came = now
            .values()
            .filter(|one| !before.contains_key(&one.fingerprint));
        let went = before
            .values()
            .filter(|one| !now.contains_key(&one.fingerprint));
        let came = came.copied().map(HeldChange::HeldBack);
        let changes = came.chain(went.copied().map(HeldChange::LetGo)).collect();
        *before = now;
        changes
    }

    /// Who should hear at once what this entry has seen, if anybody; it counts as told.
    pub(crate) fn take_audience(&self) -> Option<Audience> {
        self.audience.lock().take()
    }

    /// The requests that are held back.
    pub(crate) fn held_back(&self) -> Vec<HeldRequest> {
        self.suspects.lock().held_back()
    }

    /// What there is to tell other entries, of `most` requests that were there at so many crashes.
    pub(crate) fn to_tell(
        &self,
        most: usize,
        crashes_least: usize,
        now: Microseconds,
    ) -> Vec<SuspectFacts> {
        if !self.has_suspects() {
            return Vec::new();
        }
        let mut random = fastrand::Rng::new();
        self.change(|suspects| {
            // Rounds of news come when nothing else does.
            suspects.forget(now);
            suspects.advertised_facts(most, crashes_least, now, &mut random)
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

    fn tell_at_once(&self, audience: Audience) {
        if audience == Audience::Nobody {
            return;
        }
        let mut told = self.audience.lock();
        *told = (*told).max(Some(audience));
        drop(told);
        self.news.notify(usize::MAX);
    }
}

impl Entry {
    /// Takes in that a target has crashed with a request under way.
    pub(crate) fn watch_crash(&self, prints: RequestPrints, target: &TargetState) {
        let now = self.now();
        // A small service loses the same few targets again and again; each time counts.
        let run = target.record_crash(now);
        let record = |suspects: &mut CrashSuspects| suspects.record_crash(&prints.both(), run, now);
        let audience = self.crashes.change(record);
        self.crashes.tell_at_once(audience);
        self.record_held_back();
    }

    /// Takes in that a target answered a request well.
    pub(crate) fn watch_answer(&self, job: &Job) {
        let was_at_crash = job.fingerprints.get().is_some();
        if !was_at_crash && !self.crashes.has_repeated() {
            return;
        }
        let (prints, now) = (job.prints().both(), self.now());
        let record = |suspects: &mut CrashSuspects| suspects.record_success(&prints, now);
        if self.crashes.change(record) {
            self.crashes.tell_at_once(Audience::All);
            self.record_held_back();
        }
    }

    /// Takes in what another entry tells of crashes.
    pub(crate) fn hear_crashes(&self, facts: &[SuspectFacts]) {
        if facts.is_empty() {
            return;
        }
        let now = self.now();
        self.crashes
            .change(|suspects| suspects.merge_peer_facts(facts, now));
        self.record_held_back();
    }

    /// When a request that arrives may be tried again, in milliseconds; `None` if it may be sent now.
    pub(crate) fn held_back_for_ms(&self, job: &Job) -> Option<u64> {
        if !self.crashes.has_repeated() {
            return None;
        }
        let (prints, turn) = (job.prints().both(), self.try_turn());
        let suspects = self.crashes.suspects.lock();
        let held_for = suspects.held_back_for(&prints, false, turn, self.now());
        held_for.map(in_ms)
    }

    /// Lets a request be sent, or says when it may be tried again, in milliseconds. `is_sent_on` says whether a target may
    /// have it already.
    pub(crate) fn permit(&self, job: &Job, is_sent_on: bool) -> Result<(), u64> {
        if !self.crashes.has_repeated() {
            return Ok(());
        }
        let (prints, turn) = (job.prints().both(), self.try_turn());
        let mut suspects = self.crashes.suspects.lock();
        match suspects.decide_send(&prints, is_sent_on, turn, self.now()) {
            SendDecision::Allowed => Ok(()),
            SendDecision::HeldBack { for_us } => Err(in_ms(for_us)),
        }
    }

    /// This entry's place among all that live, if any request may wait to be tried again.
    fn try_turn(&self) -> Option<TrialTurn> {
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
