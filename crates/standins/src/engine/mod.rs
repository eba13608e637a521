//! A model engine with continuous batching that admits all requests.

mod admin;
mod batch;
mod generation;
mod server;
mod text;

pub use self::{
    batch::{
        Busy,
        Load, //
    },
    server::{
        start,
        Handle,
        Opts, //
    },
    text::{
        expected,
        tokens_asked, //
    },
};
