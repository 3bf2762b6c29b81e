//! Logs: a line an event, text or JSON, with a level for each part.

use log::LevelFilter;
use pinhaven_settings::LogFormat;
use pinhaven_settings::LogSettings;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Level of parts that the settings don't name.
const LEVEL_DEFAULT: LevelFilter = LevelFilter::Info;

/// Starts logging to the standard error output.
pub(crate) fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = settings.format;
    let mut dispatch = fern::Dispatch::new()
        .level(LEVEL_DEFAULT)
        .format(move |out, message, record| {
            let seconds = seconds_since_epoch();
            let (level, part) = (record.level(), record.target());
            match format {
                LogFormat::Text => {
                    out.finish(format_args!("{seconds:.3} {level:5} [{part}] {message}"))
                }
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "time_s": seconds,
                        "level": level.as_str(),
                        "part": part,
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr());
    for (part, level) in &settings.levels {
        // The settings' check has seen to it that the level can be parsed.
        let level = level.parse().unwrap_or(LEVEL_DEFAULT);
        dispatch = dispatch.level_for(part.clone(), level);
    }
    dispatch.apply()
}

fn seconds_since_epoch() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
