//! Eras of the store that a router knows of.

use crate::Era;

/// The store's era according to the store itself and to peers.
///
/// Only an answer of the store is authoritative. What a peer reports is a hint: otherwise a single
/// report of an era far too high would hide every later return of the store from an older copy.
///
/// # Examples
///
/// ```
/// use policy::{Era, Eras};
///
/// let mut eras = Eras::default();
/// assert!(!eras.observe_answer(Era(1)));
/// assert!(eras.observe_peer(Era(9)));
/// assert!(eras.observe_answer(Era(2)));
/// assert_eq!((eras.confirmed(), eras.newest()), (Era(2), Era(9)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    /// The newest era in an answer of the store.
    confirmed: Option<Era>,
    /// The newest era in an answer or a peer's report.
    newest: Option<Era>,
}

impl Eras {
    /// Records the era of an answer of the store. Returns whether the store came back from an older
    /// copy and no peer has reported that era before.
    pub fn observe_answer(&mut self, era: Era) -> bool {
        let is_newer = self.confirmed.or(self.newest).is_some_and(|t| era > t);
        let is_new = is_newer && self.newest != Some(era);
        self.confirmed = self.confirmed.max(Some(era));
        self.newest = self.newest.max(Some(era));
        is_new
    }

    /// Records the era that a peer reports. Returns whether it is newer than any era seen before.
    pub fn observe_peer(&mut self, era: Era) -> bool {
        let is_new = self.newest.is_some_and(|n| era > n);
        self.newest = self.newest.max(Some(era));
        is_new
    }

    /// Returns the newest era in an answer of the store.
    pub fn confirmed(&self) -> Era {
        self.confirmed.unwrap_or_default()
    }

    /// Returns the newest era in an answer or a peer's report.
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
