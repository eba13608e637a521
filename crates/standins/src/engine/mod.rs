//! A model engine that batches continuously and admits whatever comes.

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
