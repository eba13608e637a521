//! Messages between routers.

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

/// A message that needs no answer. It may be lost, duplicated or delayed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Liveness, and what the sender knows of the other routers.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Shares and capacity, for the dispatch.
    #[serde(rename = "Share")]
    Dispatch(Message),
    /// A replica reported that it is leaving.
    Withdrawn(ReplicaId),
}

/// A question that needs an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Question {
    /// Which routers are known? Sent to the seed addresses of the settings.
    Hello(KnownRouter),
    /// Transfer of a ticket to the sender, which wants to start its request.
    Ticket(TransferRequest),
    /// The configuration, if it is newer than this revision.
    Config(Revision),
    /// The list of instances, if its revision is not this one.
    List(u64),
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The routers known to the receiver, itself included.
    Hello(Vec<KnownRouter>),
    /// Outcome of the transfer.
    Ticket(TransferReply),
    /// The configuration, as a delta; none if it is not newer.
    Config(Option<Box<Delta>>),
    /// The list of instances, as changes; none if the sender has it.
    List(Option<Box<Changes>>),
}

/// A router and its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownRouter {
    pub(crate) id: RouterId,
    #[serde(rename = "intro")]
    pub(crate) addresses: RouterAddresses,
}
