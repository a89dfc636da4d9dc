//! The decisions that the record contains.

use protocol::{
    Fingerprint,
    Guard,
    Outcome,
    PromptPartId,
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
    /// The target is the first on the hash ring for the prompt's prefix, and it has capacity.
    Prefix,
    /// Targets before it on the hash ring are full, so the least loaded one was chosen.
    LeastLoaded,
    /// The request's ticket or key determines the target.
    Home,
}

/// A step of a target's switch to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwitchStep {
    /// Every piece is present and verified.
    Staged,
    /// The target accepts no new requests until it runs the version.
    TakenOut,
    /// The target was ordered to load the version.
    Ordered,
    /// The target runs the version and is in cold start.
    Cold,
    /// The target runs with its full limit.
    Warm,
    /// The target returned to cold start without an order.
    FellBack,
    /// The target runs a version that was not ordered.
    Differs,
}

/// What became of an order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The engine began to carry it out.
    Begun,
    /// The engine had carried out such an order before.
    InEffect,
    /// The engine refused it and never carries it out.
    Refused,
    /// No answer arrived. The engine may have accepted it, or may still do so.
    Missing,
    /// It was not sent, since what it relies on may have changed.
    NotSent,
}

/// What a check of the pieces found that an engine may have loaded before they were verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadCheck {
    /// All pieces are intact, and so they were when the engine took them.
    Intact,
    /// A piece is missing or corrupt, or pieces were written since.
    Changed,
    /// The pieces could not be compared.
    Unreadable,
}

/// What became of an order to load weights, or what shows whether its weights may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadEvent {
    /// The engine accepted the order while the check of the pieces was young.
    Accepted,
    /// The engine accepted the order, but the check of the pieces was too old when the answer arrived.
    AnsweredLate,
    /// The engine refused the order, since the time until which it could be accepted had passed.
    TooLate,
    /// The engine refused the order for another reason.
    Refused,
    /// The engine did not answer, and may accept the order yet.
    NoAnswer,
    /// The order was outdated before it was sent.
    NotSent,
    /// The engine loads weights without an order, or after an order that got no answer.
    NotOrdered,
    /// A check that began after the acceptance found the pieces unchanged.
    Verified,
    /// Pieces were changed when they were checked after the order, so the engine is ordered to load again.
    PiecesChanged,
}

/// A decision, as written to the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// The process activated a sheet.
    Adopt {
        /// The digest of its index.
        digest: Digest,
    },
    /// The process rejected a sheet.
    RefuseSheet {
        /// Why the sheet is invalid.
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
        /// Why this target was chosen.
        rule: RouteRule,
        /// The target.
        target: Name,
        /// The targets considered, in order.
        considered: Vec<Name>,
        /// The number of the attempt, from one.
        attempt: u32,
    },
    /// An entry responds to a caller without a response from a target.
    Reject {
        /// The request.
        request: u64,
        /// The model or service.
        work: Name,
        /// The caller's team.
        team: Name,
        /// The outcome that is reported to the caller.
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
        /// The protection against repeated runs.
        guard: Guard,
        /// Identifies requests with the same content.
        fingerprint: Fingerprint,
        /// The version of the model that runs the request.
        version: Option<Name>,
        /// Number of running requests, including this one.
        running: u32,
        /// Maximum number of concurrently running requests.
        limit: u32,
    },
    /// An agent refuses to run a request.
    Refuse {
        /// The request.
        request: u64,
        /// The reason.
        refusal: Refusal,
    },
    /// A request ended at a target.
    End {
        /// The request.
        request: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// An agent downloads a piece of weights.
    Draw {
        /// The digest of the manifest.
        manifest: Digest,
        /// The number of the piece.
        piece: Piece,
        /// The instance that supplies the piece, or `None` for the origin.
        from: Option<Name>,
    },
    /// A downloaded piece did not match its digest.
    Corrupt {
        /// The digest of the manifest.
        manifest: Digest,
        /// The number of the piece.
        piece: Piece,
        /// The instance that supplied the piece, or `None` for the origin.
        from: Option<Name>,
    },
    /// A target takes a step of a switch to a version.
    Switch {
        /// The model.
        model: Name,
        /// The version.
        version: Name,
        /// The digest of the version's manifest.
        manifest: Digest,
        /// The step.
        step: SwitchStep,
        /// The fencing number of the order.
        fence: u64,
    },
    /// Something about a load of weights by the target that the process does not control.
    Load {
        /// The model.
        model: Name,
        /// The version.
        version: Name,
        /// What happened.
        event: LoadEvent,
        /// Duration of the check of the pieces in milliseconds.
        check_ms: u64,
        /// Age of its oldest reading in milliseconds, for an answer when it arrived.
        reading_age_ms: u64,
    },
    /// A target crashed while running requests with this fingerprint.
    Suspect {
        /// The fingerprint of the requests.
        fingerprint: Fingerprint,
        /// The target that crashed.
        target: Name,
        /// Whether such requests are no longer run.
        quarantined: bool,
        /// The request that ran, if this process sent it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<Name>,
        /// Number of crashes under such requests that this process knows of and has not cleared.
        #[serde(default)]
        crashes: usize,
        /// The parts of the request's prompt that other requests may share, if this process sent it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        prompt_parts: Vec<PromptPartId>,
    },
    /// A request during which a target crashed ended normally at another target, so it did not
    /// cause the crash.
    SuspectCleared {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The request.
        request: Name,
        /// How it ended.
        outcome: Name,
    },
    /// Requests whose prompt has this part, and those that it is quarantined `together` with, are no longer
    /// sent to targets, or are sent again.
    PromptPart {
        /// The part.
        part: PromptPartId,
        /// Whether they are not sent.
        quarantined: bool,
        /// Parts that the same crashes speak against. A request without one of them is sent.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        together: Vec<PromptPartId>,
        /// Number of crashes under the part that this process knows of and has not cleared.
        crashes: usize,
        /// Whether requests with the part had run to completion before, as far as this process knows.
        #[serde(default)]
        completed: bool,
        /// Other parts with enough crashes in common with this one to be quarantined in its place.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rivals: Vec<PromptPartId>,
        /// Those of the rivals with which requests had run to completion before.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        completed_rivals: Vec<PromptPartId>,
    },
    /// A request is sent although it, or a part of its prompt, may crash targets: its end shows whether it
    /// does.
    QuarantineTest {
        /// The request.
        request: Name,
        /// The target.
        target: Name,
        /// The parts that are tested, or none if the request itself is.
        prompt_parts: Vec<PromptPartId>,
    },
    /// The process activated a configuration.
    Configure {
        /// Its version.
        version: u64,
        /// The version of the previous configuration.
        before: Option<u64>,
        /// Number of its routes.
        routes: usize,
        /// Number of its teams.
        teams: usize,
        /// Whether it has a list of teams, be it an empty one.
        #[serde(default)]
        lists_teams: bool,
        /// Number of the keys that callers may use.
        #[serde(default)]
        keys: usize,
        /// Whether requests need a key on routes that do not allow anonymous callers.
        #[serde(default)]
        asks_for_keys: bool,
        /// Upper bound of the time since it was published, in milliseconds. `None` if the process
        /// already found it at its start.
        #[serde(default)]
        age_ms: Option<u64>,
    },
    /// The platform's store gave a large or slow answer.
    StoreAnswer {
        /// Milliseconds from sending the call until the answer was complete.
        took_ms: u64,
        /// Bytes of the answer.
        bytes: usize,
        /// Number of values that were used.
        values: usize,
        /// Whether all values were read, instead of the changes since the last answer.
        full: bool,
    },
    /// A target was added to the list, or its entry changed.
    Target {
        /// The target.
        target: Name,
        /// Its service.
        service: Name,
        /// Its address.
        address: Name,
        /// Whether the target was unknown before.
        is_new: bool,
        /// Whether it accepts no new requests because of a planned stop.
        draining: bool,
        /// Remaining time of its cold start, in milliseconds.
        cold_ms: u64,
        /// The version of the weights that it runs.
        version: Option<u64>,
    },
    /// The entry of a target is missing from the list. The target is kept in case it comes back.
    TargetMissing {
        /// The target.
        target: Name,
        /// Milliseconds for which it is kept.
        kept_ms: u64,
        /// Milliseconds for which it is kept if more targets of its service are missing than listed.
        kept_by_majority_ms: u64,
    },
    /// A target is no longer used.
    TargetGone {
        /// The target.
        target: Name,
        /// Why it is no longer used.
        reason: Name,
    },
    /// An agent reported the status of its engine.
    Engine {
        /// The target.
        target: Name,
        /// The version that the engine runs.
        version: Option<u64>,
        /// Whether it accepts no new requests until it has changed its weights.
        switching: bool,
    },
    /// A target temporarily receives no requests because too many of its responses failed.
    Rest {
        /// The target.
        target: Name,
        /// The request that failed last.
        request: Name,
        /// The share of failures among its latest responses, in percent.
        failing_percent: u32,
    },
    /// What a target says of itself in its answers changed.
    TargetNotice {
        /// The target.
        target: Name,
        /// The request whose answer says so.
        request: Name,
        /// Requests per second that it takes from all processes together, if it limits them.
        requests_per_second: Option<f64>,
        /// Milliseconds since the target named the limit; more than zero if an agent passed it on.
        age_ms: u64,
        /// Whether it leaves.
        is_leaving: bool,
        /// How much longer it wants no requests from this process, in milliseconds.
        pause_ms: u64,
    },
    /// The learned number of concurrent requests that a target handles well changed by a quarter or more.
    LearnedLimit {
        /// The target.
        target: Name,
        /// The limit in the line before.
        before: f64,
        /// The limit now.
        limit: f64,
        /// Why it changed last.
        cause: Name,
    },
    /// A data centre was taken out of service or back in.
    DataCentre {
        /// The data centre.
        name: Name,
        /// Whether it is out of service.
        out: bool,
    },
    /// Operators selected a version of a model's weights.
    VersionNamed {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// Milliseconds since it was selected, if known.
        age_ms: Option<u64>,
    },
    /// The lease of the configuration expired or became valid again.
    Lease {
        /// Whether the process may use the configuration.
        valid: bool,
        /// Upper bound of its age, in milliseconds.
        age_ms: u64,
    },
    /// A request is forwarded to a target.
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
        /// The number of the attempt, from one.
        attempt: u32,
        /// How long the request waited for capacity, in milliseconds.
        waited_ms: u64,
        /// Upper bound of the configuration's age, in milliseconds.
        lease_ms: u64,
        /// Number of requests at the target, as far as known.
        load: u32,
        /// Number of agents that were asked for a reservation.
        #[serde(default)]
        asked: u32,
        /// Round trip of the reservation with the target's agent, in milliseconds, if it replied.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        way_ms: Option<u64>,
        /// Believed round trip of the path to the target's region in milliseconds, if that is another one
        /// and agents there were asked. Zero if none has been measured.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        path_ms: Option<u64>,
        /// Milliseconds since an agent of that region last replied, if one has.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        path_age_ms: Option<u64>,
        /// Requests per second that the target takes from all processes together, if it limits
        /// them, and the age of that notice in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<(f64, u64)>,
        /// The version of the weights that must serve the request.
        version: Option<u64>,
        /// Why the request was let in without the key of a team, if it was: `open_route` or `no_keys_asked`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        without_key: Option<Name>,
        /// Milliseconds since the entry of the target was found to be missing from the list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        missing_ms: Option<u64>,
    },
    /// A request is not forwarded to a target because of the reply of the target's agent.
    NoPlace {
        /// The request.
        request: Name,
        /// The target.
        target: Name,
        /// Whether the target accepts requests now. It does not if it is about to load weights, and
        /// may not in cold start.
        open: bool,
        /// Number of requests at the target, from all processes.
        requests: u32,
        /// Number of their prompt tokens that the target has not prefilled yet.
        unread: u32,
    },
    /// A request is rejected without a response from a target.
    TurnAway {
        /// The request.
        request: Name,
        /// The route, if one matched.
        route: Option<Name>,
        /// The reason.
        reason: Name,
        /// Whether the request is known not to have run.
        not_run: bool,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
        /// How long the process held the request, in milliseconds.
        held_ms: u64,
        /// Number of targets to which it was sent.
        attempts: u32,
        /// Whether its timeout says that the caller was rejected before.
        #[serde(default)]
        returned: bool,
        /// Upper bound of the configuration's age, in milliseconds.
        lease_ms: u64,
    },
    /// The exchange of a request and response with a target ended.
    Exchange {
        /// The request.
        request: Name,
        /// The target.
        target: Name,
        /// The outcome.
        outcome: Name,
        /// Its duration in milliseconds.
        took_ms: u64,
        /// Milliseconds from the decision until the request was handed to a connection, if it was.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        sent_after_ms: Option<u64>,
        /// Milliseconds that opening this connection took. `None` if an idle one was used.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connected_ms: Option<u64>,
        /// Milliseconds from sending the request to the first part of the response, if any.
        first_ms: Option<u64>,
        /// The longest pause between two parts of the response, in milliseconds.
        pause_ms: u64,
    },
    /// A caller disconnected before the response was complete.
    CallerLeft {
        /// The request.
        request: Name,
        /// How long the process held the request, in milliseconds.
        held_ms: u64,
        /// Whether a target was processing the request.
        running: bool,
    },
    /// A system on which this process depends became unreachable or reachable.
    Dependency {
        /// The name of the system.
        name: Name,
        /// Whether it is reachable.
        up: bool,
        /// The error or other details.
        detail: Name,
    },
    /// The process started, reloaded its settings or is stopping.
    Process {
        /// The event: `start`, `reload` or `stop`.
        step: Name,
        /// Details, such as versions and addresses.
        detail: Name,
    },
    /// Every piece of a version is stored for an engine and verified.
    Staged {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// Milliseconds since the process learned of the version.
        after_ms: u64,
    },
    /// An engine was ordered to load a version.
    Order {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// The only layer that it loads, so that it runs nothing on the version before. `None` for all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        layer: Option<u32>,
        /// The version that the engine runs until then.
        before: Option<u64>,
        /// Milliseconds since the process learned of the version.
        after_ms: u64,
        /// Milliseconds since the engine's pieces began to be verified for the last time. `None` if the
        /// engine holds the layer already.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checked_ms: Option<u64>,
        /// Milliseconds that this check of the pieces took.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        check_took_ms: Option<u64>,
    },
    /// The pieces were checked that an engine may have loaded on too old a check.
    LoadChecked {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// The only layer that was checked. `None` for all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        layer: Option<u32>,
        /// What was found.
        result: LoadCheck,
        /// Milliseconds that the check took.
        took_ms: u64,
    },
    /// An order to load was answered, or its answer is no longer waited for.
    OrderAnswered {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// The only layer to load. `None` for all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        layer: Option<u32>,
        /// What became of the order.
        answer: OrderAnswer,
        /// Milliseconds since the order was decided.
        after_ms: u64,
        /// Milliseconds since the first of the pieces that the order relies on was read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checked_ms: Option<u64>,
    },
    /// A target was silent for as long as it may be while it answered a request.
    Silent {
        /// The request's id.
        request: Name,
        /// The target.
        target: Name,
        /// Whether the request waits on, since no other target can go on with it, or none did.
        kept: bool,
        /// Whether the caller has received a part of the answer.
        begun: bool,
    },
    /// The connection of a caller ended in another way than callers expect.
    ConnectionEnded {
        /// Why it ended.
        cause: Name,
        /// What it was doing: `idle`, `head` or `request`.
        stage: Name,
        /// How long it was doing that, in milliseconds.
        stage_ms: u64,
        /// How long it was open, in milliseconds.
        age_ms: u64,
        /// The number of requests whose heads were received on it.
        requests: u64,
        /// The version of the configuration in force when it was opened.
        opened_under: u64,
        /// Whether the caller had sent bytes that were not read as a request.
        unread: bool,
    },
    /// Lines were dropped because the output was too slow.
    Dropped {
        /// Number of dropped lines.
        lines: u64,
    },
    /// The process started to shut down.
    Drain,
    /// The process resumed after a pause, such as a suspension of its instance.
    Resume {
        /// The duration of the pause in milliseconds.
        paused_ms: u64,
    },
}

impl Decision {
    /// Returns the name of the request, as known to the caller, if the decision carries one.
    pub fn request_name(&self) -> Option<&str> {
        match self {
            Self::Forward { request, .. }
            | Self::TurnAway { request, .. }
            | Self::Exchange { request, .. }
            | Self::CallerLeft { request, .. }
            | Self::Rest { request, .. }
            | Self::NoPlace { request, .. }
            | Self::Silent { request, .. }
            | Self::SuspectCleared { request, .. }
            | Self::TargetNotice { request, .. } => Some(request),
            Self::Suspect { request, .. } => request.as_deref(),
            _ => None,
        }
    }

    /// Returns the kind of the decision, as written to the record.
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
            Self::Load { .. } => "load",
            Self::Suspect { .. } => "suspect",
            Self::SuspectCleared { .. } => "suspect_cleared",
            Self::PromptPart { .. } => "prompt_part",
            Self::QuarantineTest { .. } => "quarantine_test",
            Self::Configure { .. } => "configure",
            Self::StoreAnswer { .. } => "store_answer",
            Self::Target { .. } => "target",
            Self::TargetMissing { .. } => "target_missing",
            Self::TargetGone { .. } => "target_gone",
            Self::Engine { .. } => "engine",
            Self::Rest { .. } => "rest",
            Self::TargetNotice { .. } => "target_notice",
            Self::LearnedLimit { .. } => "learned_limit",
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
            Self::LoadChecked { .. } => "load_checked",
            Self::OrderAnswered { .. } => "order_answered",
            Self::Silent { .. } => "silent",
            Self::ConnectionEnded { .. } => "connection_ended",
            Self::Dropped { .. } => "dropped",
            Self::Drain => "drain",
            Self::Resume { .. } => "resume",
        }
    }
}
