//! Changes of load, targets and entries during a run.

use super::World;
use crate::emulate::entry::new_entry;
use crate::emulate::queue::EmulatedEvent;
use crate::emulate::shared::load_factor;
use pinhaven_decide::AttemptId;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_types::Microseconds;

/// Minimum time after which a caller retries whose connection broke, in milliseconds.
const RESTART_RETRY_MS: f64 = 100.0;

impl World<'_> {
    pub(super) fn sample_organisation(&mut self) -> Option<usize> {
        let plan = self.plan;
        let last = plan.organisations.len().checked_sub(1)?;
        let now_ms = self.now_ms;
        let loads = plan.organisations.iter().enumerate();
        let loads: Vec<f64> = loads
            .map(|(number, organisation)| {
                organisation.share * load_factor(&plan.changes, number, now_ms)
            })
            .collect();
        let mut remaining = self.random.f64() * loads.iter().sum::<f64>();
        let found = loads.iter().position(|load| {
            remaining -= load;
            remaining < 0.0
        });
        Some(found.unwrap_or(last))
    }

    /// Makes other targets cold at the start of a period. Entries know at once, as they do from reports.
    pub(super) fn change_cold_targets(&mut self, period: u64) {
        let Some(cold) = self.plan.cold.filter(|_| self.is_running()) else {
            return;
        };
        let until = self.now().plus(Microseconds::from_ms(cold.duration_ms));
        for target in 0..self.plan.targets {
            self.advance(target);
            let is_cold = cold.is_cold(target, self.plan.targets, period);
            self.targets[target].set_cold(is_cold.then_some(cold));
            self.schedule_finish(target);
            for entry in self.entries.iter().filter(|_| is_cold) {
                entry.service.targets()[target].extend_cold(until);
            }
        }
        let next = EmulatedEvent::ColdTargetsChange(period + 1);
        self.schedule_in(cold.duration_ms as f64, next);
    }

    /// Replaces all entries by new ones. Callers whose connections break retry as after a refusal.
    pub(super) fn restart_entries(&mut self) {
        for request in 0..self.calls.len() {
            let call = &mut self.calls[request];
            let is_at_entry = call.awaits_capacity || !call.attempts.is_empty();
            if call.is_over || !is_at_entry {
                continue;
            }
            call.awaits_capacity = false;
            call.state = RequestState::new(RequestFacts::new(true, Microseconds::ZERO));
            let mut attempts: Vec<u32> = call.attempts.keys().copied().collect();
            attempts.sort_unstable();
            for attempt in attempts {
                self.cancel(request, AttemptId(attempt));
            }
            let retry_ms = RESTART_RETRY_MS * (1.0 + self.random.f64());
            self.schedule_in(retry_ms, EmulatedEvent::CallerRetry(request));
        }
        let now = self.now();
        let numbers = 0..self.entries.len();
        self.entries = numbers
            .map(|entry| new_entry(self.plan, entry, now))
            .collect();
    }

    pub(super) fn mark_leaving(&mut self, share: f64) {
        let count = (self.plan.targets as f64 * share) as usize;
        for entry in &self.entries {
            entry.service.targets()[..count]
                .iter()
                .for_each(|target| target.mark_leaving());
        }
    }
}
