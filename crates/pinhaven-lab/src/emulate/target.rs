//! A target in emulated time. It turns slow and back, slows down when it is nearly full, and turns away or
//! ignores what it can't queue. Work follows its speed, or keeps the one with which it began.

use pinhaven_decide::AttemptId;
use pinhaven_decide::LoadReport;
use std::collections::VecDeque;

/// What a target is like.
#[derive(Debug, Clone, Copy)]
pub struct TargetPlan {
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Requests that it queues.
    pub queue_max: usize,
    /// Share of the time that it is slow.
    pub slow_share: f64,
    /// How many times longer work takes then.
    pub slow_factor: f64,
    /// Time between two changes of its speed, on average, in milliseconds.
    pub speed_change_ms: f64,
    /// Use of its slots past which it is nearly full, and how many times longer work takes then.
    pub knee: (f64, f64),
    /// Whether work keeps the speed with which it began until it ends.
    pub has_fixed_speed: bool,
    /// Whether it says nothing when it can't queue a request, instead of turning it away.
    pub is_silent_when_full: bool,
}

/// A request at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Work {
    pub(super) request: usize,
    pub(super) attempt: AttemptId,
    /// Work that is left, in milliseconds at usual speed.
    pub(super) left_ms: f64,
    /// How many times longer than usual it takes, since it began.
    pub(super) factor: f64,
}

/// What a target does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taken {
    Yes,
    TurnedAway,
    Ignored,
}

/// A target.
#[derive(Debug)]
pub(super) struct EmulatedTarget {
    plan: TargetPlan,
    is_slow: bool,
    running: Vec<Work>,
    queue: VecDeque<Work>,
    advanced_to_ms: f64,
    /// Counts changes, so that an end that was planned before one is known for what it is.
    pub(super) generation: u64,
}

impl EmulatedTarget {
    pub(super) fn new(plan: TargetPlan, is_slow: bool) -> Self {
        Self {
            plan,
            is_slow,
            running: Vec::new(),
            queue: VecDeque::new(),
            advanced_to_ms: 0.0,
            generation: 0,
        }
    }

    /// How many times longer than usual work takes while `running` requests are worked on.
    fn factor(&self, running: usize) -> f64 {
        let (from, knee) = self.plan.knee;
        let is_nearly_full = running as f64 > self.plan.slots as f64 * from;
        let slow = if self.is_slow {
            self.plan.slow_factor
        } else {
            1.0
        };
        if is_nearly_full { slow * knee } else { slow }
    }

    /// Does the work up to `now_ms` and returns what is finished.
    pub(super) fn advance(&mut self, now_ms: f64) -> Vec<Work> {
        let time_ms = now_ms - self.advanced_to_ms;
        self.advanced_to_ms = now_ms;
        for work in &mut self.running {
            work.left_ms -= time_ms / work.factor;
        }
        // A thousandth of a millisecond is lost in the rounding of times.
        let is_finished = |work: &Work| work.left_ms <= 0.001;
        let finished: Vec<Work> = self.running.iter().copied().filter(is_finished).collect();
        self.running.retain(|work| !is_finished(work));
        self.fill();
        finished
    }

    /// When the first request is finished if nothing changes.
    pub(super) fn next_end_ms(&self) -> Option<f64> {
        let left = self.running.iter().map(|work| work.left_ms * work.factor);
        let least_ms = left.min_by(f64::total_cmp)?;
        Some(self.advanced_to_ms + least_ms)
    }

    pub(super) fn take(&mut self, work: Work) -> Taken {
        let is_full = self.running.len() >= self.plan.slots;
        if is_full && self.queue.len() >= self.plan.queue_max {
            return match self.plan.is_silent_when_full {
                true => Taken::Ignored,
                false => Taken::TurnedAway,
            };
        }
        self.queue.push_back(work);
        self.fill();
        Taken::Yes
    }

    /// Drops a request whose caller has left.
    pub(super) fn cancel(&mut self, request: usize, attempt: AttemptId) {
        let is_other = |work: &Work| work.request != request || work.attempt != attempt;
        self.running.retain(is_other);
        self.queue.retain(is_other);
        self.fill();
    }

    /// Draws whether it is slow from now on.
    pub(super) fn change_speed(&mut self, random: &mut fastrand::Rng) {
        self.is_slow = random.f64() < self.plan.slow_share;
        self.set_factors();
    }

    /// Sets the speed of what follows the target's; what keeps its own was set when it began.
    fn set_factors(&mut self) {
        if self.plan.has_fixed_speed {
            return;
        }
        let factor = self.factor(self.running.len());
        for work in &mut self.running {
            work.factor = factor;
        }
    }

    pub(super) fn report(&self) -> LoadReport {
        let slow = if self.is_slow {
            self.plan.slow_factor
        } else {
            1.0
        };
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            is_draining: false,
            slowdown: Some(slow as f32),
        }
    }

    fn fill(&mut self) {
        self.generation += 1;
        while self.running.len() < self.plan.slots
            && let Some(mut work) = self.queue.pop_front()
        {
            work.factor = self.factor(self.running.len() + 1);
            self.running.push(work);
        }
        self.set_factors();
    }
}
