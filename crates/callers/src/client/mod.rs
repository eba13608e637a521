//! A client of the caller API, for the commands, the demo and measurements of this program.

mod attempts;
mod cache;
mod call;
mod exchange;
mod pool;
mod repolling_socket;
mod settings;

pub use self::{
    attempts::Client,
    call::{
        Answer,
        Call, //
    },
    settings::ClientSettings,
};
