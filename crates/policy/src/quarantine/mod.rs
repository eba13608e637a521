//! Quarantine of requests that crash replicas.
//!
//! A request may crash each replica that starts to run it, along with everything else that runs
//! there, and so may every request whose prompt has a certain part. Callers retry at any router, and
//! each attempt by itself looks like bad luck. So routers report to each other which suspects, that
//! is requests and parts of prompts, had just started at a replica that ended, and all of them
//! reject requests with a suspect that was there every time.
//!
//! Other suspects are there by chance. The difference is that they end no replica elsewhere: a
//! suspect of a request that gets an answer anywhere is cleared. One that is there because it often
//! comes with a guilty one is told apart by the ends: those at which a held suspect was too count
//! against no other, and of suspects that were always together only a request with all of them is
//! rejected.

mod record;
mod report;
mod suspect;
mod table;
mod update;

pub use self::{
    suspect::{
        Suspect,
        SuspectKind, //
    },
    table::{
        Hold,
        Quarantine,
        HOLD_DURATION, //
    },
    update::{
        Answered,
        Ended,
        Held,
        QuarantineUpdate, //
    },
};
