//! The arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Brings new model weights to hundreds of instances while live requests keep flowing.
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

/// Serve callers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArguments {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Stand beside a target.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct AgentArguments {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Check a document without using it.
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

/// Check a settings file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct CheckSettings {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Check a sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sheet")]
pub(crate) struct CheckSheet {
    /// the sheet
    #[argh(positional)]
    pub file: PathBuf,
    /// the sheet that is in force now, to check that the new one may follow it
    #[argh(option)]
    pub after: Option<PathBuf>,
}

/// Split a sheet into the values that operators publish.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pack")]
pub(crate) struct PackArguments {
    /// the sheet
    #[argh(positional)]
    pub file: PathBuf,
    /// the folder for the index and the sections
    #[argh(option)]
    pub out: PathBuf,
    /// the sheet that is in force now, to check that the new one may follow it
    #[argh(option)]
    pub after: Option<PathBuf>,
}

/// Show how a running process is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// the process's address for operators
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
    /// the entry's address for operators
    #[argh(positional)]
    pub address: SocketAddr,
    /// the model or service
    #[argh(positional)]
    pub work: String,
    /// the prompt, whose start chooses the target
    #[argh(option, default = "String::new()")]
    pub prompt: String,
    /// the file with the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prove or refute from the record what the system promises.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub(crate) struct AuditArguments {
    /// the folder with every sheet that was published, as YAML
    #[argh(option)]
    pub sheets: PathBuf,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
    /// the collected logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Tell the story of one request from collected logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct TraceArguments {
    /// the caller's id of the request
    #[argh(positional)]
    pub request: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// the collected logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Run a whole fleet in this process, before stand-ins.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArguments {
    /// end after the burst instead of staying up
    #[argh(switch)]
    pub once: bool,
    /// print one JSON object as the last line
    #[argh(switch)]
    pub json: bool,
    /// the number of model targets
    #[argh(option, default = "12")]
    pub targets: usize,
    /// a file for the record of every process
    #[argh(option)]
    pub record: Option<PathBuf>,
    /// a folder for the sheets that are published
    #[argh(option)]
    pub sheets: Option<PathBuf>,
    /// the least important level of the log: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"warn\")")]
    pub log: String,
}

/// Run a process on the users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArguments {
    /// the settings file that the platform writes; the platform's variable names it otherwise
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// the least important level of the log: error, warn, info, debug or trace
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

/// Forward callers' requests to targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct PlatformEntry {}

/// Keep the engine on the same instance at the version that operators name.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub(crate) struct PlatformAgent {}
