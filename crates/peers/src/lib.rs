//! Between routers: messages, streams and heartbeats.
//!
//! Each router keeps one long-lived HTTP request towards every peer it has something to
//! say to. The body of that request is a row of frames, each one [`Frame`] in
//! MessagePack behind its length. Frames may be lost when a connection is replaced, so
//! whatever is sent this way must stand being lost, doubled or late. Questions that need
//! an answer go as a request of their own.

mod ask;
mod counted;
mod errors;
mod frame;
mod link;
mod links;
mod server;
mod source;

pub use self::{
    counted::Traffic,
    errors::AskError,
    frame::Incoming,
    links::{
        LinkTiming,
        Links, //
    },
    server::{
        serve,
        Handler, //
    },
};
