//! Structured logging: one JSON object per line. The record of decisions is part of the log.

use std::io;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use log::LevelFilter;
use record::RecordLine;

/// The log target of lines of the record of decisions.
const RECORD_TARGET: &str = "record";

/// The accepted log levels, for error messages.
const ALLOWED_LEVELS: &str = "error, warn, info, debug or trace";

/// The most verbose level that is written, as its number.
static MAX_LEVEL: AtomicUsize = AtomicUsize::new(0);

/// Starts logging to an output that does not block the caller.
pub(crate) fn start_non_blocking(level: &str, output: record::LineWriter) -> io::Result<()> {
    let write = move |record: &log::Record<'_>| {
        output.write(&record.args().to_string());
    };
    start(level, fern::Output::call(write))
}

/// Starts logging.
pub(crate) fn start(level: &str, output: impl Into<fern::Output>) -> io::Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            if record.target() == RECORD_TARGET {
                // A line of the record is JSON already; its hash covers the exact text.
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
        .level(LevelFilter::Trace)
        .level_for("h2", LevelFilter::Warn)
        .level_for("gotham", LevelFilter::Warn)
        .filter(|metadata| {
            let is_enabled = metadata.level() as usize <= MAX_LEVEL.load(Ordering::Relaxed);
            is_enabled || metadata.target() == RECORD_TARGET
        })
        .chain(output)
        .apply()
        .map_err(io::Error::other)?;
    set_level(level).map_err(|expected| {
        io::Error::other(format!(
            "log level {level:?} is not allowed, expected {expected}"
        ))
    })
}

/// Sets the most verbose level that is written. The record is always written: its lines have the
/// level info, so the global maximum never drops below it.
pub(crate) fn set_level(level: &str) -> Result<(), &'static str> {
    let level: LevelFilter = level.parse().map_err(|_| ALLOWED_LEVELS)?;
    if level == LevelFilter::Off {
        return Err(ALLOWED_LEVELS);
    }
    MAX_LEVEL.store(level as usize, Ordering::Relaxed);
    log::set_max_level(level.max(LevelFilter::Info));
    Ok(())
}

/// Writes a line of the record of decisions to the log.
pub(crate) fn write_record_line(line: &RecordLine) {
    log::info!(target: RECORD_TARGET, "{}", line.to_json());
}
