//! A router's settings, read once when it starts.

mod limits;
mod listen;
mod logs;
mod settings;

pub(crate) use self::logs::start_logs;
pub use self::{
    listen::{
        Address,
        ListenError,
        Listeners, //
    },
    settings::{
        Settings,
        SettingsError, //
    },
};
pub use resources::{
    Bytes,
    BytesError, //
};

/// The commented settings file that is shipped as an example.
pub const DEFAULT_SETTINGS: &str = include_str!("default.toml");
