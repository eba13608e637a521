//! Whether a router's entry in the store is still as the router wrote it.

use crate::{
    RouterId,
    Span,
    Time, //
};

/// Longest age of a list of the entries when it arrives: the store may answer from a replica of its
/// own that lags by seconds.
const LIST_AGE_MAX: Span = Span::secs(5);

/// An entry in a list of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntrySeen<'a> {
    /// The router whose entry it is.
    pub name: &'a RouterId,
    /// The lease that it belongs to.
    pub lease: u64,
}

/// The state of a router's own entry according to a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It exists, or the list may be older than the entry.
    Valid,
    /// It is missing, or belongs to a lease that the router does not hold.
    Lost,
    /// Another router's entry belongs to the same lease.
    Shared,
}

/// Returns the state of the entry that a router wrote under a lease, according to a list.
///
/// A store that came back from an older copy has lost entries and assigns lease numbers again. A
/// router whose lease number now belongs to another router can keep renewing that lease while its
/// own entry stays lost. The list shows both cases even if the store doesn't report its return. A
/// list that was requested too soon after the entry was written shows nothing.
///
/// # Examples
///
/// ```
/// use policy::{entry_state, EntrySeen, EntryState, Span, Time};
///
/// let (local, other) = ("r1".parse()?, "r2".parse()?);
/// let list = [EntrySeen { name: &other, lease: 7 }];
/// let (written, requested) = (Time(0), Time(0) + Span::secs(20));
/// let state = entry_state(&local, 7, written, &list, requested);
/// assert_eq!(state, EntryState::Lost);
/// # Ok::<(), policy::IdError>(())
/// ```
pub fn entry_state(
    local: &RouterId,
    lease: u64,
    written: Time,
    list: &[EntrySeen<'_>],
    requested: Time,
) -> EntryState {
    if requested < written + LIST_AGE_MAX {
        return EntryState::Valid;
    }
    let stands = list.iter().any(|e| e.name == local && e.lease == lease);
    let shared = list.iter().any(|e| e.name != local && e.lease == lease);
    match (stands, shared) {
        (false, _) => EntryState::Lost,
        (true, true) => EntryState::Shared,
        (true, false) => EntryState::Valid,
    }
}

#[cfg(test)]
mod tests;
