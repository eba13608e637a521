//! Checks of answers that the HTTP library decodes.
//!
//! The library doesn't check where an answer ends, and has no limit on a line of it.

mod capped;
mod framing;

pub use self::{
    capped::Capped,
    framing::{
        check_framing,
        FramingError, //
    },
};
