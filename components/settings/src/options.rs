//! The fields of the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use control::agent;
use control::entry;
use control::follow::Intervals;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;
use weights::Limits;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance, as the sheet and the list of instances write it.
    pub instance: Name,
    /// The data centre of this instance.
    pub data_centre: Name,
    /// The address for the system's other processes.
    pub peer_address: SocketAddr,
    /// The address for operators.
    #[serde(default = "default_admin_address")]
    pub admin_address: SocketAddr,
    /// A file that holds the bearer token for operators. Without it the administration API is
    /// open to whoever reaches its address.
    #[serde(default)]
    pub admin_token_file: Option<PathBuf>,
    /// The address of the platform's configuration service.
    pub configuration_service: SocketAddr,
    /// The address of the platform's list of instances.
    pub instance_list: SocketAddr,
    /// Threads that carry traffic.
    #[serde(default = "default_threads")]
    pub traffic_threads: usize,
    /// How often the control thread looks at the time.
    #[serde(with = "humantime_serde", default = "default_tick")]
    pub tick: Duration,
    /// How often each neighbour gets a heartbeat.
    #[serde(with = "humantime_serde", default = "default_heartbeat")]
    pub heartbeat: Duration,
    /// How long a process compares versions with its neighbours before it goes on alone.
    #[serde(with = "humantime_serde", default = "default_settle")]
    pub settle: Duration,
    /// A control thread that runs this late was paused.
    #[serde(with = "humantime_serde", default = "default_pause")]
    pub pause: Duration,
    /// Logs.
    #[serde(default)]
    pub log: LogOptions,
    /// Settings of an entry.
    #[serde(default)]
    pub entry: Option<EntryOptions>,
    /// Settings of an agent.
    #[serde(default)]
    pub agent: Option<AgentOptions>,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogOptions {
    /// The least important level that is written: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryOptions {
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The largest request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
    /// How long a caller may take to send a request.
    #[serde(with = "humantime_serde", default = "default_receive_timeout")]
    pub receive_timeout: Duration,
    /// The deadline of requests that name none.
    #[serde(with = "humantime_serde", default = "default_request_timeout")]
    pub request_timeout: Duration,
    /// The longest deadline that a request may name.
    #[serde(with = "humantime_serde", default = "default_longest_timeout")]
    pub longest_timeout: Duration,
    /// Retries for each request, on average.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Retries that may be saved up.
    #[serde(default = "default_retry_burst")]
    pub retry_burst: f64,
    /// How long a data centre takes to get its full share when it returns.
    #[serde(with = "humantime_serde", default = "default_ramp")]
    pub ramp: Duration,
    /// Targets probed for each request.
    #[serde(default = "default_probes")]
    pub probes: usize,
    /// Bytes of the start of a prompt that choose its target.
    #[serde(default = "default_prefix_bytes")]
    pub prefix_bytes: usize,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOptions {
    /// The address of the target, a model engine or a plain service.
    pub target: SocketAddr,
    /// The address of the weight store. Needed where the target is a model engine.
    #[serde(default)]
    pub origin: Option<SocketAddr>,
    /// Spreading weights.
    #[serde(default)]
    pub weights: Weights,
    /// Links.
    #[serde(default)]
    pub links: Links,
    /// How long a request may wait for room at the target.
    #[serde(with = "humantime_serde", default = "default_queue_time")]
    pub queue_time: Duration,
    /// Requests that may wait for each one that may run.
    #[serde(default = "default_queue_per_slot")]
    pub queue_per_slot: u32,
    /// How long a target must be silent to count as failed.
    #[serde(with = "humantime_serde", default = "default_failed_after")]
    pub failed_after: Duration,
    /// How long a key is remembered after its issue time.
    #[serde(with = "humantime_serde", default = "default_key_memory")]
    pub key_memory: Duration,
    /// How far the clocks of callers may be off.
    #[serde(with = "humantime_serde", default = "default_clock_skew")]
    pub clock_skew: Duration,
    /// Keys remembered at most.
    #[serde(default = "default_keys")]
    pub keys: usize,
}

/// Spreading weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Pieces drawn from peers of the region at once.
    pub fetches: usize,
    /// Pieces drawn from one peer at once.
    pub fetches_per_peer: u32,
    /// Pieces drawn from other regions at once.
    pub remote_fetches: usize,
    /// Pieces drawn from the origin at once.
    pub origin_fetches: usize,
    /// Uploads at once.
    pub upload_slots: usize,
    /// Uploads that wait for a slot.
    pub upload_queue: usize,
    /// How often neighbours exchange what they hold during a transfer.
    #[serde(with = "humantime_serde")]
    pub exchange: Duration,
    /// How long a silent instance of a lower rank is waited for.
    #[serde(with = "humantime_serde")]
    pub rank_timeout: Duration,
    /// How long a draw may go without a byte before it is tried elsewhere.
    #[serde(with = "humantime_serde")]
    pub stall_after: Duration,
    /// Bytes of weights that this instance may hold.
    pub memory_bytes: u64,
}

impl Default for Weights {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            fetches: limits.fetches,
            fetches_per_peer: limits.fetches_per_peer,
            remote_fetches: limits.remote_fetches,
            origin_fetches: limits.origin_fetches,
            upload_slots: limits.upload_slots,
            upload_queue: limits.upload_queue,
            exchange: limits.exchange_every,
            rank_timeout: limits.rank_timeout,
            stall_after: limits.stall_after,
            memory_bytes: limits.memory_bytes,
        }
    }
}

/// Rates of links in bytes a second. Weights keep below them; live requests go first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// The link of this instance, each way. Without it uploads are not paced.
    pub instance_bytes_per_second: Option<f64>,
    /// The link between two regions, each way, for all instances of a region together.
    pub region_bytes_per_second: Option<f64>,
}

impl Settings {
    /// The intervals of following the sheet.
    pub fn intervals(&self) -> Intervals {
        Intervals {
            heartbeat: self.heartbeat,
            settle: self.settle,
            pause: self.pause,
            ..Intervals::default()
        }
    }

    /// The options of the entry's reducer.
    pub fn entry_options(&self, entry: &EntryOptions) -> entry::Options {
        entry::Options {
            intervals: self.intervals(),
            budget: entry::BudgetOptions {
                share: entry.retry_share,
                burst: entry.retry_burst,
            },
            ramp: entry.ramp,
            probes: entry.probes,
        }
    }

    /// The options of the agent's reducer.
    pub fn agent_options(&self, agent: &AgentOptions) -> agent::Options {
        agent::Options {
            intervals: self.intervals(),
            limits: agent.weights.limits(),
            admission: agent::AdmissionOptions {
                queue_time: agent.queue_time,
                queue_per_slot: agent.queue_per_slot,
                ..agent::AdmissionOptions::default()
            },
            once: agent::OnceOptions {
                memory: agent.key_memory,
                skew: agent.clock_skew,
                keys: agent.keys,
            },
            rollout: agent::RolloutOptions {
                failed_after: agent.failed_after,
                ..agent::RolloutOptions::default()
            },
        }
    }
}

impl Weights {
    /// The limits of the transfer's reducer.
    pub fn limits(&self) -> Limits {
        Limits {
            fetches: self.fetches,
            fetches_per_peer: self.fetches_per_peer,
            remote_fetches: self.remote_fetches,
            origin_fetches: self.origin_fetches,
            upload_slots: self.upload_slots,
            upload_queue: self.upload_queue,
            exchange_every: self.exchange,
            rank_timeout: self.rank_timeout,
            stall_after: self.stall_after,
            memory_bytes: self.memory_bytes,
            ..Limits::default()
        }
    }
}

fn default_admin_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7172))
}

fn default_threads() -> usize {
    2
}

fn default_tick() -> Duration {
    Duration::from_millis(20)
}

fn default_heartbeat() -> Duration {
    Intervals::default().heartbeat
}

fn default_settle() -> Duration {
    Intervals::default().settle
}

fn default_pause() -> Duration {
    Intervals::default().pause
}

fn default_body_limit() -> usize {
    4 << 20
}

fn default_receive_timeout() -> Duration {
    Duration::from_secs(10)
}

fn default_request_timeout() -> Duration {
    Duration::from_secs(120)
}

fn default_longest_timeout() -> Duration {
    Duration::from_secs(600)
}

fn default_retry_share() -> f64 {
    entry::BudgetOptions::default().share
}

fn default_retry_burst() -> f64 {
    entry::BudgetOptions::default().burst
}

fn default_ramp() -> Duration {
    entry::Options::default().ramp
}

fn default_probes() -> usize {
    entry::Options::default().probes
}

fn default_prefix_bytes() -> usize {
    256
}

fn default_queue_time() -> Duration {
    agent::AdmissionOptions::default().queue_time
}

fn default_queue_per_slot() -> u32 {
    agent::AdmissionOptions::default().queue_per_slot
}

fn default_failed_after() -> Duration {
    agent::RolloutOptions::default().failed_after
}

fn default_key_memory() -> Duration {
    agent::OnceOptions::default().memory
}

fn default_clock_skew() -> Duration {
    agent::OnceOptions::default().skew
}

fn default_keys() -> usize {
    agent::OnceOptions::default().keys
}
