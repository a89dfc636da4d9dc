//! Who may have requests run. The answer is found in one place: when a request arrives, and again for each
//! request in progress when another configuration comes into force.

use std::sync::Arc;
use std::time::Duration;

use utils::Name;

use super::config::{
    Route,
    Team, //
};
use super::pending::Pending;
use super::rejection::RejectionReason;
use super::state::State;
use super::table::RoutingTable;
use super::Effect;

/// The right of a caller to have a request run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// No configuration of this process had a list of teams, so callers need no key.
    Unrestricted,
    /// The route allows callers without a key, and the caller sent none.
    Anonymous,
    /// The team holds the caller's key.
    Team(Arc<Team>),
    /// The caller sent no key although one is needed, or one that no team holds.
    Denied,
}

impl Access {
    /// The team that holds the caller's key, if there is one.
    pub fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Team(team) => Some(team),
            Self::Unrestricted | Self::Anonymous | Self::Denied => None,
        }
    }

    /// Whether it may only be used for as long as keys may be accepted without hearing of changes.
    pub fn depends_on_keys(&self) -> bool {
        matches!(self, Self::Team(_) | Self::Denied)
    }

    /// Why a request may run without the key of a team, for the record. `None` if it has one or may not run.
    pub(super) fn reason_without_key(&self) -> Option<Name> {
        match self {
            Self::Unrestricted => Some("no_keys_asked".into()),
            Self::Anonymous => Some("open_route".into()),
            Self::Team(_) | Self::Denied => None,
        }
    }
}

impl RoutingTable {
    /// The right to have a request of `route` with this key run. A key that no team holds gives none, also on
    /// routes that allow callers without a key.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        if !self.asks_for_keys() {
            return Access::Unrestricted;
        }
        match key {
            Some(key) => self.team(key).cloned().map_or(Access::Denied, Access::Team),
            None if route.allows_anonymous => Access::Anonymous,
            None => Access::Denied,
        }
    }

    /// The access of a request in progress, by its route as it is now. A request of a route that was removed
    /// keeps the route that it was admitted by.
    fn pending_access(&self, pending: &Pending) -> Access {
        let key = pending.api_key.as_deref();
        let is_decided_by_route = key.is_none() && self.asks_for_keys();
        let current = if is_decided_by_route {
            self.route_named(&pending.route.name)
        } else {
            None
        };
        self.access(current.unwrap_or(&pending.route), key)
    }
}

impl State {
    /// Finds the access of all requests in progress anew after a change of the configuration. Rejects those that
    /// may not run any more and that no target has. A stream that has begun goes on.
    pub(super) fn update_access(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(table) = &self.table else {
            return;
        };
        let mut denied: Vec<u64> = Vec::new();
        for (token, pending) in &mut self.pending {
            let access = table.pending_access(pending);
            if access == Access::Denied && pending.response_started {
                continue;
            }
            let is_at_target = pending.assignment.is_some() && !pending.is_reserving;
            if access == Access::Denied && !is_at_target {
                denied.push(*token);
            }
            if let Some(silent) = &mut pending.silent {
                silent.access = access.clone();
            }
            pending.access = access;
        }
        denied.sort_unstable();
        for token in denied {
            if self.pending.get(&token).is_some_and(|p| p.is_reserving) {
                self.unassign(token);
            }
            self.reject(now, token, RejectionReason::UnknownKey, effects);
        }
    }
}
