//! Small stand-ins for the platform, model engines and plain services, with faults on request.

pub mod engine;
pub mod plain;
pub mod platform;
pub mod relay;
mod wire;

pub use self::wire::{
    Fault,
    FaultOrder,
    Faults, //
};
