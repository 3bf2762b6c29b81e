//! Carries out the actions of the seat state machine: lists the rows of the seats and writes the own row.
//!
//! The holder of a seat probes the targets of the seat. Seats are leases in the platform's table.

use crate::entry::Entry;
use pinhaven_agree::SeatAction;
use pinhaven_agree::SeatRow;
use pinhaven_platform::Condition;
use pinhaven_platform::Row;
use pinhaven_platform::RowFault;
use pinhaven_platform::RowVersion;
use pinhaven_platform::SEAT_PREFIX;
use pinhaven_platform::TableService;
use pinhaven_runtime::sleep_ms;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval at which the seat state machine is asked for an action, in milliseconds.
const TICK_MS: u64 = 500;

impl Entry {
    /// Renews this entry's seat or tries to acquire one. Runs until the process exits.
    pub(crate) async fn maintain_seat(self: Arc<Self>) {
        loop {
            sleep_ms(TICK_MS).await;
            if !self.has_probed_service() {
                continue;
            }
            let now = self.now();
            let action = self.seats.lock().tick(now);
            if action == Some(SeatAction::List) {
                self.list_seats().await;
            }
        }
    }

    /// Whether any service has a probe path and a measuring budget.
    fn has_probed_service(&self) -> bool {
        let snapshot = self.snapshot.load();
        snapshot.bundle().services.iter().any(|service| {
            service.probe_path.is_some() && service.measuring_budget_percent.fraction() > 0.0
        })
    }

    async fn list_seats(&self) {
        let listed = self.table.list(SEAT_PREFIX).await;
        let Ok(rows) = self.count_platform(listed) else {
            return;
        };
        let mut seats = BTreeMap::new();
        let mut versions = BTreeMap::new();
        for row in rows {
            if let Some(seat) = self.seat_number(&row) {
                seats.insert(seat, self.seat_row(&row));
                versions.insert(seat, row.version);
            }
        }
        let now = self.now();
        let action = self.seats.lock().record_rows(&seats, now);
        if let Some(SeatAction::Write { seat, row, .. }) = action {
            self.write_seat(seat, &row, versions.remove(&seat)).await;
        }
    }

    async fn write_seat(&self, seat: u32, row: &SeatRow, listed: Option<RowVersion>) {
        let asked_at = self.now();
        let key = format!("{SEAT_PREFIX}{seat}");
        let value = serde_json::to_string(row).unwrap_or_default();
        let condition = listed.map_or(Condition::Absent, Condition::Version);
        let written = self.table.write(&key, condition, value).await;
        // A write with an unknown outcome counts as failed; if it took effect, the next listing shows the row.
        let took_effect = self.count_platform(written).is_ok();
        self.seats.lock().record_write(seat, took_effect, asked_at);
    }

    /// Number of the seat in a row's key; `None` if the key has none.
    fn seat_number(&self, row: &Row) -> Option<u32> {
        let number = row.key.strip_prefix(SEAT_PREFIX).unwrap_or_default();
        let seat = number.parse().map_err(RowFault::key);
        seat.inspect_err(|fault| self.table.record_skipped(SEAT_PREFIX, &row.key, fault))
            .ok()
    }

    /// Content of a seat's row; a row without a holder if the content has another form.
    fn seat_row(&self, row: &Row) -> SeatRow {
        serde_json::from_str(&row.value).unwrap_or_else(|error| {
            let fault = RowFault::form(error);
            self.table.record_skipped(SEAT_PREFIX, &row.key, &fault);
            SeatRow::without_holder(row.version.as_str())
        })
    }
}
