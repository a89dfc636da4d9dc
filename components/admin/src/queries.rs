//! Queries of the administration API, run on the control thread of this process.

use std::path::PathBuf;

use control::Follower;
use displaydoc::Display;
use metrics_exporter_prometheus::PrometheusHandle;
use proxy::agent::Agent;
use proxy::entry::Entry;
use record::RecordLine;
use serde_json::{
    json,
    Value, //
};
use thiserror::Error;
use utils::clock::ClockReading;

/// The process that the administration API serves.
#[derive(Clone, Debug)]
pub enum Process {
    /// An entry.
    Entry(Entry),
    /// An agent.
    Agent(Agent),
}

/// Options of the administration API.
#[derive(Clone)]
pub struct AdminOptions {
    /// The file with the bearer token, if one is required. It is read on each request, so that the
    /// token can be changed without a restart.
    pub token_file: Option<PathBuf>,
    /// The handle that renders the metrics of this process.
    pub metrics: PrometheusHandle,
    /// Sets the log level. Returns the allowed levels if the text is not one of them.
    pub set_level: fn(&str) -> Result<(), &'static str>,
}

/// Error of a request to the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub(crate) enum AdminError {
    /// the bearer token is missing or wrong
    Unauthorized,
    /// the token file cannot be read, so nobody is let in
    TokenUnavailable,
    /// only an entry knows this
    OnlyEntry,
    /// only an agent knows this
    OnlyAgent,
    /// {name}: {value:?} is not allowed, expected {allowed}
    InvalidValue {
        /// The name of the query parameter.
        name: &'static str,
        /// The invalid value.
        value: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
    /// the process is ending
    ShuttingDown,
}

impl AdminError {
    /// Returns the HTTP status and the error code.
    pub fn status_and_code(&self) -> (u16, &'static str) {
        match self {
            Self::Unauthorized => (401, "unauthorized"),
            Self::TokenUnavailable => (503, "no_token"),
            Self::OnlyEntry => (404, "only_entry"),
            Self::OnlyAgent => (404, "only_agent"),
            Self::InvalidValue { .. } => (400, "bad_value"),
            Self::ShuttingDown => (503, "ending"),
        }
    }
}

impl Process {
    /// Returns the identity and state of the process.
    pub(crate) async fn status(&self) -> Result<Value, AdminError> {
        let (role, identity) = match self {
            Self::Entry(entry) => ("entry", entry.identity()),
            Self::Agent(agent) => ("agent", agent.identity()),
        };
        let ready = self.is_ready().await?;
        Ok(json!({
            "role": role,
            "instance": identity.instance,
            "data_centre": identity.data_centre,
            "incarnation": identity.incarnation,
            "ready": ready,
            "sheet": self.sheet().await?,
        }))
    }

    /// Returns whether the process accepts requests.
    pub(crate) async fn is_ready(&self) -> Result<bool, AdminError> {
        let ready = match self {
            Self::Entry(entry) => entry.control().query(|s, _| s.is_ready()).await,
            Self::Agent(agent) => {
                let ready =
                    |s: &control::agent::State, now: ClockReading| s.status(now.elapsed).ready;
                agent.control().query(ready).await
            }
        };
        ready.ok_or(AdminError::ShuttingDown)
    }

    /// Returns the sheet in use and the state of its distribution.
    pub(crate) async fn sheet(&self) -> Result<Value, AdminError> {
        let value = match self {
            Self::Entry(entry) => {
                entry
                    .control()
                    .query(|s, _| sheet_to_json(s.follower()))
                    .await
            }
            Self::Agent(agent) => {
                agent
                    .control()
                    .query(|s, _| sheet_to_json(s.follower()))
                    .await
            }
        };
        value.ok_or(AdminError::ShuttingDown)
    }

    /// Returns what an entry knows of all targets, or an agent of its own target.
    pub(crate) async fn targets(&self) -> Result<Value, AdminError> {
        let value = match self {
            Self::Entry(entry) => entry.control().query(entry_targets_to_json).await,
            Self::Agent(agent) => {
                let target = |s: &control::agent::State, now: ClockReading| {
                    json!([{ "name": s.instance(), "why": s.refusal_code(now.elapsed),
                             "status": s.status(now.elapsed) }])
                };
                agent.control().query(target).await
            }
        };
        value.ok_or(AdminError::ShuttingDown)
    }

    /// Returns the progress of the agent's weight transfer.
    pub(crate) async fn transfers(&self) -> Result<Value, AdminError> {
        let Self::Agent(agent) = self else {
            return Err(AdminError::OnlyAgent);
        };
        let (bytes_held, most_bytes) = agent.store().usage();
        let transfer = agent.control().query(move |s, _| {
            let transfer = s.current_transfer()?;
            let (pieces_held, pieces) = transfer.progress();
            Some(json!({
                "manifest": transfer.plan().manifest(),
                "version": transfer.manifest().map(|m| &m.version),
                "pieces_held": pieces_held,
                "pieces": pieces,
                "complete": transfer.is_complete(),
                "uploads": transfer.active_uploads(),
                "bytes_held": bytes_held,
                "most_bytes_held": most_bytes,
            }))
        });
        let transfer = transfer.await.ok_or(AdminError::ShuttingDown)?;
        Ok(json!(transfer.into_iter().collect::<Vec<Value>>()))
    }

    /// Returns the shares of the teams.
    pub(crate) async fn teams(&self) -> Result<Value, AdminError> {
        let teams = |follower: &Follower| {
            let teams = follower.sheet().map(|sheet| sheet.teams.clone());
            let teams = teams.unwrap_or_default().into_iter();
            let shares = teams.map(|(name, team)| (name.to_string(), json!(team.share)));
            Value::Object(shares.collect())
        };
        let value = match self {
            Self::Entry(entry) => entry.control().query(move |s, _| teams(s.follower())).await,
            Self::Agent(agent) => agent.control().query(move |s, _| teams(s.follower())).await,
        };
        value.ok_or(AdminError::ShuttingDown)
    }

    /// Returns the quarantined requests, which no target runs any more.
    pub(crate) async fn quarantine(&self) -> Result<Value, AdminError> {
        let value = match self {
            Self::Entry(entry) => {
                entry
                    .control()
                    .query(|s, _| s.suspects().quarantined_requests())
                    .await
            }
            Self::Agent(agent) => {
                agent
                    .control()
                    .query(|s, _| s.suspects().quarantined_requests())
                    .await
            }
        };
        value
            .map(|list| json!(list))
            .ok_or(AdminError::ShuttingDown)
    }

    /// Returns the most recent decisions.
    pub(crate) fn decisions(&self) -> Vec<RecordLine> {
        match self {
            Self::Entry(entry) => entry.recent_lines(),
            Self::Agent(agent) => agent.recent_lines(),
        }
    }

    /// Returns the target that an entry would choose for a request, and why.
    pub(crate) async fn explain(&self, work: String, prompt: &str) -> Result<Value, AdminError> {
        let Self::Entry(entry) = self else {
            return Err(AdminError::OnlyEntry);
        };
        let prefix = entry.prefix_key(prompt);
        let explain = move |s: &control::entry::State, now: ClockReading| {
            let explanation = s.explain(now.elapsed, &work, prefix);
            json!({ "work": work, "explanation": explanation })
        };
        let value = entry.control().query(explain).await;
        value.ok_or(AdminError::ShuttingDown)
    }

    /// Starts the shutdown of this process.
    pub(crate) fn drain(&self) {
        match self {
            Self::Entry(entry) => entry.control().send(control::entry::Event::DrainRequested),
            Self::Agent(agent) => agent.control().send(control::agent::Event::DrainRequested),
        }
    }
}

fn sheet_to_json(follower: &Follower) -> Value {
    let sheet = follower.sheet();
    json!({
        "version": follower.sheet_collector().version(),
        "digest": follower.sheet_collector().digest(),
        "refused": follower.sheet_collector().rejection().map(ToString::to_string),
        "missing_sections": follower.sheet_collector().missing_sections().len(),
        "settled": follower.is_settled(),
        "watches_service": follower.is_watcher(),
        "neighbours": follower.neighbours(),
        "list_revision": follower.instances().revision(),
        "data_centres": sheet.map(|sheet| &sheet.data_centres),
        "leaving": sheet.map(|sheet| &sheet.leaving),
    })
}

fn entry_targets_to_json(state: &control::entry::State, now: ClockReading) -> Value {
    let hints = state.hints();
    let targets = hints.iter().map(|name| {
        json!({
            "name": name,
            "in_flight": hints.in_flight(name),
            "rests": hints.is_backing_off(now.elapsed, name),
            "status": hints.status(name),
        })
    });
    Value::Array(targets.collect())
}
