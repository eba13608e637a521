//! The way to a replica and back.

mod call;
mod ended;
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
    ended::has_ended,
    events::{
        Events,
        EventsError, //
    },
    pool::Pool,
};
