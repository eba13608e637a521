//! What is remembered of one ticket.

use {
    super::{
        Holder,
        Record, //
    },
    crate::Time, //
};

/// What is known of a ticket that is no longer just issued.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) state: State,
    /// How often the ticket had changed hands when it came to its present holder.
    pub(super) hop: u32,
    /// How often it was granted here.
    pub(super) attempt: u32,
    pub(super) expires: Time,
    /// When the entry may be dropped, unless it runs.
    pub(super) until: Time,
}

#[derive(Debug)]
pub(super) enum State {
    Held,
    Running,
    Done(Record),
    Moved(Holder),
}
