//! How fast targets work at this moment, and how long that lasts.
//!
//! Targets share their instances with others, so each turns several times slower and back within
//! fractions of a second. A report says which; its worth falls with its age, measured against how long
//! a speed lasts. That time is learned from successive reports, not set.

use crate::atomic::AtomicF32;
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
    observed_ms: AtomicF32,
    changes: AtomicF32,
}

impl ServiceSpeed {
    pub(crate) fn new() -> Self {
        Self {
            mean: AtomicF32::new(1.0),
            observed_ms: AtomicF32::new(LASTING_FIRST_MS * CHANGES_PRIOR),
            changes: AtomicF32::new(CHANGES_PRIOR),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.mean.set(previous.mean.get());
        self.observed_ms.set(previous.observed_ms.get());
        self.changes.set(previous.changes.get());
    }

    /// How long a speed lasts on average, in milliseconds.
    pub(crate) fn lasting_ms(&self) -> f32 {
        let lasting_ms = self.observed_ms.get() / self.changes.get();
        lasting_ms.clamp(LASTING_MS.0, LASTING_MS.1)
    }

    fn record(&self, before: f32, after: f32, gap_ms: f32) {
        self.mean.blend(after, MEAN_WEIGHT);
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

/// Time that `work_ms` takes at a target that is slow by `slowdown` now and is expected to be so for
/// another `lasting_ms`, in milliseconds.
pub(crate) fn time_for(work_ms: f32, slowdown: f32, lasting_ms: f32) -> f32 {
    if slowdown <= 1.0 || work_ms * slowdown <= lasting_ms {
        return work_ms * slowdown.max(1.0);
    }
    lasting_ms + (work_ms - lasting_ms / slowdown)
}

/// Share of `work_ms` that is expected to be left, at a target that is slow by `slowdown` now, when it
/// turns fast again after about `lasting_ms`. That share takes a slot from work that could be done in
/// time; what is done before takes nothing from anybody.
pub(crate) fn usual_share(work_ms: f32, slowdown: f32, lasting_ms: f32) -> f32 {
    let done_ms = lasting_ms / slowdown.max(1.0);
    let times = done_ms / work_ms.max(0.1);
    1.0 - times * (1.0 - (-1.0 / times).exp())
}
