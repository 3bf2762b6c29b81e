//! Budget for retries and hedges: each request adds a share of a token, each added attempt takes a whole token.

use crate::atomic::AtomicF32;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// A token bucket that is filled by requests instead of by time.
///
/// The number of added attempts is at most the given share of the number of requests plus the capacity, at any load.
/// Retries therefore can't multiply the traffic that caused them.
#[derive(Debug)]
pub struct TokenBudget {
    share: f32,
    capacity: AtomicF32,
    tokens: AtomicF32,
}

impl TokenBudget {
    /// Creates a full bucket to which each request adds `share` of a token.
    pub fn new(share: f64, capacity: f32) -> Self {
        let capacity = if share > 0.0 { capacity } else { 0.0 };
        Self {
            share: share as f32,
            capacity: AtomicF32::new(capacity),
            tokens: AtomicF32::new(capacity),
        }
    }

    /// Sets the maximum number of tokens in the bucket. Tokens in excess of `capacity` are discarded.
    pub fn set_capacity(&self, capacity: f32) {
        if self.share > 0.0 {
            self.capacity.set(capacity);
            self.tokens.update(|tokens| tokens.min(capacity));
        }
    }

    /// Carries over the capacity and the tokens of the service's previous bucket, so that a new bundle version does not
    /// start with a full bucket.
    pub(crate) fn take_over(&self, previous: &Self) {
        self.capacity.set(previous.capacity.get());
        self.tokens.set(previous.tokens.get());
    }

    /// Adds the share of one request.
    pub fn pay_in(&self) {
        self.tokens
            .update(|tokens| (tokens + self.share).min(self.capacity.get()));
    }

    /// Takes a token for an added attempt; returns `false` if less than one token is left.
    pub fn take(&self) -> bool {
        self.take_leaving(0.0)
    }

    /// Takes a token for an added attempt; returns `false` if less than one token is left beyond `share` of the
    /// capacity.
    pub(crate) fn take_leaving(&self, share: f32) -> bool {
        let taken = AtomicBool::new(false);
        let tokens_min = 1.0 + share * self.capacity.get();
        self.tokens.update(|tokens| {
            let has_one = tokens >= tokens_min;
            taken.store(has_one, Ordering::Relaxed);
            if has_one { tokens - 1.0 } else { tokens }
        });
        taken.into_inner()
    }

    /// Number of tokens in the bucket.
    pub fn tokens(&self) -> f32 {
        self.tokens.get()
    }
}
