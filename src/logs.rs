//! Structured logs: one JSON object a line, with the record of decisions among them.

use std::io;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use log::LevelFilter;
use record::RecordLine;

/// The target of log records that carry a line of the record of decisions.
const RECORD_TARGET: &str = "record";

/// What a log level may be.
const LEVELS: &str = "error, warn, info, debug or trace";

/// The least important level that is written now, as its number.
static LEVEL: AtomicUsize = AtomicUsize::new(0);

/// Starts logging to an output that never blocks.
pub(crate) fn start_with(level: &str, output: record::LineWriter) -> io::Result<()> {
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
        .level(LevelFilter::Trace)
        .level_for("h2", LevelFilter::Warn)
        .level_for("gotham", LevelFilter::Warn)
        .filter(|metadata| {
            let is_wanted = metadata.level() as usize <= LEVEL.load(Ordering::Relaxed);
            is_wanted || metadata.target() == RECORD_TARGET
        })
        .chain(output)
        .apply()
        .map_err(io::Error::other)?;
    set_level(level).map_err(|allowed| {
        io::Error::other(format!(
            "log level {level:?} is not allowed, expected {allowed}"
        ))
    })
}

/// Changes the least important level that is written. The record is always written.
pub(crate) fn set_level(level: &str) -> Result<(), &'static str> {
    let level: LevelFilter = level.parse().map_err(|_| LEVELS)?;
    if level == LevelFilter::Off {
        return Err(LEVELS);
    }
    LEVEL.store(level as usize, Ordering::Relaxed);
    log::set_max_level(level.max(LevelFilter::Info));
    Ok(())
}

/// Writes a line of the record.
pub(crate) fn record(line: &RecordLine) {
    log::info!(target: RECORD_TARGET, "{}", line.to_json());
}
