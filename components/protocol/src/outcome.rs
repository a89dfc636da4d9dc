//! Outcomes of requests.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Why a request was not run. No byte of it was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// the target has no room, come back in {retry_after_ms} ms
    Busy {
        /// Delay before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// the target runs no whole version
    NotReady,
    /// the process is shutting down
    Draining,
    /// the data centre is out of service
    DataCentreOut,
    /// the instance is leaving
    Leaving,
    /// the sheet places other work on this instance
    WrongTarget,
    /// the target runs another version than the one that began the answer
    OtherVersion,
    /// the process woke from a pause and has not yet compared its sheet
    Resuming,
    /// the deadline passed before the request could start
    Expired,
    /// requests like this one crashed several targets
    Quarantined,
    /// another request that may crash the target runs there
    SuspectRunning,
    /// this instance is not the home of the key
    NotHome,
    /// the key was issued later than the sheet vouches for its home
    SheetTooOld,
    /// the key was issued in the future
    StampAhead,
    /// the table of keys is full
    KeysFull,
    /// no target is in service
    NoTarget,
    /// the home of the key cannot be reached
    HomeUnreachable,
    /// the budget for retries is spent
    RetryBudget,
    /// the sheet no longer names the caller's team
    TeamRemoved,
}

impl Refusal {
    /// Returns the code of the refusal in responses and in the record.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Busy { .. } => "busy",
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::DataCentreOut => "data_centre_out",
            Self::Leaving => "leaving",
            Self::WrongTarget => "wrong_target",
            Self::OtherVersion => "other_version",
            Self::Resuming => "resuming",
            Self::Expired => "expired",
            Self::Quarantined => "quarantined",
            Self::SuspectRunning => "suspect_running",
            Self::NotHome => "not_home",
            Self::SheetTooOld => "sheet_too_old",
            Self::StampAhead => "stamp_ahead",
            Self::KeysFull => "keys_full",
            Self::NoTarget => "no_target",
            Self::HomeUnreachable => "home_unreachable",
            Self::RetryBudget => "retry_budget",
            Self::TeamRemoved => "team_removed",
        }
    }

    /// Returns whether another target may accept the request.
    pub fn may_succeed_elsewhere(&self) -> bool {
        !matches!(
            self,
            Self::Expired
                | Self::Quarantined
                | Self::SheetTooOld
                | Self::StampAhead
                | Self::NoTarget
                | Self::HomeUnreachable
                | Self::RetryBudget
                | Self::TeamRemoved
        )
    }
}

/// The state of an earlier submission of a request that may run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// It is running.
    Running,
    /// It ran, and the target responded.
    Ran {
        /// The HTTP status of the response.
        status: u16,
    },
    /// It may have run.
    Unknown,
}

/// The outcome of a request that was passed to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target's response is complete.
    Ran {
        /// The HTTP status of the response.
        status: u16,
    },
    /// It was not run.
    NotRun(Refusal),
    /// It was submitted before, with this result.
    Before(KeyState),
    /// Bytes were sent to the target, but no complete response was received.
    Unknown {
        /// Whether the target crashed.
        crashed: bool,
    },
}
