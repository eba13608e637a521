//! The configuration head of one router: the revision in force and where to fetch from.

use {
    super::{
        Decision,
        FetchOutcome,
        Hash,
        Revision,
        Source, //
    },
    crate::{
        Span,
        Time, //
    },
};

/// A fetch that takes longer is retried at another source.
const FETCH_TIMEOUT: Span = Span::secs(1);
/// The head counts as confirmed for this long after an offer of the platform or a peer.
const CONFIRMATION_TTL: Span = Span::secs(3);
/// Maximum number of sources that are kept; more would add no redundancy.
const MAX_SOURCES: usize = 8;

/// The revision in force, the sources of a higher one, and when it was last confirmed.
///
/// A revision in force is only replaced by a higher one, whatever the source.
///
/// # Examples
///
/// ```
/// use policy::{head::{Decision, FetchOutcome, Hash, Head, Revision, Source}, Time};
///
/// let mut head = Head::new(Time(0));
/// assert!(!head.ready());
/// let offer = head.offer(Revision(3), Source::Platform, Time(1));
/// assert!(matches!(offer, Decision::Fetch { .. }));
/// assert_eq!(head.fetched(Revision(3), Hash(7), Time(2)), FetchOutcome::InForce);
/// assert_eq!(head.fetched(Revision(2), Hash(6), Time(3)), FetchOutcome::Old);
/// assert_eq!(head.revision(), Some(Revision(3)));
/// ```
#[derive(Debug)]
pub struct Head {
    in_force: Option<(Revision, Hash)>,
    confirmed: Time,
    /// The sources that offered a higher revision, in the order in which to try them.
    sources: Vec<(Revision, Source)>,
    pending: Option<PendingFetch>,
}

/// The fetch in progress.
#[derive(Debug)]
struct PendingFetch {
    revision: Revision,
    from: Source,
    at: Time,
}

impl Head {
    /// Creates the head of a router that has no configuration yet.
    pub fn new(now: Time) -> Head {
        Head {
            in_force: None,
            confirmed: now,
            sources: Vec::new(),
            pending: None,
        }
    }

    /// Returns whether a revision is in force; without one, the router must not serve.
    pub fn ready(&self) -> bool {
        self.in_force.is_some()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Option<Revision> {
        self.in_force.map(|(r, _)| r)
    }

    /// Returns the hash of the text in force.
    pub fn hash(&self) -> Option<Hash> {
        self.in_force.map(|(_, h)| h)
    }

    /// Returns when the platform or a peer last confirmed the head, if that is longer ago than
    /// a few heartbeats.
    ///
    /// Such a router may be serving an outdated configuration unknowingly.
    pub fn unconfirmed_since(&self, now: Time) -> Option<Time> {
        (now.since(self.confirmed) > CONFIRMATION_TTL).then_some(self.confirmed)
    }

    /// Handles the information that a source has this revision, from a watch, a read or a
    /// heartbeat.
    ///
    /// A peer that has none yet offers revision 0.
    pub fn offer(&mut self, revision: Revision, from: Source, now: Time) -> Decision {
        let ours = self.revision();
        if revision == Revision(0) && ours.is_none() {
            return Decision::Ignore;
        }
        if ours.is_none_or(|r| revision > r) {
            return self.add_source(revision, from, now);
        }
        self.confirmed = self.confirmed.max(now);
        match (ours, from) {
            (Some(ours), Source::Platform) if revision < ours => Decision::Stale {
                ours,
                theirs: revision,
            },
            _ => Decision::Ignore,
        }
    }

    /// Applies a revision that was fetched and validated.
    pub fn fetched(&mut self, revision: Revision, hash: Hash, now: Time) -> FetchOutcome {
        match self.in_force {
            Some((ours, h)) if revision == ours && hash != h => {
                return FetchOutcome::Conflict {
                    ours: h,
                    theirs: hash,
                }
            }
            Some((ours, _)) if revision <= ours => return FetchOutcome::Old,
            _ => {}
        }
        self.in_force = Some((revision, hash));
        self.confirmed = self.confirmed.max(now);
        self.sources.retain(|(r, _)| *r > revision);
        if self
            .pending
            .as_ref()
            .is_some_and(|a| a.revision <= revision)
        {
            self.pending = None;
        }
        FetchOutcome::InForce
    }

    /// Handles a fetch that failed or returned an invalid text; returns the next source to try.
    pub fn failed(&mut self, from: &Source, now: Time) -> Decision {
        if self.pending.as_ref().is_none_or(|a| a.from != *from) {
            return Decision::Ignore;
        }
        self.move_last(from);
        match self.sources.first() {
            // There is no other source. `tick` retries after the timeout, so that a broken source
            // is not polled in a busy loop.
            Some((_, next)) if next == from => Decision::Ignore,
            _ => self.fetch_next(now),
        }
    }

    /// Advances the time: a fetch that timed out is retried at the next source.
    pub fn tick(&mut self, now: Time) -> Decision {
        match &self.pending {
            Some(a) if now.since(a.at) <= FETCH_TIMEOUT => return Decision::Ignore,
            Some(a) => {
                let from = a.from.clone();
                self.move_last(&from);
            }
            None => {}
        }
        self.fetch_next(now)
    }

    /// Adds a source of a higher revision, and fetches from it at once unless a fetch of the same
    /// or a higher revision is in progress.
    fn add_source(&mut self, revision: Revision, from: Source, now: Time) -> Decision {
        match self.sources.iter_mut().find(|(_, s)| *s == from) {
            Some(known) => known.0 = known.0.max(revision),
            None => self.sources.push((revision, from.clone())),
        }
        if self.sources.len() > MAX_SOURCES {
            let lowest = (0..self.sources.len()).min_by_key(|i| self.sources[*i].0);
            self.sources.remove(lowest.unwrap_or_default());
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|a| a.revision >= revision)
        {
            return Decision::Ignore;
        }
        self.move_first(&from);
        self.fetch_next(now)
    }

    fn fetch_next(&mut self, now: Time) -> Decision {
        let Some((revision, from)) = self.sources.first().cloned() else {
            self.pending = None;
            return Decision::Ignore;
        };
        self.pending = Some(PendingFetch {
            revision,
            from: from.clone(),
            at: now,
        });
        Decision::Fetch { revision, from }
    }

    fn move_first(&mut self, from: &Source) {
        self.sources.sort_by_key(|(_, s)| s != from);
    }

    fn move_last(&mut self, from: &Source) {
        self.sources.sort_by_key(|(_, s)| s == from);
    }
}
