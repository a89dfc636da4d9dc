//! Where answers come from: the control thread of this process.

use std::path::PathBuf;

use control::Follow;
use displaydoc::Display;
use metrics_exporter_prometheus::PrometheusHandle;
use proxy::agent::Agent;
use proxy::entry::Entry;
use record::Line;
use serde_json::{
    json,
    Value, //
};
use thiserror::Error;
use utils::clock::Now;

/// The process that is looked at.
#[derive(Clone, Debug)]
pub enum Process {
    /// An entry.
    Entry(Entry),
    /// An agent.
    Agent(Agent),
}

/// What the interface is started with.
#[derive(Clone)]
pub struct Options {
    /// The file with the bearer token, if one is asked for. It is read for each request, so that a
    /// token can be changed without a restart.
    pub token_file: Option<PathBuf>,
    /// The metrics of this process.
    pub metrics: PrometheusHandle,
    /// Changes the log level. Returns what is allowed if the text is no level.
    pub set_level: fn(&str) -> Result<(), &'static str>,
}

/// Why an operator's request is refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub(crate) enum AdminError {
    /// the bearer token is missing or wrong
    Unauthorized,
    /// the token file cannot be read, so nobody is let in
    NoToken,
    /// only an entry knows this
    OnlyEntry,
    /// only an agent knows this
    OnlyAgent,
    /// {name}: {value:?} is not allowed, expected {allowed}
    Value {
        /// The field of the query.
        name: &'static str,
        /// The value found.
        value: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
    /// the process is ending
    Ending,
}

impl AdminError {
    /// The HTTP status and the word for the error.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            Self::Unauthorized => (401, "unauthorized"),
            Self::NoToken => (503, "no_token"),
            Self::OnlyEntry => (404, "only_entry"),
            Self::OnlyAgent => (404, "only_agent"),
            Self::Value { .. } => (400, "bad_value"),
            Self::Ending => (503, "ending"),
        }
    }
}

impl Process {
    /// Who the process is and how it is.
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

    /// Whether the process takes work.
    pub(crate) async fn is_ready(&self) -> Result<bool, AdminError> {
        let ready = match self {
            Self::Entry(entry) => entry.control().query(|s, _| s.is_ready()).await,
            Self::Agent(agent) => {
                let ready = |s: &control::agent::State, now: Now| s.status(now.elapsed).ready;
                agent.control().query(ready).await
            }
        };
        ready.ok_or(AdminError::Ending)
    }

    /// The sheet in force and how it came here.
    pub(crate) async fn sheet(&self) -> Result<Value, AdminError> {
        let value = match self {
            Self::Entry(entry) => {
                entry
                    .control()
                    .query(|s, _| sheet_value(s.follower()))
                    .await
            }
            Self::Agent(agent) => {
                agent
                    .control()
                    .query(|s, _| sheet_value(s.follower()))
                    .await
            }
        };
        value.ok_or(AdminError::Ending)
    }

    /// What is believed of targets, or known of the one beside this process.
    pub(crate) async fn targets(&self) -> Result<Value, AdminError> {
        let value = match self {
            Self::Entry(entry) => entry.control().query(entry_targets).await,
            Self::Agent(agent) => {
                let target = |s: &control::agent::State, now: Now| {
                    json!([{ "name": s.name(), "why": s.why(now.elapsed),
                             "status": s.status(now.elapsed) }])
                };
                agent.control().query(target).await
            }
        };
        value.ok_or(AdminError::Ending)
    }

    /// How far the weights are.
    pub(crate) async fn transfers(&self) -> Result<Value, AdminError> {
        let Self::Agent(agent) = self else {
            return Err(AdminError::OnlyAgent);
        };
        let (bytes, peak) = agent.store().usage();
        let transfer = agent.control().query(move |s, _| {
            let transfer = s.current_transfer()?;
            let (held, wanted) = transfer.progress();
            Some(json!({
                "manifest": transfer.plan().manifest(),
                "version": transfer.manifest().map(|m| &m.version),
                "pieces_held": held,
                "pieces": wanted,
                "complete": transfer.is_complete(),
                "uploads": transfer.uploads_running(),
                "bytes_held": bytes,
                "most_bytes_held": peak,
            }))
        });
        let transfer = transfer.await.ok_or(AdminError::Ending)?;
        Ok(json!(transfer.into_iter().collect::<Vec<Value>>()))
    }

    /// Teams and their shares.
    pub(crate) async fn teams(&self) -> Result<Value, AdminError> {
        let teams = |follow: &Follow| {
            let teams = follow.sheet().map(|sheet| sheet.teams.clone());
            let teams = teams.unwrap_or_default().into_iter();
            let shares = teams.map(|(name, team)| (name.to_string(), json!(team.share)));
            Value::Object(shares.collect())
        };
        let value = match self {
            Self::Entry(entry) => entry.control().query(move |s, _| teams(s.follower())).await,
            Self::Agent(agent) => agent.control().query(move |s, _| teams(s.follower())).await,
        };
        value.ok_or(AdminError::Ending)
    }

    /// Requests that are not run any more.
    pub(crate) async fn quarantine(&self) -> Result<Value, AdminError> {
        let value = match self {
            Self::Entry(entry) => {
                entry
                    .control()
                    .query(|s, _| s.suspects().quarantined())
                    .await
            }
            Self::Agent(agent) => {
                agent
                    .control()
                    .query(|s, _| s.suspects().quarantined())
                    .await
            }
        };
        value.map(|list| json!(list)).ok_or(AdminError::Ending)
    }

    /// The last decisions.
    pub(crate) fn decisions(&self) -> Vec<Line> {
        match self {
            Self::Entry(entry) => entry.recent(),
            Self::Agent(agent) => agent.recent(),
        }
    }

    /// Where a request would go.
    pub(crate) async fn explain(&self, work: String, prompt: &str) -> Result<Value, AdminError> {
        let Self::Entry(entry) = self else {
            return Err(AdminError::OnlyEntry);
        };
        let prefix = entry.prefix_key(prompt);
        let explain = move |s: &control::entry::State, now: Now| {
            let explanation = s.explain(now.elapsed, &work, prefix);
            json!({ "work": work, "explanation": explanation })
        };
        let value = entry.control().query(explain).await;
        value.ok_or(AdminError::Ending)
    }

    /// Begins the shutdown of this process.
    pub(crate) fn drain(&self) {
        match self {
            Self::Entry(entry) => entry.control().send(control::entry::Event::Drain),
            Self::Agent(agent) => agent.control().send(control::agent::Event::Drain),
        }
    }
}

fn sheet_value(follow: &Follow) -> Value {
    let sheet = follow.sheet();
    json!({
        "version": follow.acceptance().version(),
        "digest": follow.acceptance().digest(),
        "refused": follow.acceptance().refusal().map(ToString::to_string),
        "missing_sections": follow.acceptance().missing().len(),
        "settled": follow.is_settled(),
        "watches_service": follow.is_watcher(),
        "neighbours": follow.neighbours(),
        "list_revision": follow.members().revision(),
        "data_centres": sheet.map(|sheet| &sheet.data_centres),
        "leaving": sheet.map(|sheet| &sheet.leaving),
    })
}

fn entry_targets(state: &control::entry::State, now: Now) -> Value {
    let hints = state.hints();
    let targets = hints.iter().map(|name| {
        json!({
            "name": name,
            "in_flight": hints.in_flight(name),
            "rests": hints.rests(now.elapsed, name),
            "status": hints.status(name),
        })
    });
    Value::Array(targets.collect())
}
