//! Fleet membership, from the platform's list of routers and from heartbeats.
//!
//! The list may be stale and only gives addresses. Heartbeats decide whether a router is up.
//! In a small fleet every router sends them to all others; in a large one to its successors on
//! a hash ring and to a few routers chosen at random. Heartbeats carry gossip about other
//! routers. Each update has the sequence number of the last heartbeat that it is based on, so
//! that the more recent evidence wins.

mod gossip;
mod intervals;
mod member;
mod messages;
mod params;
mod peer;
mod receive;
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
        ReportedState,
        RouterAddresses, //
    },
    params::MembershipParams,
    table::{
        LocalStatus,
        Members, //
    },
};
