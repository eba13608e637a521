//! Which routers take callers, and who of the others is there.
//!
//! A router decides well if it knows what the others sent a moment ago. If each of hundreds tells
//! each other, either the words take all of the processor and the links, or they come seconds
//! late. So callers are pointed to a few routers, the active ones, as many as the load needs; these
//! tell each other many times a second. The others stand by: they serve whoever comes, know the
//! configuration, the replicas and who is there, and take an active one's place when it is gone.
//!
//! Nobody elects the active ones. Each router works them out from whom it hears, and routers that
//! hear the same get the same. Where two disagree for a while, some more routers take callers.

mod choice;
mod contacts;
mod due;
mod peer;
mod rate;
mod set;
mod table;

pub use self::{
    choice::{
        choose,
        Member, //
    },
    due::{
        Recipients,
        HELLO_EVERY, //
    },
    peer::{
        router_key,
        HelloKind,
        Peer, //
        RouterInfo,
    },
    table::{
        Actives,
        LoadFlags, //
    },
};
