//! Writes the lines of a ring to an output.

use crate::line::Line;
use crate::ring::Ring;
use std::io::Write;
use std::time::Duration;

/// Maximum time to wait for lines before checking whether lines were dropped.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Writes the lines of `ring` to `output` until the ring is closed and empty, or until a write fails. A blocked output
/// blocks the calling thread only; threads that add lines to the ring never wait for it.
///
/// After lines were dropped, a `record dropped` line with the number of dropped lines by importance is written.
pub fn write_lines(ring: &Ring, mut output: impl Write) {
    let mut reported_dropped = 0;
    while let Some(text) = ring.take(WAIT_MAX) {
        let is_written = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_ok();
        if !is_written {
            // The output is closed. Later lines are dropped and counted.
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
            // If this write fails, the next write fails too and ends the loop.
            let _ = output.write_all(line.into_text().as_bytes());
        }
    }
}
