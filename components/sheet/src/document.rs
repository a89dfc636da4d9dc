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
pub type InstancesByDataCentre = BTreeMap<Name, Vec<Name>>;

/// The configuration that operators publish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Increases with each publication.
    pub version: u64,
    /// When the operators published it.
    #[serde(with = "humantime_serde")]
    pub published: SystemTime,
    /// The homes of idempotency keys issued up to this long after publication do not change in
    /// later sheets.
    #[serde(with = "humantime_serde", default = "default_home_horizon")]
    pub home_horizon: Duration,
    /// The region of the weight store.
    pub origin_region: Name,
    /// All data centres by name, including those out of service.
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<Name, Model>,
    /// Services without a model, by name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<Name, Team>,
    /// Instances that are being removed.
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
    /// The region that it is in.
    pub region: Name,
    /// Whether it accepts new requests.
    pub state: DataCentreState,
}

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum ServiceState")]
pub enum DataCentreState {
    /// It accepts new requests.
    In,
    /// It accepts no new requests.
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
    /// Maximum number of concurrent requests of a target during its cold start.
    pub cold_limit: u32,
    /// How long the cold start of a target takes, during which `cold_limit` applies.
    #[serde(with = "humantime_serde", default = "default_cold_time")]
    pub cold_time: Duration,
    /// Maximum number of concurrent requests of a warm target.
    pub full_limit: u32,
    /// The percentage of the targets in a data centre that may be out of service at once while they
    /// switch version.
    pub max_out_percent: u32,
    /// The instances that run the model.
    pub instances: InstancesByDataCentre,
}

/// A service without a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Maximum number of concurrent requests of one target.
    pub limit: u32,
    /// Properties of calls; the first matching entry applies. A call without a matching entry is
    /// not repeatable.
    #[serde(default)]
    pub calls: Vec<Call>,
    /// The instances that run the service.
    pub instances: InstancesByDataCentre,
    /// The instances that can be the home of an idempotency key, by the time the key was issued.
    /// The home is the only instance that runs the calls with that key.
    #[serde(default)]
    pub homes: Vec<KeyHomes>,
}

/// The properties of the calls with one method and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The HTTP method.
    pub method: Name,
    /// The prefix of the path.
    pub path: Name,
    /// Whether the call may safely run more than once.
    pub repeatable: bool,
}

/// The instances that can be the home of the idempotency keys issued from `from` until the next
/// entry applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct HomeSet")]
pub struct KeyHomes {
    /// The earliest issue time that this entry applies to.
    #[serde(with = "humantime_serde")]
    pub from: SystemTime,
    /// The instances from which the home of a key is selected.
    pub instances: Vec<Name>,
}

/// A team whose callers send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The weight of the team when requests exceed the capacity of the targets.
    pub share: u32,
    /// The SHA-256 digest of the bearer token that the team's callers must present. Without it they
    /// need no token. A field without a value is an error.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "utils::present::deserialize_present"
    )]
    pub token_digest: Option<Digest>,
}
