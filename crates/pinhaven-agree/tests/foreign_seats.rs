//! Seats whose rows come from another writer.

use pinhaven_agree::SeatAction;
use pinhaven_agree::SeatKeeper;
use pinhaven_agree::SeatRow;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use std::collections::BTreeMap;

const OWN: Incarnation = Incarnation::new(1);

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

/// The number of renewals that the highest possible one is followed by is no reason to stop.
#[test]
fn a_row_with_the_highest_number_of_renewals_can_be_renewed() {
    let mut keeper = SeatKeeper::new(OWN, 1);
    let listed = SeatRow {
        holder: OWN,
        renewals: u64::MAX,
    };
    let rows = BTreeMap::from([(0, listed.clone())]);
    let Some(SeatAction::Write { row, .. }) = keeper.record_rows(&rows, at_ms(0)) else {
        panic!("the own seat is renewed");
    };
    assert_ne!(
        row, listed,
        "the others see that the seat does not stand still"
    );
}

/// A holder relies on its seat for some time after its last renewal, whatever another writer puts there.
#[test]
fn a_seat_whose_row_names_nobody_is_taken_once_it_has_stood_still_for_long() {
    let mut keeper = SeatKeeper::new(OWN, 1);
    let rows = BTreeMap::from([(0, SeatRow::without_holder("1"))]);
    assert_eq!(keeper.record_rows(&rows, at_ms(0)), None);
    assert_eq!(keeper.record_rows(&rows, at_ms(15_000)), None);
    let taken = keeper.record_rows(&rows, at_ms(20_000));
    assert!(matches!(taken, Some(SeatAction::Write { seat: 0, .. })));

    let mut keeper = SeatKeeper::new(OWN, 1);
    for time_ms in (0..60_000).step_by(3_000) {
        let rows = BTreeMap::from([(0, SeatRow::without_holder(&time_ms.to_string()))]);
        let taken = keeper.record_rows(&rows, at_ms(time_ms));
        assert_eq!(taken, None, "another writer still writes it");
    }
}

/// Another writer spoils rows at random; two entries must never rely on one seat.
#[test]
fn whatever_becomes_of_the_rows_no_two_entries_rely_on_one_seat() {
    fn holds(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut rows: BTreeMap<u32, SeatRow> = BTreeMap::new();
        let mut keepers: Vec<SeatKeeper> = (0..3)
            .map(|number| SeatKeeper::new(Incarnation::new(number + 1), 2))
            .collect();
        let mut time_ms = 0;
        for (version, (draw, step, is_spoiled)) in steps.into_iter().enumerate() {
            time_ms += u64::from(step) * 20;
            if is_spoiled && draw % 8 == 0 {
                let row = SeatRow::without_holder(&version.to_string());
                rows.insert(u32::from(draw / 8 % 2), row);
            }
            let keeper = &mut keepers[usize::from(draw) % 3];
            if keeper.tick(at_ms(time_ms)) == Some(SeatAction::List)
                && let Some(SeatAction::Write { seat, row, .. }) =
                    keeper.record_rows(&rows, at_ms(time_ms))
            {
                rows.insert(seat, row);
                keeper.record_write(seat, true, at_ms(time_ms));
            }
            let mut seats: Vec<u32> = keepers
                .iter()
                .filter_map(|keeper| keeper.seat(at_ms(time_ms)))
                .collect();
            let held = seats.len();
            seats.sort_unstable();
            seats.dedup();
            if seats.len() != held {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 76))
        .tests(200)
        .quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}
