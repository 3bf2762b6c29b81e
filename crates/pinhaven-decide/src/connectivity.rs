//! Whether this entry reaches the targets of a service.
//!
//! A connection that fails says little: the target may have crashed, or the links of this entry may be lost. An answer
//! of any target shows that the links work. Only if no target has been heard for a while although requests are
//! unanswered or connections failed, several targets are checked at once; if none of them answers either, the
//! connectivity of the service counts as lost. From then on targets are checked at intervals until one is heard
//! again.
//!
//! While connectivity is lost, requests are forwarded to another entry that reaches the targets. If no other entry
//! does, the targets themselves are down, and requests are refused at once.

use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::hash::BuildHasher as _;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Number of targets that are checked at once when connectivity is in doubt.
const DOUBT_CHECK_TARGETS: usize = 4;
/// Minimum time between two checks when connectivity is in doubt.
const DOUBT_CHECK_INTERVAL: Microseconds = Microseconds::from_ms(200);
/// Time after a check that found a target until the next one. All entries may be in doubt at the same time, and each
/// check costs the targets a probe.
const PASSED_CHECK_INTERVAL: Microseconds = Microseconds::from_ms(1_000);
/// Number of targets that are checked at once while connectivity is lost.
const LOST_CHECK_TARGETS: usize = 2;
/// Time between two checks while connectivity is lost.
const LOST_CHECK_INTERVAL: Microseconds = Microseconds::from_ms(150);
/// Silence of all targets after a failed connection from which connectivity is in doubt.
const FAILURE_SILENCE: Microseconds = Microseconds::from_ms(100);
/// Minimum silence of all targets from which connectivity is in doubt while requests are unanswered.
const SILENCE_MIN: Microseconds = Microseconds::from_ms(300);
/// Silence of all targets from which connectivity is in doubt, in typical times of a request.
const SILENCE_TYPICAL_TIMES: f32 = 2.0;
/// Number of targets that fail in succession, with none heard meanwhile, from which a request need not try another one.
const DOUBT_TARGETS: u32 = 2;

/// Time after a crash within which other entries tell whether they still hear targets.
const JUDGEMENT_PERIOD: Microseconds = Microseconds::from_ms(1_500);

/// A change of connectivity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectivityChange {
    /// No target is reached any more.
    Lost,
    /// A target is reached again, after this time without.
    Regained(Microseconds),
}

/// Whether a target that broke a request off and refuses connections has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashJudgement {
    /// The target has crashed.
    Crashed,
    /// The links of this entry are lost, which is no evidence against the request.
    LinksLost,
    /// Not known yet.
    Undecided,
}

/// Evidence on whether this entry reaches the targets of one service.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// Last time at which any target was heard; 0 for never.
    heard_at_us: AtomicU64,
    /// Time of the first request sent since any target was heard; 0 for none.
    unanswered_since_us: AtomicU64,
    /// Number of targets that failed since any target was heard. A target counts again after a failure of another.
    failed_targets: AtomicU32,
    /// Hash of the target that failed last.
    last_failed: AtomicU64,
    /// Time from which another check may begin.
    next_check_us: AtomicU64,
    /// Time since which connectivity is lost; 0 while targets are reached.
    lost_since_us: AtomicU64,
    /// Whether another entry reaches the targets.
    is_reached_by_peer: AtomicBool,
}

impl Connectivity {
    /// Records that a request was sent to a target.
    pub fn record_sent(&self, now: Microseconds) {
        // Fails if an earlier request is unanswered, whose time is retained.
        let _ = self.unanswered_since_us.compare_exchange(
            0,
            now.count().max(1),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// Records that a target answered. Returns the change if connectivity was lost.
    pub fn record_heard(&self, now: Microseconds) -> Option<ConnectivityChange> {
        self.heard_at_us.store(now.count(), Ordering::Relaxed);
        self.unanswered_since_us.store(0, Ordering::Relaxed);
        self.failed_targets.store(0, Ordering::Relaxed);
        let lost_since = self.lost_since()?;
        // Another thread may have recorded the change at the same time.
        let was_lost = self.lost_since_us.swap(0, Ordering::Relaxed) > 0;
        was_lost.then(|| ConnectivityChange::Regained(now.saturating_sub(lost_since)))
    }

    /// Records that a connection to a target failed.
    pub fn record_failed(&self, target: TargetAddress) {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(target);
        let is_other = self.last_failed.swap(hash, Ordering::Relaxed) != hash;
        if is_other || self.failed_targets() == 0 {
            self.failed_targets.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Begins a check if one is due at `now`. Returns the number of targets to check. The caller records the outcome by
    /// [`record_check_passed`](Self::record_check_passed) or [`record_check_failed`](Self::record_check_failed).
    pub fn begin_check(&self, now: Microseconds, typical_ms: f32) -> Option<usize> {
        let (is_needed, interval, targets) = match self.is_lost() {
            true => (true, LOST_CHECK_INTERVAL, LOST_CHECK_TARGETS),
            false => (
                self.is_in_doubt(now, typical_ms),
                DOUBT_CHECK_INTERVAL,
                DOUBT_CHECK_TARGETS,
            ),
        };
        if !is_needed || now.count() < self.next_check_us.load(Ordering::Relaxed) {
            return None;
        }
        let next = now.plus(interval);
        self.next_check_us.store(next.count(), Ordering::Relaxed);
        Some(targets)
    }

    /// Records that a target was heard in a check. Returns the change if connectivity was lost.
    pub fn record_check_passed(&self, now: Microseconds) -> Option<ConnectivityChange> {
        let next = now.plus(PASSED_CHECK_INTERVAL);
        self.next_check_us.store(next.count(), Ordering::Relaxed);
        self.record_heard(now)
    }

    /// Records that no target was heard in a check that began at `began`. Returns the change if
    /// connectivity is lost since.
    pub fn record_check_failed(
        &self,
        began: Microseconds,
        now: Microseconds,
    ) -> Option<ConnectivityChange> {
        let is_heard = self.heard_at_us.load(Ordering::Relaxed) >= began.count();
        if is_heard || self.is_lost() {
            return None;
        }
        self.lost_since_us
            .store(now.count().max(1), Ordering::Relaxed);
        Some(ConnectivityChange::Lost)
    }

    /// Judges a crash of a target at `crashed_at` when no other target was reached from here at that moment.
    /// `is_heard_by_peer` says whether another entry heard any target since.
    pub fn judge_crash(
        &self,
        crashed_at: Microseconds,
        is_heard_by_peer: bool,
        now: Microseconds,
    ) -> CrashJudgement {
        if self.heard_at() > Some(crashed_at) {
            CrashJudgement::Crashed
        } else if self.is_lost() && is_heard_by_peer {
            CrashJudgement::LinksLost
        } else if now.saturating_sub(crashed_at) >= JUDGEMENT_PERIOD {
            CrashJudgement::Crashed
        } else {
            CrashJudgement::Undecided
        }
    }

    /// Sets whether another entry reaches the targets.
    pub fn set_reached_by_peer(&self, is_reached: bool) {
        self.is_reached_by_peer.store(is_reached, Ordering::Relaxed);
    }

    /// Whether another entry reaches the targets.
    pub fn is_reached_by_peer(&self) -> bool {
        self.is_reached_by_peer.load(Ordering::Relaxed)
    }

    /// Whether this entry reaches no target.
    pub fn is_lost(&self) -> bool {
        self.lost_since().is_some()
    }

    /// Time since which this entry reaches no target.
    pub fn lost_since(&self) -> Option<Microseconds> {
        let since_us = self.lost_since_us.load(Ordering::Relaxed);
        (since_us > 0).then(|| Microseconds::new(since_us))
    }

    /// Whether the targets have been silent for a while, connections failed, or connectivity is lost.
    pub fn is_suspect(&self, now: Microseconds) -> bool {
        let is_unanswered = self
            .unanswered_for(now)
            .is_some_and(|silence| silence >= FAILURE_SILENCE);
        self.is_lost() || self.failed_targets() > 0 || is_unanswered
    }

    /// Whether several targets have failed since any target was heard.
    pub fn is_doubtful(&self) -> bool {
        self.failed_targets() >= DOUBT_TARGETS
    }

    /// Last time at which any target was heard; `None` if none ever was.
    pub fn heard_at(&self) -> Option<Microseconds> {
        let heard_at_us = self.heard_at_us.load(Ordering::Relaxed);
        (heard_at_us > 0).then(|| Microseconds::new(heard_at_us))
    }

    /// Time since any target was heard; `None` if none ever was.
    pub fn heard_age(&self, now: Microseconds) -> Option<Microseconds> {
        self.heard_at().map(|heard_at| now.saturating_sub(heard_at))
    }

    /// Number of targets that failed since any target was heard.
    pub fn failed_targets(&self) -> u32 {
        self.failed_targets.load(Ordering::Relaxed)
    }

    fn is_in_doubt(&self, now: Microseconds, typical_ms: f32) -> bool {
        let is_silent = self.heard_age(now).is_none_or(|age| age >= FAILURE_SILENCE);
        if self.failed_targets() > 0 && is_silent {
            return true;
        }
        let limit_us = typical_ms * SILENCE_TYPICAL_TIMES * 1_000.0;
        let limit = SILENCE_MIN.max(Microseconds::new(limit_us as u64));
        self.unanswered_for(now)
            .is_some_and(|silence| silence >= limit)
    }

    /// Time since the first request was sent to which no target has answered yet, nor to any request after it.
    fn unanswered_for(&self, now: Microseconds) -> Option<Microseconds> {
        let since_us = self.unanswered_since_us.load(Ordering::Relaxed);
        (since_us > 0).then(|| now.saturating_sub(Microseconds::new(since_us)))
    }
}
