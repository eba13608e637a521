//! Entry of one service: its queues, seats and accounts at this router.

use {
    super::{
        refuse::doomed,
        Live,
        Queue,
        Run,
        Seats, //
    },
    crate::{
        dispatch::{
            service_key,
            Loads,
            Mates,
            ServiceKey, //
        },
        pool::{
            Hold,
            Pool, //
        },
        shares::{
            Key,
            Ledger,
            ShareTable,
            Writer,
            MILLI, //
        },
        Completion,
        Job,
        JobId,
        Mode,
        Refusal,
        ReplicaId,
        ServiceRules,
        Share,
        Span,
        Time,
        Units, //
    },
    slotmap::SlotMap,
    std::collections::BTreeMap,
};

/// How much of a new measurement goes into a mean.
const MEAN_STEP: f64 = 0.05;
/// A workspace counts as backlogged until its queue was empty for this time.
///
/// A queue that empties and fills many times a second would otherwise count as new each
/// time, and be moved near the others each time.
const CALM: Span = Span::millis(250);
/// An idle queue is forgotten after this time.
const IDLE: Span = Span::secs(300);

/// The requests that are queued or run.
pub(crate) type Lives = SlotMap<JobId, Live>;

/// What is refused, why, and when to come back.
pub(crate) type Refused = (JobId, Refusal, Span);

/// One service at this router.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Its name on the wire.
    pub(crate) key: ServiceKey,
    pub(crate) rules: ServiceRules,
    pub(crate) queues: BTreeMap<Key, Queue>,
    pub(crate) seats: Seats,
    pub(crate) ledger: Ledger,
    /// The routers that deal with this service.
    pub(crate) mates: Mates,
    /// What this router was lent.
    pub(crate) hold: Hold,
    /// The pool, where this router owns it.
    pub(crate) pool: Option<Pool>,
    /// Mean time that a request runs, in seconds.
    pub(crate) run_time: f64,
    /// Mean cost of a request, in units.
    pub(crate) cost: f64,
    /// Queued requests that avoid a replica.
    pub(super) retries: usize,
    numbers: u64,
    /// Requests that run from here.
    busy: usize,
    /// When it was last looked at.
    pub(crate) ticked: Time,
}

impl Entry {
    pub(crate) fn new(rules: ServiceRules, shares: ShareTable, me: Writer) -> Entry {
        let mut entry = Entry {
            key: service_key(&rules.service),
            ledger: Ledger::new(me),
            rules: rules.clone(),
            busy: 0,
            ticked: Time(0),
            queues: BTreeMap::new(),
            seats: Seats::default(),
            mates: Mates::default(),
            hold: Hold::default(),
            pool: None,
            run_time: 0.0,
            cost: 0.0,
            retries: 0,
            numbers: 0,
        };
        entry.ledger.set_shares(shares);
        entry
    }

    /// Puts rules in force, with the shares that they name.
    pub(crate) fn configure(&mut self, rules: &ServiceRules, shares: ShareTable) {
        self.rules = rules.clone();
        self.ledger.set_shares(shares);
    }

    /// Returns whether there is no work here and nothing to lend.
    pub(crate) fn calm(&self) -> bool {
        self.pool.is_none()
            && !self.hold.late
            && self.busy == 0
            && self.queues.values().all(Queue::is_empty)
    }

    /// Returns how many requests are queued.
    pub(crate) fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the slots of the whole service, as far as they are known.
    pub(crate) fn capacity(&self) -> u32 {
        if self.hold.capacity > 0 {
            return self.hold.capacity;
        }
        let open = self.seats.all.values().filter(|s| s.open()).count() as u32;
        open * self.rules.start.0
    }

    /// Queues a request or says why not.
    pub(crate) fn submit(
        &mut self,
        job: Job,
        mode: Mode,
        lives: &mut Lives,
        now: Time,
    ) -> (JobId, Option<Refused>) {
        self.numbers += 1;
        let mut live = Live::unqueued(job);
        live.number = self.numbers;
        if mode == Mode::Static {
            live.due = live.job.arrived;
        }
        let id = lives.insert(live);
        let live = &lives[id];
        if let Some((why, after)) = self.objection(live, id, now) {
            lives.remove(id);
            return (id, Some((id, why, after)));
        }
        self.enqueue(id, live, now);
        (id, None)
    }

    /// Puts a request into its queue.
    pub(crate) fn enqueue(&mut self, id: JobId, live: &Live, now: Time) {
        let queue = self
            .queues
            .entry(live.key)
            .or_insert_with(|| Queue::new(live.job.workspace.clone(), now));
        queue.pass(now);
        queue.used = now;
        queue.doomed = queue.doomed.min(doomed(&live.job));
        queue.places.insert((live.due, live.number, id));
        self.retries += usize::from(live.avoid.is_some());
    }

    /// Notes which workspaces have become backlogged, before their requests start.
    ///
    /// A request that finds a free slot does not make its workspace backlogged.
    pub(crate) fn note_waits(&mut self, now: Time) {
        let queued = self.queued();
        if queued == 0 || queued as u32 <= self.seats.free(now) {
            return;
        }
        let credit = (self.rules.credit.0 * MILLI) as i64;
        let queues = &self.queues;
        let running = |key: Key| queues.get(&key).map_or(0, |q| q.charged);
        for key in queues.iter().filter(|q| !q.1.is_empty()).map(|q| *q.0) {
            self.ledger.activate(key, credit, running);
            self.ledger.set_backlogged(key, true);
        }
    }

    /// Returns whether service given here may be at the cost of a workspace that waits.
    ///
    /// Only then it is charged: what a workspace receives while there is enough for all is
    /// not held against it later, and costs no message.
    fn contended(&self) -> bool {
        self.hold.pressed
            || self.hold.owner.is_none()
            || self.queues.values().any(|q| !q.is_empty())
    }

    /// Takes a queued request out of its queue.
    pub(crate) fn unqueue(&mut self, id: JobId, live: &Live, now: Time) {
        if let Some(queue) = self.queues.get_mut(&live.key) {
            queue.pass(now);
            let queued = queue.places.remove(&(live.due, live.number, id));
            self.retries -= usize::from(queued && live.avoid.is_some());
        }
    }

    /// Notes which queues have been empty for a while, and forgets those idle for long.
    pub(crate) fn forget_idle(&mut self, now: Time) {
        self.mates.forget(now);
        for (key, q) in &self.queues {
            let calm = q.waited.is_none_or(|t| now.since(t) >= CALM);
            if q.is_empty() && calm {
                self.ledger.set_backlogged(*key, false);
            }
        }
        self.queues
            .retain(|_, q| !q.is_empty() || q.running > 0 || now.since(q.used) < IDLE);
    }

    /// Starts a request: charges its hint and takes a seat.
    pub(crate) fn start(&mut self, id: JobId, live: &mut Live, replica: &ReplicaId, now: Time) {
        self.unqueue(id, live, now);
        let hint = match live.job.hint {
            Units(n) if n > 0.0 => n,
            _ if self.cost > 0.0 => self.cost,
            _ => 1.0,
        };
        let charged = match self.contended() {
            true => milli(hint, live.job.share),
            false => 0,
        };
        self.ledger.charge(live.key, charged);
        if let Some(queue) = self.queues.get_mut(&live.key) {
            queue.running += 1;
            queue.charged += charged;
            queue.drain.left();
            queue.used = now;
        }
        if let Some(seat) = self.seats.all.get_mut(replica) {
            seat.running += 1;
        }
        self.busy += 1;
        live.run = Some(Run {
            replica: replica.clone(),
            started: now,
            charged,
        });
    }

    /// Charges what a running request has received beyond what was charged.
    pub(crate) fn progress(&mut self, live: &mut Live, served: Units) {
        let contended = self.contended();
        let Some(run) = &mut live.run else { return };
        let total = milli(served.0, live.job.share);
        if contended && total > run.charged {
            let more = total - run.charged;
            self.ledger.charge(live.key, more);
            run.charged = total;
            if let Some(queue) = self.queues.get_mut(&live.key) {
                queue.charged += more;
            }
        }
    }

    /// Notes tokens that a running request has received.
    pub(crate) fn tokens(&mut self, live: &Live, count: u32, took: Span) {
        let Some(run) = &live.run else { return };
        if let Some(seat) = self.seats.all.get_mut(&run.replica) {
            seat.sample.tokens(count, took);
        }
    }

    /// Ends the run of a request: corrects its charge and frees its seat.
    ///
    /// Without a `finish` the caller has given up, and what was charged stays.
    pub(crate) fn end(&mut self, live: &mut Live, finish: Option<&Completion>, now: Time) {
        let Some(run) = live.run.take() else { return };
        self.busy -= 1;
        if let Some(f) = finish {
            let n = if f.refund { 0.0 } else { f.units.0 };
            let more = milli(n, live.job.share) - run.charged;
            if more < 0 || self.contended() {
                self.ledger.charge(live.key, more);
            }
            if n > 0.0 {
                step(&mut self.run_time, now.since(run.started).as_secs());
                step(&mut self.cost, n);
            }
        }
        if let Some(queue) = self.queues.get_mut(&live.key) {
            queue.running = queue.running.saturating_sub(1);
            queue.charged -= run.charged;
            queue.used = now;
        }
        if let Some(seat) = self.seats.all.get_mut(&run.replica) {
            seat.running = seat.running.saturating_sub(1);
            if let Some(f) = finish {
                seat.health.note(f.ok, now);
                seat.sample.note(f);
            }
        }
    }

    /// Returns how the replicas answered since the last call.
    pub(crate) fn loads(&mut self) -> Loads {
        let seats = self.seats.all.values_mut();
        Loads {
            cost: (self.cost * MILLI) as u64,
            run: Span((self.run_time * 1e6) as u64),
            seats: seats
                .filter_map(|s| s.sample.take(s.key, s.running))
                .collect(),
        }
    }
}

/// Returns an amount in thousandths, divided by the share of its profile.
fn milli(units: f64, share: Share) -> i64 {
    (units * MILLI / share.get()).round() as i64
}

/// Moves a mean towards a new value.
fn step(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += (value - *mean) * MEAN_STEP;
    }
}
