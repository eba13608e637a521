//! A router fleet that shares model capacity fairly among workspaces.

mod cli;
mod conf;
mod demo;
mod errors;
mod gauge;
mod measure;
mod router;
mod slopes;

pub use self::{
    cli::run,
    conf::{
        Address,
        Bytes,
        BytesError,
        ListenError,
        Listeners,
        Settings,
        SettingsError,
        DEFAULT_SETTINGS, //
    },
};
