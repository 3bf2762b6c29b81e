//! Failure domains in an emulation: demand that differs by domain, targets of one domain that fail, and what crosses.
//!
//! Answers the load of a deployment over several failure domains, where the demand of each domain has its peak at
//! another time, callers move from one domain to another, and the targets of a domain become few, slow or cold.

use pinhaven_types::CrossingCost;
use std::ops::Range;

/// Failure domains of an emulated deployment. Targets and entries belong to the domains in turn, by their numbers, so
/// that the number of entries has to be a multiple of the number of domains.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// Number of failure domains.
    pub domains: usize,
    /// How expensive it is for entries to send a request to another domain, if a cost is set.
    pub crossing_cost: Option<CrossingCost>,
    /// Whether callers use only entries of their own domain; otherwise all entries.
    pub has_near_entries: bool,
    /// Relative swing of a domain's demand around its mean. The peaks of the domains are spread over the period.
    pub swing: f64,
    /// Time between two peaks of a domain, in milliseconds.
    pub period_ms: f64,
    /// Sizes of requests and answers, by kind of request.
    pub bodies: Vec<BodySizes>,
    /// Changes during the run.
    pub changes: Vec<DomainChange>,
}

/// Sizes of the bodies of one kind of request.
#[derive(Debug, Clone, Copy)]
pub struct BodySizes {
    /// Size of the request's body, in bytes.
    pub request_bytes: u64,
    /// Size of the answer's body, in bytes.
    pub answer_bytes: u64,
}

/// A change of one failure domain during a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DomainChange {
    /// Callers of a domain call from another one.
    CallersMove {
        /// Domain that the callers leave.
        from: usize,
        /// Domain to which they move.
        to: usize,
        /// Share of the callers of `from`.
        share: f64,
        /// Start and end, in milliseconds.
        between_ms: (f64, f64),
    },
    /// Targets of a domain change their state.
    Targets {
        /// Domain of the targets.
        domain: usize,
        /// Share of the domain's targets.
        share: f64,
        /// The state.
        state: TargetsState,
        /// Start and end, in milliseconds.
        between_ms: (f64, f64),
    },
}

/// State of some targets of a failure domain for a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetsState {
    /// The targets leave, and all entries know; they don't return.
    Gone,
    /// Operators have drained the targets.
    Drained,
    /// Work takes twice as long, entries know that the targets are cold, and targets don't report the slowdown.
    Cold,
    /// Work takes longer by this factor, which the targets report.
    Slow(f64),
}

/// Factor by which work takes longer at a cold target; as the users specify.
pub(super) const COLD_SLOWDOWN: f64 = 2.0;

impl DomainPlan {
    /// Relative demand of each domain at a time. The sum is constant.
    pub(super) fn demand(&self, now_ms: f64) -> Vec<f64> {
        let phase_of = |domain: usize| domain as f64 / self.domains as f64;
        let swing_of = |domain: usize| {
            let turns = now_ms / self.period_ms + phase_of(domain);
            self.swing * (std::f64::consts::TAU * turns).sin()
        };
        let mut demand: Vec<f64> = (0..self.domains).map(|d| 1.0 + swing_of(d)).collect();
        for change in &self.changes {
            if let DomainChange::CallersMove {
                from,
                to,
                share,
                between_ms: (start_ms, end_ms),
            } = *change
                && (start_ms..end_ms).contains(&now_ms)
            {
                let moved = demand[from] * share;
                demand[from] -= moved;
                demand[to] += moved;
            }
        }
        demand
    }

    /// Chooses the domain of a caller by the demand of the domains.
    pub(super) fn sample_domain(&self, now_ms: f64, random: &mut fastrand::Rng) -> usize {
        let demand = self.demand(now_ms);
        let mut remaining = random.f64() * demand.iter().sum::<f64>();
        let found = demand.iter().position(|part| {
            remaining -= part;
            remaining < 0.0
        });
        found.unwrap_or(self.domains - 1)
    }

    /// Chooses the entry for a caller of a domain.
    pub(super) fn sample_entry(
        &self,
        domain: usize,
        entries: usize,
        random: &mut fastrand::Rng,
    ) -> usize {
        match self.has_near_entries {
            true => random.usize(..entries / self.domains) * self.domains + domain,
            false => random.usize(..entries),
        }
    }

    /// Failure domain of the target or entry with a number.
    pub(super) fn domain_of(&self, number: usize) -> usize {
        number % self.domains
    }

    /// Numbers of the first `share` of a domain's targets.
    pub(super) fn targets_in(
        &self,
        domain: usize,
        share: f64,
        targets: usize,
    ) -> impl Iterator<Item = usize> {
        let in_domain: Range<usize> = 0..targets / self.domains;
        let count = (in_domain.len() as f64 * share).round() as usize;
        let domains = self.domains;
        in_domain
            .take(count)
            .map(move |index| index * domains + domain)
    }
}

/// What crossed between failure domains, and what entries sent to targets in all.
#[derive(Debug, Clone, Default)]
pub struct CrossingTally {
    /// Attempts at targets of the entry's own domain, and at others.
    pub attempts: [u64; 2],
    /// Body bytes of requests and answers, within a domain and between domains.
    pub bytes: [u64; 2],
    /// Attempts that crossed, by the domain of the target.
    pub far_by_domain: Vec<u64>,
    /// Requests and those answered within their aims, by the domain of the caller.
    pub in_time_by_domain: Vec<(u64, u64)>,
}

impl CrossingTally {
    pub(super) fn new(domains: usize) -> Self {
        Self {
            far_by_domain: vec![0; domains],
            in_time_by_domain: vec![(0, 0); domains],
            ..Self::default()
        }
    }

    pub(super) fn count_attempt(&mut self, from: usize, to: usize, body_bytes: u64) {
        let is_far = from != to;
        self.attempts[usize::from(is_far)] += 1;
        self.bytes[usize::from(is_far)] += body_bytes;
        self.far_by_domain[to] += u64::from(is_far);
    }

    pub(super) fn count_answer(&mut self, from: usize, to: usize, body_bytes: u64) {
        self.bytes[usize::from(from != to)] += body_bytes;
    }

    pub(super) fn count_end(&mut self, domain: usize, is_in_time: bool) {
        let (requests, in_time) = &mut self.in_time_by_domain[domain];
        *requests += 1;
        *in_time += u64::from(is_in_time);
    }

    /// Share of the attempts that cross.
    pub fn far_share(&self) -> f64 {
        self.attempts[1] as f64 / (self.attempts[0] + self.attempts[1]).max(1) as f64
    }

    /// Share of the body bytes that cross.
    pub fn far_bytes_share(&self) -> f64 {
        self.bytes[1] as f64 / (self.bytes[0] + self.bytes[1]).max(1) as f64
    }
}
