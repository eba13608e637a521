//! The revision in force at one router.

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

/// A fetch that takes longer is tried at another source.
const FETCH_WAIT: Span = Span::secs(1);
/// The head counts as confirmed for this long after a sign of the platform or a peer.
const CONFIRMED_FOR: Span = Span::secs(3);
/// Sources remembered for one revision; more add nothing.
const SOURCES: usize = 8;

/// The revision in force, the sources of a higher one, and who confirmed it last.
///
/// A revision in force is only ever replaced by a higher one, whoever offers what.
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
    force: Option<(Revision, Hash)>,
    confirmed: Time,
    /// Who offered a higher one, the next to try first.
    sources: Vec<(Revision, Source)>,
    asked: Option<Asked>,
}

/// The fetch that is under way.
#[derive(Debug)]
struct Asked {
    revision: Revision,
    from: Source,
    at: Time,
}

impl Head {
    /// Makes the head of a router that has no configuration yet.
    pub fn new(now: Time) -> Head {
        Head {
            force: None,
            confirmed: now,
            sources: Vec::new(),
            asked: None,
        }
    }

    /// Tells whether a revision is in force: without one the router must not serve.
    pub fn ready(&self) -> bool {
        self.force.is_some()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Option<Revision> {
        self.force.map(|(r, _)| r)
    }

    /// Returns the hash of the text in force.
    pub fn hash(&self) -> Option<Hash> {
        self.force.map(|(_, h)| h)
    }

    /// Returns since when neither the platform nor any peer has confirmed the head, if
    /// that is longer ago than a few heartbeats.
    ///
    /// Such a router may serve an old configuration without knowing.
    pub fn unconfirmed_since(&self, now: Time) -> Option<Time> {
        (now.since(self.confirmed) > CONFIRMED_FOR).then_some(self.confirmed)
    }

    /// Takes note that a source has this revision, by a watch, a read or a heartbeat.
    ///
    /// A peer that has none yet offers revision 0.
    pub fn offer(&mut self, revision: Revision, from: Source, now: Time) -> Decision {
        let ours = self.revision();
        if revision == Revision(0) && ours.is_none() {
            return Decision::Ignore;
        }
        if ours.is_none_or(|r| revision > r) {
            return self.want(revision, from, now);
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

    /// Takes a revision that was fetched and found valid.
    pub fn fetched(&mut self, revision: Revision, hash: Hash, now: Time) -> FetchOutcome {
        match self.force {
            Some((ours, h)) if revision == ours && hash != h => {
                return FetchOutcome::Conflict {
                    ours: h,
                    theirs: hash,
                }
            }
            Some((ours, _)) if revision <= ours => return FetchOutcome::Old,
            _ => {}
        }
        self.force = Some((revision, hash));
        self.confirmed = self.confirmed.max(now);
        self.sources.retain(|(r, _)| *r > revision);
        if self.asked.as_ref().is_some_and(|a| a.revision <= revision) {
            self.asked = None;
        }
        FetchOutcome::InForce
    }

    /// Notes that a fetch failed, or brought an invalid text; returns where to try next.
    pub fn failed(&mut self, from: &Source, now: Time) -> Decision {
        if self.asked.as_ref().is_none_or(|a| a.from != *from) {
            return Decision::Ignore;
        }
        self.put_last(from);
        match self.sources.first() {
            // Nobody else to try: `tick` tries again, lest a broken source is asked without
            // pause.
            Some((_, next)) if next == from => Decision::Ignore,
            _ => self.ask(now),
        }
    }

    /// Lets time pass: a fetch that hangs is tried at the next source.
    pub fn tick(&mut self, now: Time) -> Decision {
        match &self.asked {
            Some(a) if now.since(a.at) <= FETCH_WAIT => return Decision::Ignore,
            Some(a) => {
                let from = a.from.clone();
                self.put_last(&from);
            }
            None => {}
        }
        self.ask(now)
    }

    /// Notes a source of a higher revision, and asks it at once if none is higher.
    fn want(&mut self, revision: Revision, from: Source, now: Time) -> Decision {
        match self.sources.iter_mut().find(|(_, s)| *s == from) {
            Some(known) => known.0 = known.0.max(revision),
            None => self.sources.push((revision, from.clone())),
        }
        if self.sources.len() > SOURCES {
            let lowest = (0..self.sources.len()).min_by_key(|i| self.sources[*i].0);
            self.sources.remove(lowest.unwrap_or_default());
        }
        if self.asked.as_ref().is_some_and(|a| a.revision >= revision) {
            return Decision::Ignore;
        }
        self.put_first(&from);
        self.ask(now)
    }

    fn ask(&mut self, now: Time) -> Decision {
        let Some((revision, from)) = self.sources.first().cloned() else {
            self.asked = None;
            return Decision::Ignore;
        };
        self.asked = Some(Asked {
            revision,
            from: from.clone(),
            at: now,
        });
        Decision::Fetch { revision, from }
    }

    fn put_first(&mut self, from: &Source) {
        self.sources.sort_by_key(|(_, s)| s != from);
    }

    fn put_last(&mut self, from: &Source) {
        self.sources.sort_by_key(|(_, s)| s == from);
    }
}
