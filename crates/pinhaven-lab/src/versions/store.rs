//! The emulated store: acknowledges versions and answers the polls of delegates with the whole body of the newest
//! version.

use crate::versions::message::AnswerInFlight;
use crate::versions::message::Endpoint;
use crate::versions::message::Event;
use crate::versions::message::Reply;
use crate::versions::message::Work;
use crate::versions::plan::Transfer;
use crate::versions::plan::VersionFault;
use crate::versions::world::FIRST_ACKNOWLEDGED_US;
use crate::versions::world::World;
use pinhaven_agree::pause_after_answer;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;

/// Time for an answer of the store, in microseconds.
const ANSWER_US: u64 = 4_000;
/// Timeouts of an answer that the delegate receives as a whole and of an answer that it receives piece by piece, in
/// microseconds, as in an entry.
const WHOLE_ANSWER_TIMEOUT_US: u64 = 1_500_000;
const PIECEWISE_ANSWER_TIMEOUT_US: u64 = 52_000_000;
/// Nanoseconds per microsecond.
const NS_PER_US: u64 = 1_000;

impl World<'_> {
    pub(super) fn acknowledge(&mut self, version: BundleVersion) {
        self.store_head = version;
        for entry in 0..self.instances.len() {
            let instance = &self.instances[entry];
            if instance.is_delegate && !instance.waits_for_store {
                self.queue
                    .schedule(self.now_us + ANSWER_US, Event::PollStore(entry));
            }
        }
    }

    /// Whether the store doesn't answer an entry.
    fn is_store_unavailable(&self, entry: usize) -> bool {
        self.has_fault(|fault| match fault {
            VersionFault::StoreAnswersOne { until_ms } => {
                entry != self.first_delegate()
                    && self.now_us < FIRST_ACKNOWLEDGED_US + until_ms * 1_000
            }
            _ => false,
        })
    }

    fn first_delegate(&self) -> usize {
        let first = self
            .instances
            .iter()
            .position(|instance| instance.is_delegate);
        first.unwrap_or_default()
    }

    pub(super) fn poll_store(&mut self, entry: usize) {
        let (head, is_unavailable) = (self.store_head, self.is_store_unavailable(entry));
        let instance = &mut self.instances[entry];
        let needs_no_poll = instance.store_version_seen >= head || instance.waits_for_store;
        if !instance.is_alive || !instance.is_delegate || needs_no_poll {
            return;
        }
        instance.store_calls += 1;
        if is_unavailable {
            self.schedule_store_retry(entry);
            return;
        }
        self.instances[entry].waits_for_store = true;
        let bytes = self.history.body_bytes(head);
        let answer = AnswerInFlight {
            from: Endpoint::Store,
            to: entry,
            call: self.now_us,
            unsent_bytes: 0,
            segments_in_flight: 0,
            reply: Reply::Stored(head),
        };
        self.instances[entry].store_asked_us = self.now_us;
        let is_recent = self.now_us < self.acknowledged_us(head) + 2 * ANSWER_US;
        self.instances[entry].store_was_ahead = !is_recent;
        self.begin_answer(bytes, answer);
    }

    fn schedule_store_retry(&mut self, entry: usize) {
        let jitter = self.random.f64();
        let pause = self.instances[entry].store_backoff.next_delay(0, jitter);
        self.queue
            .schedule(self.now_us + pause.count(), Event::PollStore(entry));
    }

    pub(super) fn receive_stored(&mut self, entry: usize, version: BundleVersion) {
        let answer_us = self.now_us - self.instances[entry].store_asked_us;
        let timeout_us = match self.plan.transfer {
            Transfer::WholeInASecond => WHOLE_ANSWER_TIMEOUT_US,
            Transfer::Parts => PIECEWISE_ANSWER_TIMEOUT_US,
        };
        if answer_us > timeout_us {
            self.instances[entry].waits_for_store = false;
            self.schedule_store_retry(entry);
            return;
        }
        self.instances[entry].store_answer_us = answer_us;
        let routes = self.history.routes(version) as u64;
        let costs = self.plan.costs;
        let cost_us = routes * (costs.read_ns + costs.difference_ns) / NS_PER_US;
        self.record_memory(entry, version, self.history.body_bytes(version));
        self.work(entry, cost_us, Work::AdoptStored(version));
    }

    pub(super) fn adopt_stored(&mut self, entry: usize, version: BundleVersion) {
        let now = self.now();
        let was_ahead = self.instances[entry].store_was_ahead;
        let instance = &mut self.instances[entry];
        instance.waits_for_store = false;
        instance.store_backoff = Default::default();
        instance.store_version_seen = instance.store_version_seen.max(version);
        let answer_time = Microseconds::new(instance.store_answer_us);
        instance.lag.record_known(version, now);
        self.put_in_force(entry, version);
        let pause = pause_after_answer(was_ahead, answer_time);
        let at_us = self.now_us + pause.count();
        self.queue.schedule(at_us, Event::PollStore(entry));
    }
}
