//! Calls to endpoints: plain and streamed, with resume and cancel.
//!
//! All that touches `async-std` and `async-h1` on the way to an endpoint stands here.

mod body;
mod call;
mod client;
mod conn;
mod error;
mod event;
mod kept;
mod load;
mod names;
mod request;
mod run;
mod sse;

pub use self::{
    call::{
        Call,
        CallId,
        CallIdError,
        Header,
        Kind, //
    },
    client::{
        Answer,
        Client,
        Options,
        Whole, //
    },
    error::CallError,
    event::{
        End,
        Event, //
    },
    load::Load,
};
