//! What comes of a request's tries.

use {
    super::{
        answer::Own,
        place::Place, //
    },
    crate::{
        http::ReadError,
        upstream::CallError, //
    },
    thiserror::Error, //
};

/// How a request ended for its caller.
#[derive(Debug)]
pub(crate) enum Flow {
    /// It gets this answer.
    Own(Own),
    /// It has its answer; the connection is kept.
    Passed,
    /// What it has of its answer is cut off, or it is gone.
    Cut(Cut),
}

/// Why an answer that had begun was cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// The caller's connection closed or broke.
    Caller,
    /// The time of the request was over.
    Time,
    /// The replica's answer broke, and no other replica was tried.
    NoRetry(NoRetry),
    /// The replica's answer broke, and no other replica was to be had.
    Refused(Refusal),
}

/// Why a request is not sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoRetry {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// The route allows no more attempts.
    Attempts,
    /// Too little time is left.
    Time,
    /// The retry budget of its service is spent.
    Budget,
    /// Too many tries reached nobody.
    Unreached,
}

/// Why no replica is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// Replicas ended one after the other when they had just begun it.
    Held,
    /// No replica of its service takes work.
    NoReplica,
    /// The replicas of its service are full.
    Full,
}

impl Cut {
    /// Returns a short name, for metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Cut::Caller => "caller",
            Cut::Time | Cut::NoRetry(NoRetry::Time) => "time",
            Cut::NoRetry(NoRetry::MayHaveRun) => "not-repeatable",
            Cut::NoRetry(NoRetry::Attempts) => "attempts",
            Cut::NoRetry(NoRetry::Budget) => "budget",
            Cut::NoRetry(NoRetry::Unreached) => "unreached",
            Cut::Refused(Refusal::Held) => "held",
            Cut::Refused(Refusal::NoReplica) => "no-replica",
            Cut::Refused(Refusal::Full) => "full",
        }
    }
}

impl Refusal {
    /// Returns what callers and logs are told.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Refusal::Held => "replicas end when they run this request",
            Refusal::NoReplica => "no replica of its service takes work",
            Refusal::Full => "the replicas of its service are full",
        }
    }
}

/// Why a try gave no answer.
#[derive(Debug, Error)]
pub(super) enum TryError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the answer is not signed")]
    Unsigned,
}

impl From<ReadError> for TryError {
    fn from(e: ReadError) -> TryError {
        TryError::Call(CallError::Read(e))
    }
}

impl TryError {
    /// Notes what it says of the replica.
    pub(super) fn note(&self, place: &Place) {
        match self {
            TryError::Call(CallError::Connect(_)) => place.unreachable(),
            TryError::Call(_) | TryError::Unsigned => place.broken(),
        }
    }

    /// Tells whether the connection was lost on which the request had been sent.
    pub(super) fn lost_connection(&self) -> bool {
        let lost = |e: &ReadError| matches!(e, ReadError::Closed | ReadError::Broken(_));
        matches!(self, TryError::Call(CallError::Read(e)) if lost(e))
    }
}

/// What came of a try.
pub(super) enum Step {
    End(Flow),
    /// It reached a replica that may have run it, or that broke off.
    Lost,
    /// It reached nobody.
    Unreached,
    /// A replica turned it away without running it.
    TurnedAway,
    /// It failed, and another send was taken from the budget.
    Again,
}
