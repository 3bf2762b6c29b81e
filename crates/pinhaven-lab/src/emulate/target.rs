//! An emulated target. Its speed changes at random, it slows down when it is nearly full, and it rejects or
//! ignores requests that it can't queue. Running work either follows the target's speed or keeps the speed at
//! which the work started.

use super::shared::ColdPace;
use super::shared::ColdPlan;
use pinhaven_decide::AttemptId;
use pinhaven_decide::LoadReport;
use std::collections::VecDeque;

/// Behaviour of the targets.
#[derive(Debug, Clone, Copy)]
pub struct TargetPlan {
    /// Maximum number of requests that a target works on at a time.
    pub slots: usize,
    /// Maximum number of requests that a target queues.
    pub queue_max: usize,
    /// Share of time for which a target is slow.
    pub slow_share: f64,
    /// Factor by which work takes longer at a slow target.
    pub slow_factor: f64,
    /// Mean time between two changes of a target's speed, in milliseconds.
    pub speed_change_ms: f64,
    /// Share of used slots above which a target is nearly full, and the factor by which work takes longer then.
    pub knee: (f64, f64),
    /// Whether work keeps the speed at which it started until it ends.
    pub has_fixed_speed: bool,
    /// Whether a target ignores a request that it can't queue, instead of rejecting the request.
    pub is_silent_when_full: bool,
}

/// A request that runs or waits at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Work {
    pub(super) request: usize,
    pub(super) attempt: AttemptId,
    /// Remaining work, in milliseconds at normal speed.
    pub(super) remaining_ms: f64,
    /// Factor by which the work takes longer than at normal speed.
    pub(super) slowdown: f64,
    /// Time for which the work has held a slot, in milliseconds.
    pub(super) held_ms: f64,
}

/// Result of offering a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    Accepted,
    Rejected,
    Dropped,
}

/// State of an emulated target.
#[derive(Debug)]
pub(super) struct EmulatedTarget {
    plan: TargetPlan,
    is_slow: bool,
    /// Factors by which work takes longer in the target's whole failure domain, reported and not reported.
    pub(super) domain_slowdown: f64,
    pub(super) unreported_slowdown: f64,
    /// Whether the target is cold, and how.
    pub(super) cold: Option<ColdPlan>,
    cold_pace: ColdPace,
    running: Vec<Work>,
    queue: VecDeque<Work>,
    advanced_to_ms: f64,
    /// Number of changes to the running work. A finish event that was scheduled before a change is recognised by
    /// its lower generation and ignored.
    pub(super) generation: u64,
}

impl EmulatedTarget {
    pub(super) fn new(plan: TargetPlan, is_slow: bool) -> Self {
        Self {
            plan,
            is_slow,
            domain_slowdown: 1.0,
            unreported_slowdown: 1.0,
            cold: None,
            cold_pace: ColdPace::default(),
            running: Vec::new(),
            queue: VecDeque::new(),
            advanced_to_ms: 0.0,
            generation: 0,
        }
    }

    fn reported_slowdown(&self) -> f64 {
        let own = match self.is_slow {
            true => self.plan.slow_factor,
            false => 1.0,
        };
        own * self.domain_slowdown
    }

    /// Factor by which work takes longer than at normal speed while `running` requests are worked on.
    fn slowdown(&self, running: usize) -> f64 {
        let (knee_share, knee_slowdown) = self.plan.knee;
        let is_nearly_full = running as f64 > self.plan.slots as f64 * knee_share;
        let cold = self.cold.map_or(1.0, |cold| cold.factor);
        let slow = cold * self.reported_slowdown() * self.unreported_slowdown;
        if is_nearly_full {
            slow * knee_slowdown
        } else {
            slow
        }
    }

    /// Advances the running work to `now_ms` and returns the finished work.
    pub(super) fn advance(&mut self, now_ms: f64) -> Vec<Work> {
        let time_ms = now_ms - self.advanced_to_ms;
        self.advanced_to_ms = now_ms;
        for work in &mut self.running {
            work.remaining_ms -= time_ms / work.slowdown;
            work.held_ms += time_ms;
        }
        // Event times are rounded to microseconds, so up to 0.001 ms of finished work can seem to remain.
        let is_finished = |work: &Work| work.remaining_ms <= 0.001;
        let finished: Vec<Work> = self.running.iter().copied().filter(is_finished).collect();
        self.running.retain(|work| !is_finished(work));
        self.start_queued();
        finished
    }

    /// Time at which the first running request finishes if nothing changes, in milliseconds.
    pub(super) fn next_finish_ms(&self) -> Option<f64> {
        let remaining = self
            .running
            .iter()
            .map(|work| work.remaining_ms * work.slowdown);
        let min_ms = remaining.min_by(f64::total_cmp)?;
        Some(self.advanced_to_ms + min_ms)
    }

    pub(super) fn admit(&mut self, work: Work) -> Admission {
        if let Some(cold) = &self.cold
            && !self.cold_pace.accepts(cold, self.advanced_to_ms)
        {
            return Admission::Rejected;
        }
        let is_full = self.running.len() >= self.plan.slots;
        if is_full && self.queue.len() >= self.plan.queue_max {
            return match self.plan.is_silent_when_full {
                true => Admission::Dropped,
                false => Admission::Rejected,
            };
        }
        self.queue.push_back(work);
        self.start_queued();
        Admission::Accepted
    }

    /// Removes an attempt that the entry has cancelled, and returns for how long it has held a slot.
    pub(super) fn cancel(&mut self, request: usize, attempt: AttemptId) -> f64 {
        let is_other = |work: &Work| work.request != request || work.attempt != attempt;
        let removed = self.running.iter().filter(|work| !is_other(work));
        let held_ms = removed.map(|work| work.held_ms).sum();
        self.running.retain(is_other);
        self.queue.retain(is_other);
        self.start_queued();
        held_ms
    }

    /// Makes the target cold or warm.
    pub(super) fn set_cold(&mut self, cold: Option<ColdPlan>) {
        self.cold = cold;
        self.update_slowdowns();
    }

    /// Chooses at random whether the target is slow from now on.
    pub(super) fn change_speed(&mut self, random: &mut fastrand::Rng) {
        self.is_slow = random.f64() < self.plan.slow_share;
        self.update_slowdowns();
    }

    /// Applies the target's current speed to running work, unless work keeps the speed at which it started.
    pub(super) fn update_slowdowns(&mut self) {
        if self.plan.has_fixed_speed {
            return;
        }
        let slowdown = self.slowdown(self.running.len());
        for work in &mut self.running {
            work.slowdown = slowdown;
        }
    }

    pub(super) fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            is_draining: false,
            slowdown: Some(self.reported_slowdown() as f32),
        }
    }

    fn start_queued(&mut self) {
        self.generation += 1;
        while self.running.len() < self.plan.slots
            && let Some(mut work) = self.queue.pop_front()
        {
            work.slowdown = self.slowdown(self.running.len() + 1);
            self.running.push(work);
        }
        self.update_slowdowns();
    }
}
