//! Seats: the right to measure a part of the targets.
//!
//! There are as many seats as the bundle says, each a row at the platform that its holder renews.
//! The holder stops by its own clock well before anyone may take the seat, and asks that clock before
//! each probe. A holder that is paused between asking and sending sends one probe more at the most;
//! the measuring budget keeps that one back.

use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// How often a seat is renewed, and looked at by those who have none.
const RENEW_EVERY: Microseconds = Microseconds::from_ms(3_000);
/// How long a holder relies on its last renewal.
const LEASE_DURATION: Microseconds = Microseconds::from_ms(9_000);
/// How long a seat must stand still before another entry takes it.
const TAKEOVER_AFTER: Microseconds = Microseconds::from_ms(20_000);

/// Who holds a seat whose row names no holder; no process has this incarnation.
const NO_HOLDER: Incarnation = Incarnation::new(0);

/// A seat's row at the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatRow {
    /// Who holds it.
    pub holder: Incarnation,
    /// How often it has been renewed.
    pub renewals: u64,
}

impl SeatRow {
    /// What a row of another writer counts as: a holder that is nobody and never renews. So the seat is
    /// taken once the row has stood still for long, and not while its true holder may rely on it.
    /// The renewals begin at a number of that write's own, which `version` names: counted from 0 again, the
    /// row of a holder would come back as it was, and look as if it had stood still since.
    pub fn without_holder(version: &str) -> Self {
        Self {
            holder: NO_HOLDER,
            renewals: Digest::of(version.as_bytes()).short(),
        }
    }
}

/// What to do about the seats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SeatAction {
    /// List the seats' rows and hand them to [`SeatKeeper::record_rows`].
    List,
    /// Write a seat's row on the condition that it is as it was listed (or absent), and hand the
    /// outcome to [`SeatKeeper::record_write`].
    Write {
        /// Number of the seat.
        seat: u32,
        /// The row as it was listed.
        listed: Option<SeatRow>,
        /// The row to write.
        row: SeatRow,
    },
}

#[derive(Debug)]
struct ObservedRow {
    row: SeatRow,
    since: Microseconds,
}

/// One entry's dealings with the seats.
#[derive(Debug)]
pub struct SeatKeeper {
    incarnation: Incarnation,
    seats: u32,
    observed: BTreeMap<u32, ObservedRow>,
    held: Option<(u32, Microseconds)>,
    next_at: Microseconds,
}

impl SeatKeeper {
    /// A keeper without a seat.
    pub fn new(incarnation: Incarnation, seats: u32) -> Self {
        Self {
            incarnation,
            seats,
            observed: BTreeMap::new(),
            held: None,
            next_at: Microseconds::ZERO,
        }
    }

    /// Takes in that the bundle has another number of seats. A seat past it is no longer used.
    pub fn set_seats(&mut self, seats: u32) {
        self.seats = seats;
        if self.held.is_some_and(|(seat, _)| seat >= seats) {
            self.held = None;
        }
    }

    /// The seat that may be used at `now`. Ask before each use.
    pub fn seat(&self, now: Microseconds) -> Option<u32> {
        let (seat, renewed_at) = self.held?;
        (now.saturating_sub(renewed_at) < LEASE_DURATION).then_some(seat)
    }

    /// What to do at `now`, if anything.
    pub fn tick(&mut self, now: Microseconds) -> Option<SeatAction> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now.plus(RENEW_EVERY);
        Some(SeatAction::List)
    }

    /// Takes the listed rows in; returns the write to try.
    pub fn record_rows(
        &mut self,
        rows: &BTreeMap<u32, SeatRow>,
        now: Microseconds,
    ) -> Option<SeatAction> {
        self.observe(rows, now);
        let own = rows
            .iter()
            .find(|(seat, row)| **seat < self.seats && row.holder == self.incarnation);
        if let Some((seat, row)) = own {
            return Some(self.write(*seat, Some(row.clone())));
        }
        self.held = None;
        let seat = (0..self.seats).find(|seat| self.is_free(*seat, now))?;
        Some(self.write(seat, rows.get(&seat).cloned()))
    }

    /// Takes in whether a write took effect. `asked_at` is when it was begun: a renewal counts from
    /// there, as others may have seen it any time after.
    pub fn record_write(&mut self, seat: u32, took_effect: bool, asked_at: Microseconds) {
        if took_effect {
            self.held = Some((seat, asked_at));
        } else if self.held.is_some_and(|(held, _)| held == seat) {
            self.held = None;
        }
    }

    fn write(&self, seat: u32, listed: Option<SeatRow>) -> SeatAction {
        let before = listed.as_ref().map_or(0, |row| row.renewals);
        // Another writer may have left the highest number; the row only has to change.
        let renewals = before.wrapping_add(1);
        SeatAction::Write {
            seat,
            listed,
            row: SeatRow {
                holder: self.incarnation,
                renewals,
            },
        }
    }

    fn observe(&mut self, rows: &BTreeMap<u32, SeatRow>, now: Microseconds) {
        for (seat, row) in rows {
            let is_same = self.observed.get(seat).is_some_and(|seen| seen.row == *row);
            if !is_same {
                let row = row.clone();
                self.observed.insert(*seat, ObservedRow { row, since: now });
            }
        }
        self.observed.retain(|seat, _| rows.contains_key(seat));
    }

    fn is_free(&self, seat: u32, now: Microseconds) -> bool {
        match self.observed.get(&seat) {
            None => true,
            Some(seen) => now.saturating_sub(seen.since) >= TAKEOVER_AFTER,
        }
    }
}

/// The seat whose holder measures a target.
pub fn seat_of(target: TargetAddress, seats: u32) -> u32 {
    let digest = Digest::of(target.to_string().as_bytes()).to_string();
    let start = u32::from_str_radix(&digest[..8], 16).unwrap_or_default();
    start % seats.max(1)
}
