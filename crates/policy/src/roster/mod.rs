//! Which replicas take requests, based on a list that can be read only now and then.

mod entry;
mod leaving;
mod outage;
mod turns;

pub use self::entry::Listed;

use {
    self::{
        entry::{
            Entry,
            ListOrigin, //
        },
        leaving::LeavingReplicas,
        outage::Outage,
        turns::Turns, //
    },
    crate::{
        placement::ReplicaKey,
        turn,
        Era,
        Eras,
        ReplicaId,
        Revision,
        Span,
        Time, //
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::Xxh3, //
};

/// A list that arrives this soon after a peer's report may have been made before it: this is twice
/// the longest time that a call takes. If such a list were trusted, it would bring back a replica
/// that is leaving, and further reports of the departure
/// are ignored as already known.
const LIST_DELAY_MAX: Span = Span::millis(2_400);
/// How long a departed replica is remembered and reported to peers: several times the longest pause
/// between two reads of the list by the slowest router.
const DEPARTURE_SPAN: Span = Span::secs(6);

/// The known replicas, and which of them take requests.
///
/// # Examples
///
/// ```
/// use policy::{Roster, Time};
///
/// let mut roster: Roster<&str> = Roster::default();
/// roster.apply_list([("i-1".parse()?, "a", false)], Time(0));
/// assert_eq!(roster.ready().count(), 1);
/// roster.apply_list([("i-1".parse()?, "a", true)], Time(1));
/// assert_eq!(roster.ready().count(), 0);
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Roster<T> {
    entries: BTreeMap<ReplicaId, Entry<T>>,
    outage: Outage,
    departed: BTreeMap<ReplicaKey, Time>,
    leaving: LeavingReplicas,
    turns: Turns,
    eras: Eras,
    /// The store's revision when this router last read the list.
    revision: Option<Revision>,
    /// When the store last came back from an older copy.
    returned: Option<Time>,
}

impl<T> Default for Roster<T> {
    fn default() -> Roster<T> {
        Roster {
            entries: BTreeMap::new(),
            outage: Outage::default(),
            departed: BTreeMap::new(),
            leaving: LeavingReplicas::default(),
            turns: Turns::default(),
            eras: Eras::default(),
            revision: None,
            returned: None,
        }
    }
}

impl<T> Roster<T> {
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
        self.outage.record_read(self.turns.fleet_read(), now);
        self.turns.record_read(now);
        self.merge(list, ListOrigin::Local, now, now)
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

    /// Returns the store's era of this router's list, to report it to the peers.
    pub fn era(&self) -> Era {
        self.eras.confirmed()
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
        self.merge(list, ListOrigin::Peer, made, now)
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
        let mut seen = BTreeMap::new();
        for listed in list {
            let listed: Listed<T> = listed.into();
            seen.insert(listed.id.clone(), listed);
        }
        let keeps = self.outage.keeps_missing(now);
        let mut departed = self.remove_ended(&seen, keeps, now);
        for (id, listed) in seen {
            let key = listed.key;
            let stale = self
                .departed
                .get(&key)
                .is_some_and(|at| now.since(*at) < LIST_DELAY_MAX);
            let known = self.entries.get(&id);
            if known.is_none() && self.is_of_older_copy(key, now) {
                continue;
            }
            // A list may be older than what is known, also after it lacked the incarnation. One
            // that is leaving would get requests that it can't finish. A peer's report of a
            // departure may be mistaken, so it counts only while the list may be older.
            if origin == ListOrigin::Local && listed.draining {
                self.leaving.mark_listed(key, now);
            }
            let reported = stale && known.is_some_and(|e| e.draining);
            let draining = listed.draining || self.leaving.contains(key) || reported;
            if draining {
                match known.map(|e| e.draining) {
                    Some(false) => {
                        self.departed.insert(key, now);
                        departed.push(id.clone());
                    }
                    // It registered and began to leave between two reads of this router. Peers that
                    // read in between consider it available, and no one else tells them otherwise
                    // until their next read, up to 4 s later.
                    None => {
                        self.departed.insert(key, now);
                    }
                    Some(true) => {}
                }
            }
            let value = listed.value;
            self.entries.insert(
                id,
                Entry {
                    key,
                    value,
                    draining,
                },
            );
        }
        self.departed
            .retain(|_, at| now.since(*at) < DEPARTURE_SPAN);
        let listed = self.entries.values().map(|e| e.key);
        self.leaving.observe_listed(listed, now);
        departed
    }

    /// Returns whether an incarnation that left before the store came back is listed only because
    /// the store's copy is older. It gets no requests until its entry has had the time to lapse.
    fn is_of_older_copy(&self, key: ReplicaKey, now: Time) -> bool {
        let returned = self
            .returned
            .is_some_and(|at| now.since(at) < DEPARTURE_SPAN);
        returned && self.departed.contains_key(&key)
    }

    /// Removes the incarnations that a list no longer has, and returns their ids.
    ///
    /// A replica that restarts under its id is a new one. If the earlier entry were kept, the
    /// replica would get no requests if the earlier incarnation was draining, and requests would be
    /// sent over connections that ended with it.
    fn remove_ended(
        &mut self,
        seen: &BTreeMap<ReplicaId, Listed<T>>,
        keeps_missing: bool,
        now: Time,
    ) -> Vec<ReplicaId> {
        let mut ended = Vec::new();
        self.entries.retain(|id, entry| {
            let stays = match seen.get(id) {
                Some(listed) => listed.key == entry.key,
                None => keeps_missing,
            };
            if !stays {
                ended.push((id.clone(), entry.key));
            }
            stays
        });
        for (_, key) in &ended {
            self.departed.insert(*key, now);
        }
        ended.into_iter().map(|(id, _)| id).collect()
    }

    /// How often a router checks whether to read the list.
    pub const POLL_INTERVAL: Span = turn::POLL_INTERVAL;

    /// Returns whether this router should read the list now, one of `routers`. `roll` is a random
    /// number from 0 to 1 that is drawn at each check.
    pub fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        self.turns.is_due(roll, routers, now)
    }

    /// Returns how long ago this router's list was made, to report it to the peers.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.turns.age(now)
    }

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
            return false;
        }
        true
    }

    /// Returns a digest of all known replicas, the same at all routers that know the same.
    pub fn digest(&self) -> u32 {
        let mut hash = Xxh3::new();
        for entry in self.entries.values() {
            hash.update(&entry.key.0.to_le_bytes());
            hash.update(&[u8::from(entry.draining)]);
        }
        hash.digest() as u32
    }

    /// Returns every known replica and whether it is draining, to send the list to a peer.
    pub fn all(&self) -> impl Iterator<Item = (&ReplicaId, &T, bool)> {
        self.entries
            .iter()
            .map(|(id, e)| (id, &e.value, e.draining))
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
            for (id, entry) in &mut self.entries {
                if entry.key == *key && !entry.draining {
                    entry.draining = true;
                    changed.push(id.clone());
                }
            }
        }
        changed
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
        for entry in self.entries.values_mut().filter(|e| e.key == key) {
            entry.draining = true;
        }
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
        let recent = self
            .departed
            .iter()
            .filter(|(_, at)| now.since(**at) < DEPARTURE_SPAN);
        recent.map(|(key, _)| *key).collect()
    }

    /// Returns the replicas that take requests.
    pub fn ready(&self) -> impl Iterator<Item = (&ReplicaId, &T)> {
        let ready = self.entries.iter().filter(|(_, e)| !e.draining);
        ready.map(|(id, e)| (id, &e.value))
    }

    /// Returns whether a replica is known and takes requests.
    pub fn takes_work(&self, id: &ReplicaId) -> bool {
        self.entries.get(id).is_some_and(|e| !e.draining)
    }

    /// Returns a known replica.
    pub fn get(&self, id: &ReplicaId) -> Option<&T> {
        self.entries.get(id).map(|e| &e.value)
    }

    /// Returns the id of a known incarnation.
    pub fn id_of(&self, key: ReplicaKey) -> Option<&ReplicaId> {
        let mut entries = self.entries.iter();
        entries.find(|(_, e)| e.key == key).map(|(id, _)| id)
    }

    /// Returns every known replica, including draining ones.
    pub fn known(&self) -> impl Iterator<Item = (&ReplicaId, &T)> {
        self.entries.iter().map(|(id, e)| (id, &e.value))
    }
}
