//! Whether work keeps the speed with which it began.
//!
//! Work may follow its target's speed, or keep the speed with which it began until it ends (as where a
//! request's resources are fixed when it starts). Which of the two holds for a service is learned from
//! its answers: a request of half a second that begins at a slow target and keeps its speed holds a slot
//! for seconds, although the target is fast again long before.

use crate::atomic::AtomicF32;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

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
/// Work that a target has done on a request, in milliseconds of a target of usual speed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletedWork {
    /// If the work follows the target's speed.
    pub(crate) followed_ms: f32,
    /// If it keeps the speed with which it began.
    pub(crate) kept_ms: f32,
}

/// How likely work is to keep its speed, learned from answers. Until one has told, work is thought to
/// follow its target's speed.
#[derive(Debug)]
pub(crate) struct FixedSpeedEstimate {
    share: AtomicF32,
    samples: AtomicU32,
}

impl FixedSpeedEstimate {
    pub(crate) fn new() -> Self {
        Self {
            share: AtomicF32::new(0.0),
            samples: AtomicU32::new(0),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.share.set(previous.share.get());
        let samples = previous.samples.load(Ordering::Relaxed);
        self.samples.store(samples, Ordering::Relaxed);
    }

    /// Whether work rather keeps its speed than follows its target's.
    pub(crate) fn is_likely(&self) -> bool {
        self.share.get() > 0.5
    }

    /// Takes in an answer after `work_ms` were expected.
    pub(crate) fn record(&self, work_ms: f32, done: CompletedWork) {
        if log_distance(done.followed_ms, done.kept_ms) < KEPT_APART.ln() {
            return;
        }
        let followed = log_distance(done.followed_ms, work_ms);
        let kept = log_distance(done.kept_ms, work_ms);
        let sample = if kept < followed { 1.0 } else { 0.0 };
        let before = self.samples.fetch_add(1, Ordering::Relaxed);
        let weight = 1.0 / (before as f32 + 2.0);
        self.share.blend(sample, weight.max(KEPT_WEIGHT));
    }

    /// The mean of two figures, by how sure it is that work keeps its speed.
    pub(crate) fn blend(&self, if_followed: f32, if_kept: f32) -> f32 {
        let (from, to) = KEPT_DOUBT;
        let weight = ((self.share.get() - from) / (to - from)).clamp(0.0, 1.0);
        if_followed + (if_kept - if_followed) * weight
    }

    /// The same for times of work that would begin now, with care while little is known.
    pub(crate) fn blend_to_begin(&self, followed_ms: f32, kept_ms: f32) -> f32 {
        let known_ms = self.blend(followed_ms, kept_ms);
        if self.samples.load(Ordering::Relaxed) < KEPT_SAMPLES_LEAST {
            return known_ms.max((followed_ms + kept_ms) / 2.0);
        }
        known_ms
    }
}

/// How far two times are apart, as the logarithm of their ratio.
fn log_distance(left_ms: f32, right_ms: f32) -> f32 {
    (left_ms.max(0.1) / right_ms.max(0.1)).ln().abs()
}
