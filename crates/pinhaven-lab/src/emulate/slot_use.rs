//! What the slots of targets were used for.

/// Use of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// Work that was answered within the aim, at a target that is not cold.
    InTime,
    /// Work that was answered after the aim.
    Late,
    /// Work of hedges and retries that was answered.
    Added,
    /// Work that was cancelled, because another attempt was answered first or the caller's deadline came.
    Cancelled,
    /// Work at cold targets.
    Cold,
}

/// Number of uses.
const USES: usize = 5;

/// Time for which slots were held, by use.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotTime {
    by_use_ms: [f64; USES],
}

impl SlotTime {
    pub(super) fn add(&mut self, slot_use: SlotUse, time_ms: f64) {
        self.by_use_ms[slot_use as usize] += time_ms;
    }

    /// Time of a use, in milliseconds.
    pub fn of_ms(&self, slot_use: SlotUse) -> f64 {
        self.by_use_ms[slot_use as usize]
    }
}
