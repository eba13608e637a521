//! Connections and requests to replicas.

mod call;
mod events;
mod pool;
mod probe;
mod upload;

pub(crate) use self::{
    call::{
        call,
        CallError,
        CallHooks,
        InvalidReply,
        Reply,
        SendMarker,
        UpstreamRequest, //
    },
    events::{
        EventError,
        EventSplitter, //
    },
    pool::Pool,
    probe::{
        has_ended,
        has_ended_or_ends, //
    },
};
