//! What routers say to each other.

use {
    platform::{
        store::{
            PartHash,
            Revision,
            WriteId, //
        },
        Listed, //
    },
    policy::{
        members::{
            Heartbeat,
            Intro, //
        },
        tickets::{
            Ask,
            Reply, //
        },
        Message,
        ReplicaId,
        RouterId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::sync::Arc,
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
    Ticket(Ask),
    /// The configuration, if it is above a revision.
    Config(Have),
    /// The list of instances, if it is another than this revision.
    List(u64),
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The routers that the one asked knows, itself among them.
    Hello(Vec<Known>),
    /// What came of the ticket.
    Ticket(Reply),
    /// The configuration.
    Config(Option<Box<Delta>>),
    /// The list of instances.
    List(Option<Box<Listed>>),
}

/// A router and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) id: RouterId,
    pub(crate) intro: Intro,
}

/// What the asker of a configuration has already.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Have {
    /// The revision in force; 0 for none.
    pub(crate) revision: u64,
    /// The parts it knows, which need not be sent again.
    pub(crate) parts: Vec<PartHash>,
}

/// A configuration, without the parts that the asker has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) revision: Revision,
    pub(crate) writer: String,
    pub(crate) write: WriteId,
    pub(crate) parts: Vec<DeltaPart>,
}

/// One part of a [`Delta`], in its place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DeltaPart {
    /// The asker has it.
    Known {
        /// Its name, which may be new.
        name: String,
        /// Its content's hash.
        hash: PartHash,
    },
    /// The asker needs it.
    New {
        /// Its name.
        name: String,
        /// Its content.
        text: Arc<str>,
    },
}
