//! The types of the sheet document.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::{
    Duration,
    SystemTime, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use utils::digest::Digest;
use utils::Name;

/// Instance names by data centre.
pub type Instances = BTreeMap<Name, Vec<Name>>;

/// The whole sheet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Rises with each publication.
    pub version: u64,
    /// When the operators published it.
    #[serde(with = "humantime_serde")]
    pub published: SystemTime,
    /// How long after publication the sheet vouches for the homes of idempotency keys.
    #[serde(with = "humantime_serde", default = "default_home_horizon")]
    pub home_horizon: Duration,
    /// The region in which the weight store stands.
    pub origin_region: Name,
    /// Every data centre, in or out of service.
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<Name, Model>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<Name, Team>,
    /// Instances that leave.
    #[serde(default)]
    pub leaving: BTreeSet<Name>,
}

fn default_home_horizon() -> Duration {
    Duration::from_secs(15 * 60)
}

fn default_cold_time() -> Duration {
    Duration::from_secs(30)
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The region it belongs to.
    pub region: Name,
    /// Whether it takes new work.
    pub state: ServiceState,
}

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// It takes new work.
    In,
    /// It takes no new work.
    Out,
}

/// A model and the version that its instances run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version's name.
    pub version: Name,
    /// The digest of the version's manifest.
    pub manifest: Digest,
    /// Requests at once that a target bears in cold start.
    pub cold_limit: u32,
    /// How long a cold start takes, in which a target gets no more than `cold_limit`.
    #[serde(with = "humantime_serde", default = "default_cold_time")]
    pub cold_time: Duration,
    /// Requests at once that a warm target bears.
    pub full_limit: u32,
    /// Percent of the targets in a data centre that may be out for a switch of version.
    pub max_out_percent: u32,
    /// Where the model runs.
    pub instances: Instances,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests at once that one target bears.
    pub limit: u32,
    /// The calls of the service; a call that no entry matches may not be repeated.
    #[serde(default)]
    pub calls: Vec<Call>,
    /// Where the service runs.
    pub instances: Instances,
    /// Which instances are the homes of idempotency keys, by the time the key was issued.
    #[serde(default)]
    pub homes: Vec<HomeSet>,
}

/// What is known of one kind of call of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The HTTP method.
    pub method: Name,
    /// The start of the path.
    pub path: Name,
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
}

/// The homes of the idempotency keys issued from a point in time on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HomeSet {
    /// The first issue time that this set holds for.
    #[serde(with = "humantime_serde")]
    pub from: SystemTime,
    /// The instances among which the home is chosen.
    pub instances: Vec<Name>,
}

/// A team and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight of the team when targets are short of capacity.
    pub share: u32,
    /// SHA-256 of the bearer token that the team's callers present, if they must.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_digest: Option<Digest>,
}
