//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

/// Distributes new model weights to hundreds of instances while live requests continue.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Entry(EntryArguments),
    Agent(AgentArguments),
    Check(CheckArguments),
    Pack(PackArguments),
    Audit(AuditArguments),
    Trace(TraceArguments),
    Status(StatusArguments),
    Explain(ExplainArguments),
    Demo(DemoArguments),
    Platform(PlatformArguments),
}

/// Run an entry, which receives the requests of callers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArguments {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Run an agent, which controls one target and loads new weights.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct AgentArguments {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Validate a settings file or a sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArguments {
    #[argh(subcommand)]
    pub document: CheckDocument,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum CheckDocument {
    Settings(CheckSettings),
    Sheet(CheckSheet),
}

/// Validate a settings file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct CheckSettings {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Validate a sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sheet")]
pub(crate) struct CheckSheet {
    /// the sheet
    #[argh(positional)]
    pub file: PathBuf,
    /// the active sheet, to check that the new one is a valid successor
    #[argh(option)]
    pub after: Option<PathBuf>,
}

/// Split a sheet into the index and the sections that operators publish.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pack")]
pub(crate) struct PackArguments {
    /// the sheet
    #[argh(positional)]
    pub file: PathBuf,
    /// the folder for the index and the sections
    #[argh(option)]
    pub out: PathBuf,
    /// the active sheet, to check that the new one is a valid successor
    #[argh(option)]
    pub after: Option<PathBuf>,
}

/// Show the status of a running process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// the admin address of the process
    #[argh(positional)]
    pub address: SocketAddr,
    /// the file with the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show where an entry would send a request, without sending it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArguments {
    /// the admin address of the entry
    #[argh(positional)]
    pub address: SocketAddr,
    /// the model or service
    #[argh(positional)]
    pub work: String,
    /// the prompt, whose first bytes select the target
    #[argh(option, default = "String::new()")]
    pub prompt: String,
    /// the file with the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Check the record of decisions against the guarantees of the system.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub(crate) struct AuditArguments {
    /// the folder with all published sheets as YAML
    #[argh(option)]
    pub sheets: PathBuf,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
    /// the collected logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// List the recorded decisions about one request from collected logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct TraceArguments {
    /// the request id
    #[argh(positional)]
    pub request: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// the collected logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Run a whole fleet in one process, with stand-in targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArguments {
    /// exit after the rollout instead of running until interrupted
    #[argh(switch)]
    pub once: bool,
    /// print one JSON object as the last line
    #[argh(switch)]
    pub json: bool,
    /// the number of model targets
    #[argh(option, default = "12")]
    pub targets: usize,
    /// a file for the records of all processes
    #[argh(option)]
    pub record: Option<PathBuf>,
    /// a folder for the published sheets
    #[argh(option)]
    pub sheets: Option<PathBuf>,
    /// the log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"warn\")")]
    pub log: String,
}

/// Run an entry or an agent on the users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArguments {
    /// the settings file that the platform writes; by default, its path is read from the platform's
    /// environment variable
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// the log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"warn\")")]
    pub log: String,
    #[argh(subcommand)]
    pub role: PlatformRole,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum PlatformRole {
    Agent(PlatformAgent),
    Entry(PlatformEntry),
}

/// Run an entry, which forwards the requests of callers to targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct PlatformEntry {
    /// whether to learn how many requests each target handles well: on or off
    #[argh(option, default = "LearnCapacity(false)")]
    pub learn_capacity: LearnCapacity,
    /// the share of a target's slots below which a learned limit does not fall, from 0.0 to 1.0
    #[argh(option, default = "MinLearnedShare(0.25)")]
    pub min_learned_share: MinLearnedShare,
}

/// Run an agent, which loads the named model version into the engine on the same instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct PlatformAgent {
    /// whether to learn how many requests the engine handles well: on or off
    #[argh(option, default = "LearnCapacity(false)")]
    pub learn_capacity: LearnCapacity,
    /// the share of the engine's slots below which a learned limit does not fall, from 0.0 to 1.0
    #[argh(option, default = "MinLearnedShare(0.25)")]
    pub min_learned_share: MinLearnedShare,
}

/// The value of `--learn-capacity`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LearnCapacity(pub bool);

impl FromStr for LearnCapacity {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "on" => Ok(Self(true)),
            "off" => Ok(Self(false)),
            _ => Err(format!("{text:?} is not allowed, expected on or off")),
        }
    }
}

/// The value of `--min-learned-share`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MinLearnedShare(pub f64);

impl FromStr for MinLearnedShare {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let share: Option<f64> = text.parse().ok();
        let share = share.filter(|share| (0.0..=1.0).contains(share));
        share
            .map(Self)
            .ok_or_else(|| format!("{text:?} is not allowed, expected a number from 0.0 to 1.0"))
    }
}
