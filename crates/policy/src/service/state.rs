//! State of one service at this router: its queues, replicas and usage ledger.

use {
    super::{
        admission::latest_start,
        ActiveRequest,
        Queue,
        Run,
        ServiceReplicas, //
    },
    crate::{
        dispatch::{
            service_key,
            ReplicaLoads,
            ServiceKey,
            ServicePeers, //
        },
        pool::{
            Pool,
            PoolClient, //
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

/// Weight of a new value in a moving mean.
const MEAN_WEIGHT: f64 = 0.05;
/// A workspace stays backlogged until its queue was empty for this time.
///
/// Otherwise a queue that empties and fills many times a second would count as newly backlogged
/// each time, and its virtual time be moved near the others' each time.
const BACKLOG_HOLD: Span = Span::millis(250);
/// An idle queue is removed after this time.
const QUEUE_IDLE_TIMEOUT: Span = Span::secs(300);

/// All requests, queued and running.
pub(crate) type ActiveRequests = SlotMap<JobId, ActiveRequest>;

/// A rejected request, the reason, and when its caller may retry.
pub(crate) type Rejection = (JobId, Refusal, Span);

/// One service at this router.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Its key on the wire.
    pub(crate) key: ServiceKey,
    pub(crate) rules: ServiceRules,
    pub(crate) queues: BTreeMap<Key, Queue>,
    pub(crate) replica_slots: ServiceReplicas,
    pub(crate) ledger: Ledger,
    /// The routers that exchange usage updates about this service.
    pub(crate) peers: ServicePeers,
    /// This router's side of the pool: the slots granted to it.
    pub(crate) pool_client: PoolClient,
    /// The pool, if this router owns it.
    pub(crate) pool: Option<Pool>,
    /// Mean run time of a request in seconds.
    pub(crate) mean_run_time: f64,
    /// Mean cost of a request in units.
    pub(crate) mean_cost: f64,
    /// Number of queued requests that avoid a replica.
    pub(super) queued_retries: usize,
    last_number: u64,
    /// Number of requests that run from here.
    running_total: usize,
    /// When it was last checked for due work.
    pub(crate) last_tick: Time,
}

impl ServiceState {
    pub(crate) fn new(rules: ServiceRules, shares: ShareTable, me: Writer) -> ServiceState {
        let mut state = ServiceState {
            key: service_key(&rules.service),
            ledger: Ledger::new(me),
            rules: rules.clone(),
            running_total: 0,
            last_tick: Time(0),
            queues: BTreeMap::new(),
            replica_slots: ServiceReplicas::default(),
            peers: ServicePeers::default(),
            pool_client: PoolClient::default(),
            pool: None,
            mean_run_time: 0.0,
            mean_cost: 0.0,
            queued_retries: 0,
            last_number: 0,
        };
        state.ledger.set_shares(shares);
        state
    }

    /// Applies new rules and their share table.
    pub(crate) fn configure(&mut self, rules: &ServiceRules, shares: ShareTable) {
        self.rules = rules.clone();
        self.ledger.set_shares(shares);
    }

    /// Returns whether this router has no work for the service and no pool to manage.
    pub(crate) fn is_idle(&self) -> bool {
        self.pool.is_none()
            && !self.pool_client.report_delayed
            && self.running_total == 0
            && self.queues.values().all(Queue::is_empty)
    }

    /// Returns the number of queued requests.
    pub(crate) fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the number of slots of the complete service, as far as known.
    pub(crate) fn capacity(&self) -> u32 {
        if self.pool_client.capacity > 0 {
            return self.pool_client.capacity;
        }
        let open = self
            .replica_slots
            .all
            .values()
            .filter(|s| s.accepts_work())
            .count() as u32;
        open * self.rules.start.0
    }

    /// Queues a request, or returns its rejection.
    pub(crate) fn submit(
        &mut self,
        job: Job,
        mode: Mode,
        requests: &mut ActiveRequests,
        now: Time,
    ) -> (JobId, Option<Rejection>) {
        self.last_number += 1;
        let mut request = ActiveRequest::new(job);
        request.number = self.last_number;
        if mode == Mode::Static {
            request.due = request.job.arrived;
        }
        let id = requests.insert(request);
        let request = &requests[id];
        if let Some((reason, retry_after)) = self.rejection(request, id, now) {
            requests.remove(id);
            return (id, Some((id, reason, retry_after)));
        }
        self.enqueue(id, request, now);
        (id, None)
    }

    /// Adds a request to the queue of its workspace.
    pub(crate) fn enqueue(&mut self, id: JobId, request: &ActiveRequest, now: Time) {
        let queue = self
            .queues
            .entry(request.key)
            .or_insert_with(|| Queue::new(request.job.workspace.clone(), now));
        queue.update_drain(now);
        queue.last_used = now;
        queue.next_too_late = queue.next_too_late.min(latest_start(&request.job));
        queue.positions.insert((request.due, request.number, id));
        self.queued_retries += usize::from(request.avoid.is_some());
    }

    /// Marks the workspaces that have become backlogged, before their requests start.
    ///
    /// A request that finds a free slot does not make its workspace backlogged.
    pub(crate) fn mark_backlogged(&mut self, now: Time) {
        let queued = self.queued();
        if queued == 0 || queued as u32 <= self.replica_slots.free(now) {
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

    /// Returns whether service given here may be at the expense of a backlogged workspace.
    ///
    /// Only then is it charged: service received while capacity suffices for all does not count
    /// against a workspace later, and costs no message.
    fn is_contended(&self) -> bool {
        self.pool_client.contended
            || self.pool_client.owner.is_none()
            || self.queues.values().any(|q| !q.is_empty())
    }

    /// Removes a request from its queue.
    pub(crate) fn dequeue(&mut self, id: JobId, request: &ActiveRequest, now: Time) {
        if let Some(queue) = self.queues.get_mut(&request.key) {
            queue.update_drain(now);
            let queued = queue.positions.remove(&(request.due, request.number, id));
            self.queued_retries -= usize::from(queued && request.avoid.is_some());
        }
    }

    /// Ends the backlog of queues that stayed empty, and removes those idle for long.
    pub(crate) fn forget_idle(&mut self, now: Time) {
        self.peers.forget_silent(now);
        for (key, q) in &self.queues {
            let drained = q
                .last_backlogged
                .is_none_or(|t| now.since(t) >= BACKLOG_HOLD);
            if q.is_empty() && drained {
                self.ledger.set_backlogged(*key, false);
            }
        }
        self.queues.retain(|_, q| {
            !q.is_empty() || q.running > 0 || now.since(q.last_used) < QUEUE_IDLE_TIMEOUT
        });
    }

    /// Starts a request: charges its cost hint and takes a slot.
    pub(crate) fn start(
        &mut self,
        id: JobId,
        request: &mut ActiveRequest,
        replica: &ReplicaId,
        now: Time,
    ) {
        self.dequeue(id, request, now);
        let hint = match request.job.hint {
            Units(n) if n > 0.0 => n,
            _ if self.mean_cost > 0.0 => self.mean_cost,
            _ => 1.0,
        };
        let charged = match self.is_contended() {
            true => normalised_milli(hint, request.job.share),
            false => 0,
        };
        self.ledger.charge(request.key, charged);
        if let Some(queue) = self.queues.get_mut(&request.key) {
            queue.running += 1;
            queue.charged += charged;
            queue.drain.record_departure();
            queue.last_used = now;
        }
        if let Some(slots) = self.replica_slots.all.get_mut(replica) {
            slots.running += 1;
        }
        self.running_total += 1;
        request.run = Some(Run {
            replica: replica.clone(),
            started: now,
            charged,
        });
    }

    /// Charges the service that a running request has received beyond its charge so far.
    pub(crate) fn record_progress(&mut self, request: &mut ActiveRequest, received: Units) {
        let contended = self.is_contended();
        let Some(run) = &mut request.run else { return };
        let total = normalised_milli(received.0, request.job.share);
        if contended && total > run.charged {
            let extra = total - run.charged;
            self.ledger.charge(request.key, extra);
            run.charged = total;
            if let Some(queue) = self.queues.get_mut(&request.key) {
                queue.charged += extra;
            }
        }
    }

    /// Records tokens that a running request has received.
    pub(crate) fn record_tokens(&mut self, request: &ActiveRequest, count: u32, took: Span) {
        let Some(run) = &request.run else { return };
        if let Some(slots) = self.replica_slots.all.get_mut(&run.replica) {
            slots.sample.record_tokens(count, took);
        }
    }

    /// Ends the run of a request: corrects its charge and frees its slot.
    ///
    /// Without a `completion` the caller has cancelled it, and the charge stays.
    pub(crate) fn end(
        &mut self,
        request: &mut ActiveRequest,
        completion: Option<&Completion>,
        now: Time,
    ) {
        let Some(run) = request.run.take() else {
            return;
        };
        self.running_total -= 1;
        if let Some(f) = completion {
            let n = if f.refund { 0.0 } else { f.units.0 };
            let extra = normalised_milli(n, request.job.share) - run.charged;
            if extra < 0 || self.is_contended() {
                self.ledger.charge(request.key, extra);
            }
            if n > 0.0 {
                update_mean(&mut self.mean_run_time, now.since(run.started).as_secs());
                update_mean(&mut self.mean_cost, n);
            }
        }
        if let Some(queue) = self.queues.get_mut(&request.key) {
            queue.running = queue.running.saturating_sub(1);
            queue.charged -= run.charged;
            queue.last_used = now;
        }
        if let Some(slots) = self.replica_slots.all.get_mut(&run.replica) {
            slots.running = slots.running.saturating_sub(1);
            if let Some(f) = completion {
                slots.health.record(f.ok, now);
                slots.sample.record_completion(f);
            }
        }
    }

    /// Returns the performance of the replicas since the last call.
    pub(crate) fn take_loads(&mut self) -> ReplicaLoads {
        let replicas = self.replica_slots.all.values_mut();
        ReplicaLoads {
            cost: (self.mean_cost * MILLI) as u64,
            run_time: Span((self.mean_run_time * 1e6) as u64),
            replicas: replicas
                .filter_map(|s| s.sample.take_load(s.key, s.running))
                .collect(),
        }
    }
}

/// Returns a cost in thousandths of a unit, divided by the share of its profile.
fn normalised_milli(units: f64, share: Share) -> i64 {
    (units * MILLI / share.get()).round() as i64
}

/// Updates an exponential moving mean.
fn update_mean(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += (value - *mean) * MEAN_WEIGHT;
    }
}
