//! The decisions that a record tells of.

use protocol::{
    Fingerprint,
    Guard,
    Outcome,
    Refusal, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use utils::digest::Digest;
use utils::Name;
use weights::Piece;

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteRule {
    /// The first target for the prompt's prefix has room.
    Prefix,
    /// Targets before it on the ring are full, so load decided.
    LeastLoaded,
    /// The ticket or key names it.
    Home,
}

/// A step of a target on its way to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchStep {
    /// Every piece is here and verified.
    Staged,
    /// The target takes no new work until it runs the version.
    TakenOut,
    /// The target was ordered to load.
    Ordered,
    /// The target runs the version in cold start.
    Cold,
    /// The target bears its full load.
    Warm,
    /// The target turned cold again without an order.
    FellBack,
    /// The target runs something that was not ordered.
    Differs,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// A sheet is in force here.
    Adopt {
        /// The digest of its index.
        digest: Digest,
    },
    /// A sheet is refused.
    RefuseSheet {
        /// What is wrong with it.
        cause: String,
    },
    /// An entry sends a request to a target.
    Route {
        /// The request.
        request: u64,
        /// The model or service.
        work: Name,
        /// The caller's team.
        team: Name,
        /// Why this target.
        rule: RouteRule,
        /// The target.
        target: Name,
        /// The targets considered, in order.
        considered: Vec<Name>,
        /// One for the first try.
        attempt: u32,
    },
    /// An entry answers without an answer of a target.
    Reject {
        /// The request.
        request: u64,
        /// The model or service.
        work: Name,
        /// The caller's team.
        team: Name,
        /// What the caller is told.
        outcome: Outcome,
        /// Whether the request is known not to have run.
        not_run: bool,
    },
    /// An agent starts a request at its target.
    Run {
        /// The request.
        request: u64,
        /// The model or service.
        work: Name,
        /// The caller's team.
        team: Name,
        /// How often it may run.
        guard: Guard,
        /// Identifies requests with the same content.
        fingerprint: Fingerprint,
        /// The version of the model that answers.
        version: Option<Name>,
        /// Requests running, this one included.
        running: u32,
        /// Requests that may run at once.
        limit: u32,
    },
    /// An agent does not run a request.
    Refuse {
        /// The request.
        request: u64,
        /// Why not.
        refusal: Refusal,
    },
    /// A request ended at a target.
    End {
        /// The request.
        request: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// An agent draws a piece of weights.
    Draw {
        /// The manifest.
        manifest: Digest,
        /// The piece.
        piece: Piece,
        /// The instance it is drawn from, or nothing for the origin.
        from: Option<Name>,
    },
    /// Bytes of a piece did not have their digest.
    Corrupt {
        /// The manifest.
        manifest: Digest,
        /// The piece.
        piece: Piece,
        /// The instance it was drawn from, or nothing for the origin.
        from: Option<Name>,
    },
    /// A target takes a step towards a version.
    Switch {
        /// The model.
        model: Name,
        /// The version.
        version: Name,
        /// The manifest of the version.
        manifest: Digest,
        /// The step.
        step: SwitchStep,
        /// The fencing number of the order.
        fence: u64,
    },
    /// Requests with this content crashed a target.
    Suspect {
        /// The requests.
        fingerprint: Fingerprint,
        /// The target that crashed.
        target: Name,
        /// Whether they are not run any more.
        quarantined: bool,
    },
    /// A configuration is in force.
    Configure {
        /// Its version.
        version: u64,
        /// The version before it.
        before: Option<u64>,
        /// How many routes it has.
        routes: usize,
        /// How many teams it has.
        teams: usize,
    },
    /// The list named a target, or something about it changed.
    Target {
        /// The target.
        target: Name,
        /// Its service.
        service: Name,
        /// Its address.
        address: Name,
        /// Whether it was not known before.
        is_new: bool,
        /// Whether it takes nothing new before a planned stop.
        draining: bool,
        /// How much longer it is in cold start.
        cold_ms: u64,
        /// The version of the weights that it runs.
        version: Option<u64>,
    },
    /// A target is not used any more.
    TargetGone {
        /// The target.
        target: Name,
        /// How that is known.
        reason: Name,
    },
    /// An agent said what its engine does.
    Engine {
        /// The target.
        target: Name,
        /// The version that it runs.
        version: Option<u64>,
        /// Whether it takes nothing new before it has changed its weights.
        switching: bool,
    },
    /// A target is left alone for a while, since its answers fail.
    Rest {
        /// The target.
        target: Name,
        /// The request whose answer failed last.
        request: Name,
        /// The share of failures among its latest answers, in percent.
        failing_percent: u32,
    },
    /// A data centre was taken out of service or back in.
    DataCentre {
        /// The data centre.
        name: Name,
        /// Whether it is out.
        out: bool,
    },
    /// A version of a model's weights is to be served.
    VersionNamed {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// For how long it has been named, if that is known.
        age_ms: Option<u64>,
    },
    /// The configuration became too old to act on, or is fresh again.
    Lease {
        /// Whether it may be acted on.
        valid: bool,
        /// How old it may be.
        age_ms: u64,
    },
    /// A request goes to a target.
    Forward {
        /// The request.
        request: Name,
        /// The route.
        route: Name,
        /// The service.
        service: Name,
        /// The caller's team.
        team: Option<Name>,
        /// The target.
        target: Name,
        /// One for the first target.
        attempt: u32,
        /// How long the request waited for room.
        waited_ms: u64,
        /// How old the configuration may be.
        lease_ms: u64,
        /// Requests at the target, as far as known.
        load: u32,
        /// Agents that were asked for a place.
        #[serde(default)]
        asked: u32,
        /// The version of the weights that must answer.
        version: Option<u64>,
    },
    /// A request does not go to a target, by what the target's agent told.
    NoPlace {
        /// The request.
        request: Name,
        /// The target.
        target: Name,
        /// Whether the target takes requests now: it may be about to load, or cold.
        open: bool,
        /// Requests of all processes there.
        requests: u32,
        /// Tokens of their prompts that the target has yet to read.
        unread: u32,
    },
    /// A request ends without the answer of a target.
    TurnAway {
        /// The request.
        request: Name,
        /// The route, if one was found.
        route: Option<Name>,
        /// Why.
        reason: Name,
        /// Whether it has not run.
        not_run: bool,
        /// When the caller may come back.
        retry_after_ms: Option<u64>,
        /// How long it was here.
        held_ms: u64,
        /// The targets that it was sent to.
        attempts: u32,
        /// How old the configuration may be.
        lease_ms: u64,
    },
    /// An exchange with a target ended.
    Exchange {
        /// The request.
        request: Name,
        /// The target.
        target: Name,
        /// What came of it.
        outcome: Name,
        /// How long it took.
        took_ms: u64,
        /// When the caller got the first part of the answer, since the request was sent.
        first_ms: Option<u64>,
        /// The longest pause between two parts.
        pause_ms: u64,
    },
    /// A caller left before the answer was whole.
    CallerLeft {
        /// The request.
        request: Name,
        /// How long it was here.
        held_ms: u64,
        /// Whether a target was at work on it.
        running: bool,
    },
    /// Another system that this process needs was lost or is back.
    Dependency {
        /// The other system.
        name: Name,
        /// Whether it answers.
        up: bool,
        /// What was seen.
        detail: Name,
    },
    /// The process started, reloaded its settings or stops.
    Process {
        /// What it does.
        step: Name,
        /// With what.
        detail: Name,
    },
    /// An engine holds every piece of a version as it should be.
    Staged {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// How long after the version was heard of.
        after_ms: u64,
    },
    /// An engine is ordered to load a version.
    Order {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// The version that it runs until then.
        before: Option<u64>,
        /// How long after the version was heard of.
        after_ms: u64,
    },
    /// Lines were left out, since the output did not keep up.
    Dropped {
        /// How many.
        lines: u64,
    },
    /// The process begins to shut down.
    Drain,
    /// The process woke from a pause.
    Resume {
        /// How long it was away.
        paused_ms: u64,
    },
}

impl Decision {
    /// The caller's name of the request that the decision is about, if it is about one.
    pub fn request_name(&self) -> Option<&str> {
        match self {
            Self::Forward { request, .. }
            | Self::TurnAway { request, .. }
            | Self::Exchange { request, .. }
            | Self::CallerLeft { request, .. }
            | Self::Rest { request, .. }
            | Self::NoPlace { request, .. } => Some(request),
            _ => None,
        }
    }

    /// The word for the kind of decision, as in the record.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Adopt { .. } => "adopt",
            Self::RefuseSheet { .. } => "refuse_sheet",
            Self::Route { .. } => "route",
            Self::Reject { .. } => "reject",
            Self::Run { .. } => "run",
            Self::Refuse { .. } => "refuse",
            Self::End { .. } => "end",
            Self::Draw { .. } => "draw",
            Self::Corrupt { .. } => "corrupt",
            Self::Switch { .. } => "switch",
            Self::Suspect { .. } => "suspect",
            Self::Configure { .. } => "configure",
            Self::Target { .. } => "target",
            Self::TargetGone { .. } => "target_gone",
            Self::Engine { .. } => "engine",
            Self::Rest { .. } => "rest",
            Self::DataCentre { .. } => "data_centre",
            Self::VersionNamed { .. } => "version_named",
            Self::Lease { .. } => "lease",
            Self::Forward { .. } => "forward",
            Self::NoPlace { .. } => "no_place",
            Self::TurnAway { .. } => "turn_away",
            Self::Exchange { .. } => "exchange",
            Self::CallerLeft { .. } => "caller_left",
            Self::Dependency { .. } => "dependency",
            Self::Process { .. } => "process",
            Self::Staged { .. } => "staged",
            Self::Order { .. } => "order",
            Self::Dropped { .. } => "dropped",
            Self::Drain => "drain",
            Self::Resume { .. } => "resume",
        }
    }
}
