//! What is worth telling other entries of targets.

use pinhaven_decide::AdvertisedState;
use pinhaven_decide::AdvertisedTargets;
use pinhaven_decide::Microseconds;

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(100_000 + time_ms)
}

fn holding(in_flight: u32) -> AdvertisedState {
    AdvertisedState {
        in_flight,
        report_at: Microseconds::ZERO,
    }
}

#[test]
fn a_count_is_told_when_it_changes_and_again_in_whole_rounds() {
    let mut told = AdvertisedTargets::default();
    assert!(told.should_advertise(1, holding(2), false, at_ms(0)));
    assert!(!told.should_advertise(1, holding(2), false, at_ms(10)));
    assert!(told.should_advertise(1, holding(2), true, at_ms(5_000)));
}

#[test]
fn the_end_of_the_last_request_is_told_twice_more_in_case_a_datagram_is_lost() {
    let mut told = AdvertisedTargets::default();
    told.should_advertise(1, holding(1), false, at_ms(0));
    assert!(told.should_advertise(1, holding(0), false, at_ms(100)));
    assert!(told.should_advertise(1, holding(0), true, at_ms(600)));
    assert!(told.should_advertise(1, holding(0), true, at_ms(1_100)));
    assert!(!told.should_advertise(1, holding(0), true, at_ms(1_600)));
}

#[test]
fn a_report_is_told_once() {
    let mut told = AdvertisedTargets::default();
    let facts = AdvertisedState {
        in_flight: 0,
        report_at: at_ms(5),
    };
    assert!(told.is_report_new(1, &facts));
    assert!(told.should_advertise(1, facts, false, at_ms(10)));
    assert!(!told.is_report_new(1, &facts));
    assert!(!told.should_advertise(1, facts, false, at_ms(20)));
}

#[test]
fn targets_that_are_gone_are_forgotten() {
    let mut told = AdvertisedTargets::default();
    for target in 0..10 {
        told.should_advertise(target, holding(1), false, at_ms(0));
    }
    told.retain(|target| target < 3);
    assert_eq!(told.len(), 3);
}
