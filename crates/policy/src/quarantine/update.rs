//! Messages between routers about requests that crash replicas.

use {
    super::RequestDigest,
    crate::{
        placement::ReplicaKey,
        Span, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// A replica ended that had just started a request, or was about to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The request.
    pub digest: RequestDigest,
    /// The incarnation of the replica.
    pub replica: ReplicaKey,
    /// Time since it ended.
    pub age: Span,
}

/// A replica answered a suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The request.
    pub digest: RequestDigest,
    /// Time since the answer.
    pub age: Span,
}

/// A request that no router sends to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request.
    pub digest: RequestDigest,
    /// Remaining time of the hold.
    pub left: Span,
}

/// What a router reports to the others.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Ends of replicas that it saw recently.
    pub ended: Vec<Ended>,
    /// Recent answers to suspected requests.
    pub answered: Vec<Answered>,
    /// All requests that it holds.
    pub held: Vec<Held>,
}
