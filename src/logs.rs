//! Structured logs: one JSON object a line on standard output, and the record among them.

use std::io;

use record::Line;

/// The target of log records that carry a line of the record of decisions.
const RECORD_TARGET: &str = "record";

/// Starts logging.
pub(crate) fn start(level: &str, output: impl Into<fern::Output>) -> io::Result<()> {
    let level = level.parse().map_err(|_| {
        io::Error::other(format!(
            "log level {level:?} is not allowed, expected error, warn, info, debug or trace"
        ))
    })?;
    fern::Dispatch::new()
        .format(|out, message, record| {
            if record.target() == RECORD_TARGET {
                // A line of the record is JSON already, and its hash covers its text.
                out.finish(format_args!("{message}"));
            } else {
                let text = serde_json::json!({
                    "level": record.level().as_str(),
                    "source": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{text}"));
            }
        })
        .level(level)
        .level_for(RECORD_TARGET, log::LevelFilter::Info)
        .level_for("h2", log::LevelFilter::Warn)
        .level_for("gotham", log::LevelFilter::Warn)
        .chain(output)
        .apply()
        .map_err(io::Error::other)
}

/// Writes a line of the record.
pub(crate) fn record(line: &Line) {
    log::info!(target: RECORD_TARGET, "{}", line.to_json());
}
