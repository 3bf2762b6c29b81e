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
