//! Seats whose rows were written by another writer than an entry.

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

/// Another writer can store the highest number of renewals; the next renewal must wrap around, not overflow.
#[test]
fn a_row_with_the_highest_number_of_renewals_can_be_renewed() {
    let mut keeper = SeatKeeper::new(OWN, 1);
    let listed = SeatRow {
        holder: OWN,
        renewals: u64::MAX,
    };
    let rows = BTreeMap::from([(0, listed.clone())]);
    let Some(SeatAction::Write { row, .. }) = keeper.record_rows(&rows, at_ms(0)) else {
        panic!("the keeper must renew its own seat");
    };
    assert_ne!(
        row, listed,
        "the renewed row must differ from the listed one"
    );
}

/// A holder relies on its seat for some time after its last renewal, whatever another writer stores in the row.
/// A takeover before the row has been unchanged for the usual period would give the seat two holders.
#[test]
fn a_seat_whose_row_names_no_holder_is_taken_once_the_row_has_not_changed_for_long() {
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
        assert_eq!(taken, None, "another writer still changes the row");
    }
}

/// Another writer overwrites rows with invalid content at random; no two entries may ever rely on the same seat.
#[test]
fn no_two_entries_rely_on_one_seat_whatever_another_writer_stores() {
    fn holds(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut rows: BTreeMap<u32, SeatRow> = BTreeMap::new();
        let mut keepers: Vec<SeatKeeper> = (0..3)
            .map(|number| SeatKeeper::new(Incarnation::new(number + 1), 2))
            .collect();
        let mut time_ms = 0;
        for (version, (draw, step, is_overwritten)) in steps.into_iter().enumerate() {
            time_ms += u64::from(step) * 20;
            if is_overwritten && draw % 8 == 0 {
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
