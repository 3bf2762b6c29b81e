//! Event loop of a run: rounds of datagrams, their delivery, the store and the samples.

use crate::membership::outcome::MembershipOutcome;
use crate::membership::plan::MembershipPlan;
use crate::queue::Queue;
use pinhaven_agree::Heartbeat;
use pinhaven_agree::HeartbeatSource;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::TrafficFacts;
use pinhaven_agree::UpdateScope;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

/// Silence of a member from which it no longer counts as live, at least, as in an entry.
const SILENT_AFTER: Microseconds = Microseconds::from_ms(1_200);
/// Silence after which a member is removed, as in an entry.
const REMOVE_AFTER: Microseconds = Microseconds::from_ms(120_000);
/// Interval between the full datagrams of an entry, as in an entry.
const ROUND_US: u64 = 500_000;
/// One-way latency of a datagram.
const LATENCY_US: u64 = 1_000;
/// Numbers of heartbeats that an entry passes on, in a datagram to its failure domain and to others, as in an entry.
const RELAYED_HEARTBEATS: usize = 6;
const RELAYED_HEARTBEATS_FAR: usize = 2;
/// Number of members described or requested in one datagram, as in an entry.
const IDENTITIES_MAX: usize = 6;
/// Interval between the reads of the store by the first delegates, as in an entry.
const STORE_READ_US: u64 = 12_000_000;
/// Number of delegates that read the store so often, as in an entry.
const FIRST_DELEGATES: usize = 2;
/// Interval between the samples of an entry.
const SAMPLE_US: u64 = 250_000;
/// Time after a loss in which entries that serve instead of lost ones need not be named yet.
const RECOVERY_US: u64 = 6_000_000;
const SMALL: RequestRate = RequestRate::new(35);
const LARGE: RequestRate = RequestRate::new(350);
const FIRST_PORT: u16 = 1_000;

/// Content of a datagram.
#[derive(Debug, Default)]
struct Datagram {
    /// The sender's row, followed by described members, with the ages of their heartbeats.
    rows: Vec<(MemberRow, Microseconds)>,
    relayed: Vec<Heartbeat>,
    wanted: Vec<Incarnation>,
}

enum Event {
    Round(usize),
    Received {
        from: usize,
        to: usize,
        datagram: Rc<Datagram>,
    },
    ReadStore(usize),
    LosePower,
    Sample,
}

struct Instance {
    members: Membership,
    unknown: BTreeSet<Incarnation>,
    is_running: bool,
    datagrams: u64,
}

/// State of a run.
pub(super) struct World<'plan> {
    plan: &'plan MembershipPlan,
    instances: Vec<Instance>,
    store_rows: BTreeMap<Incarnation, MemberRow>,
    queue: Queue<Event>,
    now_us: u64,
    random: fastrand::Rng,
    lost_at_us: Option<u64>,
    lost: BTreeSet<Incarnation>,
    samples_after_loss: u64,
    samples_with_lost: u64,
    last_named_us: u64,
    expected_named: u64,
    running_unnamed: u64,
    serving_max: usize,
    added_attempts_max: f64,
}

impl<'plan> World<'plan> {
    /// Creates the initial state of a plan: all entries know each other.
    pub(super) fn new(plan: &'plan MembershipPlan) -> Self {
        let rows: Vec<MemberRow> = (0..plan.entries).map(|entry| row_of(entry, plan)).collect();
        let instances = rows.iter().map(|own| {
            let members = Membership::new(own.clone(), SILENT_AFTER);
            let mut members = members.with_removal_after(REMOVE_AFTER);
            for row in rows.iter().filter(|row| *row != own) {
                members.record_member(row.clone(), Microseconds::ZERO);
            }
            Instance {
                members,
                unknown: BTreeSet::new(),
                is_running: true,
                datagrams: 0,
            }
        });
        let mut world = Self {
            plan,
            instances: instances.collect(),
            store_rows: BTreeMap::new(),
            queue: Queue::default(),
            now_us: 0,
            random: fastrand::Rng::with_seed(plan.seed),
            lost_at_us: None,
            lost: BTreeSet::new(),
            samples_after_loss: 0,
            samples_with_lost: 0,
            last_named_us: 0,
            expected_named: 0,
            running_unnamed: 0,
            serving_max: 0,
            added_attempts_max: 0.0,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for entry in 0..self.plan.entries {
            let phase_us = self.random.u64(0..ROUND_US);
            self.queue.schedule(phase_us, Event::Round(entry));
            if self.plan.has_store && self.instances[entry].members.is_delegate(self.now()) {
                let row = self.instances[entry].members.own().clone();
                self.store_rows.insert(row.incarnation, row);
            }
            self.queue.schedule(STORE_READ_US, Event::ReadStore(entry));
        }
        if let Some(loss) = self.plan.power_loss {
            self.queue.schedule(loss.at_ms * 1_000, Event::LosePower);
        }
        self.queue
            .schedule(self.plan.sampled_from_ms * 1_000, Event::Sample);
    }

    /// Runs until the end of the plan.
    pub(super) fn run(mut self) -> MembershipOutcome {
        let end_us = self.plan.duration_ms * 1_000;
        while let Some((at_us, event)) = self.queue.next() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Round(entry) => self.send_round(entry),
                Event::Received { from, to, datagram } => self.receive(from, to, &datagram),
                Event::ReadStore(entry) => self.read_store(entry),
                Event::LosePower => self.lose_power(),
                Event::Sample => self.sample(),
            }
        }
        self.outcome()
    }

    fn now(&self) -> Microseconds {
        Microseconds::new(self.now_us)
    }

    fn send_round(&mut self, entry: usize) {
        if !self.instances[entry].is_running {
            return;
        }
        let now = self.now();
        let instance = &mut self.instances[entry];
        instance.members.remove_silent(now);
        instance.members.advance_heartbeat(BundleVersion::NONE, 0);
        let members = &instance.members;
        let facts = TrafficFacts::default();
        let recipients = members.recipients(UpdateScope::Heartbeat, &facts, &mut self.random, now);
        let near = members.heartbeats_to_relay(RELAYED_HEARTBEATS, &mut self.random, now);
        let far = members.heartbeats_to_relay(RELAYED_HEARTBEATS_FAR, &mut self.random, now);
        let standby = members.heartbeats_for_standby(RELAYED_HEARTBEATS_FAR, &mut self.random, now);
        let own = members.own().clone();
        let wanted: Vec<Incarnation> = instance.unknown.iter().copied().collect();
        for (peers, relayed) in [
            (&recipients.serving_near, near),
            (&recipients.serving_far, far),
            (&recipients.standby, standby),
        ] {
            let datagram = Rc::new(Datagram {
                rows: vec![(own.clone(), Microseconds::ZERO)],
                relayed,
                wanted: Vec::new(),
            });
            for peer in peers {
                self.send(entry, entry_at(*peer), &datagram);
            }
        }
        let asked = recipients.to_ask(&mut self.random);
        if let Some(peer) = asked.filter(|_| !wanted.is_empty()) {
            let datagram = Rc::new(Datagram {
                rows: vec![(own, Microseconds::ZERO)],
                relayed: Vec::new(),
                wanted: wanted.into_iter().take(IDENTITIES_MAX).collect(),
            });
            self.send(entry, entry_at(peer), &datagram);
        }
        self.queue
            .schedule(self.now_us + ROUND_US, Event::Round(entry));
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Rc<Datagram>) {
        self.instances[from].datagrams += 1;
        if self.random.f64() < self.plan.lost_datagrams {
            return;
        }
        let datagram = Rc::clone(datagram);
        let received = Event::Received { from, to, datagram };
        self.queue.schedule(self.now_us + LATENCY_US, received);
    }

    fn receive(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let now = self.now();
        let instance = &mut self.instances[to];
        if !instance.is_running {
            return;
        }
        let Some(((sender, _), described)) = datagram.rows.split_first() else {
            return;
        };
        instance.unknown.remove(&sender.incarnation);
        instance.members.record_member(sender.clone(), now);
        for (row, age) in described {
            instance.unknown.remove(&row.incarnation);
            instance
                .members
                .record_relayed_member(row.clone(), *age, now);
        }
        for heartbeat in &datagram.relayed {
            let source = HeartbeatSource::Relay;
            if !instance.members.record_heartbeat(heartbeat, source, now) {
                instance.unknown.insert(heartbeat.incarnation);
            }
        }
        if !datagram.wanted.is_empty() {
            let live = instance.members.live_peers(now).into_iter();
            let wanted = live.filter(|row| datagram.wanted.contains(&row.incarnation));
            let rows = std::iter::once(instance.members.own()).chain(wanted);
            let rows = rows.filter_map(|row| {
                let heartbeat = instance.members.heartbeat_of(row.incarnation, now)?;
                Some((row.clone(), heartbeat.age))
            });
            let answer = Datagram {
                rows: rows.collect(),
                ..Datagram::default()
            };
            self.send(to, from, &Rc::new(answer));
        }
    }

    /// Reads the rows of the delegates in the store, if the entry is one of the first delegates.
    fn read_store(&mut self, entry: usize) {
        let now = self.now();
        let instance = &mut self.instances[entry];
        let own = instance.members.own().incarnation;
        let delegates = instance.members.delegates(now);
        let mut first = delegates.iter().take(FIRST_DELEGATES);
        let reads = instance.is_running && first.any(|row| row.incarnation == own);
        if reads && self.plan.has_store {
            for row in self.store_rows.values() {
                let age = Microseconds::ZERO;
                instance
                    .members
                    .record_relayed_member(row.clone(), age, now);
            }
        }
        let next_us = self.now_us + STORE_READ_US;
        self.queue.schedule(next_us, Event::ReadStore(entry));
    }

    fn lose_power(&mut self) {
        let Some(loss) = self.plan.power_loss else {
            return;
        };
        let count = (self.plan.entries as f64 * loss.share).round() as usize;
        let all = 0..self.plan.entries;
        for entry in self.random.choose_multiple(all, count) {
            self.instances[entry].is_running = false;
            let incarnation = self.instances[entry].members.own().incarnation;
            self.lost.insert(incarnation);
        }
        self.lost_at_us = Some(self.now_us);
    }

    /// Examines whom each running entry would name to callers.
    fn sample(&mut self) {
        let now = self.now();
        let expected = self.running_that_should_serve();
        let is_settled = self
            .lost_at_us
            .is_none_or(|lost_at_us| self.now_us >= lost_at_us + RECOVERY_US);
        let mut serving_count = 0;
        let mut added_attempts = 0.0;
        for instance in self.instances.iter().filter(|entry| entry.is_running) {
            serving_count += usize::from(instance.members.is_serving(now));
            added_attempts += instance.members.added_attempts_share(now);
            let serving = instance.members.serving(now);
            let named: BTreeSet<Incarnation> = serving.iter().map(|row| row.incarnation).collect();
            let names_lost = !named.is_disjoint(&self.lost);
            if self.lost_at_us.is_some() {
                self.samples_after_loss += 1;
                self.samples_with_lost += u64::from(names_lost);
            }
            if names_lost {
                self.last_named_us = self.now_us;
            }
            if is_settled {
                self.expected_named += expected.len() as u64;
                self.running_unnamed += expected.difference(&named).count() as u64;
            }
        }
        self.serving_max = self.serving_max.max(serving_count);
        self.added_attempts_max = self.added_attempts_max.max(added_attempts);
        self.queue.schedule(self.now_us + SAMPLE_US, Event::Sample);
    }

    /// Entries that would serve if every entry knew at once which entries run.
    fn running_that_should_serve(&self) -> BTreeSet<Incarnation> {
        let mut running = self.instances.iter().filter(|entry| entry.is_running);
        let Some(first) = running.next() else {
            return BTreeSet::new();
        };
        let mut members = Membership::new(first.members.own().clone(), SILENT_AFTER);
        for instance in running {
            members.record_member(instance.members.own().clone(), self.now());
        }
        let serving = members.serving(self.now());
        serving.into_iter().map(|row| row.incarnation).collect()
    }

    fn outcome(self) -> MembershipOutcome {
        let lost_named_for_us = self.lost_at_us.map_or(0, |lost_at_us| {
            self.last_named_us.saturating_sub(lost_at_us)
        });
        let share = |part: u64, whole: u64| match whole {
            0 => 0.0,
            whole => part as f64 / whole as f64,
        };
        let duration_s = self.plan.duration_ms as f64 / 1_000.0;
        let mut sent: Vec<u64> = self.instances.iter().map(|entry| entry.datagrams).collect();
        sent.sort_unstable();
        let per_s = |index: usize| {
            sent.get(index)
                .map_or(0.0, |sent| *sent as f64 / duration_s)
        };
        MembershipOutcome {
            lost_named_for_ms: lost_named_for_us as f64 / 1_000.0,
            lost_named_share: share(self.samples_with_lost, self.samples_after_loss),
            running_unnamed_share: share(self.running_unnamed, self.expected_named),
            serving_max: self.serving_max,
            added_attempts_max: self.added_attempts_max,
            datagrams_per_s: (per_s(sent.len() / 2), per_s(sent.len().saturating_sub(1))),
        }
    }
}

fn address_of(entry: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + entry as u16))
}

fn entry_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

fn row_of(entry: usize, plan: &MembershipPlan) -> MemberRow {
    let is_large = entry / plan.failure_domains < plan.large_per_domain;
    let domain = format!("domain-{}", entry % plan.failure_domains);
    let name = format!("entry-{entry}");
    MemberRow {
        incarnation: Incarnation::new(entry as u128 + 1),
        instance_id: name.parse().expect("a generated name is one"),
        failure_domain: domain.parse().expect("a generated name is one"),
        region: None,
        capacity: if is_large { LARGE } else { SMALL },
        demand: RequestRate::ZERO,
        caller_address: address_of(entry),
        peer_address: address_of(entry),
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::NONE,
        epoch: 0,
        lacks_store: false,
    }
}
