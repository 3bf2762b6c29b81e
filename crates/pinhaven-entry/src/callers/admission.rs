//! Admission of requests within the limits of their organisations.
//!
//! A request takes a token when it arrives, before its body is read, so that a refusal is immediate. The token pays for the
//! first attempt; further attempts are charged as they are sent. A request that ends without an attempt that may have
//! reached a target gives its token back: it was refused for another reason, or another entry sent it.

use crate::entry::Entry;
use crate::watch::counters::Count;
use crate::wire::problem::Problem;
use http::StatusCode;
use pinhaven_bundle::Organisation;
use pinhaven_limits::OrganisationKey;
use pinhaven_limits::OverLimit;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// What a request has taken of its organisation's limit. Dropping it gives back a token that no attempt used.
pub(crate) struct Admission {
    entry: Arc<Entry>,
    key: OrganisationKey,
    /// Tokens taken and not used by an attempt: 1 or 0.
    unused: AtomicU32,
}

impl Admission {
    /// Admits a request of a caller. One with precedence was refused before and takes its place in the queue of tokens.
    ///
    /// # Errors
    ///
    /// A refusal with status 429 if the organisation is at its limit.
    pub(crate) fn of_caller(
        entry: &Arc<Entry>,
        organisation: &Organisation,
        has_precedence: bool,
    ) -> Result<Self, Problem> {
        let key = OrganisationKey::new(&organisation.name);
        let admitted = entry.limits.admit(key, has_precedence, entry.now());
        admitted.map_err(|over_limit| refuse(entry, organisation, over_limit))?;
        Ok(Self {
            entry: Arc::clone(entry),
            key,
            unused: AtomicU32::new(1),
        })
    }

    /// Accounts for a request that another entry admitted and this entry sends to targets.
    pub(crate) fn of_message(entry: &Arc<Entry>, organisation: &Organisation) -> Self {
        Self {
            entry: Arc::clone(entry),
            key: OrganisationKey::new(&organisation.name),
            unused: AtomicU32::new(0),
        }
    }

    /// Whether a hedge may be sent.
    pub(crate) fn may_hedge(&self) -> bool {
        let may_hedge = self
            .entry
            .limits
            .has_spare_token(self.key, self.entry.now());
        if !may_hedge {
            self.entry.counters.add(Count::HedgeOverLimit);
        }
        may_hedge
    }

    /// Accounts for an attempt that is sent.
    pub(crate) fn charge_attempt(&self) {
        if self.unused.swap(0, Ordering::Relaxed) == 0 {
            self.entry.limits.charge(self.key, self.entry.now());
        }
    }

    /// Takes back the charge of an attempt that did not reach its target.
    pub(crate) fn refund_attempt(&self) {
        if self.unused.swap(1, Ordering::Relaxed) == 1 {
            self.entry.limits.refund(self.key, self.entry.now());
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if *self.unused.get_mut() == 1 {
            self.entry.limits.refund(self.key, self.entry.now());
        }
    }
}

fn refuse(entry: &Entry, organisation: &Organisation, over_limit: OverLimit) -> Problem {
    entry.counters.add(Count::OverLimit);
    let limit = organisation.limit;
    let requests_per_s = limit.map_or(0.0, |limit| limit.requests_per_s);
    let detail = format!(
        "organisation {} is at its limit of {requests_per_s} requests a second over all entries",
        organisation.name
    );
    Problem::not_run(StatusCode::TOO_MANY_REQUESTS, "over_limit", detail)
        .with_retry_after_ms(over_limit.retry_after.count().div_ceil(1_000))
}
