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
    Cut,
}

/// Why a try gave no answer.
#[derive(Debug, Error)]
pub(super) enum TryError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the replica is silent")]
    Silent,
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
            TryError::Silent | TryError::Call(CallError::Connect(_)) => place.unreachable(),
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
