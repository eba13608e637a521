//! A router's side of a pool: what it was lent and what it reports.

use {
    super::{
        report_body::{
            queued,
            Body, //
        },
        Bucket,
        Limits, //
    },
    crate::{
        dispatch::{
            Report,
            ServiceKey,
            SlotGrant,
            Wait, //
        },
        service::{
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
    std::collections::{
        BTreeMap,
        VecDeque, //
    },
};

/// Shortest time between two reports.
const URGENT: Span = Span::millis(10);
/// Time between two reports while work waits.
const WAITING: Span = Span::millis(200);
/// Time between two reports while nothing waits.
const IDLE: Span = Span::millis(250);
/// Bytes a second of reports that an owner should take in without need, and at most.
const OWNER_TAKES: u64 = 4_000;
const OWNER_MOST: f64 = 9_000.0;
/// Bytes of urgent reports that may be saved up.
const BURST: f64 = 600.0;
/// A report that was not acknowledged is sent again after this time.
const AGAIN: Span = Span::millis(400);
/// How often that time doubles while nobody answers.
const TRIES: u32 = 4;
/// So many reports without an answer are enough to stop hurrying.
const SILENT: u32 = 16;
/// After this time without a word from the owner, the static fraction is used.
const DEAF: Span = Span::secs(1);
/// Time between two reports of how the replicas answered.
const LOADS: Span = Span::millis(500);
/// The same, for each replica where there are many.
const LOAD: Span = Span::millis(3);
/// Reports whose workspaces are remembered until the owner answers.
const ASKED: usize = 8;

/// What this router holds of a pool that another router, or itself, owns.
#[derive(Debug, Default)]
pub(crate) struct Hold {
    pub(crate) owner: Option<(RouterId, Incarnation)>,
    /// Whether callers of the service are pointed to this router.
    pub(crate) home: bool,
    /// How often the owner changed.
    term: u32,
    since: Time,
    /// Number of the last lend that was taken in.
    lend: u64,
    /// Whether the owner waits to hear that slots are back.
    owes: bool,
    /// Whether a report may be due that had to wait.
    pub(crate) late: bool,
    pub(crate) pressed: bool,
    pub(crate) capacity: u32,
    /// Routers that use the pool.
    sharers: u32,
    bucket: Bucket,
    /// Limits of replicas that were heard of.
    pub(crate) limits: Limits,
    seq: u64,
    /// Reports since the last acknowledgement.
    tries: u32,
    /// The last lend that the owner was told to be seen.
    told: u64,
    sent: Option<(Time, Body)>,
    /// The last report that named the workspaces that wait, when, and those.
    waits: Option<(u64, Time, Vec<Wait>)>,
    acked: u64,
    /// The workspaces of the last reports, in order, by number of the report.
    asked: VecDeque<(u64, Vec<Key>)>,
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
        self.acked = 0;
        self.waits = None;
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
        l: &SlotGrant,
        seats: &mut Seats,
        now: Time,
    ) -> bool {
        let owner = self.owner.as_ref() == Some(&(from.clone(), inc));
        if !owner || l.term != self.term {
            return false;
        }
        if l.seq == 0 {
            self.acked = 0;
            self.sent = None;
            return false;
        }
        if l.seq < self.lend {
            return false;
        }
        if l.seen > self.acked {
            self.acked = l.seen;
            self.tries = 0;
            self.unheard = (self.acked < self.seq).then_some(now);
        }
        self.capacity = l.capacity;
        self.sharers = l.sharers;
        self.limits.extend(l.limits.iter().copied());
        if l.seq == self.lend {
            // The owner sends it again, so the report that said it was seen got lost.
            if l.base < l.seq {
                self.told = 0;
            }
            return false;
        }
        if self.lend < l.base {
            return false;
        }
        self.lend = l.seq;
        self.pressed = l.pressed;
        self.owes |= seats.allow(&l.slots, l.base == 0);
        true
    }

    /// Returns the levels that a lend tells, without what this router counted itself.
    pub(crate) fn levels(
        &self,
        from: &RouterId,
        inc: Incarnation,
        l: &SlotGrant,
    ) -> Vec<(Key, i64)> {
        let owner = self.owner.as_ref() == Some(&(from.clone(), inc));
        let asked = self.asked.iter().find(|(seq, _)| *seq == l.seen);
        match asked {
            Some((_, keys)) if owner && l.term == self.term => {
                let levels = l.levels.iter().copied();
                keys.iter().copied().zip(levels).collect()
            }
            _ => Vec::new(),
        }
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
    ///
    /// It is `local` where this router owns the pool, and then costs nothing.
    pub(crate) fn report(
        &mut self,
        service: ServiceKey,
        queues: &BTreeMap<Key, Queue>,
        seats: &mut Seats,
        shuns: Vec<ReplicaKey>,
        local: bool,
        now: Time,
    ) -> Option<Report> {
        let just = |(at, _): &(Time, Body)| now.since(*at) < URGENT;
        if !local && self.sent.as_ref().is_some_and(just) {
            self.late = true;
            return None;
        }
        let body = Body::of(queues, seats, shuns);
        if !self.home && self.seq == 0 && body.is_empty() {
            return None;
        }
        let loads = body.running > 0 && self.loads_due(seats.all.len(), now);
        if !self.due(&body, local, now) && !loads {
            return None;
        }
        self.seq += 1;
        self.tries += 1;
        self.late = false;
        self.owes = false;
        self.told = self.lend;
        self.unheard.get_or_insert(now);
        let kept = seats.news(self.seq, self.acked);
        let waits = self.waits_due(&body, now);
        if waits {
            self.waits = Some((self.seq, now, body.waits.clone()));
        }
        self.bucket.spend(body.size(kept.len(), waits));
        let limits = match self.lend {
            0 => self.limits.iter().map(|(k, n)| (*k, *n)).collect(),
            _ => Vec::new(),
        };
        let told = self.waits.iter().flat_map(|w| &w.2);
        let keys = told.map(|w| w.key).collect();
        self.asked.push_back((self.seq, keys));
        if self.asked.len() > ASKED {
            self.asked.pop_front();
        }
        self.sent = Some((
            now,
            Body {
                news: false,
                ..body.clone()
            },
        ));
        Some(Report {
            service,
            term: self.term,
            seq: self.seq,
            seen: self.lend,
            base: self.acked,
            kept,
            running: body.running,
            waits: waits.then_some(body.waits),
            shuns: body.shuns,
            limits,
            loads: None,
        })
    }

    /// Returns whether the report should name the workspaces that wait.
    fn waits_due(&self, body: &Body, now: Time) -> bool {
        let Some((seq, at, told)) = &self.waits else {
            return true;
        };
        let much = body.queued() >= 2 * queued(told) || 2 * body.queued() <= queued(told);
        if much || *seq > self.acked || now.since(*at) >= self.interval(body) {
            return true;
        }
        // Where many workspaces wait, some begin or cease to all the time. This router
        // serves them by itself meanwhile, from the slots that it has.
        let keys = body.waits.iter().map(|w| w.key);
        !self.pressed || told.is_empty() && !keys.eq(told.iter().map(|w| w.key))
    }

    /// Returns whether the owner should hear how the replicas answered.
    pub(crate) fn loads_due(&self, seats: usize, now: Time) -> bool {
        let interval = LOADS.max(Span(LOAD.0 * seats as u64));
        self.loaded.is_none_or(|t| now.since(t) >= interval)
    }

    /// Notes that the owner was told how the replicas answered.
    pub(crate) fn loads_sent(&mut self, now: Time) {
        self.loaded = Some(now);
    }

    fn due(&mut self, body: &Body, local: bool, now: Time) -> bool {
        let sharers = self.sharers.max(1) as f64;
        self.bucket.refill(OWNER_MOST / sharers, BURST, now);
        let Some((at, last)) = &self.sent else {
            return true;
        };
        let passed = now.since(*at);
        if local {
            return body != last || self.told != self.lend || self.owes;
        }
        let urgent = self.owes || body.urges(last, self.pressed);
        self.late = urgent;
        let answered = self.tries < SILENT;
        let interval = if urgent && answered && self.bucket.open() {
            URGENT
        } else if body == last && self.told == self.lend {
            match self.acked < self.seq {
                true => Span(AGAIN.0 << self.tries.min(TRIES)),
                false => return false,
            }
        } else {
            self.interval(body)
        };
        passed >= interval
    }

    /// Returns the time between two reports that nobody waits for.
    ///
    /// It grows with their size and with the number of routers that report, so that the
    /// bytes that an owner takes in stay bounded.
    fn interval(&self, body: &Body) -> Span {
        let all = body.size(0, true) as u64 * u64::from(self.sharers);
        let paced = Span::millis(all * 1000 / OWNER_TAKES);
        if self.pressed || !body.waits.is_empty() {
            paced.max(WAITING)
        } else {
            paced.max(IDLE)
        }
    }
}
