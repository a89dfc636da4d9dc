//! Loading and validation of the settings.

use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

use crate::options::{
    AgentOptions,
    EntryOptions,
    Settings, //
};

/// Error while reading or checking the settings file.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// {file}: cannot be read: {cause}
    Read {
        /// The settings file.
        file: DisplayPath,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// {file}: {cause}
    Syntax {
        /// The settings file.
        file: DisplayPath,
        /// The message of the parser, with field, line and column.
        cause: String,
    },
    /// {file}: {field}: {value} is not allowed, expected {allowed}
    Value {
        /// The settings file.
        file: DisplayPath,
        /// The path of the field, such as `log.level`.
        field: String,
        /// The invalid value.
        value: String,
        /// The values that are allowed.
        allowed: String,
    },
}

/// A file path that implements `Display`, for error messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DisplayPath(PathBuf);

impl std::fmt::Display for DisplayPath {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.display().fmt(f)
    }
}

/// Reads and checks the settings in `file`.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|cause| SettingsError::Read {
        file: DisplayPath(file.to_owned()),
        cause,
    })?;
    parse(file, &text)
}

/// Parses and checks `text`, the content of `file`.
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let name = DisplayPath(file.to_owned());
    let settings: Settings = serde_yaml_ng::from_str(text).map_err(|e| SettingsError::Syntax {
        file: name.clone(),
        cause: e.to_string(),
    })?;
    let result = check(&settings);
    result.map_err(|invalid| SettingsError::Value {
        file: name,
        field: invalid.field.to_owned(),
        value: invalid.value,
        allowed: invalid.allowed.to_owned(),
    })?;
    Ok(settings)
}

struct InvalidValue {
    field: &'static str,
    value: String,
    allowed: &'static str,
}

/// Returns an error for the value of `field` unless `is_valid`.
fn require(
    is_valid: bool,
    field: &'static str,
    value: impl ToString,
    allowed: &'static str,
) -> Result<(), InvalidValue> {
    if is_valid {
        return Ok(());
    }
    Err(InvalidValue {
        field,
        value: value.to_string(),
        allowed,
    })
}

fn require_duration(field: &'static str, value: Duration) -> Result<(), InvalidValue> {
    let is_valid = value >= Duration::from_millis(1) && value <= Duration::from_secs(86_400);
    let text = humantime::format_duration(value);
    require(is_valid, field, text, "1ms to 1day")
}

fn check(settings: &Settings) -> Result<(), InvalidValue> {
    let name = "a name that is not empty";
    require(!settings.instance.is_empty(), "instance", "\"\"", name)?;
    require(
        !settings.data_centre.is_empty(),
        "data_centre",
        "\"\"",
        name,
    )?;
    // A forgotten value must not open the administration API; YAML reads it as one of these texts.
    let is_named = |file: &PathBuf| {
        !["", "~", "null"]
            .iter()
            .any(|text| file.as_os_str() == *text)
    };
    require(
        settings.admin_token_file.as_ref().is_none_or(is_named),
        "admin_token_file",
        "nothing",
        "the path of a file",
    )?;
    let threads = settings.traffic_threads;
    require(
        (1..=256).contains(&threads),
        "traffic_threads",
        threads,
        "1 to 256",
    )?;
    require_duration("tick", settings.tick)?;
    require_duration("heartbeat", settings.heartbeat)?;
    require_duration("settle", settings.settle)?;
    require_duration("pause", settings.pause)?;
    let is_above_tick = settings.pause > settings.tick * 2;
    let text = humantime::format_duration(settings.pause);
    require(is_above_tick, "pause", text, "more than twice the tick")?;
    let levels = ["error", "warn", "info", "debug", "trace"];
    let level = &settings.log.level;
    require(
        levels.contains(&&**level),
        "log.level",
        level,
        "error, warn, info, debug or trace",
    )?;
    match (&settings.entry, &settings.agent) {
        (Some(entry), None) => check_entry(entry),
        (None, Some(agent)) => check_agent(agent),
        (Some(_), Some(_)) => require(false, "agent", "given", "only one of entry and agent"),
        (None, None) => require(false, "entry", "nothing", "one of entry and agent"),
    }
}

fn check_entry(entry: &EntryOptions) -> Result<(), InvalidValue> {
    let body = entry.body_limit_bytes;
    require(
        (1..=8 << 20).contains(&body),
        "entry.body_limit_bytes",
        body,
        "1 to 8388608",
    )?;
    require(
        entry.buffer_limit_bytes >= 2 * body,
        "entry.buffer_limit_bytes",
        entry.buffer_limit_bytes,
        "at least twice entry.body_limit_bytes",
    )?;
    require_duration("entry.receive_timeout", entry.receive_timeout)?;
    require_duration("entry.request_timeout", entry.request_timeout)?;
    require_duration("entry.longest_timeout", entry.longest_timeout)?;
    require(
        entry.longest_timeout >= entry.request_timeout,
        "entry.longest_timeout",
        humantime::format_duration(entry.longest_timeout),
        "at least request_timeout",
    )?;
    require(
        (0.0..=10.0).contains(&entry.retry_share),
        "entry.retry_share",
        entry.retry_share,
        "0 to 10",
    )?;
    require(
        (1.0..=10_000.0).contains(&entry.retry_burst),
        "entry.retry_burst",
        entry.retry_burst,
        "1 to 10000",
    )?;
    require_duration("entry.ramp", entry.ramp)?;
    require(entry.probes <= 4, "entry.probes", entry.probes, "0 to 4")?;
    let prefix = entry.prefix_bytes;
    require(
        (1..=1 << 20).contains(&prefix),
        "entry.prefix_bytes",
        prefix,
        "1 to 1048576",
    )
}

fn check_agent(agent: &AgentOptions) -> Result<(), InvalidValue> {
    let weights = &agent.weights;
    let counts = [
        ("agent.weights.fetches", weights.fetches),
        ("agent.weights.remote_fetches", weights.remote_fetches),
        ("agent.weights.origin_fetches", weights.origin_fetches),
        ("agent.weights.upload_slots", weights.upload_slots),
        ("agent.weights.upload_queue", weights.upload_queue),
        (
            "agent.weights.fetches_per_peer",
            weights.fetches_per_peer as usize,
        ),
        ("agent.queue_per_slot", agent.queue_per_slot as usize),
    ];
    for (field, value) in counts {
        require((1..=1024).contains(&value), field, value, "1 to 1024")?;
    }
    let times = [
        ("agent.weights.exchange", weights.exchange),
        ("agent.weights.rank_timeout", weights.rank_timeout),
        ("agent.weights.stall_after", weights.stall_after),
        ("agent.queue_time", agent.queue_time),
        ("agent.failed_after", agent.failed_after),
        ("agent.key_memory", agent.key_memory),
        ("agent.clock_skew", agent.clock_skew),
    ];
    for (field, value) in times {
        require_duration(field, value)?;
    }
    require(
        weights.memory_bytes > 0,
        "agent.weights.memory_bytes",
        weights.memory_bytes,
        "1 or more",
    )?;
    require(
        (1..=10_000_000).contains(&agent.keys),
        "agent.keys",
        agent.keys,
        "1 to 10000000",
    )?;
    let rates = [
        (
            "agent.links.instance_bytes_per_second",
            agent.links.instance_bytes_per_second,
        ),
        (
            "agent.links.region_bytes_per_second",
            agent.links.region_bytes_per_second,
        ),
    ];
    for (field, rate) in rates {
        let is_valid = rate.is_none_or(|rate| rate.is_finite() && rate >= 1.0);
        require(is_valid, field, rate.unwrap_or_default(), "1 or more")?;
    }
    Ok(())
}
