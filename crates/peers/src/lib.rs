//! Message streams between routers, and questions to single peers.
//!
//! Each router keeps one long-lived HTTP request open to every peer that it sends messages to. The
//! body of that request is a sequence of frames, each encoded in MessagePack and preceded by its
//! length. Frames may be lost when a connection is replaced, so messages must tolerate loss,
//! duplication and delay. A question that needs an answer is sent as a separate request.

mod ask;
mod body_stream;
mod errors;
mod frame;
mod limits;
mod link;
mod links;
mod server;
mod traffic;

pub use self::{
    errors::AskError,
    frame::Incoming,
    limits::PeerLimits,
    links::{
        LinkTiming,
        Links, //
    },
    server::{
        serve,
        Handler, //
    },
    traffic::Traffic,
};
