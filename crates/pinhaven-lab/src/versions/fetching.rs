//! Fetching a version from peers in emulated time.
//!
//! An entry that learns of a newer version requests its package part by part from one peer. If the peer fails or is
//! busy, the entry continues with another peer that has the version. The bounds equal those of a real entry.

use crate::versions::instance::PeerAttempt;
use crate::versions::instance::address_of;
use crate::versions::instance::entry_at;
use crate::versions::message::CallNumber;
use crate::versions::message::Endpoint;
use crate::versions::message::Event;
use crate::versions::message::Message;
use crate::versions::message::Payload;
use crate::versions::message::ReceivedVersion;
use crate::versions::message::Reply;
use crate::versions::message::Work;
use crate::versions::plan::Transfer;
use crate::versions::plan::VersionFault;
use crate::versions::world::ENVELOPE_BYTES;
use crate::versions::world::World;
use pinhaven_agree::Fetched;
use pinhaven_agree::PART_TIMEOUT;
use pinhaven_agree::Part;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;

/// Maximum number of peers tried in one round, as in an entry.
const PEERS_TRIED_MAX: usize = 3;
/// Maximum number of times that a package may start over at one peer, as in an entry.
const RESTARTS_MAX: u32 = 2;
/// Maximum number of rounds without a free peer. After them, the next datagram with a newer version starts a new fetch,
/// as in an entry.
const ROUNDS_MAX: u32 = 20;
/// Nanoseconds per microsecond.
const NS_PER_US: u64 = 1_000;

impl World<'_> {
    /// Starts a fetch at a peer, with no peers tried yet.
    pub(super) fn start_fetch(&mut self, entry: usize, peer: SocketAddr) {
        let instance = &mut self.instances[entry];
        let request = instance.fetch.request(instance.held);
        instance.attempt = Some(PeerAttempt {
            peer: entry_at(peer),
            tried: Vec::new(),
            restarts: 0,
            retry_after: None,
            rounds: 0,
            call: 0,
            request,
            is_answered: false,
        });
        self.request_part(entry);
    }

    /// Requests the next part from the current peer and schedules the timeout of the call.
    fn request_part(&mut self, entry: usize) {
        let instance = &mut self.instances[entry];
        let Some(attempt) = &mut instance.attempt else {
            return;
        };
        instance.last_call += 1;
        attempt.call = instance.last_call;
        attempt.request = instance.fetch.request(instance.held);
        attempt.is_answered = false;
        let (call, request, peer) = (attempt.call, attempt.request, attempt.peer);
        self.send(Message {
            from: Endpoint::Entry(entry),
            to: peer,
            bytes: ENVELOPE_BYTES,
            payload: Payload::Ask { call, request },
        });
        let timeout = Event::TimedOut { entry, call };
        self.queue
            .schedule(self.now_us + PART_TIMEOUT.count(), timeout);
    }

    /// Whether an entry still awaits the answer to a call.
    pub(super) fn awaits(&self, entry: usize, call: CallNumber) -> bool {
        let attempt = self.instances[entry].attempt.as_ref();
        attempt.is_some_and(|attempt| attempt.call == call && !attempt.is_answered)
    }

    fn is_current(&self, entry: usize, call: CallNumber) -> bool {
        let attempt = self.instances[entry].attempt.as_ref();
        attempt.is_some_and(|attempt| attempt.call == call)
    }

    pub(super) fn handle_timeout(&mut self, entry: usize, call: CallNumber) {
        if self.awaits(entry, call) {
            self.instances[entry].fetch.record_timeout();
            self.abandon_failed_peer(entry, "the peer did not answer in time");
        }
    }

    pub(super) fn receive_reply(&mut self, entry: usize, call: CallNumber, reply: Reply) {
        if !self.awaits(entry, call) {
            return;
        }
        if let Some(attempt) = &mut self.instances[entry].attempt {
            attempt.is_answered = true;
        }
        let cost_us = self.plan.costs.call_us;
        self.work(entry, cost_us, Work::HandleReply { call, reply });
    }

    pub(super) fn handle_reply(&mut self, entry: usize, call: CallNumber, reply: Reply) {
        if !self.is_current(entry, call) {
            return;
        }
        match reply {
            Reply::NothingNewer | Reply::Stored(_) => self.abandon_peer(entry),
            Reply::Busy(retry_after) => self.abandon_busy_peer(entry, retry_after),
            Reply::Part(part) => self.accept_part(entry, call, part),
            Reply::Whole { start, steps } => {
                let version = steps.last().copied().unwrap_or_default();
                let received = ReceivedVersion {
                    version,
                    start,
                    is_valid: true,
                };
                let read: usize = steps.iter().map(|step| self.history.routes(*step)).sum();
                self.begin_adoption(entry, call, received, read);
            }
        }
    }

    /// Abandons a busy peer and records the shortest delay after which a busy peer may be asked again.
    fn abandon_busy_peer(&mut self, entry: usize, retry_after: Microseconds) {
        let instance = &mut self.instances[entry];
        instance.busy_answers += 1;
        if let Some(attempt) = &mut instance.attempt {
            // The delay is sent to entries in whole milliseconds.
            let retry_after = Microseconds::from_ms(retry_after.as_ms().ceil() as u64);
            attempt.retry_after = Some(
                attempt
                    .retry_after
                    .map_or(retry_after, |shortest| shortest.min(retry_after)),
            );
        }
        self.abandon_peer(entry);
    }

    /// Starts another round after a round in which peers were busy.
    pub(super) fn retry_fetch(&mut self, entry: usize, call: CallNumber) {
        if self.instances[entry].is_alive && self.is_current(entry, call) {
            self.ask_next_peer(entry);
        }
    }

    fn accept_part(&mut self, entry: usize, call: CallNumber, part: Part) {
        let instance = &mut self.instances[entry];
        let Some(attempt) = &mut instance.attempt else {
            return;
        };
        attempt.restarts += u32::from(attempt.request.offset > 0 && part.offset == 0);
        if attempt.restarts > RESTARTS_MAX {
            self.abandon_failed_peer(entry, "the peer changed the package too often");
            return;
        }
        match instance.fetch.record_part(attempt.request, part) {
            Fetched::More => self.request_part(entry),
            Fetched::Rejected => {
                self.abandon_failed_peer(entry, "a received part does not fit the package")
            }
            Fetched::Package(bytes) => self.accept_package(entry, call, &bytes),
        }
    }

    fn accept_package(&mut self, entry: usize, call: CallNumber, bytes: &[u8]) {
        let Some(package) = self.history.find_package(bytes) else {
            self.abandon_failed_peer(entry, "the received bytes are not a package");
            return;
        };
        let received = ReceivedVersion {
            version: package.key.version(),
            start: package.key.start,
            is_valid: package.is_valid,
        };
        self.begin_adoption(entry, call, received, package.routes);
    }

    /// Charges the processor for unpacking `read` routes, assembling the version and computing its difference for
    /// peers.
    fn begin_adoption(
        &mut self,
        entry: usize,
        call: CallNumber,
        received: ReceivedVersion,
        read: usize,
    ) {
        let costs = self.plan.costs;
        let routes = self.history.routes(received.version) as u64;
        let cost_ns =
            read as u64 * costs.unpack_ns + routes * (costs.apply_ns + costs.difference_ns);
        self.record_memory(entry, received.version, 0);
        self.work(entry, cost_ns / NS_PER_US, Work::Adopt { call, received });
    }

    pub(super) fn adopt_received(
        &mut self,
        entry: usize,
        call: CallNumber,
        received: &ReceivedVersion,
    ) {
        if !self.is_current(entry, call) {
            return;
        }
        let fails = self.has_fault(|fault| *fault == VersionFault::DifferencesFail { entry });
        let held = self.instances[entry].held;
        let fits = received.start.is_none_or(|start| start == held && !fails);
        if !fits || !received.is_valid {
            if received.start.is_some() {
                self.instances[entry].fetch.reject_differences();
            }
            self.abandon_failed_peer(entry, "the received version can't be put in force");
            return;
        }
        if received.version <= held {
            self.abandon_peer(entry);
            return;
        }
        self.put_in_force(entry, received.version);
        if let Some(attempt) = &mut self.instances[entry].attempt {
            attempt.tried.clear();
            attempt.retry_after = None;
        }
        self.ask_next_peer(entry);
    }

    /// Records a failure and abandons the current peer.
    fn abandon_failed_peer(&mut self, entry: usize, reason: &str) {
        let instance = &mut self.instances[entry];
        instance.failed_tries += 1;
        instance.lag.record_failure(reason.to_owned());
        self.abandon_peer(entry);
    }

    /// Marks the current peer as tried and asks the next one.
    fn abandon_peer(&mut self, entry: usize) {
        let Some(attempt) = &mut self.instances[entry].attempt else {
            return;
        };
        let peer = address_of(attempt.peer);
        attempt.tried.push(peer);
        self.ask_next_peer(entry);
    }

    /// Continues with an untried peer that has the next version, or ends the round if there is none.
    fn ask_next_peer(&mut self, entry: usize) {
        let now = self.now();
        let random = self.random.u64(..);
        let instance = &mut self.instances[entry];
        let Some(attempt) = &mut instance.attempt else {
            return;
        };
        let is_over =
            instance.lag.known() <= instance.held || self.plan.transfer == Transfer::WholeInASecond;
        if is_over {
            instance.attempt = None;
            return;
        }
        let next = instance.held.next();
        let holder = match attempt.tried.len() >= PEERS_TRIED_MAX {
            true => None,
            false => instance
                .members
                .find_holder(next, &attempt.tried, random, now),
        };
        match holder {
            Some(holder) => {
                attempt.peer = entry_at(holder);
                attempt.restarts = 0;
                self.request_part(entry);
            }
            None => self.end_round(entry),
        }
    }

    /// Schedules another round if peers were busy in this one. The delay has jitter, so that entries don't ask all at
    /// once.
    fn end_round(&mut self, entry: usize) {
        let jitter = self.random.f64();
        let instance = &mut self.instances[entry];
        let Some(attempt) = &mut instance.attempt else {
            return;
        };
        let retry_after = attempt.retry_after.take();
        attempt.tried.clear();
        attempt.rounds += 1;
        let Some(retry_after) = retry_after.filter(|_| attempt.rounds <= ROUNDS_MAX) else {
            instance.attempt = None;
            return;
        };
        let pause_us = retry_after.count() as f64 * (1.0 + jitter);
        let retry = Event::RetryFetch {
            entry,
            call: attempt.call,
        };
        self.queue.schedule(self.now_us + pause_us as u64, retry);
    }
}
