//! A floating point number that threads share.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// A shared `f32`. Reads and writes are relaxed: each value stands for itself.
#[derive(Debug)]
pub(crate) struct AtomicF32(AtomicU32);

impl AtomicF32 {
    pub(crate) fn new(value: f32) -> Self {
        Self(AtomicU32::new(value.to_bits()))
    }

    pub(crate) fn get(&self) -> f32 {
        f32::from_bits(self.0.load(Ordering::Relaxed))
    }

    pub(crate) fn set(&self, value: f32) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// Replaces the value by `change` of it, again until no other thread came between.
    pub(crate) fn update(&self, change: impl Fn(f32) -> f32) {
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |bits| {
                Some(change(f32::from_bits(bits)).to_bits())
            });
    }

    /// Moves the value towards `sample` by `weight`, from 0 (stay) to 1 (take the sample).
    pub(crate) fn blend(&self, sample: f32, weight: f32) {
        self.update(|value| value + (sample - value) * weight);
    }
}

/// A median that is learned: each sample moves it a step up or down, however far off the sample is, so
/// that some samples which measure something else hardly count. The first steps are long.
#[derive(Debug)]
pub(crate) struct LearnedMedian {
    value: AtomicF32,
    samples: AtomicU32,
}

impl LearnedMedian {
    /// A median that is thought to be `first`, as sure as `samples` samples would make it.
    pub(crate) fn new(first: f32, samples: u32) -> Self {
        Self {
            value: AtomicF32::new(first),
            samples: AtomicU32::new(samples),
        }
    }

    pub(crate) fn get(&self) -> f32 {
        self.value.get()
    }

    /// Takes a sample in; the step, as a share of the value, is never shorter than `step_least`.
    pub(crate) fn record(&self, sample: f32, step_least: f32) {
        let before = self.samples.fetch_add(1, Ordering::Relaxed);
        let step = 1.0 + (1.0 / (before as f32 + 1.0)).max(step_least);
        self.value.update(|value| {
            if sample > value {
                (value * step).min(sample)
            } else {
                (value / step).max(sample)
            }
        });
    }

    /// Goes on from what another has learned.
    pub(crate) fn take_over(&self, other: &Self) {
        self.value.set(other.value.get());
        let samples = other.samples.load(Ordering::Relaxed);
        self.samples.store(samples, Ordering::Relaxed);
    }
}
