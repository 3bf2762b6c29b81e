//! A budget for added attempts: each request pays in a share, each added attempt takes one whole.

use crate::atomic::AtomicF32;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// A token bucket that is filled by requests, not by time.
///
/// The attempts that it allows are never more than the share of requests plus its capacity, whatever
/// the load, so that retries can't outgrow the traffic that caused them.
#[derive(Debug)]
pub struct TokenBudget {
    share: f32,
    capacity: AtomicF32,
    tokens: AtomicF32,
}

impl TokenBudget {
    /// A full bucket that gains `share` of a token for each request.
    pub fn new(share: f64, capacity: f32) -> Self {
        let capacity = if share > 0.0 { capacity } else { 0.0 };
        Self {
            share: share as f32,
            capacity: AtomicF32::new(capacity),
            tokens: AtomicF32::new(capacity),
        }
    }

    /// Sets how many tokens the bucket holds at the most. What it has beyond that is lost.
    pub fn set_capacity(&self, capacity: f32) {
        if self.share > 0.0 {
            self.capacity.set(capacity);
            self.tokens.update(|tokens| tokens.min(capacity));
        }
    }

    /// Takes over what another bucket of the same service had left, so that a new version does not
    /// come with a full bucket.
    pub(crate) fn take_over(&self, previous: &Self) {
        self.capacity.set(previous.capacity.get());
        self.tokens.set(previous.tokens.get());
    }

    /// Pays a request's share in.
    pub fn pay_in(&self) {
        self.tokens
            .update(|tokens| (tokens + self.share).min(self.capacity.get()));
    }

    /// Takes a token for an added attempt; `false` when there is none.
    pub fn take(&self) -> bool {
        let taken = AtomicBool::new(false);
        self.tokens.update(|tokens| {
            let has_one = tokens >= 1.0;
            taken.store(has_one, Ordering::Relaxed);
            if has_one { tokens - 1.0 } else { tokens }
        });
        taken.into_inner()
    }

    /// Tokens at hand.
    pub fn tokens(&self) -> f32 {
        self.tokens.get()
    }
}
