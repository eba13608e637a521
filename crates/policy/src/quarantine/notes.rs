//! What routers tell each other of requests under which replicas end.

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

/// A replica ended that had just begun a request, or was about to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The request.
    pub digest: RequestDigest,
    /// The start of the replica.
    pub replica: ReplicaKey,
    /// How long ago.
    pub age: Span,
}

/// A replica answered a request that was suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The request.
    pub digest: RequestDigest,
    /// How long ago.
    pub age: Span,
}

/// A request that no router sends to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request.
    pub digest: RequestDigest,
    /// For how much longer.
    pub left: Span,
}

/// What a router tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// What it saw of late.
    pub ended: Vec<Ended>,
    /// What was answered of late, of what was suspected.
    pub answered: Vec<Answered>,
    /// All that it holds back.
    pub held: Vec<Held>,
}
