//! The store: it acknowledges versions, and gives each whole to the entries that follow it.

use crate::versions::message::AnswerUnderWay;
use crate::versions::message::End;
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

/// Time that the store takes for an answer, in microseconds.
const ANSWER_US: u64 = 4_000;
/// Time in which a whole answer must be there where it is not taken piece by piece, and where it is, in
/// microseconds, as in an entry.
const AT_ONCE_US: u64 = 1_500_000;
const BY_PIECES_US: u64 = 52_000_000;
/// Nanoseconds in a microsecond.
const NS_A_US: u64 = 1_000;

impl World<'_> {
    pub(super) fn acknowledge(&mut self, version: BundleVersion) {
        self.store_head = version;
        for entry in 0..self.instances.len() {
            let instance = &self.instances[entry];
            if instance.is_delegate && !instance.waits_for_store {
                self.queue
                    .schedule(self.now_us + ANSWER_US, Event::AskStore(entry));
            }
        }
    }

    /// Whether the store answers an entry.
    fn is_store_away(&self, entry: usize) -> bool {
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

    pub(super) fn ask_store(&mut self, entry: usize) {
        let (head, away) = (self.store_head, self.is_store_away(entry));
        let instance = &mut self.instances[entry];
        let has_nothing_to_ask = instance.store_seen >= head || instance.waits_for_store;
        if !instance.is_alive || !instance.is_delegate || has_nothing_to_ask {
            return;
        }
        instance.store_calls += 1;
        if away {
            self.ask_store_later(entry);
            return;
        }
        self.instances[entry].waits_for_store = true;
        let bytes = self.history.body_bytes(head);
        let answer = AnswerUnderWay {
            from: End::Store,
            to: entry,
            call: self.now_us,
            unsent_bytes: 0,
            segments_under_way: 0,
            reply: Reply::Stored(head),
        };
        self.instances[entry].store_asked_us = self.now_us;
        let had_waited = self.now_us < self.acknowledged_us(head) + 2 * ANSWER_US;
        self.instances[entry].store_was_ahead = !had_waited;
        self.begin_answer(bytes, answer);
    }

    fn ask_store_later(&mut self, entry: usize) {
        let draw = self.random.f64();
        let pause = self.instances[entry].store_pause.next_delay(0, draw);
        self.queue
            .schedule(self.now_us + pause.count(), Event::AskStore(entry));
    }

    pub(super) fn take_stored(&mut self, entry: usize, version: BundleVersion) {
        let took_us = self.now_us - self.instances[entry].store_asked_us;
        let most_us = match self.plan.transfer {
            Transfer::WholeInASecond => AT_ONCE_US,
            Transfer::Parts => BY_PIECES_US,
        };
        if took_us > most_us {
            self.instances[entry].waits_for_store = false;
            self.ask_store_later(entry);
            return;
        }
        self.instances[entry].store_took_us = took_us;
        let routes = self.history.routes(version) as u64;
        let costs = self.plan.costs;
        let cost_us = routes * (costs.read_ns + costs.difference_ns) / NS_A_US;
        self.note_memory(entry, version, self.history.body_bytes(version));
        self.work(entry, cost_us, Work::AdoptStored(version));
    }

    pub(super) fn adopt_stored(&mut self, entry: usize, version: BundleVersion) {
        let now = self.now();
        let was_there = self.instances[entry].store_was_ahead;
        let instance = &mut self.instances[entry];
        instance.waits_for_store = false;
        instance.store_pause = Default::default();
        instance.store_seen = instance.store_seen.max(version);
        let took = Microseconds::new(instance.store_took_us);
        instance.lag.record_known(version, now);
        self.put_in_force(entry, version);
        let pause = pause_after_answer(was_there, took);
        let at_us = self.now_us + pause.count();
        self.queue.schedule(at_us, Event::AskStore(entry));
    }
}
