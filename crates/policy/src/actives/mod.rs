//! Active routers, and which other routers are alive.
//!
//! A router decides well if it knows what the others have sent until a moment ago. If hundreds of
//! routers exchange this with each other, either the messages take up the processors and links, or
//! they arrive seconds late. So callers are directed to a few active routers, as many as the load
//! needs, which exchange messages many times a second. The others are standbys: they serve any
//! caller, know the configuration, the replicas and the other routers, and replace an active router
//! that fails.
//!
//! There is no election. Each router computes the active set from the routers that it receives
//! messages from, and routers with the same view compute the same set. While two of them disagree,
//! a few more routers serve callers.

mod choice;
mod contacts;
mod holders;
mod peer;
mod rate;
mod recipients;
mod set;
mod table;

pub use self::{
    choice::{
        choose,
        Member, //
    },
    peer::{
        router_key,
        HelloKind,
        Peer,
        RouterInfo, //
    },
    recipients::{
        Recipients,
        Urgency,
        HELLO_EVERY, //
    },
    table::{
        Actives,
        LoadFlags, //
    },
};
