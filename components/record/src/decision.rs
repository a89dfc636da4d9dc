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
    /// The process begins to shut down.
    Drain,
    /// The process woke from a pause.
    Resume {
        /// How long it was away.
        paused_ms: u64,
    },
}

impl Decision {
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
            Self::Drain => "drain",
            Self::Resume { .. } => "resume",
        }
    }
}
