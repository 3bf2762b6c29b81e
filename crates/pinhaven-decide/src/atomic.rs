//! Floating point values that are shared between threads.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// A shared `f32`. Reads and writes use relaxed ordering, because each value is independent of all others.
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

    /// Replaces the value by the result of `change`. Retries if another thread has changed the value meanwhile.
    pub(crate) fn update(&self, change: impl Fn(f32) -> f32) {
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |bits| {
                Some(change(f32::from_bits(bits)).to_bits())
            });
    }

    /// Moves the value towards `sample` by `weight`, from 0 (no change) to 1 (replaces the value by the sample).
    pub(crate) fn blend(&self, sample: f32, weight: f32) {
        self.update(|value| value + (sample - value) * weight);
    }
}

/// Running estimate of a median. Each sample moves the estimate one step up or down, regardless of its distance, so
/// that outliers have little effect. The first steps are the longest.
#[derive(Debug)]
pub(crate) struct LearnedMedian {
    value: AtomicF32,
    samples: AtomicU32,
}

impl LearnedMedian {
    /// Creates an estimate with the value `initial`, weighted as much as `samples` samples.
    pub(crate) fn new(initial: f32, samples: u32) -> Self {
        Self {
            value: AtomicF32::new(initial),
            samples: AtomicU32::new(samples),
        }
    }

    pub(crate) fn get(&self) -> f32 {
        self.value.get()
    }

    /// Records a sample. The step is a share of the value and is at least `step_min`.
    pub(crate) fn record(&self, sample: f32, step_min: f32) {
        let samples_before = self.samples.fetch_add(1, Ordering::Relaxed);
        let step = 1.0 + (1.0 / (samples_before as f32 + 1.0)).max(step_min);
        self.value.update(|value| {
            if sample > value {
                (value * step).min(sample)
            } else {
                (value / step).max(sample)
            }
        });
    }

    /// Takes over the estimate of `other`.
    pub(crate) fn take_over(&self, other: &Self) {
        self.value.set(other.value.get());
        let samples = other.samples.load(Ordering::Relaxed);
        self.samples.store(samples, Ordering::Relaxed);
    }
}
