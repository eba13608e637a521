//! The way to a replica and back.

mod call;
mod events;
mod pool;

pub(crate) use self::{
    call::{
        call,
        CallError,
        Outgoing,
        Reply,
        Sent, //
    },
    events::{
        Events,
        EventsError, //
    },
    pool::Pool,
};
