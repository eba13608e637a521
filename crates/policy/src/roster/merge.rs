//! Applies lists of the replicas and changes of them.

use {
    super::{
        entry::{
            Entry,
            ListOrigin, //
        },
        EntryChange,
        Listed,
        Roster,
        RosterChange,
        Update,
        DEPARTURE_SPAN,
        LIST_DELAY_MAX, //
    },
    crate::{
        placement::ReplicaKey,
        Era,
        ReplicaId,
        Revision,
        Span,
        Time, //
    },
    std::collections::BTreeMap, //
};

impl<T: PartialEq> Roster<T> {
    /// Records that the list could not be read.
    pub fn read_failed(&mut self) {
        self.outage.read_failed();
    }

    /// Applies a complete list. Returns the replicas that no longer take requests, including those
    /// of which another incarnation under the same id does.
    pub fn apply_list<L>(&mut self, list: impl IntoIterator<Item = L>, now: Time) -> Vec<ReplicaId>
    where
        L: Into<Listed<T>>,
    {
        self.record_read(now);
        self.merge(list, ListOrigin::Local, now, now)
    }

    /// Applies what the store changed since the revision of this router's list. Returns the replicas
    /// that no longer take requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{EntryChange, ReplicaId, Revision, Roster, Time};
    ///
    /// let id: ReplicaId = "i-1".parse()?;
    /// let mut roster: Roster<&str> = Roster::default();
    /// roster.apply_list([(id.clone(), "a", false)], Time(0));
    /// let gone = roster.apply_changes([EntryChange::Gone(id)], Revision::default(), Time(1));
    /// assert_eq!(gone.len(), 1);
    /// # Ok::<(), policy::IdError>(())
    /// ```
    pub fn apply_changes(
        &mut self,
        changes: impl IntoIterator<Item = EntryChange<T>>,
        revision: Revision,
        now: Time,
    ) -> Vec<ReplicaId> {
        self.record_read(now);
        self.set_revision(revision, now);
        self.turns.set_made(now);
        let mut departed = Vec::new();
        if self.outage.keeps_missing(now) {
            for id in self.kept.clone() {
                self.keep(&id, now);
            }
        }
        for change in changes {
            self.apply_change(change, ListOrigin::Local, now, &mut departed);
        }
        self.finish(now, &mut departed);
        departed
    }

    fn record_read(&mut self, now: Time) {
        self.outage.record_read(self.turns.fleet_read(), now);
        self.turns.record_read(now);
    }

    /// Sets the store's revision of the list that is applied next.
    ///
    /// A store that came back from an older copy lacks replicas that have registered since, and
    /// lists some that have left. Within seconds all of them either refresh their entries or lapse.
    pub fn set_revision(&mut self, revision: Revision, now: Time) {
        let before = self.revision.replace(revision);
        let fell = before.is_some_and(|before| revision.fell_since(before));
        if self.eras.observe_answer(revision.era) || fell {
            self.store_returned(now);
        }
    }

    /// Records the store's era according to a peer.
    pub fn observe_peer_era(&mut self, era: Era, now: Time) {
        if self.eras.observe_peer(era) {
            self.store_returned(now);
        }
    }

    /// Records the era of a peer's list and returns whether that list may be used. A list of an
    /// older era was made before the store came back, no matter when it arrives.
    pub fn accepts_list_of(&mut self, era: Era, now: Time) -> bool {
        self.observe_peer_era(era, now);
        era >= self.eras.confirmed()
    }

    fn store_returned(&mut self, now: Time) {
        self.outage.store_returned(now);
        self.returned = Some(now);
        for at in self.departed.values_mut() {
            *at = now;
        }
    }

    /// Applies a complete list of a peer that was made `age` ago. Returns the replicas that no
    /// longer take requests.
    ///
    /// A list that is no newer than this router's own is ignored.
    pub fn apply_peer_list<L>(
        &mut self,
        list: impl IntoIterator<Item = L>,
        age: Span,
        now: Time,
    ) -> Vec<ReplicaId>
    where
        L: Into<Listed<T>>,
    {
        let made = now - age;
        if self.turns.has_since(made) {
            return Vec::new();
        }
        self.forget_revision();
        self.merge(list, ListOrigin::Peer, made, now)
    }

    /// Records that it is not known which revision the list includes.
    fn forget_revision(&mut self) {
        self.revision = None;
        self.log.restart(None);
    }

    /// Applies what a peer sent of its list. Returns the replicas that no longer take requests.
    ///
    /// If the list still differs from the peer's afterwards, the next update is a complete one.
    pub fn apply_update(&mut self, update: Update<T>, now: Time) -> Vec<ReplicaId> {
        let made = now - update.age;
        if self.turns.has_since(made) {
            return Vec::new();
        }
        let mut departed = Vec::new();
        if update.complete {
            let listed = update.changes.iter().filter_map(|change| match change {
                EntryChange::Listed(l) | EntryChange::Kept(l, _) => Some((l.id.clone(), l.key)),
                EntryChange::Gone(_) => None,
            });
            let listed = listed.collect();
            self.remove_ended(&listed, false, now, &mut departed);
        }
        self.revision = update.revision;
        self.turns.set_made(made);
        for change in update.changes {
            self.apply_change(change, ListOrigin::Peer, now, &mut departed);
        }
        self.finish(now, &mut departed);
        if self.digest != update.digest || update.revision.is_none() {
            self.forget_revision();
        } else if update.complete {
            self.log.restart(update.revision);
        }
        departed
    }

    /// Applies a complete list that was made at the given time.
    fn merge<L>(
        &mut self,
        list: impl IntoIterator<Item = L>,
        origin: ListOrigin,
        made: Time,
        now: Time,
    ) -> Vec<ReplicaId>
    where
        L: Into<Listed<T>>,
    {
        self.turns.set_made(made);
        let list: Vec<Listed<T>> = list.into_iter().map(Into::into).collect();
        let keys = list.iter().map(|l| (l.id.clone(), l.key)).collect();
        let keeps = self.outage.keeps_missing(now);
        let mut departed = Vec::new();
        self.remove_ended(&keys, keeps, now, &mut departed);
        for listed in list {
            self.put(listed, None, origin, now, &mut departed);
        }
        self.finish(now, &mut departed);
        if !self.log.is_started() {
            self.log.restart(self.revision);
        }
        departed
    }

    fn apply_change(
        &mut self,
        change: EntryChange<T>,
        origin: ListOrigin,
        now: Time,
        departed: &mut Vec<ReplicaId>,
    ) {
        match change {
            EntryChange::Listed(listed) => {
                self.end_earlier(&listed, now, departed);
                self.put(listed, None, origin, now, departed);
            }
            EntryChange::Kept(listed, left) => {
                self.end_earlier(&listed, now, departed);
                self.put(listed, Some(now + left), origin, now, departed);
            }
            EntryChange::Gone(id) => match origin == ListOrigin::Local {
                true if self.outage.keeps_missing(now) => self.keep(&id, now),
                _ => self.remove(&id, now, departed),
            },
        }
    }

    /// Removes the entry of an earlier incarnation under the same id.
    ///
    /// If it were kept, the replica would get no requests if the earlier incarnation was draining,
    /// and requests would be sent over connections that ended with it.
    fn end_earlier(&mut self, listed: &Listed<T>, now: Time, departed: &mut Vec<ReplicaId>) {
        let known = self.entries.get(&listed.id);
        if known.is_some_and(|known| known.key != listed.key) {
            self.remove(&listed.id, now, departed);
        }
    }

    /// Inserts or replaces the entry of an incarnation.
    fn put(
        &mut self,
        listed: Listed<T>,
        kept: Option<Time>,
        origin: ListOrigin,
        now: Time,
        departed: &mut Vec<ReplicaId>,
    ) {
        let Listed {
            id,
            key,
            value,
            draining: leaving,
        } = listed;
        let stale = self
            .departed
            .get(&key)
            .is_some_and(|at| now.since(*at) < LIST_DELAY_MAX);
        let known = self.entries.get(&id);
        if known.is_none() && self.is_of_older_copy(key, now) {
            return;
        }
        // A list may be older than what is known, also after it lacked the incarnation. One that is
        // leaving would get requests that it can't finish. A peer's report of a departure may be
        // mistaken, so it counts only while the list may be older.
        if origin == ListOrigin::Local && leaving {
            self.leaving.mark_listed(key, now);
        }
        let reported = stale && known.is_some_and(|e| e.draining);
        let draining = leaving || self.leaving.contains(key) || reported;
        if draining {
            match known.map(|e| e.draining) {
                Some(false) => {
                    self.departed.insert(key, now);
                    departed.push(id.clone());
                }
                // It registered and began to leave between two reads of this router. Peers that read
                // in between consider it available, and no one else tells them otherwise until their
                // next read, up to 4 s later.
                None => {
                    self.departed.insert(key, now);
                }
                Some(true) => {}
            }
        }
        let entry = Entry {
            key,
            value,
            leaving,
            draining,
            kept,
        };
        self.insert(id, entry);
    }

    /// Inserts or replaces an entry, and records the change if there is one.
    fn insert(&mut self, id: ReplicaId, entry: Entry<T>) {
        let known = self.entries.get(&id);
        let (before, after) = (known.map_or(0, Entry::fingerprint), entry.fingerprint());
        let same_value = known.is_some_and(|known| known.value == entry.value);
        let same_state = known.is_some_and(|known| known.draining == entry.draining);
        self.digest ^= before ^ after;
        match entry.kept {
            Some(_) => self.kept.insert(id.clone()),
            None => self.kept.remove(&id),
        };
        if entry.leaving || !entry.draining {
            self.reported.remove(&id);
        }
        self.ids.insert(entry.key, id.clone());
        let replaced = self.entries.insert(id.clone(), entry);
        if before != after || !same_value {
            self.log_change(&id);
        }
        if !(same_value && same_state) {
            let before = replaced.map(|old| old.value).filter(|_| !same_value);
            self.record_change(id, before);
        }
    }

    fn log_change(&mut self, id: &ReplicaId) {
        if let Some(revision) = self.revision.filter(|_| self.log.is_started()) {
            self.log.record(id, revision);
        }
    }

    pub(super) fn record_change(&mut self, id: ReplicaId, before: Option<T>) {
        self.generation += 1;
        self.changes.push(RosterChange::Known { id, before });
    }

    /// Keeps the entry of a replica that the list lacks, as it may reappear.
    fn keep(&mut self, id: &ReplicaId, now: Time) {
        let until = self.outage.keeps_until(now);
        let ends_earlier = |e: &&mut Entry<T>| e.kept.is_none_or(|known| known < until);
        let Some(entry) = self.entries.get_mut(id).filter(ends_earlier) else {
            return;
        };
        self.digest ^= entry.fingerprint();
        entry.kept = Some(until);
        self.kept.insert(id.clone());
        self.log_change(id);
    }

    /// Removes an entry.
    fn remove(&mut self, id: &ReplicaId, now: Time, departed: &mut Vec<ReplicaId>) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.digest ^= entry.fingerprint();
        self.kept.remove(id);
        self.reported.remove(id);
        if self.ids.get(&entry.key) == Some(id) {
            self.ids.remove(&entry.key);
        }
        self.departed.insert(entry.key, now);
        self.log_change(id);
        self.generation += 1;
        self.changes.push(RosterChange::Removed {
            id: id.clone(),
            key: entry.key,
            value: entry.value,
            draining: entry.draining,
        });
        departed.push(id.clone());
    }

    /// Removes the incarnations that a list no longer has, or keeps those of which no other one is
    /// listed.
    fn remove_ended(
        &mut self,
        listed: &BTreeMap<ReplicaId, ReplicaKey>,
        keeps_missing: bool,
        now: Time,
        departed: &mut Vec<ReplicaId>,
    ) {
        let differs = |(id, e): &(&ReplicaId, &Entry<T>)| listed.get(*id) != Some(&e.key);
        let entries = self.entries.iter().filter(differs);
        let ended: Vec<ReplicaId> = entries.map(|(id, _)| id.clone()).collect();
        for id in ended {
            match keeps_missing && !listed.contains_key(&id) {
                true => self.keep(&id, now),
                false => self.remove(&id, now, departed),
            }
        }
    }

    /// Finishes the application of a list or of changes.
    fn finish(&mut self, now: Time, departed: &mut Vec<ReplicaId>) {
        self.remove_kept(now, departed);
        self.revert_reported(now);
        self.departed
            .retain(|_, at| now.since(*at) < DEPARTURE_SPAN);
        let leaving = self.leaving.keys().copied();
        let listed: Vec<ReplicaKey> = leaving.filter(|k| self.ids.contains_key(k)).collect();
        self.leaving.observe_listed(listed.into_iter(), now);
    }

    /// Removes the entries that the list lacks and that have had the time to reappear. Returns the
    /// replicas that no longer take requests.
    pub fn remove_lapsed(&mut self, now: Time) -> Vec<ReplicaId> {
        let mut departed = Vec::new();
        self.remove_kept(now, &mut departed);
        departed
    }

    fn remove_kept(&mut self, now: Time, departed: &mut Vec<ReplicaId>) {
        if self.outage.is_ongoing() {
            return;
        }
        let lapsed = self.kept.iter().filter(|id| {
            let kept = self.entries.get(*id).and_then(|e| e.kept);
            kept.is_none_or(|until| now >= until)
        });
        let lapsed: Vec<ReplicaId> = lapsed.cloned().collect();
        for id in lapsed {
            self.remove(&id, now, departed);
        }
    }

    /// Returns whether an incarnation that left before the store came back is listed only because
    /// the store's copy is older. It gets no requests until its entry has had the time to lapse.
    fn is_of_older_copy(&self, key: ReplicaKey, now: Time) -> bool {
        let returned = self
            .returned
            .is_some_and(|at| now.since(at) < DEPARTURE_SPAN);
        returned && self.departed.contains_key(&key)
    }
}
