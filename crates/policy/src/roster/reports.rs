//! What peers and replicas report about replicas beside the list.

use {
    super::{
        EntryChange,
        Listed,
        Roster,
        Update,
        DEPARTURE_SPAN,
        LIST_DELAY_MAX, //
    },
    crate::{
        placement::ReplicaKey,
        ReplicaId,
        Revision,
        Span,
        Time, //
    },
    std::cmp::Reverse, //
};

/// How many departures are reported at a time, the latest first. The list tells of others.
const MAX_DEPARTURES: usize = 300;

impl<T: PartialEq> Roster<T> {
    /// Records how long ago a peer read the list.
    pub fn peer_read(&mut self, age: Span, now: Time) {
        let at = now - age;
        self.outage.peer_read(self.turns.fleet_read(), at);
        self.turns.record_read(at);
    }

    /// Records how long ago a peer's list was made, and the digest of that list. Returns whether
    /// the peer has a newer list that differs.
    pub fn peer_list(&mut self, age: Span, digest: u32, now: Time) -> bool {
        let made = now - age;
        self.peer_read(age, now);
        if !self.turns.is_newer(made) {
            return false;
        }
        if self.turns.has_read() && digest == self.digest() {
            self.turns.set_made(made);
            self.revert_reported(now);
            self.remove_lapsed(now);
            return false;
        }
        true
    }

    /// Applies a peer's report that replicas no longer take requests. Returns those that did until
    /// now.
    pub fn apply_departures(&mut self, departed: &[ReplicaKey], now: Time) -> Vec<ReplicaId> {
        let mut changed = Vec::new();
        for key in departed {
            if self.departed.contains_key(key) {
                continue;
            }
            self.departed.insert(*key, now);
            if let Some(id) = self.stop_requests(*key) {
                self.reported.insert(id.clone());
                changed.push(id);
            }
        }
        changed
    }

    /// Takes requests away from an incarnation. Returns its id if it took some until now.
    fn stop_requests(&mut self, key: ReplicaKey) -> Option<ReplicaId> {
        let id = self.ids.get(&key)?.clone();
        let entry = self.entries.get_mut(&id)?;
        if std::mem::replace(&mut entry.draining, true) {
            return None;
        }
        self.record_change(id.clone(), None);
        Some(id)
    }

    /// Gives requests again to replicas that a peer mistakenly reported as departed: a list that
    /// can't be older than the report still has them.
    pub(super) fn revert_reported(&mut self, now: Time) {
        let outlived = self.reported.iter().filter(|id| {
            let key = self.entries.get(*id).map(|e| e.key);
            let at = key.and_then(|key| self.departed.get(&key));
            at.is_none_or(|at| now.since(*at) >= LIST_DELAY_MAX)
        });
        let outlived: Vec<ReplicaId> = outlived.cloned().collect();
        for id in outlived {
            self.reported.remove(&id);
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            entry.draining = entry.leaving || self.leaving.contains(entry.key);
            self.record_change(id, None);
        }
    }

    /// Records that an incarnation announced in an answer that it is leaving, to this router or to a
    /// peer. Returns whether that is new.
    ///
    /// It holds whatever a list says, as lists may be older, and not for a later incarnation under
    /// the same id.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{placement::ReplicaKey, ReplicaId, Roster, Time};
    ///
    /// let id: ReplicaId = "i-1".parse()?;
    /// let mut roster: Roster<&str> = Roster::default();
    /// roster.apply_list([(id.clone(), "a", false)], Time(0));
    /// assert!(roster.announce_leaving(ReplicaKey::of(&id), Time(1)));
    /// roster.apply_list([(id, "a", false)], Time(2));
    /// assert_eq!(roster.ready().count(), 0);
    /// # Ok::<(), policy::IdError>(())
    /// ```
    pub fn announce_leaving(&mut self, key: ReplicaKey, now: Time) -> bool {
        let new = self.leaving.mark_announced(key, now);
        if new {
            self.departed.insert(key, now);
        }
        self.stop_requests(key);
        new
    }

    /// Returns whether an incarnation is certain to be leaving.
    pub fn is_leaving(&self, key: ReplicaKey) -> bool {
        self.leaving.contains(key)
    }

    /// Returns the incarnations that recently announced that they are leaving, to report them to
    /// the peers.
    pub fn announced_leaving(&self, now: Time) -> Vec<ReplicaKey> {
        self.leaving.announced(now).collect()
    }

    /// Returns the replicas that departed recently, to report them to the peers.
    pub fn departures(&self, now: Time) -> Vec<ReplicaKey> {
        let departed = self.departed.iter();
        let recent = departed.filter(|(_, at)| now.since(**at) < DEPARTURE_SPAN);
        let mut recent: Vec<(Time, ReplicaKey)> = recent.map(|(key, at)| (*at, *key)).collect();
        recent.sort_unstable_by_key(|(at, key)| (Reverse(*at), *key));
        recent.truncate(MAX_DEPARTURES);
        recent.into_iter().map(|(_, key)| key).collect()
    }
}

impl<T: Clone> Roster<T> {
    /// Returns what a peer needs to have this router's list, given the revision that the peer's list
    /// includes, or none if there is no list or the peer's is newer.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{Revision, Roster, Span, Time};
    ///
    /// let mut roster: Roster<&str> = Roster::default();
    /// roster.set_revision(Revision::default(), Time(0));
    /// roster.apply_list([("i-1".parse()?, "a", false)], Time(0));
    /// let update = roster.update_since(None, Time(0)).unwrap();
    /// let mut peer: Roster<&str> = Roster::default();
    /// peer.apply_update(update, Time(0) + Span::millis(5));
    /// assert_eq!(peer.digest(), roster.digest());
    /// # Ok::<(), policy::IdError>(())
    /// ```
    pub fn update_since(&self, revision: Option<Revision>, now: Time) -> Option<Update<T>> {
        if !self.has_list() || revision.is_some() && revision > self.revision {
            return None;
        }
        let changes = revision.and_then(|r| self.changes_since(r, now));
        Some(changes.unwrap_or_else(|| self.whole_update(now)))
    }

    /// Returns what changed after a revision for a peer, unless some of it is unknown.
    pub fn changes_since(&self, revision: Revision, now: Time) -> Option<Update<T>> {
        let ids = self.log.since(revision)?;
        let changes = ids.into_iter().map(|id| self.change_of(id, now));
        Some(self.update(false, changes.collect(), now))
    }

    /// Returns the whole list for a peer.
    pub fn whole_update(&self, now: Time) -> Update<T> {
        let changes = self.entries.keys().map(|id| self.change_of(id, now));
        self.update(true, changes.collect(), now)
    }

    fn update(&self, complete: bool, changes: Vec<EntryChange<T>>, now: Time) -> Update<T> {
        Update {
            complete,
            changes,
            revision: self.revision,
            digest: self.digest,
            age: self.age(now).unwrap_or_default(),
        }
    }

    /// Returns the entry of a replica as a change for a peer.
    fn change_of(&self, id: &ReplicaId, now: Time) -> EntryChange<T> {
        let Some(entry) = self.entries.get(id) else {
            return EntryChange::Gone(id.clone());
        };
        let listed = Listed {
            id: id.clone(),
            key: entry.key,
            value: entry.value.clone(),
            draining: entry.leaving,
        };
        match entry.kept {
            Some(until) => EntryChange::Kept(listed, until.since(now)),
            None => EntryChange::Listed(listed),
        }
    }
}
