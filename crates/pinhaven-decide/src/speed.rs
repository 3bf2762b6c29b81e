//! How fast targets work at this moment, and how long that lasts.
//!
//! Targets share their instances with others, so each turns several times slower and back within
//! fractions of a second. A report says which; its worth falls with its age, measured against how long
//! a speed lasts. That time is learned from successive reports, not set.
//! Whether work follows that speed or keeps its first one is [`FixedSpeedEstimate`]'s to say.

use crate::atomic::AtomicF32;
use crate::fixed_speed::FixedSpeedEstimate;
use pinhaven_types::Microseconds;
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
        let still_holds = (-age_ms / service.mean_duration_ms()).exp();
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
    /// Whether work keeps the speed with which it began.
    pub(crate) fixed_speed: FixedSpeedEstimate,
}

impl ServiceSpeed {
    pub(crate) fn new() -> Self {
        Self {
            mean: AtomicF32::new(1.0),
            slow: AtomicF32::new(SLOW_FIRST),
            observed_ms: AtomicF32::new(LASTING_FIRST_MS * CHANGES_PRIOR),
            changes: AtomicF32::new(CHANGES_PRIOR),
            fixed_speed: FixedSpeedEstimate::new(),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.mean.set(previous.mean.get());
        self.slow.set(previous.slow.get());
        self.observed_ms.set(previous.observed_ms.get());
        self.changes.set(previous.changes.get());
        self.fixed_speed.take_over(&previous.fixed_speed);
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

    /// Time that `work_ms` takes at a target that is slow by `slowdown` when it begins, in milliseconds.
    pub(crate) fn time_for(&self, work_ms: f32, slowdown: f32) -> f32 {
        let followed_ms = self.time_if_followed(work_ms, slowdown);
        let kept_ms = work_ms * slowdown.max(1.0);
        self.fixed_speed.blend_to_begin(followed_ms, kept_ms)
    }

    /// The same if work follows its target's speed: it is slow for as long as a speed lasts.
    pub(crate) fn time_if_followed(&self, work_ms: f32, slowdown: f32) -> f32 {
        let lasting_ms = self.mean_duration_ms();
        if slowdown <= 1.0 || work_ms * slowdown <= lasting_ms {
            return work_ms * slowdown.max(1.0);
        }
        lasting_ms + (work_ms - lasting_ms / slowdown)
    }

    /// Time for which `work_ms`, begun at a target that is slow by `slowdown`, is expected to hold a slot
    /// after the target has turned fast again, as a share of the work. That time is taken from requests
    /// that could be served in time; what is done before takes nothing from anybody.
    pub(crate) fn carry_over_share(&self, work_ms: f32, slowdown: f32) -> f32 {
        let slowdown = slowdown.max(1.0);
        let followed = tail_share(self.mean_duration_ms() / slowdown, work_ms);
        let kept = slowdown * tail_share(self.mean_duration_ms(), work_ms * slowdown);
        self.fixed_speed.blend(followed, kept)
    }

    /// How long a speed lasts on average, in milliseconds.
    pub(crate) fn mean_duration_ms(&self) -> f32 {
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

/// Share of `total_ms` that is expected to be left after a time that is drawn with the mean `first_ms`.
fn tail_share(first_ms: f32, total_ms: f32) -> f32 {
    let times = first_ms / total_ms.max(0.1);
    1.0 - times * (1.0 - (-1.0 / times).exp())
}
