//! Entries named to callers where those of the caller's failure domain come first. Guards against a caller that knows no
//! entry outside of its domain when the domain fails, and against a domain whose entries get more than they can carry.

use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_types::BundleVersion;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;

const NOW: Microseconds = Microseconds::from_ms(100_000);
const CAPACITY: u32 = 100;
const DOMAINS: usize = 4;

/// An entry of one of [`DOMAINS`] failure domains that publishes `demand`.
fn row(number: usize, demand: u32) -> MemberRow {
    MemberRow {
        incarnation: Incarnation::new(number as u128),
        instance_id: format!("entry-{number:03}").parse().unwrap(),
        failure_domain: domain(number % DOMAINS),
        region: None,
        capacity: RequestRate::new(CAPACITY),
        demand: RequestRate::new(demand),
        caller_address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
        peer_address: format!("127.0.0.1:{}", 8_000 + number).parse().unwrap(),
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::new(1),
        epoch: 1,
        lacks_store: false,
    }
}

fn domain(number: usize) -> FailureDomain {
    format!("domain-{number}").parse().unwrap()
}

/// Membership of `per_domain` entries in each domain, where one entry of each domain publishes the domain's demand.
fn members(per_domain: usize, demand: [u32; DOMAINS]) -> Membership {
    let rows = (0..per_domain * DOMAINS).map(|n| row(n, demand.get(n).copied().unwrap_or(0)));
    let rows: Vec<MemberRow> = rows.collect();
    let mut members = Membership::new(rows[0].clone(), Microseconds::from_ms(2_000))
        .with_near_entries_first(true);
    for row in &rows[1..] {
        members.record_member(row.clone(), NOW);
    }
    members
}

/// Share of the requests of callers in the first domain that go to entries of other domains, and the minimum number of
/// near and of far entries in an answer.
fn far_share(members: &Membership) -> (f64, usize, usize) {
    let mut random = fastrand::Rng::with_seed(5);
    let own = domain(0);
    let (mut share, mut near_min, mut far_min) = (0.0, usize::MAX, usize::MAX);
    for _ in 0..500 {
        let named = members.named_for(None, Some(&own), || random.f32(), NOW);
        let near = named.iter().filter(|row| row.failure_domain == own).count();
        let far = named.len() - near;
        share += far as f64 / named.len() as f64 / 500.0;
        (near_min, far_min) = (near_min.min(near), far_min.min(far));
    }
    (share, near_min, far_min)
}

#[test]
fn callers_are_told_near_entries_and_one_of_another_domain() {
    let (share, near, far) = far_share(&members(6, [10; DOMAINS]));
    assert_eq!((near, far), (2, 1));
    assert!((share - 1.0 / 3.0).abs() < 0.01, "{share}");
    let (share, near, far) = far_share(&members(12, [700, 10, 10, 10]));
    assert_eq!((near, far), (9, 2));
    assert!(share < 0.2, "{share}");
}

#[test]
fn serving_entries_follow_the_demand_of_each_domain() {
    let members = members(12, [700, 10, 10, 10]);
    let serving = members.serving(NOW);
    let count = |number| {
        let own = domain(number);
        let rows = serving.iter();
        rows.filter(|row| row.failure_domain == own).count()
    };
    // A demand of 700 with headroom needs nine entries.
    assert_eq!([0, 1, 2, 3].map(count), [9, 2, 2, 2]);
}

#[test]
fn the_demand_that_a_domain_can_not_carry_goes_to_others() {
    let (share, near, _) = far_share(&members(4, [800, 10, 10, 10]));
    assert_eq!(near, 4);
    // Of 960 with headroom 400 can be carried.
    assert!((0.53..0.63).contains(&share), "{share}");
}

#[test]
fn callers_of_a_domain_with_one_entry_are_told_those_of_others() {
    let mut members = members(6, [10; DOMAINS]);
    for number in (4..24).step_by(DOMAINS) {
        let mut gone = row(number, 0);
        (gone.state, gone.heartbeat) = (MemberState::Gone, 2);
        members.record_member(gone, NOW);
    }
    let (share, ..) = far_share(&members);
    assert!((share - 6.0 / 7.0).abs() < 0.01, "{share}");
}
