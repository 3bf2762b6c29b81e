//! Seats: no two entries rely on the same seat at the same time, whatever pauses and lost answers occur.

use pinhaven_agree::SeatAction;
use pinhaven_agree::SeatKeeper;
use pinhaven_agree::SeatRow;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use std::collections::BTreeMap;

const ENTRIES: usize = 4;
const SEATS: u32 = 2;

/// Rows of the seats in the store.
#[derive(Default)]
struct Table {
    rows: BTreeMap<u32, SeatRow>,
}

impl Table {
    fn write(&mut self, seat: u32, listed: Option<&SeatRow>, row: &SeatRow) -> bool {
        let is_unchanged = self.rows.get(&seat) == listed;
        if is_unchanged {
            self.rows.insert(seat, row.clone());
        }
        is_unchanged
    }
}

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

fn keepers(count: usize) -> Vec<SeatKeeper> {
    (0..count)
        .map(|number| SeatKeeper::new(Incarnation::new(number as u128 + 1), SEATS))
        .collect()
}

/// Performs the action that a keeper requests. The answer to a write is lost if `is_lost`.
fn run_keeper(keeper: &mut SeatKeeper, table: &mut Table, now: Microseconds, is_lost: bool) {
    if keeper.tick(now) != Some(SeatAction::List) {
        return;
    }
    let Some(SeatAction::Write { seat, listed, row }) = keeper.record_rows(&table.rows, now) else {
        return;
    };
    let took_effect = table.write(seat, listed.as_ref(), &row);
    keeper.record_write(seat, took_effect && !is_lost, now);
}

#[test]
fn each_seat_gets_one_holder_and_the_others_wait() {
    let mut table = Table::default();
    let mut keepers = keepers(ENTRIES);
    for keeper in &mut keepers {
        run_keeper(keeper, &mut table, at_ms(0), false);
    }
    let seats: Vec<u32> = keepers.iter().filter_map(|k| k.seat(at_ms(1))).collect();
    assert_eq!(seats, [0, 1]);
}

#[test]
fn a_seat_that_is_no_longer_renewed_is_taken_over_after_its_holder_has_stopped() {
    let mut table = Table::default();
    let mut keepers = keepers(3);
    for keeper in &mut keepers {
        run_keeper(keeper, &mut table, at_ms(0), false);
    }
    let mut taken_at = None;
    for time_ms in (0..60_000).step_by(500) {
        for keeper in &mut keepers[1..] {
            run_keeper(keeper, &mut table, at_ms(time_ms), false);
        }
        if keepers[2].seat(at_ms(time_ms)) == Some(0) {
            taken_at = Some(time_ms);
            break;
        }
    }
    let taken_at = taken_at.expect("the silent holder's seat must be taken over within 60 s");
    assert_eq!(keepers[0].seat(at_ms(taken_at)), None);
}

#[test]
fn a_holder_that_was_paused_finds_that_it_has_no_seat() {
    let mut table = Table::default();
    let mut keepers = keepers(1);
    run_keeper(&mut keepers[0], &mut table, at_ms(0), false);
    assert_eq!(keepers[0].seat(at_ms(100)), Some(0));
    assert_eq!(keepers[0].seat(at_ms(30_000)), None);
}

#[test]
fn a_bundle_with_fewer_seats_ends_the_others_at_once() {
    let mut table = Table::default();
    let mut keepers = keepers(2);
    for keeper in &mut keepers {
        run_keeper(keeper, &mut table, at_ms(0), false);
        keeper.set_seats(1);
    }
    assert_eq!(keepers[1].seat(at_ms(1)), None);
}

/// Applies random steps, pauses and lost answers. Returns whether no two entries ever relied on the same seat.
fn one_holder_a_seat(steps: Vec<(u8, u8)>) -> bool {
    let mut table = Table::default();
    let mut keepers = keepers(ENTRIES);
    let mut paused_until = [0_u64; ENTRIES];
    let mut time_ms = 0;
    for (draw, step) in steps {
        time_ms += u64::from(step) * 20;
        let index = usize::from(draw) % ENTRIES;
        if draw > 240 {
            paused_until[index] = time_ms + u64::from(step) * 500;
        }
        if time_ms >= paused_until[index] {
            run_keeper(
                &mut keepers[index],
                &mut table,
                at_ms(time_ms),
                draw % 16 == 0,
            );
        }
        let mut seats: Vec<u32> = keepers
            .iter()
            .filter_map(|keeper| keeper.seat(at_ms(time_ms)))
            .collect();
        let held = seats.len();
        seats.sort();
        seats.dedup();
        if seats.len() != held {
            return false;
        }
    }
    true
}

#[test]
fn no_seat_ever_has_two_holders() {
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(400, 41))
        .quickcheck(one_holder_a_seat as fn(Vec<(u8, u8)>) -> bool);
}
