//! The outcome of a request, as reported to its caller.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        str::FromStr, //
    },
    thiserror::Error, //
};

/// The final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer was passed on.
    Answered,
    /// No byte of the request was written to an endpoint.
    NotRun,
    /// An endpoint may have run it, and no complete answer is known.
    MayHaveRun,
    /// The endpoint reported that it failed.
    Failed,
}

/// Why a request was rejected before it was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The workspace has the maximum number of queued requests.
    QueueFull,
    /// It cannot be served within its deadline.
    Late,
    /// Its deadline passed while it was queued.
    Expired,
    /// No endpoint of the service takes requests.
    NoEndpoint,
    /// This router is shutting down.
    Leaving,
    /// The retry budget is spent.
    Budget,
}

/// The text is not an outcome.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no outcome; expected `answered`, `not-run`, `may-have-run` or `failed`")]
pub struct OutcomeError(String);

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::MayHaveRun => "may-have-run",
            Outcome::Failed => "failed",
        })
    }
}

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(s: &str) -> Result<Outcome, OutcomeError> {
        match s {
            "answered" => Ok(Outcome::Answered),
            "not-run" => Ok(Outcome::NotRun),
            "may-have-run" => Ok(Outcome::MayHaveRun),
            "failed" => Ok(Outcome::Failed),
            _ => Err(OutcomeError(s.to_owned())),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Refusal::QueueFull => "queue-full",
            Refusal::Late => "late",
            Refusal::Expired => "expired",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::Leaving => "leaving",
            Refusal::Budget => "retry-budget",
        })
    }
}
