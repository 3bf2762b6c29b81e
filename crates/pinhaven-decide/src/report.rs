//! Load reports, as targets publish them.

/// What a target said of its load, on a reply or to a probe.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Whether it says that it is leaving.
    pub is_draining: bool,
    /// How many times longer than usual work takes there at this moment, if it says so.
    pub slowdown: Option<f32>,
}

impl LoadReport {
    /// All requests that the target holds.
    pub fn outstanding(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
