//! Which routers are there, from the platform's lagging list and from heartbeats.
//!
//! The list only says where to look. Whether a router is up is decided by heartbeats: a
//! small fleet beats everyone, a large one its successors on a hash ring and a few picked
//! at random. News of others travel inside heartbeats as updates, each with the sequence
//! number of the last heartbeat it rests on, so that the fresher evidence wins.

mod gaps;
mod gossip;
mod member;
mod messages;
mod news;
mod params;
mod peer;
mod ring;
mod rounds;
mod table;

pub use self::{
    member::{
        Listed,
        Member,
        State, //
    },
    messages::{
        Event,
        GossipUpdate,
        Heartbeat,
        Intro,
        ReportedState, //
    },
    params::MembershipParams,
    table::{
        LocalStatus,
        Members, //
    },
};
