//! Requests that wait, in order.

use {
    super::admissions::Admissions,
    crate::{
        ServiceId,
        Span,
        Time, //
    },
    slotmap::{
        new_key_type,
        SlotMap, //
    },
    std::collections::BTreeMap,
    thiserror::Error, //
};

/// Requests that wait at one router. Their bodies stay in memory, and an instance may have 88 MB.
const WAITING_MAX: usize = 64;
/// Requests of a service that may try again in one round. Each try costs a placement decision.
const TRIES: usize = 4;
/// A request gives way only if so much time is left, as the next round is up to 25 ms away.
const GIVE_WAY_MIN: Span = Span::millis(50);

new_key_type! {
    /// Identifies a waiting request.
    pub struct WaiterKey;
}

/// How urgent a request is; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Priority(pub u32);

/// A request's place in the order, the first one being the lowest.
///
/// # Examples
///
/// ```
/// use policy::{waiting::{Priority, Rank}, Time};
///
/// let rank = |over_share, send_by| Rank {
///     over_share,
///     send_by: Time(send_by),
///     priority: Priority::default(),
/// };
/// assert!(rank(false, 9) < rank(true, 1));
/// assert!(rank(true, 1) < rank(true, 2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Its workspace got its configured share, or nearly so.
    pub over_share: bool,
    /// When it must be sent to meet its target.
    pub send_by: Time,
    /// The priority of its workspace, or else of its route.
    pub priority: Priority,
}

/// The place that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its place in the order.
    pub rank: Rank,
    /// When it must be sent or rejected.
    pub latest_start: Time,
    /// It would have found room, and gave way to those before it.
    pub gave_way: bool,
}

/// Why a request can't wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoPlace {
    /// Too many requests wait.
    #[error("too many requests wait")]
    Full,
    /// Its turn is not expected in time.
    #[error("its turn is not expected in time")]
    TooLate,
}

/// A round of tries.
#[derive(Debug)]
pub struct Round<W> {
    /// The handles of the requests that may try, in order.
    pub turns: Vec<W>,
    changes: u64,
}

#[derive(Debug)]
struct Entry<W> {
    service: ServiceId,
    position: Position,
    gave_way: bool,
    handle: W,
}

/// A place in the order; requests of equal rank are in the order of arrival.
type Position = (Rank, u64);

#[derive(Debug)]
struct Line {
    order: BTreeMap<Position, WaiterKey>,
    admissions: Admissions,
}

impl Line {
    fn new(now: Time) -> Line {
        Line {
            order: BTreeMap::new(),
            admissions: Admissions::new(now),
        }
    }

    fn ahead_of(&self, rank: Rank) -> usize {
        self.order.range(..(rank, u64::MAX)).count()
    }
}

/// A bounded queue for each service, where `W` wakes a request that waits.
///
/// Requests try again in rounds: the first four of each service, and those that gave way since the
/// last round. A round is due once an engine may have room. Until it has ended, a new request gives
/// way to those before it in the order.
///
/// # Examples
///
/// ```
/// use policy::{waiting::{Place, Priority, Queue, Rank}, Time};
///
/// let mut queue = Queue::default();
/// let service = "s".parse()?;
/// let rank = Rank { over_share: false, send_by: Time(700), priority: Priority(0) };
/// let place = Place { rank, latest_start: Time(200), gave_way: false };
/// let key = queue.join(&service, place, "first", Time(0))?;
/// assert_eq!(queue.begin_round().turns, ["first"]);
/// queue.admit(key, Time(10));
/// assert_eq!(queue.len(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Queue<W> {
    entries: SlotMap<WaiterKey, Entry<W>>,
    lines: BTreeMap<ServiceId, Line>,
    /// Number of requests that have joined.
    joined: u64,
    /// Number of times that an engine may have got room.
    changes: u64,
    /// The changes after which a round was completed.
    tried: u64,
}

impl<W> Default for Queue<W> {
    fn default() -> Queue<W> {
        Queue {
            entries: SlotMap::with_key(),
            lines: BTreeMap::new(),
            joined: 0,
            changes: 0,
            tried: 0,
        }
    }
}

impl<W: Clone> Queue<W> {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Too many requests wait, or it can't have its turn before its latest start.
    pub fn join(
        &mut self,
        service: &ServiceId,
        place: Place,
        handle: W,
        now: Time,
    ) -> Result<WaiterKey, NoPlace> {
        if self.entries.len() >= WAITING_MAX {
            return Err(NoPlace::Full);
        }
        let line = self.lines.get(service);
        let line = line.filter(|_| !place.gave_way);
        let wait = line.map_or(Span::ZERO, |line| {
            line.admissions
                .expected_wait(line.ahead_of(place.rank), now)
        });
        if now + wait >= place.latest_start {
            return Err(NoPlace::TooLate);
        }
        self.joined += 1;
        let position = (place.rank, self.joined);
        let key = self.entries.insert(Entry {
            service: service.clone(),
            position,
            gave_way: place.gave_way,
            handle,
        });
        let line = self.lines.entry(service.clone());
        let line = line.or_insert_with(|| Line::new(now));
        line.order.insert(position, key);
        Ok(key)
    }

    /// Removes a request that got room.
    pub fn admit(&mut self, key: WaiterKey, now: Time) {
        let entry = self.entries.get(key);
        if let Some(line) = entry.and_then(|e| self.lines.get_mut(&e.service)) {
            line.admissions.record(now);
        }
        self.leave(key);
    }

    /// Removes a request.
    pub fn leave(&mut self, key: WaiterKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let Some(line) = self.lines.get_mut(&entry.service) {
            line.order.remove(&entry.position);
            if line.order.is_empty() {
                self.lines.remove(&entry.service);
            }
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many requests of a service wait.
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.lines.get(service).map_or(0, |line| line.order.len())
    }

    /// Returns the time until all that wait for a service now are expected to be admitted.
    pub fn expected_wait(&self, service: &ServiceId, now: Time) -> Span {
        self.lines.get(service).map_or(Span::ZERO, |line| {
            line.admissions.expected_wait(line.order.len(), now)
        })
    }

    /// Returns whether a new request has to give way, as one before it in the order has not been
    /// tried since an engine may have got room.
    pub fn gives_way(&self, service: &ServiceId, place: Place, now: Time) -> bool {
        let line = self.lines.get(service);
        let due = self.tried < self.changes && self.entries.len() < WAITING_MAX;
        due && now + GIVE_WAY_MIN < place.latest_start
            && line.is_some_and(|line| line.ahead_of(place.rank) > 0)
    }

    /// Records that an engine may have room. Returns whether a request waits for it.
    pub fn record_room(&mut self) -> bool {
        self.changes += u64::from(!self.is_empty());
        !self.is_empty()
    }

    /// Returns the handles of all requests that wait.
    pub fn handles(&self) -> Vec<W> {
        self.entries.values().map(|e| e.handle.clone()).collect()
    }

    /// Begins a round of tries.
    pub fn begin_round(&mut self) -> Round<W> {
        let mut turns = Vec::new();
        for line in self.lines.values() {
            for (n, key) in line.order.values().enumerate() {
                let entry = &mut self.entries[*key];
                if n < TRIES || entry.gave_way {
                    turns.push(entry.handle.clone());
                    entry.gave_way = false;
                }
            }
        }
        Round {
            turns,
            changes: self.changes,
        }
    }

    /// Ends a round of tries.
    pub fn end_round(&mut self, round: &Round<W>) {
        self.tried = round.changes;
    }
}
