//! Failure domains of the emulated world: callers of each domain, changes of a domain's targets, and crossings.

use super::World;
use crate::emulate::domains::COLD_SLOWDOWN;
use crate::emulate::domains::DomainChange;
use crate::emulate::domains::TargetsState;
use crate::emulate::queue::EmulatedEvent;
use pinhaven_types::Microseconds;

/// Whether a body goes to a target or comes from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    Request,
    Answer,
}

impl World<'_> {
    pub(super) fn schedule_domain_changes(&mut self) {
        let Some(domains) = &self.plan.domains else {
            return;
        };
        for (change, planned) in domains.changes.iter().enumerate() {
            if let DomainChange::Targets { between_ms, .. } = *planned {
                for (at_ms, begins) in [(between_ms.0, true), (between_ms.1, false)] {
                    self.schedule_in(at_ms, EmulatedEvent::DomainChanges { change, begins });
                }
            }
        }
    }

    /// Begins or ends a planned change of a domain's targets.
    pub(super) fn change_domain(&mut self, change: usize, begins: bool) {
        let Some(domains) = &self.plan.domains else {
            return;
        };
        let DomainChange::Targets {
            domain,
            share,
            state,
            between_ms: (_, end_ms),
        } = domains.changes[change]
        else {
            return;
        };
        let lasts_us = (end_ms - self.now_ms).max(0.0) * 1_000.0;
        let cold_until = self.now().plus(Microseconds::new(lasts_us as u64));
        for target in domains.targets_in(domain, share, self.plan.targets) {
            self.advance(target);
            let factor = |changed: f64| if begins { changed } else { 1.0 };
            let emulated = &mut self.targets[target];
            match state {
                TargetsState::Slow(slowdown) => emulated.domain_slowdown = factor(slowdown),
                TargetsState::Cold => emulated.unreported_slowdown = factor(COLD_SLOWDOWN),
                TargetsState::Gone | TargetsState::Drained => {}
            }
            emulated.update_slowdowns();
            for entry in &self.entries {
                let known = &entry.service.targets()[target];
                match state {
                    TargetsState::Gone => known.mark_leaving(),
                    TargetsState::Drained => known.set_domain_drained(begins),
                    TargetsState::Cold if begins => known.extend_cold(cold_until),
                    TargetsState::Cold | TargetsState::Slow(_) => {}
                }
            }
            self.schedule_finish(target);
        }
    }

    /// Failure domain of the next caller.
    pub(super) fn sample_domain(&mut self) -> usize {
        match &self.plan.domains {
            Some(domains) => domains.sample_domain(self.now_ms, &mut self.random),
            None => 0,
        }
    }

    /// Entry that a caller of a domain uses next.
    pub(super) fn sample_entry(&mut self, domain: usize) -> usize {
        let entries = self.entries.len();
        match &self.plan.domains {
            Some(domains) => domains.sample_entry(domain, entries, &mut self.random),
            None => self.random.usize(..entries),
        }
    }

    /// Counts the body of a request or of its answer on the way between its entry and a target.
    pub(super) fn count_crossing(&mut self, request: usize, target: usize, direction: Direction) {
        let Some(domains) = &self.plan.domains else {
            return;
        };
        let call = &self.calls[request];
        let (from, to) = (domains.domain_of(call.entry), domains.domain_of(target));
        let sizes = domains.bodies[call.kind];
        let tally = &mut self.tally.crossings;
        match direction {
            Direction::Request => tally.count_attempt(from, to, sizes.request_bytes),
            Direction::Answer => {
                self.entries[call.entry].routes[call.kind].record_answer_bytes(sizes.answer_bytes);
                tally.count_answer(from, to, sizes.answer_bytes);
            }
        }
    }
}
