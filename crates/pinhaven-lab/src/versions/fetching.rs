//! How an entry takes a version from peers, step by step as entries do.

use crate::versions::instance::Asking;
use crate::versions::instance::address_of;
use crate::versions::instance::entry_at;
use crate::versions::message::Arrived;
use crate::versions::message::CallNumber;
use crate::versions::message::End;
use crate::versions::message::Event;
use crate::versions::message::Message;
use crate::versions::message::Payload;
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

/// Peers that are asked one after the other, as in an entry.
const PEERS_TRIED_MOST: usize = 3;
/// How often a package may be begun anew at one peer, as in an entry.
const RESTARTS_MOST: u32 = 2;
/// Rounds in which all were busy before the next news begins anew, as in an entry.
const ROUNDS_MOST: u32 = 20;
/// Nanoseconds in a microsecond.
const NS_A_US: u64 = 1_000;

impl World<'_> {
    /// Begins to ask a peer, after others were tried.
    pub(super) fn ask_peer(&mut self, entry: usize, peer: SocketAddr) {
        let instance = &mut self.instances[entry];
        let request = instance.fetch.request(instance.held);
        instance.asking = Some(Asking {
            peer: entry_at(peer),
            tried: Vec::new(),
            restarts: 0,
            away: None,
            rounds: 0,
            call: 0,
            request,
            is_answered: false,
        });
        self.ask(entry);
    }

    /// Asks for the next part.
    fn ask(&mut self, entry: usize) {
        let instance = &mut self.instances[entry];
        let Some(asking) = &mut instance.asking else {
            return;
        };
        instance.calls += 1;
        asking.call = instance.calls;
        asking.request = instance.fetch.request(instance.held);
        asking.is_answered = false;
        let (call, request, peer) = (asking.call, asking.request, asking.peer);
        self.send(Message {
            from: End::Entry(entry),
            to: peer,
            bytes: ENVELOPE_BYTES,
            payload: Payload::Ask { call, request },
        });
        let timeout = Event::TimedOut { entry, call };
        self.queue
            .schedule(self.now_us + PART_TIMEOUT.count(), timeout);
    }

    /// Whether an entry waits for the answer to a call.
    pub(super) fn awaits(&self, entry: usize, call: CallNumber) -> bool {
        let asking = self.instances[entry].asking.as_ref();
        asking.is_some_and(|asking| asking.call == call && !asking.is_answered)
    }

    fn is_current(&self, entry: usize, call: CallNumber) -> bool {
        let asking = self.instances[entry].asking.as_ref();
        asking.is_some_and(|asking| asking.call == call)
    }

    pub(super) fn time_out(&mut self, entry: usize, call: CallNumber) {
        if self.awaits(entry, call) {
            self.instances[entry].fetch.record_timeout();
            self.fail(entry, "no answer in time");
        }
    }

    pub(super) fn hear_reply(&mut self, entry: usize, call: CallNumber, reply: Reply) {
        if !self.awaits(entry, call) {
            return;
        }
        if let Some(asking) = &mut self.instances[entry].asking {
            asking.is_answered = true;
        }
        let cost_us = self.plan.costs.call_us;
        self.work(entry, cost_us, Work::TakeReply { call, reply });
    }

    pub(super) fn take_reply(&mut self, entry: usize, call: CallNumber, reply: Reply) {
        if !self.is_current(entry, call) {
            return;
        }
        match reply {
            Reply::NothingNewer | Reply::Stored(_) => self.try_another(entry),
            Reply::Busy(away) => self.wait_for(entry, away),
            Reply::Part(part) => self.take_part(entry, call, part),
            Reply::Whole { start, steps } => {
                let version = steps.last().copied().unwrap_or_default();
                let arrived = Arrived {
                    version,
                    start,
                    is_good: true,
                };
                let read: usize = steps.iter().map(|step| self.history.routes(*step)).sum();
                self.begin_adopting(entry, call, arrived, read);
            }
        }
    }

    /// Leaves a peer that is busy, and remembers how long to stay away.
    fn wait_for(&mut self, entry: usize, away: Microseconds) {
        let instance = &mut self.instances[entry];
        instance.busy_answers += 1;
        if let Some(asking) = &mut instance.asking {
            // Entries are told whole milliseconds.
            let away = Microseconds::from_ms(away.as_ms().ceil() as u64);
            asking.away = Some(asking.away.map_or(away, |least| least.min(away)));
        }
        self.try_another(entry);
    }

    /// Begins another round after all that were asked were busy.
    pub(super) fn ask_again(&mut self, entry: usize, call: CallNumber) {
        if self.instances[entry].is_alive && self.is_current(entry, call) {
            self.ask_next(entry);
        }
    }

    fn take_part(&mut self, entry: usize, call: CallNumber, part: Part) {
        let instance = &mut self.instances[entry];
        let Some(asking) = &mut instance.asking else {
            return;
        };
        asking.restarts += u32::from(asking.request.offset > 0 && part.offset == 0);
        if asking.restarts > RESTARTS_MOST {
            self.fail(entry, "another package each time");
            return;
        }
        match instance.fetch.record_part(asking.request, part) {
            Fetched::More => self.ask(entry),
            Fetched::Rejected => self.fail(entry, "a part fits nothing"),
            Fetched::Package(bytes) => self.take_package(entry, call, &bytes),
        }
    }

    fn take_package(&mut self, entry: usize, call: CallNumber, bytes: &[u8]) {
        let Some(made) = self.history.package_of(bytes) else {
            self.fail(entry, "it is no package");
            return;
        };
        let arrived = Arrived {
            version: made.key.version(),
            start: made.key.start,
            is_good: made.is_good,
        };
        self.begin_adopting(entry, call, arrived, made.routes);
    }

    /// Charges for reading so many routes, putting the whole together and making the difference for peers.
    fn begin_adopting(&mut self, entry: usize, call: CallNumber, arrived: Arrived, read: usize) {
        let costs = self.plan.costs;
        let routes = self.history.routes(arrived.version) as u64;
        let cost_ns =
            read as u64 * costs.unpack_ns + routes * (costs.apply_ns + costs.difference_ns);
        self.note_memory(entry, arrived.version, 0);
        self.work(entry, cost_ns / NS_A_US, Work::Adopt { call, arrived });
    }

    pub(super) fn adopt_arrived(&mut self, entry: usize, call: CallNumber, arrived: &Arrived) {
        if !self.is_current(entry, call) {
            return;
        }
        let fails = self.has_fault(|fault| *fault == VersionFault::DifferencesFail { entry });
        let held = self.instances[entry].held;
        let fits = arrived.start.is_none_or(|start| start == held && !fails);
        if !fits || !arrived.is_good {
            if arrived.start.is_some() {
                self.instances[entry].fetch.reject_differences();
            }
            self.fail(entry, "it can't be put in force");
            return;
        }
        if arrived.version <= held {
            self.try_another(entry);
            return;
        }
        self.put_in_force(entry, arrived.version);
        if let Some(asking) = &mut self.instances[entry].asking {
            asking.tried.clear();
            asking.away = None;
        }
        self.ask_next(entry);
    }

    /// Leaves a peer that failed.
    fn fail(&mut self, entry: usize, why: &str) {
        let instance = &mut self.instances[entry];
        instance.failed_tries += 1;
        instance.lag.record_failure(why.to_owned());
        self.try_another(entry);
    }

    /// Leaves a peer.
    fn try_another(&mut self, entry: usize) {
        let Some(asking) = &mut self.instances[entry].asking else {
            return;
        };
        let peer = address_of(asking.peer);
        asking.tried.push(peer);
        self.ask_next(entry);
    }

    /// Goes on with another peer that has what this entry lacks, if there is one.
    fn ask_next(&mut self, entry: usize) {
        let now = self.now();
        let random = self.random.u64(..);
        let instance = &mut self.instances[entry];
        let Some(asking) = &mut instance.asking else {
            return;
        };
        let is_over =
            instance.lag.known() <= instance.held || self.plan.transfer == Transfer::WholeInASecond;
        if is_over {
            instance.asking = None;
            return;
        }
        let next = instance.held.next();
        let holder = match asking.tried.len() >= PEERS_TRIED_MOST {
            true => None,
            false => instance
                .members
                .find_holder(next, &asking.tried, random, now),
        };
        match holder {
            Some(holder) => {
                asking.peer = entry_at(holder);
                asking.restarts = 0;
                self.ask(entry);
            }
            None => self.end_round(entry),
        }
    }

    /// Plans another round if peers were busy in this one.
    fn end_round(&mut self, entry: usize) {
        let draw = self.random.f64();
        let instance = &mut self.instances[entry];
        let Some(asking) = &mut instance.asking else {
            return;
        };
        let away = asking.away.take();
        asking.tried.clear();
        asking.rounds += 1;
        let Some(away) = away.filter(|_| asking.rounds <= ROUNDS_MOST) else {
            instance.asking = None;
            return;
        };
        let pause_us = away.count() as f64 * (1.0 + draw);
        let again = Event::AskAgain {
            entry,
            call: asking.call,
        };
        self.queue.schedule(self.now_us + pause_us as u64, again);
    }
}
