//! Requests under which replicas end.
//!
//! A request may end each replica that begins to run it, with all that runs there. Its caller asks
//! again, at any router, and each attempt by itself looks like one that had bad luck. So routers
//! tell each other which requests had just begun at a replica that ended, and one that was there
//! each time is refused by all of them.
//!
//! Others are there by chance. What tells them apart is that they end no replica when they come
//! again: a request that is answered anywhere is above suspicion.

mod digest;
mod notes;
mod record;
mod table;

pub use self::{
    digest::RequestDigest,
    notes::{
        Answered,
        Ended,
        Held,
        QuarantineUpdate, //
    },
    table::{
        Quarantine,
        HOLD_DURATION, //
    },
};
