//! What routers say to each other.

use {
    super::{
        changes::Changes,
        delta::Delta, //
    },
    kvstore::store::Revision,
    policy::{
        members::{
            Heartbeat,
            RouterAddresses, //
        },
        tickets::{
            TransferReply,
            TransferRequest, //
        },
        Message,
        ReplicaId,
        RouterId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// A message that needs no answer. It may be lost, doubled or late.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Item {
    /// A sign of life.
    Beat(Heartbeat),
    /// About shares and capacity.
    Share(Message),
    /// A replica said that it is leaving.
    Withdrawn(ReplicaId),
}

/// A question that needs an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Question {
    /// Who is there? Asked of an address that the settings name.
    Hello(Known),
    /// May I start the request of this ticket?
    Ticket(TransferRequest),
    /// The configuration, if it is above this revision.
    Config(Revision),
    /// The list of instances, if it is another than this revision.
    List(u64),
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The routers that the one asked knows, itself among them.
    Hello(Vec<Known>),
    /// What came of the ticket.
    Ticket(TransferReply),
    /// The configuration.
    Config(Option<Box<Delta>>),
    /// The list of instances.
    List(Option<Box<Changes>>),
}

/// A router and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) id: RouterId,
    pub(crate) intro: RouterAddresses,
}
