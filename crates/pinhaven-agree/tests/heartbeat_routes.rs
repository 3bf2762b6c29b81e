//! Heartbeats that an entry passes on, and the recipients of its datagrams.

use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::TrafficFacts;
use pinhaven_agree::UpdateScope;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::collections::BTreeSet;

const SILENT_AFTER: Microseconds = Microseconds::from_ms(1_200);
const NOW: Microseconds = Microseconds::from_ms(100_000);
const DOMAINS: u16 = 3;
/// Entries, of which the first two of each failure domain are large and serve.
const ENTRIES: u16 = 60;
const SERVING: u16 = 2 * DOMAINS;
const SEEDS: std::ops::Range<u64> = 0..20;

fn row(number: u16) -> MemberRow {
    let capacity = if number < SERVING { 350 } else { 35 };
    MemberRow {
        incarnation: Incarnation::new(u128::from(number)),
        instance_id: format!("entry-{number:03}").parse().unwrap(),
        failure_domain: format!("domain-{}", number % DOMAINS).parse().unwrap(),
        region: None,
        capacity: RequestRate::new(capacity),
        demand: RequestRate::ZERO,
        caller_address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
        peer_address: format!("127.0.0.1:{}", 8_000 + number).parse().unwrap(),
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::new(1),
        epoch: 1,
        lacks_store: false,
    }
}

/// Membership of one entry that heard of all others.
fn members_of(own: u16) -> Membership {
    let mut members = Membership::new(row(own), SILENT_AFTER);
    for number in (0..ENTRIES).filter(|number| *number != own) {
        members.record_member(row(number), NOW);
    }
    members
}

#[test]
fn standby_entries_are_told_the_heartbeats_of_all_serving_entries() {
    let members = members_of(0);
    for seed in SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let heartbeats = members.heartbeats_for_standby(2, &mut random, NOW);
        let told: BTreeSet<Incarnation> = heartbeats.iter().map(|told| told.incarnation).collect();
        for serving in 1..SERVING {
            assert!(
                told.contains(&Incarnation::new(u128::from(serving))),
                "seed {seed}: serving entry {serving} is missing"
            );
        }
        assert_eq!(told.len(), usize::from(SERVING - 1) + 2);
    }
}

#[test]
fn the_heartbeats_for_standby_entries_fit_into_one_packet_however_many_entries_serve() {
    let mut members = members_of(0);
    members.set_demand(RequestRate::new(100_000));
    assert_eq!(members.serving(NOW).len(), usize::from(ENTRIES));
    let mut random = fastrand::Rng::with_seed(1);
    let heartbeats = members.heartbeats_for_standby(2, &mut random, NOW);
    assert!(heartbeats.len() <= 18, "{}", heartbeats.len());
}

#[test]
fn a_serving_entry_sends_heartbeats_to_all_standby_entries_of_its_failure_domain() {
    let members = members_of(0);
    let mut random = fastrand::Rng::with_seed(1);
    let facts = TrafficFacts::default();
    let recipients = members.recipients(UpdateScope::Heartbeat, &facts, &mut random, NOW);
    assert!(recipients.sends_every_round);
    assert_eq!(recipients.serving_near.len(), 1);
    assert_eq!(recipients.serving_far.len(), usize::from(SERVING) - 2);
    let standby_near = usize::from(ENTRIES / DOMAINS) - 2;
    assert_eq!(recipients.standby.len(), standby_near + 3);
}
