//! Logging to standard output, one line per event, with a level per part of the software.
//!
//! Log lines and records share one bounded ring, so that a blocked output delays nothing else.

use log::LevelFilter;
use pinhaven_record::Importance;
use pinhaven_record::Line;
use pinhaven_record::Recorder;
use pinhaven_record::Ring;
use pinhaven_record::write_lines;
use pinhaven_settings::LogFormat;
use pinhaven_settings::LogSettings;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Level of parts without a level in the settings.
const LEVEL_DEFAULT: LevelFilter = LevelFilter::Info;
/// Maximum time to wait at exit until the output has accepted the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Stack size of the writer thread, in bytes; the thread only copies lines.
const WRITER_STACK_BYTES: usize = 128 * 1024;

/// The process-wide log.
pub(crate) struct Log {
    ring: Arc<Ring>,
    plain_one_in: u64,
    writer_done: mpsc::Receiver<()>,
}

impl Log {
    /// Creates a recorder for the entry `instance` that writes to this log.
    pub(crate) fn recorder(&self, instance: &str) -> Recorder {
        Recorder::new(Arc::clone(&self.ring), instance, self.plain_one_in)
    }

    /// Closes the log and waits until the buffered lines are written, for at most [`FLUSH_TIMEOUT`].
    pub(crate) fn finish(self) {
        self.ring.close();
        // A blocked output must not keep the process from exiting.
        let _ = self.writer_done.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output.
pub(crate) fn start(settings: &LogSettings) -> Result<Log, String> {
    let ring = Arc::new(Ring::new(settings.ring_bytes));
    let writer_done = start_writer(Arc::clone(&ring)).map_err(|error| error.to_string())?;
    let format = settings.format;
    let mut dispatch = fern::Dispatch::new()
        .level(LEVEL_DEFAULT)
        .format(move |out, message, record| match format {
            LogFormat::Text => {
                let (seconds, level) = (seconds_since_epoch(), record.level());
                let part = record.target();
                out.finish(format_args!("{seconds:.3} {level:5} [{part}] {message}\n"));
            }
            LogFormat::Json => {
                let line = Line::new(record.target(), "log", 0)
                    .with("level", record.level().as_str())
                    .with("message", message.to_string());
                out.finish(format_args!("{}", line.into_text()));
            }
        })
        .chain(fern::Output::call({
            let ring = Arc::clone(&ring);
            move |record| {
                ring.add(Importance::Failure, vec![record.args().to_string()]);
            }
        }));
    for (part, level) in &settings.levels {
        // The settings are validated, so the level can be parsed.
        let level = level.parse().unwrap_or(LEVEL_DEFAULT);
        dispatch = dispatch.level_for(part.clone(), level);
    }
    dispatch.apply().map_err(|error| error.to_string())?;
    Ok(Log {
        ring,
        plain_one_in: settings.plain_one_in,
        writer_done,
    })
}

fn start_writer(ring: Arc<Ring>) -> std::io::Result<mpsc::Receiver<()>> {
    let (done, writer_done) = mpsc::channel();
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || {
            write_lines(&ring, std::io::stdout());
            // The receiver may be gone after the timeout.
            let _ = done.send(());
        })?;
    Ok(writer_done)
}

fn seconds_since_epoch() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
