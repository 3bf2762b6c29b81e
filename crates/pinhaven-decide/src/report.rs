//! Load reports that targets publish.

/// A target's report of its load, on an answer to a request or to a probe.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests that the target is running.
    pub running: u32,
    /// Number of requests that wait at the target for a slot.
    pub waiting: u32,
    /// Whether the target reports that it is leaving.
    pub is_draining: bool,
    /// Factor by which work currently takes longer at the target than usual, if reported.
    pub slowdown: Option<f32>,
}

impl LoadReport {
    /// Number of requests at the target, running and waiting.
    pub fn outstanding(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
