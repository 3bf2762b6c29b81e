//! Seats: leases on the right to measure a part of the targets by probes.
//!
//! The bundle sets the number of seats. Each seat is a row in the store that its holder renews. Input are
//! the listed rows, the outcomes of writes and the current time. Output are the next row to write and the
//! seat that may be used.
//!
//! The holder relies on a seat for 9 s after its last renewal by its own clock, and another entry takes the
//! seat over only after the row has not changed for 20 s by that entry's clock. The holder checks its
//! clock before each probe. A holder that is paused between the check and the probe sends at most one
//! probe too many, and the measuring budget reserves that probe in advance.

use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Interval at which a holder renews its seat and other entries list the rows.
const RENEW_EVERY: Microseconds = Microseconds::from_ms(3_000);
/// Time after its last renewal for which a holder may use its seat.
const LEASE_DURATION: Microseconds = Microseconds::from_ms(9_000);
/// Time without a change of a seat's row after which another entry may take the seat.
const TAKEOVER_AFTER: Microseconds = Microseconds::from_ms(20_000);

/// Holder of a seat whose row names no valid holder; no process has this incarnation.
const NO_HOLDER: Incarnation = Incarnation::new(0);

/// Row of a seat in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatRow {
    /// Incarnation of the entry that holds the seat.
    pub holder: Incarnation,
    /// Number that changes with each renewal.
    pub renewals: u64,
}

impl SeatRow {
    /// Creates the row without a valid holder that is used in place of an unreadable row of another writer.
    ///
    /// The seat can be taken once the row has not changed for 20 s as usual, and not while the previous holder may
    /// still rely on the seat. `renewals` is derived from `version`, the store's version of the unreadable row. If
    /// `renewals` restarted at 0, a later row of a holder could equal an earlier one and look as if it had not changed
    /// since.
    pub fn without_holder(version: &str) -> Self {
        Self {
            holder: NO_HOLDER,
            renewals: Digest::of(version.as_bytes()).short(),
        }
    }
}

/// Next step of a [`SeatKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SeatAction {
    /// List the rows of the seats and pass them to [`SeatKeeper::record_rows`].
    List,
    /// Write a seat's row on the condition that the stored row still equals `listed` (or is absent), and
    /// pass the outcome to [`SeatKeeper::record_write`].
    Write {
        /// Number of the seat.
        seat: u32,
        /// Row as listed, if there was one.
        listed: Option<SeatRow>,
        /// Row to write.
        row: SeatRow,
    },
}

/// A listed row and the time since which the row has not changed.
#[derive(Debug)]
struct ObservedRow {
    row: SeatRow,
    since: Microseconds,
}

/// Acquires and renews a seat for one entry.
#[derive(Debug)]
pub struct SeatKeeper {
    incarnation: Incarnation,
    seats: u32,
    observed: BTreeMap<u32, ObservedRow>,
    held: Option<(u32, Microseconds)>,
    next_at: Microseconds,
}

impl SeatKeeper {
    /// Creates a keeper that holds no seat.
    pub fn new(incarnation: Incarnation, seats: u32) -> Self {
        Self {
            incarnation,
            seats,
            observed: BTreeMap::new(),
            held: None,
            next_at: Microseconds::ZERO,
        }
    }

    /// Sets the number of seats in the bundle. A held seat beyond that number is no longer used.
    pub fn set_seats(&mut self, seats: u32) {
        self.seats = seats;
        if self.held.is_some_and(|(seat, _)| seat >= seats) {
            self.held = None;
        }
    }

    /// Seat that may be used at `now`. Must be checked before each use.
    pub fn seat(&self, now: Microseconds) -> Option<u32> {
        let (seat, renewed_at) = self.held?;
        (now.saturating_sub(renewed_at) < LEASE_DURATION).then_some(seat)
    }

    /// Returns the action that is due at `now`, if any.
    pub fn tick(&mut self, now: Microseconds) -> Option<SeatAction> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now.plus(RENEW_EVERY);
        Some(SeatAction::List)
    }

    /// Records the listed rows. Returns the renewal or acquisition to attempt.
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

    /// Records whether a write took effect. The lease starts at `asked_at`, the time at which the write
    /// began, because other entries may have seen the new row at any time after that.
    pub fn record_write(&mut self, seat: u32, took_effect: bool, asked_at: Microseconds) {
        if took_effect {
            self.held = Some((seat, asked_at));
        } else if self.held.is_some_and(|(held, _)| held == seat) {
            self.held = None;
        }
    }

    fn write(&self, seat: u32, listed: Option<SeatRow>) -> SeatAction {
        let previous = listed.as_ref().map_or(0, |row| row.renewals);
        // Wraps around because another writer may have stored u64::MAX; the row only has to change.
        let renewals = previous.wrapping_add(1);
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
            let is_unchanged = self.observed.get(seat).is_some_and(|last| last.row == *row);
            if !is_unchanged {
                let row = row.clone();
                self.observed.insert(*seat, ObservedRow { row, since: now });
            }
        }
        self.observed.retain(|seat, _| rows.contains_key(seat));
    }

    fn is_free(&self, seat: u32, now: Microseconds) -> bool {
        match self.observed.get(&seat) {
            None => true,
            Some(last) => now.saturating_sub(last.since) >= TAKEOVER_AFTER,
        }
    }
}

/// Number of the seat whose holder measures a target.
pub fn seat_of(target: TargetAddress, seats: u32) -> u32 {
    let digest = Digest::of(target.to_string().as_bytes()).to_string();
    let start = u32::from_str_radix(&digest[..8], 16).unwrap_or_default();
    start % seats.max(1)
}
