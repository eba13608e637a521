//! A router's side of a pool: what it was lent and what it reports.

use {
    super::Limits,
    crate::{
        dispatch::{
            Body,
            Lend,
            Report,
            ServiceKey,
            Wait, //
        },
        entry::{
            Queue,
            ReplicaKey,
            Seats, //
        },
        shares::Key,
        Incarnation,
        RouterId,
        Span,
        Time, //
    },
    std::collections::BTreeMap,
};

/// Shortest time between two reports.
const URGENT: Span = Span::millis(10);
/// Time between two reports while work waits.
const WAITING: Span = Span::millis(100);
/// Time between two reports while nothing waits.
const IDLE: Span = Span::millis(250);
/// A report that was not acknowledged is sent again after this time.
const AGAIN: Span = Span::millis(400);
/// After this time without a word from the owner, the static fraction is used.
const DEAF: Span = Span::secs(1);
/// Time between two reports of how the replicas answered.
const LOADS: Span = Span::millis(500);
/// Queues up to this length are reported exactly.
const EXACT: u32 = 8;

/// What this router holds of a pool that another router, or itself, owns.
#[derive(Debug, Default)]
pub(crate) struct Hold {
    pub(crate) owner: Option<(RouterId, Incarnation)>,
    /// How often the owner changed.
    term: u32,
    since: Time,
    /// Number of the last lend that was taken in.
    lend: u64,
    /// Whether the owner waits to hear that slots are back.
    owes: bool,
    pub(crate) pressed: bool,
    pub(crate) capacity: u32,
    /// Limits of replicas that were heard of.
    pub(crate) limits: Limits,
    seq: u64,
    /// The last lend that the owner was told to be seen.
    told: u64,
    sent: Option<(Time, Body)>,
    acked: u64,
    /// When the owner was last told how the replicas answered.
    loaded: Option<Time>,
    /// Since when reports wait and none was acknowledged.
    unheard: Option<Time>,
}

impl Hold {
    /// Takes note of who owns the pool. What is held stays.
    pub(crate) fn follow(&mut self, owner: Option<(RouterId, Incarnation)>, now: Time) {
        if self.owner == owner {
            return;
        }
        self.owner = owner;
        self.term += 1;
        self.since = now;
        self.lend = 0;
        self.told = 0;
        self.sent = None;
        self.unheard = None;
    }

    /// Returns whether the owner has not answered for long.
    ///
    /// A router that is cut off from an owner that it still believes to be live would
    /// wait for slots forever. It then uses its static fraction.
    pub(crate) fn deaf(&self, now: Time) -> bool {
        let since = match self.owner {
            None => Some(self.since),
            Some(_) => self.unheard,
        };
        since.is_some_and(|t| now.since(t) >= DEAF)
    }

    /// Takes in a lend; returns whether it is news.
    pub(crate) fn lend(
        &mut self,
        from: &RouterId,
        inc: Incarnation,
        l: &Lend,
        seats: &mut Seats,
        now: Time,
    ) -> bool {
        let owner = self.owner.as_ref() == Some(&(from.clone(), inc));
        if !owner || l.term != self.term || l.seq < self.lend {
            return false;
        }
        if l.seen > self.acked {
            self.acked = l.seen;
            self.unheard = (self.acked < self.seq).then_some(now);
        }
        self.capacity = l.capacity;
        if l.seq == self.lend {
            // The owner sends it again, so the report that said it was seen got lost.
            self.told = 0;
            return false;
        }
        self.lend = l.seq;
        self.pressed = l.pressed;
        self.limits.extend(l.limits.iter().copied());
        let slots: BTreeMap<_, _> = l.slots.iter().copied().collect();
        for seat in seats.all.values_mut() {
            let allowed = slots.get(&seat.key).copied().unwrap_or(0);
            self.owes |= allowed < seat.allowed;
            seat.allowed = allowed;
        }
        true
    }

    /// Gives back what is idle while work waits elsewhere, or when this router leaves.
    pub(crate) fn give_back(
        &mut self,
        queues: &BTreeMap<Key, Queue>,
        seats: &mut Seats,
        leaving: bool,
    ) {
        let wanted = queues.values().any(|q| !q.is_empty());
        let spare = self.pressed && self.lend > 0 && !wanted;
        if spare || leaving {
            self.owes |= seats.close();
        }
    }

    /// Gives back idle slots of replicas that can take nothing of what waits.
    ///
    /// Such a slot would answer the demand and stay idle. It shows as a request that waits
    /// for its whole deadline in an idle fleet, after one replica has failed it. The owner
    /// learns of the replicas with the slots, and lends others instead.
    pub(crate) fn shun(&mut self, seats: &mut Seats, shuns: &[ReplicaKey], now: Time) {
        if self.lend > 0 && !self.deaf(now) {
            self.owes |= seats.close_some(shuns);
        }
    }

    /// Returns the report that is due, if any, without its loads.
    pub(crate) fn report(
        &mut self,
        service: ServiceKey,
        queues: &BTreeMap<Key, Queue>,
        seats: &Seats,
        shuns: Vec<ReplicaKey>,
        now: Time,
    ) -> Option<Report> {
        let body = body(queues, seats, shuns);
        let loads = body.running > 0 && self.loads_due(now);
        if !self.due(&body, now) && !loads {
            return None;
        }
        self.seq += 1;
        self.owes = false;
        self.told = self.lend;
        self.unheard.get_or_insert(now);
        self.sent = Some((now, body.clone()));
        Some(Report {
            service,
            term: self.term,
            seq: self.seq,
            seen: self.lend,
            body,
            limits: match self.lend {
                0 => self.limits.iter().map(|(k, n)| (*k, *n)).collect(),
                _ => Vec::new(),
            },
            loads: None,
        })
    }

    /// Returns whether the owner should hear how the replicas answered.
    pub(crate) fn loads_due(&self, now: Time) -> bool {
        self.loaded.is_none_or(|t| now.since(t) >= LOADS)
    }

    /// Notes that the owner was told how the replicas answered.
    pub(crate) fn loads_sent(&mut self, now: Time) {
        self.loaded = Some(now);
    }

    fn due(&self, body: &Body, now: Time) -> bool {
        let Some((at, last)) = &self.sent else {
            return true;
        };
        let passed = now.since(*at);
        let fewer = body.total() < last.total();
        let newly = |w: &Wait| !last.waits.iter().any(|l| l.key == w.key);
        let interval = if self.owes || fewer || body.waits.iter().any(newly) {
            URGENT
        } else if body == last && self.told == self.lend {
            match self.acked < self.seq {
                true => AGAIN,
                false => return false,
            }
        } else if self.pressed || !body.waits.is_empty() {
            WAITING
        } else {
            IDLE
        };
        passed >= interval
    }
}

impl Body {
    /// Returns all slots kept.
    fn total(&self) -> u32 {
        self.kept.iter().map(|k| k.1).sum()
    }
}

fn body(queues: &BTreeMap<Key, Queue>, seats: &Seats, shuns: Vec<ReplicaKey>) -> Body {
    Body {
        shuns,
        kept: seats
            .all
            .values()
            .map(|s| (s.key, s.allowed.max(s.running)))
            .filter(|k| k.1 > 0)
            .collect(),
        running: seats.running(),
        waits: queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .map(|(key, q)| Wait {
                key: *key,
                queued: coarse(q.len() as u32),
                running: q.running,
            })
            .collect(),
    }
}

/// Rounds a large number to its three highest bits, so that it seldom changes.
fn coarse(n: u32) -> u32 {
    if n <= EXACT {
        return n;
    }
    let low = n.ilog2() - 2;
    n >> low << low
}
