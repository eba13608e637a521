//! Whether a router's entry in the store still stands as it wrote it.

use crate::{
    RouterId,
    Span,
    Time, //
};

/// How old a list of the entries may be when it arrives: the store may answer from a copy of its own
/// that is seconds behind.
const LIST_AGE: Span = Span::secs(5);

/// An entry as a list of the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntrySeen<'a> {
    /// The router whose entry it is.
    pub name: &'a RouterId,
    /// The lease that it stands under.
    pub lease: u64,
}

/// What a list shows of a router's own entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It stands, or the list may be older than the entry.
    Stands,
    /// It is missing, or stands under a lease that the router does not have.
    Lost,
    /// Another router's entry stands under the same lease.
    Shared,
}

/// Tells from a list what became of the entry that a router wrote under a lease.
///
/// A store that came back from an older copy has lost entries and gives the numbers of leases out
/// again. A router whose number is another's by then can renew it for as long as it likes, and its own
/// entry stays lost. The list shows both without any word of the store on itself. A list that was
/// asked for too early after the entry was written shows nothing.
///
/// # Examples
///
/// ```
/// use policy::{entry_state, EntrySeen, EntryState, Span, Time};
///
/// let (own, other) = ("r1".parse()?, "r2".parse()?);
/// let list = [EntrySeen { name: &other, lease: 7 }];
/// let (written, asked) = (Time(0), Time(0) + Span::secs(20));
/// let state = entry_state(&own, 7, written, &list, asked);
/// assert_eq!(state, EntryState::Lost);
/// # Ok::<(), policy::IdError>(())
/// ```
pub fn entry_state(
    own: &RouterId,
    lease: u64,
    written: Time,
    list: &[EntrySeen<'_>],
    asked: Time,
) -> EntryState {
    if asked < written + LIST_AGE {
        return EntryState::Stands;
    }
    let stands = list.iter().any(|e| e.name == own && e.lease == lease);
    let shared = list.iter().any(|e| e.name != own && e.lease == lease);
    match (stands, shared) {
        (false, _) => EntryState::Lost,
        (true, true) => EntryState::Shared,
        (true, false) => EntryState::Stands,
    }
}

#[cfg(test)]
mod tests;
