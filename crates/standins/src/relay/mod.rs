//! A stand-in for the network between two processes: forwards TCP, and drops it on request.

mod forward;
mod handle;

pub use self::handle::Relay;
