//! Which eras of the store a router has heard of.

use crate::Era;

/// What the store and the peers said of the store's era.
///
/// Only an answer of the store decides. What a peer names is a hint: one that names an era far too
/// high would otherwise hide each later return of the store from an older copy.
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
    /// The newest that the store named itself.
    told: Option<Era>,
    /// The newest that anybody named.
    newest: Option<Era>,
}

impl Eras {
    /// Takes the era of an answer of the store. Returns whether the store came back from an older copy,
    /// and no peer named that era before.
    pub fn observe_answer(&mut self, era: Era) -> bool {
        let rose = self.told.or(self.newest).is_some_and(|t| era > t);
        let news = rose && self.newest != Some(era);
        self.told = self.told.max(Some(era));
        self.newest = self.newest.max(Some(era));
        news
    }

    /// Takes the era that a peer names. Returns whether it is newer than any that was named before.
    pub fn observe_peer(&mut self, era: Era) -> bool {
        let news = self.newest.is_some_and(|n| era > n);
        self.newest = self.newest.max(Some(era));
        news
    }

    /// Returns the newest era that the store named itself.
    pub fn confirmed(&self) -> Era {
        self.told.unwrap_or_default()
    }

    /// Returns the newest era that anybody named.
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
