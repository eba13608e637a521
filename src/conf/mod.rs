//! A router's settings, read once when it starts.

mod bytes;
mod limits;
mod listen;
mod logs;
mod settings;

pub(crate) use self::logs::start_logs;
pub use self::{
    bytes::{
        Bytes,
        BytesError, //
    },
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

/// The commented settings file that is shipped as an example.
pub const DEFAULT_SETTINGS: &str = include_str!("default.toml");
