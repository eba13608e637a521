//! Fair scheduling of requests across the fleet: which request starts on which replica, and when.

mod action;
mod core;
mod dump;
mod exchange;
mod job;
mod member;
mod message;
mod ownership;
mod peers;
mod reject;
mod rules;

pub(crate) use self::{
    message::{
        service_key,
        ReplicaLoad,
        ReplicaLoads,
        ServiceKey,
        WorkspaceDemand, //
    },
    peers::ServicePeers,
};

pub use self::{
    action::Action,
    core::Dispatch,
    dump::{
        DispatchDump,
        GranteeDump,
        PreferredRouter,
        QueueDump,
        ReplicaDump,
        ServiceDump, //
    },
    job::{
        Completion,
        Job,
        JobId, //
    },
    member::{
        Peer,
        PeerState,
        Replica, //
    },
    message::{
        Message,
        Report,
        SlotGrant, //
    },
    rules::{
        Mode,
        Rules,
        ServiceRules,
        Unit,
        WorkspaceShare, //
    },
};
