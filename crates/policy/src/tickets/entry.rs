//! The entry of one ticket.

use {
    super::{
        Holder,
        Record, //
    },
    crate::Time, //
};

/// The state of a ticket that was claimed, requested or received.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) state: State,
    /// Number of transfers up to the present holder.
    pub(super) hop: u32,
    /// Number of grants by this router.
    pub(super) attempt: u32,
    pub(super) expires: Time,
    /// When the entry may be removed, unless the request is running.
    pub(super) keep_until: Time,
}

#[derive(Debug)]
pub(super) enum State {
    Held,
    Running,
    Done(Record),
    Moved(Holder),
}
