//! How fast targets work at this moment, and how long that lasts.
//!
//! Targets share their instances with others, so each turns several times slower and back within
//! fractions of a second. A report says which; its worth falls with its age, measured against how long
//! a speed lasts. That time is learned from successive reports, not set.
//!
//! Work may follow its target's speed, or keep the speed with which it began until it ends (as where a
//! request's resources are fixed when it starts). Which of the two holds for a service is learned from
//! its answers: a request of half a second that begins at a slow target and keeps its speed holds a slot
//! for seconds, although the target is fast again long before.

use crate::atomic::AtomicF32;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// How long a speed is thought to last before any change was seen, in milliseconds.
const LASTING_FIRST_MS: f32 = 500.0;
/// The shortest and the longest time that a speed is thought to last, in milliseconds. Below the
/// first no report could be used in time; past the second a report is as good as certain.
const LASTING_MS: (f32, f32) = (50.0, 60_000.0);
/// Two slowdowns are different speeds when one is this many times the other.
const CHANGE_FACTOR: f32 = 1.5;
/// Reports further apart than this say nothing about when a speed changed, in milliseconds: it may
/// have changed and changed back.
const GAP_MOST_MS: f32 = 400.0;
/// Observed time after which old observations count half, in milliseconds of all targets together.
const MEMORY_MS: f32 = 60_000.0;
/// Changes that count as seen before any was, so that the first ones don't decide alone.
const CHANGES_PRIOR: f32 = 4.0;
/// The least weight of one answer in how likely work is to keep its speed. The first answers weigh more: the
/// second brings the likelihood to two thirds. Learning it raises the credit of requests of half a second in
/// an overload from 0.39 to 0.77, as slow targets are left alone (one day without processor time).
const KEPT_WEIGHT: f32 = 0.05;
/// Answers until which both are taken to be as likely where work would begin at a slow target. That is the
/// dearer mistake: it holds a slot for as many times longer as the target is slow.
const KEPT_SAMPLES_LEAST: u32 = 8;
/// Shares of answers between which it is in doubt. Some answers tell the wrong thing: those whose target
/// changed its speed unseen, or was slowed by others.
const KEPT_DOUBT: (f32, f32) = (0.15, 1.0);
/// How many times apart the two explanations of an answer's time must be for it to tell which holds.
const KEPT_APART: f32 = 1.4;
/// How slow slow targets are thought to be before any was seen.
const SLOW_FIRST: f32 = 4.0;
/// Weight of one report in that.
const SLOW_WEIGHT: f32 = 0.02;
/// Chance that work began at a slow target though its reports before and after that say that it was fast.
const UNSEEN_SLOW: f32 = 0.02;
/// Weight of one report in the mean slowdown of a service.
const MEAN_WEIGHT: f32 = 0.01;

/// What one target last said of its speed.
#[derive(Debug)]
pub(crate) struct ReportedSpeed {
    slowdown: AtomicF32,
    at_us: AtomicU64,
}

impl ReportedSpeed {
    /// A speed of which nothing was said yet.
    pub(crate) fn unknown() -> Self {
        Self {
            slowdown: AtomicF32::new(1.0),
            at_us: AtomicU64::new(0),
        }
    }

    /// Takes in a report that was made at `at`. Returns whether it is news.
    pub(crate) fn record(&self, at: Microseconds, slowdown: f32, service: &ServiceSpeed) -> bool {
        let before_us = self.at_us.load(Ordering::Relaxed);
        if at.count() <= before_us {
            return false;
        }
        let before = self.slowdown.get();
        self.slowdown.set(slowdown);
        self.at_us.store(at.count(), Ordering::Relaxed);
        if before_us > 0 {
            let gap_ms = (at.count() - before_us) as f32 / 1_000.0;
            service.record(before, slowdown, gap_ms);
        }
        true
    }

    /// What was last said, and when; `None` when nothing was.
    pub(crate) fn last(&self) -> Option<(f32, Microseconds)> {
        let at_us = self.at_us.load(Ordering::Relaxed);
        (at_us > 0).then(|| (self.slowdown.get(), Microseconds::new(at_us)))
    }

    /// The slowdown to be expected at `now`: what was last said, the less of it the older it is.
    pub(crate) fn expected(&self, now: Microseconds, service: &ServiceSpeed) -> f32 {
        let mean = service.mean.get();
        let Some((slowdown, at)) = self.last() else {
            return mean;
        };
        let age_ms = now.saturating_sub(at).as_ms() as f32;
        let still_holds = (-age_ms / service.lasting_ms()).exp();
        mean + (slowdown - mean) * still_holds
    }
}

/// What is known of the speeds of a service's targets together.
#[derive(Debug)]
pub(crate) struct ServiceSpeed {
    mean: AtomicF32,
    slow: AtomicF32,
    observed_ms: AtomicF32,
    changes: AtomicF32,
    kept_share: AtomicF32,
    kept_samples: AtomicU32,
}

impl ServiceSpeed {
    pub(crate) fn new() -> Self {
        Self {
            mean: AtomicF32::new(1.0),
            slow: AtomicF32::new(SLOW_FIRST),
            observed_ms: AtomicF32::new(LASTING_FIRST_MS * CHANGES_PRIOR),
            changes: AtomicF32::new(CHANGES_PRIOR),
            kept_share: AtomicF32::new(0.0),
            kept_samples: AtomicU32::new(0),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.mean.set(previous.mean.get());
        self.slow.set(previous.slow.get());
        self.observed_ms.set(previous.observed_ms.get());
        self.changes.set(previous.changes.get());
        self.kept_share.set(previous.kept_share.get());
        let kept_samples = previous.kept_samples.load(Ordering::Relaxed);
        self.kept_samples.store(kept_samples, Ordering::Relaxed);
    }

    /// How likely work is to keep the speed with which it began, from 0 to 1. Until an answer has told,
    /// it is thought to follow its target's speed.
    pub(crate) fn kept_share(&self) -> f32 {
        self.kept_share.get()
    }

    /// How many times longer work takes at slow targets, on average.
    pub(crate) fn slow_factor(&self) -> f32 {
        self.slow.get().max(CHANGE_FACTOR)
    }

    /// Chance that a target of which `slowdown` is expected is slow.
    pub(crate) fn slow_chance(&self, slowdown: f32) -> f32 {
        let share = (slowdown - 1.0) / (self.slow_factor() - 1.0);
        share.clamp(UNSEEN_SLOW, 1.0)
    }

    /// Whether work rather keeps its speed than follows its target's.
    pub(crate) fn keeps_speed(&self) -> bool {
        self.kept_share() > 0.5
    }

    /// Takes in an answer after `work_ms` were expected: what was done if work follows the target's speed,
    /// and what was done if it keeps its first one.
    pub(crate) fn record_work(&self, work_ms: f32, done: WorkDone) {
        let (followed, kept) = (off(done.followed_ms, work_ms), off(done.kept_ms, work_ms));
        if off(done.followed_ms, done.kept_ms) < KEPT_APART.ln() {
            return;
        }
        let sample = if kept < followed { 1.0 } else { 0.0 };
        let before = self.kept_samples.fetch_add(1, Ordering::Relaxed);
        let weight = 1.0 / (before as f32 + 2.0);
        self.kept_share.blend(sample, weight.max(KEPT_WEIGHT));
    }

    /// Time that `work_ms` takes at a target that is slow by `slowdown` when it begins, in milliseconds.
    pub(crate) fn time_for(&self, work_ms: f32, slowdown: f32) -> f32 {
        let followed_ms = self.time_if_followed(work_ms, slowdown);
        let kept_ms = work_ms * slowdown.max(1.0);
        let known = self.blend_kept(followed_ms, kept_ms);
        if self.kept_samples.load(Ordering::Relaxed) < KEPT_SAMPLES_LEAST {
            return known.max((followed_ms + kept_ms) / 2.0);
        }
        known
    }

    /// The same if work follows its target's speed: it is slow for as long as a speed lasts.
    pub(crate) fn time_if_followed(&self, work_ms: f32, slowdown: f32) -> f32 {
        let lasting_ms = self.lasting_ms();
        if slowdown <= 1.0 || work_ms * slowdown <= lasting_ms {
            return work_ms * slowdown.max(1.0);
        }
        lasting_ms + (work_ms - lasting_ms / slowdown)
    }

    /// Time for which `work_ms`, begun at a target that is slow by `slowdown`, is expected to hold a slot
    /// after the target has turned fast again, as a share of the work. That time is taken from requests
    /// that could be served in time; what is done before takes nothing from anybody.
    pub(crate) fn usual_share(&self, work_ms: f32, slowdown: f32) -> f32 {
        let slowdown = slowdown.max(1.0);
        let followed = tail_share(self.lasting_ms() / slowdown, work_ms);
        let kept = slowdown * tail_share(self.lasting_ms(), work_ms * slowdown);
        self.blend_kept(followed, kept)
    }

    /// The mean of two figures, by how sure it is that work keeps its speed.
    pub(crate) fn blend_kept(&self, if_followed: f32, if_kept: f32) -> f32 {
        let (from, to) = KEPT_DOUBT;
        let weight = ((self.kept_share() - from) / (to - from)).clamp(0.0, 1.0);
        if_followed + (if_kept - if_followed) * weight
    }

    /// How long a speed lasts on average, in milliseconds.
    pub(crate) fn lasting_ms(&self) -> f32 {
        let lasting_ms = self.observed_ms.get() / self.changes.get();
        lasting_ms.clamp(LASTING_MS.0, LASTING_MS.1)
    }

    fn record(&self, before: f32, after: f32, gap_ms: f32) {
        self.mean.blend(after, MEAN_WEIGHT);
        if after >= CHANGE_FACTOR {
            self.slow.blend(after, SLOW_WEIGHT);
        }
        if gap_ms > GAP_MOST_MS {
            return;
        }
        let has_changed = before > after * CHANGE_FACTOR || after > before * CHANGE_FACTOR;
        if self.observed_ms.get() > MEMORY_MS {
            self.observed_ms.update(|observed_ms| observed_ms / 2.0);
            self.changes.update(|changes| (changes / 2.0).max(1.0));
        }
        self.observed_ms.update(|observed_ms| observed_ms + gap_ms);
        if has_changed {
            self.changes.update(|changes| changes + 1.0);
        }
    }
}

/// Work that a target has done on a request, in milliseconds of a target of usual speed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkDone {
    /// If the work follows the target's speed.
    pub(crate) followed_ms: f32,
    /// If it keeps the speed with which it began.
    pub(crate) kept_ms: f32,
}

/// How far two times are apart, as the logarithm of their ratio.
fn off(left_ms: f32, right_ms: f32) -> f32 {
    (left_ms.max(0.1) / right_ms.max(0.1)).ln().abs()
}

/// Share of `total_ms` that is expected to be left after a time that is drawn with the mean `first_ms`.
fn tail_share(first_ms: f32, total_ms: f32) -> f32 {
    let times = first_ms / total_ms.max(0.1);
    1.0 - times * (1.0 - (-1.0 / times).exp())
}
