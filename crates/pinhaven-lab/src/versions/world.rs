//! Event loop of a run: the entries, the store, and the messages between them in emulated time.

use crate::queue::Queue;
use crate::versions::carrier::Link;
use crate::versions::history::History;
use crate::versions::instance::Instance;
use crate::versions::message::AnswerInFlight;
use crate::versions::message::Endpoint;
use crate::versions::message::Event;
use crate::versions::message::Message;
use crate::versions::message::Payload;
use crate::versions::message::Reply;
use crate::versions::message::Work;
use crate::versions::outcome::EntryOutcome;
use crate::versions::outcome::VersionsOutcome;
use crate::versions::plan::VersionChange;
use crate::versions::plan::VersionFault;
use crate::versions::plan::VersionsPlan;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

/// Time at which the first version is acknowledged, in microseconds. By then the entries have exchanged heartbeats.
pub(super) const FIRST_ACKNOWLEDGED_US: u64 = 2_000_000;
/// One-way latency of a message, in microseconds.
const LATENCY_US: u64 = 1_000;
/// Rate of the store's link, in megabits per second.
const STORE_LINK_MBPS: f64 = 4_000.0;
/// Size of a segment of an answer, and maximum size of all segments in flight, in bytes.
const SEGMENT_BYTES: usize = 4 * 1024;
const WINDOW_BYTES: usize = 64 * 1024;
/// Overhead of a call or an answer, in bytes.
pub(super) const ENVELOPE_BYTES: usize = 150;
/// Version that the entries hold at the start.
pub(super) const FIRST_VERSION: BundleVersion = BundleVersion::new(1);

/// State of a run.
pub(super) struct World<'plan> {
    pub(super) plan: &'plan VersionsPlan,
    pub(super) history: History,
    pub(super) instances: Vec<Instance>,
    pub(super) queue: Queue<Event>,
    pub(super) now_us: u64,
    pub(super) random: fastrand::Rng,
    pub(super) store_head: BundleVersion,
    store_link: Link,
    answers: BTreeMap<u64, AnswerInFlight>,
    answers_started: u64,
    in_force_us: Vec<Option<u64>>,
}

impl<'plan> World<'plan> {
    /// Creates the initial state of a plan and schedules its first events.
    pub(super) fn new(plan: &'plan VersionsPlan) -> Self {
        let fresh_entry = plan.entries - 1;
        let held = |entry: usize| match plan.change {
            VersionChange::FreshEntry if entry == fresh_entry => BundleVersion::NONE,
            _ => FIRST_VERSION,
        };
        let instances = (0..plan.entries).map(|entry| Instance::new(entry, held(entry), plan));
        let mut world = Self {
            plan,
            history: History::new(plan),
            instances: instances.collect(),
            queue: Queue::default(),
            now_us: 0,
            random: fastrand::Rng::with_seed(plan.seed),
            store_head: FIRST_VERSION,
            store_link: Link::new(STORE_LINK_MBPS),
            answers: BTreeMap::new(),
            answers_started: 0,
            in_force_us: vec![None; plan.entries],
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for entry in 0..self.plan.entries {
            self.schedule_first_round(entry);
        }
        for index in 0..self.acknowledged_versions() {
            let version = BundleVersion::new(FIRST_VERSION.number() + 1 + index);
            let at_us = FIRST_ACKNOWLEDGED_US + index * self.plan.gap_ms * 1_000;
            self.queue.schedule(at_us, Event::Acknowledged(version));
        }
        for fault in &self.plan.faults {
            if let VersionFault::Crashes { entry, at_ms } = fault {
                let at_us = FIRST_ACKNOWLEDGED_US + at_ms * 1_000;
                self.queue.schedule(at_us, Event::Crashes(*entry));
            }
        }
    }

    /// Number of versions that are acknowledged during the run.
    fn acknowledged_versions(&self) -> u64 {
        match self.plan.change {
            VersionChange::FreshEntry => 0,
            _ => self.plan.versions,
        }
    }

    /// Time at which a version is acknowledged.
    pub(super) fn acknowledged_us(&self, version: BundleVersion) -> u64 {
        let index = version.number().saturating_sub(FIRST_VERSION.number() + 1);
        FIRST_ACKNOWLEDGED_US + index * self.plan.gap_ms * 1_000
    }

    fn last_version(&self) -> BundleVersion {
        BundleVersion::new(FIRST_VERSION.number() + self.acknowledged_versions())
    }

    /// Time at which the last version is acknowledged; 0 if the run acknowledges no version.
    fn last_acknowledged_us(&self) -> u64 {
        match self.acknowledged_versions() {
            0 => 0,
            count => FIRST_ACKNOWLEDGED_US + (count - 1) * self.plan.gap_ms * 1_000,
        }
    }

    /// Runs until all live entries have the last version or the time limit is reached.
    pub(super) fn run(mut self) -> VersionsOutcome {
        let last = self.last_version();
        let end_us = self.last_acknowledged_us() + self.plan.limit_ms * 1_000;
        while let Some((at_us, event)) = self.queue.next() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle_event(event);
            let is_behind = |instance: &Instance| instance.is_alive && instance.held < last;
            let is_over = at_us > self.last_acknowledged_us() + self.faults_end_us();
            if is_over && !self.instances.iter().any(is_behind) {
                break;
            }
        }
        self.outcome()
    }

    /// Time after the last acknowledgement until the last crash.
    fn faults_end_us(&self) -> u64 {
        let dies_ms = self.plan.faults.iter().map(|fault| match fault {
            VersionFault::Crashes { at_ms, .. } => *at_ms,
            _ => 0,
        });
        dies_ms.max().unwrap_or_default() * 1_000
    }

    fn outcome(mut self) -> VersionsOutcome {
        (0..self.instances.len()).for_each(|entry| self.record_wait(entry));
        let acknowledged_us = self.last_acknowledged_us();
        let since_ms = |at_us: u64| at_us.saturating_sub(acknowledged_us) as f64 / 1_000.0;
        let last = self.last_version();
        let entries = self.instances.iter().zip(&self.in_force_us);
        let entries = entries.map(|(instance, at_us)| EntryOutcome {
            in_force_ms: at_us.filter(|_| instance.held == last).map(since_ms),
            is_behind: instance.held < last,
            is_alive: instance.is_alive,
            peer_bytes: instance.peer_bytes,
            store_bytes: instance.store_bytes,
            processor_ms: instance.processor.used_us() as f64 / 1_000.0,
            memory_peak_bytes: instance.memory_peak_bytes,
            store_calls: instance.store_calls,
            failed_tries: instance.failed_tries,
            busy_answers: instance.busy_answers,
            longest_wait_ms: instance.longest_wait.as_ms(),
        });
        VersionsOutcome {
            entries: entries.collect(),
            ended_ms: since_ms(self.now_us),
        }
    }

    pub(super) fn now(&self) -> Microseconds {
        Microseconds::new(self.now_us)
    }

    pub(super) fn has_fault(&self, matches_fault: impl Fn(&VersionFault) -> bool) -> bool {
        self.plan.faults.iter().any(matches_fault)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Acknowledged(version) => self.acknowledge(version),
            Event::ReachedLink(message) => self.deliver_to_link(message),
            Event::Received(message) => self.receive(message),
            Event::WorkDone { entry, work } => self.finish_work(entry, work),
            Event::TimedOut { entry, call } => self.handle_timeout(entry, call),
            Event::RetryFetch { entry, call } => self.retry_fetch(entry, call),
            Event::FetchFrom {
                entry,
                peer,
                version,
            } => self.fetch_if_behind(entry, peer, version),
            Event::DatagramRound(entry) => self.send_round(entry),
            Event::PollStore(entry) => self.poll_store(entry),
            Event::Crashes(entry) => self.instances[entry].is_alive = false,
        }
    }

    /// Queues work on an entry's processor.
    pub(super) fn work(&mut self, entry: usize, cost_us: u64, work: Work) {
        let done_us = self.instances[entry].processor.work(cost_us, self.now_us);
        self.queue
            .schedule(done_us, Event::WorkDone { entry, work });
    }

    fn finish_work(&mut self, entry: usize, work: Work) {
        if !self.instances[entry].is_alive {
            return;
        }
        match work {
            Work::Answer {
                asker,
                call,
                request,
            } => self.answer(entry, asker, call, request),
            Work::HandleReply { call, reply } => self.handle_reply(entry, call, reply),
            Work::Adopt { call, received } => self.adopt_received(entry, call, &received),
            Work::AdoptStored(version) => self.adopt_stored(entry, version),
        }
    }

    /// Sends a message over the sender's link.
    pub(super) fn send(&mut self, message: Message) {
        let sent_us = match message.from {
            Endpoint::Store => self.store_link.transfer(message.bytes, self.now_us),
            Endpoint::Entry(entry) if !self.instances[entry].is_alive => return,
            Endpoint::Entry(entry) => self.instances[entry]
                .link
                .transfer(message.bytes, self.now_us),
        };
        self.queue
            .schedule(sent_us + LATENCY_US, Event::ReachedLink(message));
    }

    fn deliver_to_link(&mut self, message: Message) {
        if !self.instances[message.to].is_alive || self.is_lost(&message) {
            return;
        }
        let received_us = self.instances[message.to]
            .link
            .transfer(message.bytes, self.now_us);
        self.queue.schedule(received_us, Event::Received(message));
    }

    /// Whether a message is lost. Segments are never lost, because the transport retransmits them.
    fn is_lost(&mut self, message: &Message) -> bool {
        if matches!(message.payload, Payload::Segment { .. }) {
            return false;
        }
        let lost = self.plan.faults.iter().find_map(|fault| match fault {
            VersionFault::CallsAreLost { share } => Some(*share),
            _ => None,
        });
        lost.is_some_and(|share| self.random.f64() < share)
    }

    fn receive(&mut self, message: Message) {
        let instance = &mut self.instances[message.to];
        match message.from {
            Endpoint::Store => instance.store_bytes += message.bytes as u64,
            Endpoint::Entry(_) => instance.peer_bytes += message.bytes as u64,
        }
        match (message.payload, message.from) {
            (Payload::Datagram(rows), Endpoint::Entry(_)) => {
                self.receive_datagram(message.to, &rows)
            }
            (Payload::Ask { call, request }, Endpoint::Entry(asker)) => {
                self.receive_request(message.to, asker, call, request);
            }
            (Payload::Segment { transfer }, _) => self.receive_segment(transfer),
            _ => {}
        }
    }

    /// Starts to send an answer of `bytes` and its overhead.
    pub(super) fn begin_answer(&mut self, bytes: usize, answer: AnswerInFlight) {
        self.answers_started += 1;
        let transfer = self.answers_started;
        let answer = AnswerInFlight {
            unsent_bytes: bytes + ENVELOPE_BYTES,
            ..answer
        };
        self.answers.insert(transfer, answer);
        for _ in 0..WINDOW_BYTES / SEGMENT_BYTES {
            self.send_segment(transfer);
        }
    }

    fn send_segment(&mut self, transfer: u64) {
        let Some(answer) = self.answers.get_mut(&transfer) else {
            return;
        };
        let bytes = answer.unsent_bytes.min(SEGMENT_BYTES);
        if bytes == 0 {
            return;
        }
        answer.unsent_bytes -= bytes;
        answer.segments_in_flight += 1;
        let message = Message {
            from: answer.from,
            to: answer.to,
            bytes,
            payload: Payload::Segment { transfer },
        };
        self.send(message);
    }

    fn receive_segment(&mut self, transfer: u64) {
        let Some(answer) = self.answers.get_mut(&transfer) else {
            return;
        };
        answer.segments_in_flight -= 1;
        let (to, call, from) = (answer.to, answer.call, answer.from);
        let is_complete = answer.unsent_bytes == 0 && answer.segments_in_flight == 0;
        if !self.is_awaited(to, call, from) {
            self.answers.remove(&transfer);
            return;
        }
        if !is_complete {
            self.send_segment(transfer);
            return;
        }
        if let Some(answer) = self.answers.remove(&transfer) {
            self.deliver_answer(to, call, answer.reply);
        }
    }

    /// Whether the receiver still awaits an answer. If not, no further segment of the answer is sent.
    fn is_awaited(&self, to: usize, call: u64, from: Endpoint) -> bool {
        match from {
            Endpoint::Store => self.instances[to].waits_for_store,
            Endpoint::Entry(_) => self.awaits(to, call),
        }
    }

    fn deliver_answer(&mut self, to: usize, call: u64, reply: Reply) {
        match reply {
            Reply::Stored(version) => self.receive_stored(to, version),
            reply => self.receive_reply(to, call, reply),
        }
    }

    /// Puts a version in force at an entry and advertises the version at once.
    pub(super) fn put_in_force(&mut self, entry: usize, version: BundleVersion) {
        let held = self.instances[entry].held;
        if version <= held {
            return;
        }
        let size = match held {
            BundleVersion::NONE => 0,
            held => self.history.delta(held, version).size(),
        };
        self.record_wait(entry);
        self.instances[entry].put_in_force(version, size);
        if version == self.last_version() {
            self.in_force_us[entry] = Some(self.now_us);
        }
        self.send_datagrams(entry, true);
    }

    /// Records how long an entry has known of a newer version without one coming into force.
    fn record_wait(&mut self, entry: usize) {
        let now = self.now();
        let instance = &mut self.instances[entry];
        let waited = instance.lag.behind_for(now).unwrap_or_default();
        instance.longest_wait = instance.longest_wait.max(waited);
    }

    /// Records the memory that an entry needs while it adopts a version.
    pub(super) fn record_memory(&mut self, entry: usize, to: BundleVersion, received_bytes: usize) {
        let held = self.instances[entry].held;
        let routes = self.history.routes(held) + self.history.routes(to);
        let held_bytes = routes as u64 * self.plan.costs.held_bytes;
        let text_bytes = self.history.body_bytes(to) as u64;
        let instance = &mut self.instances[entry];
        let changes = instance.retained_changes() as u64 * self.plan.costs.held_bytes;
        let buffered_bytes = instance.package_bytes() as u64 + received_bytes as u64;
        let bytes = held_bytes + text_bytes + changes + buffered_bytes;
        instance.memory_peak_bytes = instance.memory_peak_bytes.max(bytes);
    }
}
