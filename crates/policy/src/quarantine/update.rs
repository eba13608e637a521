//! Messages between routers about what crashes replicas.

use {
    super::Suspect,
    crate::{
        placement::ReplicaKey,
        Span, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// A replica ended that had just started a request with a suspect, or was about to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The suspect.
    #[serde(rename = "digest")]
    pub suspect: Suspect,
    /// The incarnation of the replica.
    pub replica: ReplicaKey,
    /// Time since it ended.
    pub age: Span,
}

/// A replica answered a request with a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The suspect.
    #[serde(rename = "digest")]
    pub suspect: Suspect,
    /// Time since the answer.
    pub age: Span,
}

/// A suspect whose requests no router sends to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The suspect.
    #[serde(rename = "digest")]
    pub suspect: Suspect,
    /// Remaining time of the hold.
    pub left: Span,
}

/// What a router reports to the others.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Ends of replicas that it saw recently, and those under held suspects.
    pub ended: Vec<Ended>,
    /// Recent answers to requests with suspects.
    pub answered: Vec<Answered>,
    /// All suspects that it holds.
    pub held: Vec<Held>,
}
