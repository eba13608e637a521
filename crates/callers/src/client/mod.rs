//! A client of the callers' interface, for our own commands, the demo and measurements.

mod call;
mod eager;
mod exchange;
mod known;
mod pool;
mod settings;
mod steps;

pub use self::{
    call::{
        Answer,
        Call, //
    },
    settings::ClientSettings,
    steps::Client,
};
