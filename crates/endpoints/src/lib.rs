//! Calls to endpoints: plain and streamed, with resume and cancel.
//!
//! Code on the path to endpoints uses `async-std` and `async-h1` only in this crate.

mod body;
mod call;
mod client;
mod conn;
mod error;
mod event;
mod header_names;
mod load;
mod pool;
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
        CompleteAnswer,
        Options, //
    },
    error::CallError,
    event::{
        End,
        Event, //
    },
    load::Load,
};
