//! The fields of the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use control::agent;
use control::entry;
use control::follower::Intervals;
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
    /// The name of this instance, as in the sheet and in the list of instances.
    pub instance: Name,
    /// The data centre of this instance.
    pub data_centre: Name,
    /// The listen address for the other processes of the system.
    pub peer_address: SocketAddr,
    /// The listen address of the administration API.
    #[serde(default = "default_admin_address")]
    pub admin_address: SocketAddr,
    /// The file with the bearer token for operators. Without it the administration API is open to
    /// anyone who can reach its address. A field without a value is an error.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "utils::present::deserialize_present"
    )]
    pub admin_token_file: Option<PathBuf>,
    /// The address of the platform's configuration service.
    pub configuration_service: SocketAddr,
    /// The address of the platform's list of instances.
    pub instance_list: SocketAddr,
    /// The number of threads that process traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// The interval between timer events of the control thread.
    #[serde(with = "humantime_serde", default = "default_tick")]
    pub tick: Duration,
    /// The interval between heartbeats to each neighbour.
    #[serde(with = "humantime_serde", default = "default_heartbeat")]
    pub heartbeat: Duration,
    /// How long a process compares versions with its neighbours before it continues without them.
    #[serde(with = "humantime_serde", default = "default_settle")]
    pub settle: Duration,
    /// The delay of the control thread from which the process counts as paused.
    #[serde(with = "humantime_serde", default = "default_pause")]
    pub pause: Duration,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogOptions,
    /// Settings of an entry; exactly one of `entry` and `agent` is given.
    #[serde(default)]
    pub entry: Option<EntryOptions>,
    /// Settings of an agent; exactly one of `entry` and `agent` is given.
    #[serde(default)]
    pub agent: Option<AgentOptions>,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogOptions {
    /// The lowest severity that is logged: error, warn, info, debug or trace.
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
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The maximum size of a request body in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// The maximum size of the bodies of all requests that are held at the same time, in bytes.
    #[serde(default = "default_buffer_limit_bytes")]
    pub buffer_limit_bytes: usize,
    /// How long a caller may take to send a request.
    #[serde(with = "humantime_serde", default = "default_receive_timeout")]
    pub receive_timeout: Duration,
    /// The timeout of requests that do not set one.
    #[serde(with = "humantime_serde", default = "default_request_timeout")]
    pub request_timeout: Duration,
    /// The longest timeout that a request may set.
    #[serde(with = "humantime_serde", default = "default_longest_timeout")]
    pub longest_timeout: Duration,
    /// The average number of retries allowed per request.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// The maximum number of unused retries that accumulate.
    #[serde(default = "default_retry_burst")]
    pub retry_burst: f64,
    /// The time over which a data centre that returns to service is ramped up to its full share.
    #[serde(with = "humantime_serde", default = "default_ramp")]
    pub ramp: Duration,
    /// The number of targets probed for each request.
    #[serde(default = "default_probes")]
    pub probes: usize,
    /// The number of bytes at the start of a prompt that determine its target.
    #[serde(default = "default_prefix_bytes")]
    pub prefix_bytes: usize,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOptions {
    /// The address of the target, a model engine or a plain service.
    pub target: SocketAddr,
    /// The address of the weight store. Required if the target is a model engine.
    #[serde(default)]
    pub origin: Option<SocketAddr>,
    /// Settings of the weight transfer.
    #[serde(default)]
    pub weights: WeightOptions,
    /// Bandwidth of the network links.
    #[serde(default)]
    pub links: LinkOptions,
    /// How long a request may wait in the queue for a slot at the target.
    #[serde(with = "humantime_serde", default = "default_queue_time")]
    pub queue_time: Duration,
    /// The maximum number of queued requests per slot of the target.
    #[serde(default = "default_queue_per_slot")]
    pub queue_per_slot: u32,
    /// How long a target must be unresponsive to count as failed.
    #[serde(with = "humantime_serde", default = "default_failed_after")]
    pub failed_after: Duration,
    /// How long an idempotency key is remembered after its issue time.
    #[serde(with = "humantime_serde", default = "default_key_memory")]
    pub key_memory: Duration,
    /// The maximum clock skew of callers.
    #[serde(with = "humantime_serde", default = "default_clock_skew")]
    pub clock_skew: Duration,
    /// The maximum number of idempotency keys remembered.
    #[serde(default = "default_keys")]
    pub keys: usize,
}

/// Settings of the weight transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Weights")]
pub struct WeightOptions {
    /// Maximum concurrent downloads from peers of the same region.
    pub fetches: usize,
    /// Maximum concurrent downloads from one peer.
    pub fetches_per_peer: u32,
    /// Maximum concurrent downloads from other regions.
    pub remote_fetches: usize,
    /// Maximum concurrent downloads from the origin.
    pub origin_fetches: usize,
    /// Maximum concurrent uploads.
    pub upload_slots: usize,
    /// Maximum number of uploads that wait for a slot.
    pub upload_queue: usize,
    /// The interval at which neighbours report the pieces that they hold during a transfer.
    #[serde(with = "humantime_serde")]
    pub exchange: Duration,
    /// How long to wait for an unresponsive instance of a lower rank.
    #[serde(with = "humantime_serde")]
    pub rank_timeout: Duration,
    /// How long a download may receive no data before it is retried from another source.
    #[serde(with = "humantime_serde")]
    pub stall_after: Duration,
    /// Maximum memory for weights on this instance, in bytes.
    pub memory_bytes: u64,
}

impl Default for WeightOptions {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            fetches: limits.region_fetches,
            fetches_per_peer: limits.fetches_per_peer,
            remote_fetches: limits.remote_fetches,
            origin_fetches: limits.origin_fetches,
            upload_slots: limits.upload_slots,
            upload_queue: limits.upload_queue,
            exchange: limits.exchange_interval,
            rank_timeout: limits.candidate_timeout,
            stall_after: limits.stall_timeout,
            memory_bytes: limits.memory_bytes,
        }
    }
}

/// Bandwidth of links in bytes per second. Weight transfers stay below it, since live requests have
/// priority.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Links")]
pub struct LinkOptions {
    /// The link of this instance, in each direction. Without it uploads are not rate-limited.
    pub instance_bytes_per_second: Option<f64>,
    /// The link between two regions, in each direction, shared by all instances of a region.
    pub region_bytes_per_second: Option<f64>,
}

impl Settings {
    /// Returns the time intervals with which the process follows the sheet.
    pub fn follower_intervals(&self) -> Intervals {
        Intervals {
            heartbeat: self.heartbeat,
            settle_timeout: self.settle,
            pause_threshold: self.pause,
            ..Intervals::default()
        }
    }

    /// Returns the options of the entry's reducer.
    pub fn entry_options(&self, entry: &EntryOptions) -> entry::Options {
        entry::Options {
            intervals: self.follower_intervals(),
            budget: entry::RetryBudgetOptions {
                retries_per_request: entry.retry_share,
                max_available: entry.retry_burst,
            },
            ramp_time: entry.ramp,
            probes_per_request: entry.probes,
        }
    }

    /// Returns the options of the agent's reducer.
    pub fn agent_options(&self, agent: &AgentOptions) -> agent::Options {
        agent::Options {
            intervals: self.follower_intervals(),
            transfer_limits: agent.weights.transfer_limits(),
            admission: agent::AdmissionOptions {
                max_queue_time: agent.queue_time,
                queue_per_slot: agent.queue_per_slot,
                ..agent::AdmissionOptions::default()
            },
            at_most_once: agent::AtMostOnceOptions {
                retention: agent.key_memory,
                max_clock_skew: agent.clock_skew,
                max_keys: agent.keys,
            },
            rollout: agent::RolloutOptions {
                failure_timeout: agent.failed_after,
                ..agent::RolloutOptions::default()
            },
        }
    }
}

impl WeightOptions {
    /// Returns the limits of the weight transfer's reducer.
    pub fn transfer_limits(&self) -> Limits {
        Limits {
            region_fetches: self.fetches,
            fetches_per_peer: self.fetches_per_peer,
            remote_fetches: self.remote_fetches,
            origin_fetches: self.origin_fetches,
            upload_slots: self.upload_slots,
            upload_queue: self.upload_queue,
            exchange_interval: self.exchange,
            candidate_timeout: self.rank_timeout,
            stall_timeout: self.stall_after,
            memory_bytes: self.memory_bytes,
            ..Limits::default()
        }
    }
}

fn default_admin_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7172))
}

fn default_traffic_threads() -> usize {
    2
}

fn default_tick() -> Duration {
    Duration::from_millis(20)
}

fn default_heartbeat() -> Duration {
    Intervals::default().heartbeat
}

fn default_settle() -> Duration {
    Intervals::default().settle_timeout
}

fn default_pause() -> Duration {
    Intervals::default().pause_threshold
}

fn default_body_limit_bytes() -> usize {
    4 << 20
}

fn default_buffer_limit_bytes() -> usize {
    256 << 20
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
    entry::RetryBudgetOptions::default().retries_per_request
}

fn default_retry_burst() -> f64 {
    entry::RetryBudgetOptions::default().max_available
}

fn default_ramp() -> Duration {
    entry::Options::default().ramp_time
}

fn default_probes() -> usize {
    entry::Options::default().probes_per_request
}

fn default_prefix_bytes() -> usize {
    256
}

fn default_queue_time() -> Duration {
    agent::AdmissionOptions::default().max_queue_time
}

fn default_queue_per_slot() -> u32 {
    agent::AdmissionOptions::default().queue_per_slot
}

fn default_failed_after() -> Duration {
    agent::RolloutOptions::default().failure_timeout
}

fn default_key_memory() -> Duration {
    agent::AtMostOnceOptions::default().retention
}

fn default_clock_skew() -> Duration {
    agent::AtMostOnceOptions::default().max_clock_skew
}

fn default_keys() -> usize {
    agent::AtMostOnceOptions::default().max_keys
}
