//! Which replicas take work, from a list that can be read only now and then.

mod entry;
mod outage;
mod turns;

pub use self::entry::Listed;

use {
    self::{
        entry::{
            Entry,
            Whose, //
        },
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

/// A list that comes this soon after a peer's word may have been made before it: twice what a
/// call may take. Believed, it would bring back a replica that is leaving, and the peer's next
/// words are old news by then.
const LATE: Span = Span::millis(2_400);
/// How long a replica that left is remembered and told to peers: several times the longest
/// pause between two reads of the list by the slowest of them.
const TELL: Span = Span::secs(6);

/// The replicas that are known, and which of them take work.
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
    left: BTreeMap<ReplicaKey, Time>,
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
            left: BTreeMap::new(),
            turns: Turns::default(),
            eras: Eras::default(),
            revision: None,
            returned: None,
        }
    }
}

impl<T> Roster<T> {
    /// Notes that the list could not be read.
    pub fn read_failed(&mut self) {
        self.outage.failed();
    }

    /// Takes a whole list. Returns those that no longer take work, also where another start
    /// under the same id does.
    pub fn apply_list<L>(&mut self, list: impl IntoIterator<Item = L>, now: Time) -> Vec<ReplicaId>
    where
        L: Into<Listed<T>>,
    {
        self.outage.any_read(self.turns.fleet_read(), now);
        self.turns.any_read(now);
        self.merge(list, Whose::Own, now, now)
    }

    /// Notes the store's revision at which the list was read that is taken next.
    ///
    /// A store that came back from an older copy misses replicas that registered since, and has some
    /// again that left. All of them refresh their entries within seconds, or lapse.
    pub fn set_revision(&mut self, revision: Revision, now: Time) {
        let before = self.revision.replace(revision);
        let fell = before.is_some_and(|before| revision.fell_since(before));
        if self.eras.observe_answer(revision.era) || fell {
            self.went_back(now);
        }
    }

    /// Takes the era of the store that a peer names.
    pub fn observe_peer_era(&mut self, era: Era, now: Time) {
        if self.eras.observe_peer(era) {
            self.went_back(now);
        }
    }

    /// Returns the era of the store that this router's list is of, to tell the peers.
    pub fn era(&self) -> Era {
        self.eras.confirmed()
    }

    /// Takes the era of a peer's list. Returns whether the list may be used: one of an older era is
    /// from before the store came back, however late it comes.
    pub fn accepts_list_of(&mut self, era: Era, now: Time) -> bool {
        self.observe_peer_era(era, now);
        era >= self.eras.confirmed()
    }

    fn went_back(&mut self, now: Time) {
        self.outage.went_back(now);
        self.returned = Some(now);
        for at in self.left.values_mut() {
            *at = now;
        }
    }

    /// Takes the whole list of a peer, as it was `age` ago. Returns those that no longer take
    /// work.
    ///
    /// A list that is no newer than this router's own changes nothing.
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
        if self.turns.have_since(made) {
            return Vec::new();
        }
        self.merge(list, Whose::Peers, made, now)
    }

    /// Takes a whole list that was made at a moment.
    fn merge<L>(
        &mut self,
        list: impl IntoIterator<Item = L>,
        whose: Whose,
        made: Time,
        now: Time,
    ) -> Vec<ReplicaId>
    where
        L: Into<Listed<T>>,
    {
        self.turns.take(made);
        let mut seen = BTreeMap::new();
        for listed in list {
            let listed: Listed<T> = listed.into();
            seen.insert(listed.id.clone(), listed);
        }
        let keeps = self.outage.keeps_missing(now);
        let mut left = self.remove_ended(&seen, keeps, now);
        for (id, listed) in seen {
            let key = listed.key;
            let late = self.left.get(&key).is_some_and(|at| now.since(*at) < LATE);
            let known = self.entries.get(&id);
            if known.is_none() && self.is_of_older_copy(key, now) {
                continue;
            }
            // After an outage of the store an entry from before may stand there for a while. A
            // start that was read as leaving would get requests that it can't finish. What a
            // peer told may be a mistake of the peer's, and counts while the list may be older.
            let leaving =
                known.is_some_and(|e| e.leaving) || whose == Whose::Own && listed.draining;
            let told = late && known.is_some_and(|e| e.draining);
            let draining = listed.draining || leaving || told;
            if draining {
                match known.map(|e| e.draining) {
                    Some(false) => {
                        self.left.insert(key, now);
                        left.push(id.clone());
                    }
                    // It came and is leaving between two reads of this router. Peers that
                    // read meanwhile took it for one that takes work, and hear otherwise from
                    // nobody else until they read again, up to 4 s later.
                    None => {
                        self.left.insert(key, now);
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
                    leaving,
                },
            );
        }
        self.left.retain(|_, at| now.since(*at) < TELL);
        left
    }

    /// Tells whether a start that left before the store came back stands in the list only because the
    /// store's copy is older. It gets no work until its entry has had the time to lapse.
    fn is_of_older_copy(&self, key: ReplicaKey, now: Time) -> bool {
        let returned = self.returned.is_some_and(|at| now.since(at) < TELL);
        returned && self.left.contains_key(&key)
    }

    /// Removes the starts that a list no longer tells of, and returns their ids.
    ///
    /// A replica that starts again under its id is a new one. Kept as the entry of before, it
    /// would stay without work where the former start was draining, and be sent requests over
    /// connections that ended with it.
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
            self.left.insert(*key, now);
        }
        ended.into_iter().map(|(id, _)| id).collect()
    }

    /// How often a router looks whether it is to read the list.
    pub const POLL_INTERVAL: Span = turn::POLL_INTERVAL;

    /// Tells whether this router is to read the list now, of so many; `roll` is a number from
    /// 0 to 1 that is drawn at each look.
    pub fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        self.turns.is_due(roll, routers, now)
    }

    /// Returns how long ago this router read the list, to tell the peers.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.turns.age(now)
    }

    /// Takes a peer's word of how long ago it read the list.
    pub fn peer_read(&mut self, age: Span, now: Time) {
        let at = now - age;
        self.outage.peer_read(self.turns.fleet_read(), at);
        self.turns.any_read(at);
    }

    /// Takes a peer's word of how long ago its list was made, and which list it is. Returns
    /// whether the peer has a newer one that says something else.
    pub fn peer_list(&mut self, age: Span, digest: u32, now: Time) -> bool {
        let made = now - age;
        self.peer_read(age, now);
        if !self.turns.is_newer(made) {
            return false;
        }
        if self.turns.has_read() && digest == self.digest() {
            self.turns.take(made);
            return false;
        }
        true
    }

    /// Returns a short name of what this router knows of all replicas: the same at all routers
    /// that know the same.
    pub fn digest(&self) -> u32 {
        let mut hash = Xxh3::new();
        for entry in self.entries.values() {
            hash.update(&entry.key.0.to_le_bytes());
            hash.update(&[u8::from(entry.draining)]);
        }
        hash.digest() as u32
    }

    /// Returns every replica that is known, with whether it is draining, to tell a peer.
    pub fn all(&self) -> impl Iterator<Item = (&ReplicaId, &T, bool)> {
        self.entries
            .iter()
            .map(|(id, e)| (id, &e.value, e.draining))
    }

    /// Takes a peer's word that replicas no longer take work. Returns those that did so far.
    pub fn apply_departures(&mut self, left: &[ReplicaKey], now: Time) -> Vec<ReplicaId> {
        let mut gone = Vec::new();
        for key in left {
            if self.left.contains_key(key) {
                continue;
            }
            self.left.insert(*key, now);
            for (id, entry) in &mut self.entries {
                if entry.key == *key && !entry.draining {
                    entry.draining = true;
                    gone.push(id.clone());
                }
            }
        }
        gone
    }

    /// Returns the replicas that left of late, to tell the peers.
    pub fn departures(&self, now: Time) -> Vec<ReplicaKey> {
        let fresh = self.left.iter().filter(|(_, at)| now.since(**at) < TELL);
        fresh.map(|(key, _)| *key).collect()
    }

    /// Returns the replicas that take work.
    pub fn ready(&self) -> impl Iterator<Item = (&ReplicaId, &T)> {
        let ready = self.entries.iter().filter(|(_, e)| !e.draining);
        ready.map(|(id, e)| (id, &e.value))
    }

    /// Tells whether a replica is known and takes work.
    pub fn takes_work(&self, id: &ReplicaId) -> bool {
        self.entries.get(id).is_some_and(|e| !e.draining)
    }

    /// Returns a replica that is known.
    pub fn get(&self, id: &ReplicaId) -> Option<&T> {
        self.entries.get(id).map(|e| &e.value)
    }

    /// Returns every replica that is known, also those that are draining.
    pub fn known(&self) -> impl Iterator<Item = (&ReplicaId, &T)> {
        self.entries.iter().map(|(id, e)| (id, &e.value))
    }
}
