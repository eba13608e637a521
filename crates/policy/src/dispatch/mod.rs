//! Which request starts where and when, across the fleet.

mod action;
mod core;
mod dump;
mod job;
mod member;
mod message;
mod rules;

pub use self::{
    action::Action,
    core::Dispatch,
    dump::{
        DispatchDump,
        OwnerView,
        QueueDump,
        ReplicaDump,
        ServiceDump, //
    },
    job::{
        Finish,
        Job,
        JobId, //
    },
    member::{
        Peer,
        PeerState,
        Replica, //
    },
    message::Message,
    rules::{
        Mode,
        Rules,
        ServiceRules,
        Unit,
        WorkspaceShare, //
    },
};
