//! Writing what a ring holds.

use crate::line::Line;
use crate::ring::Ring;
use std::io::Write;
use std::time::Duration;

/// How long the writer waits for lines before it looks whether some were dropped.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Writes the lines of a ring until it is closed and empty, or the output takes no more. It may stand
/// still for as long as the output does; only the thread that runs it waits.
pub fn write_lines(ring: &Ring, mut output: impl Write) {
    let mut reported_dropped = 0;
    while let Some(text) = ring.take(WAIT_MAX) {
        let is_written = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_ok();
        if !is_written {
            // Nobody reads any more; what comes is dropped and counted.
            ring.close();
            return;
        }
        let counts = ring.counts();
        if counts.all_dropped() > reported_dropped {
            reported_dropped = counts.all_dropped();
            let [plain, unusual, failure] = counts.dropped;
            let line = Line::new("record", "dropped", 0)
                .with("plain", plain)
                .with("unusual", unusual)
                .with("failure", failure);
            // If this fails, so will the next.
            let _ = output.write_all(line.into_text().as_bytes());
        }
    }
}
