//! The state of the dispatcher and the events that change it.

use {
    super::{
        dump::dump_service,
        exchange::PREFERRED_ROUTERS,
        reject::CLOSED_RETRY_AFTER, //
    },
    crate::{
        pool::ByteBudget,
        rendezvous,
        service::{
            ActiveRequest,
            ServiceState, //
        },
        shares::{
            ShareTable,
            Writer, //
        },
        Action,
        Completion,
        DispatchDump,
        Job,
        JobId,
        Mode,
        Peer,
        PreferredRouter,
        Refusal,
        Replica,
        ReplicaId,
        RouterId,
        Rules,
        ServiceId,
        Slots,
        Span,
        Time,
        Units,
        WorkspaceShare, //
    },
    slotmap::SlotMap,
    std::{
        collections::BTreeMap,
        sync::Arc, //
    },
};

/// Interval between two checks of a service that has no work here.
const IDLE_TICK: Span = Span::millis(250);

/// Decides which request starts where and when.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) me: Peer,
    pub(super) rules: Rules,
    pub(super) requests: SlotMap<JobId, ActiveRequest>,
    pub(super) services: BTreeMap<ServiceId, ServiceState>,
    /// The other routers.
    pub(super) routers: BTreeMap<RouterId, Peer>,
    /// Whether the list of routers was received at least once.
    pub(super) routers_known: bool,
    pub(super) leaving: bool,
    pub(super) actions: Vec<Action>,
    /// When due usage updates were last checked for.
    pub(super) last_exchange: Time,
    /// Limits the bytes of usage updates.
    pub(super) usage_budget: ByteBudget,
}

impl Dispatch {
    /// Creates the dispatcher of a router that has just started.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{Dispatch, Incarnation, Peer, PeerState};
    ///
    /// let me = Peer {
    ///     id: "r1".parse()?,
    ///     incarnation: Incarnation(1),
    ///     zone: "hall-a".parse()?,
    ///     state: PeerState::Live,
    /// };
    /// let mut dispatch = Dispatch::new(me, 7);
    /// assert!(dispatch.take_actions().is_empty());
    /// # Ok::<(), policy::IdError>(())
    /// ```
    pub fn new(me: Peer, _seed: u64) -> Dispatch {
        Dispatch {
            me,
            rules: Rules::default(),
            requests: SlotMap::with_key(),
            services: BTreeMap::new(),
            routers: BTreeMap::new(),
            routers_known: false,
            leaving: false,
            actions: Vec::new(),
            last_exchange: Time(0),
            usage_budget: ByteBudget::default(),
        }
    }

    /// Applies new rules. Queued requests of a removed service are rejected.
    pub fn configure(&mut self, rules: Rules, now: Time) {
        let writer = Writer::of(&self.me.id, self.me.incarnation);
        let mut ownership_changed = rules.mode != self.rules.mode;
        let mut table: Option<(&Arc<Vec<WorkspaceShare>>, ShareTable)> = None;
        for r in &rules.services {
            let shares = match &table {
                Some((list, shares)) if Arc::ptr_eq(list, &r.shares) => shares.clone(),
                _ => ShareTable::of(&r.shares),
            };
            table = Some((&r.shares, shares.clone()));
            match self.services.get_mut(&r.service) {
                Some(state) => state.configure(r, shares),
                None => {
                    ownership_changed = true;
                    let state = ServiceState::new(r.clone(), shares, writer);
                    self.services.insert(r.service.clone(), state);
                }
            }
        }
        let removed: Vec<ServiceId> = self
            .services
            .keys()
            .filter(|s| !rules.services.iter().any(|r| &r.service == *s))
            .cloned()
            .collect();
        for service in removed {
            self.reject_queued(&service, Refusal::NoEndpoint, now);
            self.services.remove(&service);
        }
        self.rules = rules;
        if ownership_changed {
            self.update_ownership(now);
        } else {
            self.schedule_all(now);
        }
    }

    /// Replaces the list of a service's replicas.
    pub fn set_replicas(&mut self, service: &ServiceId, list: Vec<Replica>, now: Time) {
        if let Some(state) = self.services.get_mut(service) {
            state.replica_slots.replace(list);
        }
        self.update_slots(service, now);
    }

    /// Replaces the list of the other routers, which may be empty.
    ///
    /// Until the first call this router owns no pool and waits for slots: a router that has just
    /// started and knows no peers would otherwise claim every slot for itself.
    pub fn set_routers(&mut self, list: Vec<Peer>, now: Time) {
        self.routers_known = true;
        self.routers = list.into_iter().map(|p| (p.id.clone(), p)).collect();
        self.update_ownership(now);
    }

    /// Accepts a request. Its start or rejection follows as an action.
    pub fn submit(&mut self, job: Job, now: Time) -> JobId {
        let service = job.service.clone();
        let known = self.services.contains_key(&service);
        if self.leaving || !known {
            let reason = self.closed_reason();
            return self.reject_new(job, reason);
        }
        let state = self
            .services
            .get_mut(&service)
            .expect("the service is known");
        let (id, rejected) = state.submit(job, self.rules.mode, &mut self.requests, now);
        match rejected {
            Some((job, reason, retry_after)) => self.actions.push(Action::Reject {
                job,
                reason,
                retry_after,
            }),
            None => self.schedule(&service, now),
        }
        id
    }

    /// Returns a started request to the queue, to be retried on another replica than `avoid`.
    ///
    /// The caller makes sure that the request didn't run there or is idempotent. If this router
    /// can neither queue nor start it, the request is rejected at once.
    pub fn requeue(&mut self, id: JobId, avoid: &ReplicaId, now: Time) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let service = request.job.service.clone();
        let failed = Completion {
            refund: true,
            ..Completion::default()
        };
        let state = self.services.get_mut(&service);
        let state = state.and_then(|state| {
            state.end(request, Some(&failed), now);
            state.replica_slots.any_available().then_some(state)
        });
        // Where nothing starts any more, because the service was removed or this router is
        // shutting down, a queued request would never be decided on.
        let stuck = match state {
            Some(state) => {
                request.avoid = Some(avoid.clone());
                state.enqueue(id, request, now);
                self.schedule(&service, now);
                self.leaving && self.requests[id].run.is_none()
            }
            None => true,
        };
        if stuck {
            self.reject(id, self.closed_reason(), CLOSED_RETRY_AFTER, now);
            self.schedule(&service, now);
        }
    }

    /// Removes a request, queued or running, that its caller has cancelled.
    ///
    /// The service that a running request has received stays charged.
    pub fn cancel(&mut self, id: JobId, now: Time) {
        let Some(mut request) = self.requests.remove(id) else {
            return;
        };
        let service = request.job.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            match request.run {
                Some(_) => state.end(&mut request, None, now),
                None => state.dequeue(id, &request, now),
            }
        }
        self.schedule(&service, now);
    }

    /// Records how much service a running request has received so far.
    pub fn record_progress(&mut self, id: JobId, received: Units, _now: Time) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&request.job.service) {
            state.record_progress(request, received);
        }
    }

    /// Records tokens that a running request has received, and the time since its previous ones.
    ///
    /// The concurrency limit of the replica is learnt from these. Means over complete requests
    /// would show the effect of a changed limit only seconds later.
    pub fn record_tokens(&mut self, id: JobId, count: u32, took: Span) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&request.job.service) {
            state.record_tokens(request, count, took);
        }
    }

    /// Ends a started request.
    pub fn finish(&mut self, id: JobId, f: Completion, now: Time) {
        let Some(mut request) = self.requests.remove(id) else {
            return;
        };
        let service = request.job.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            state.end(&mut request, Some(&f), now);
        }
        self.schedule(&service, now);
    }

    /// Stops new work on a replica that announced its shutdown.
    pub fn withdraw(&mut self, replica: &ReplicaId, now: Time) {
        let mut affected = None;
        for (service, state) in &mut self.services {
            if let Some(slots) = state.replica_slots.all.get_mut(replica) {
                slots.withdrawn = true;
                affected = Some(service.clone());
            }
        }
        if let Some(service) = affected {
            self.update_slots(&service, now);
        }
    }

    /// Records a load report of a replica, which lags: the requests that run on it and those
    /// that wait inside it.
    pub fn record_load(&mut self, replica: &ReplicaId, running: u32, waiting: u32, _now: Time) {
        for state in self.services.values_mut() {
            if let Some(slots) = state.replica_slots.all.get_mut(replica) {
                slots.sample.self_reported = Some((running, waiting));
            }
        }
    }

    /// Does the work that is due. To be called about every 10 ms.
    pub fn tick(&mut self, now: Time) {
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            let state = self.services.get_mut(&service).expect("listed above");
            if state.is_idle() && now.since(state.last_tick) < IDLE_TICK {
                continue;
            }
            state.last_tick = now;
            state.forget_idle(now);
            for rejected in state.overdue(&self.requests, now) {
                self.reject(rejected.0, rejected.1, rejected.2, now);
            }
            self.schedule(&service, now);
        }
        self.exchange_usage(now);
    }

    /// Begins the shutdown of this router: it accepts no new requests.
    ///
    /// Queued requests are rejected as not run; running ones continue.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            self.reject_queued(&service, Refusal::Leaving, now);
        }
        self.update_ownership(now);
    }

    /// Takes the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the routers that callers of a service should use, with the slots expected at each.
    pub fn preferred_routers(&self, service: &ServiceId) -> Vec<PreferredRouter> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let live = self.live_routers();
        let live = rendezvous::top(service.as_str(), live, PREFERRED_ROUTERS, |id| id.as_str());
        let slots = Slots(state.capacity().div_ceil(live.len().max(1) as u32));
        live.into_iter()
            .map(|router| PreferredRouter { router, slots })
            .collect()
    }

    /// Returns the number of requests that run from here.
    pub fn running(&self) -> usize {
        self.requests.values().filter(|l| l.run.is_some()).count()
    }

    /// Returns the state of the dispatcher for operators.
    pub fn dump(&self) -> DispatchDump {
        DispatchDump {
            mode: self.rules.mode,
            leaving: self.leaving,
            queued: self.services.values().map(ServiceState::queued).sum(),
            running: self.running(),
            services: self.services.values().map(dump_service).collect(),
        }
    }

    /// Starts the requests of a service that may start, and sends its due pool messages.
    pub(super) fn schedule(&mut self, service: &ServiceId, now: Time) {
        self.start_requests(service, now);
        if self.rules.mode == Mode::Fleet {
            self.send_pool_messages(service, now);
        }
    }

    pub(super) fn start_requests(&mut self, service: &ServiceId, now: Time) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        state.mark_backlogged(now);
        while let Some((id, replica)) =
            state.next_request(self.rules.mode, &self.requests, &self.me.zone, now)
        {
            state.start(id, &mut self.requests[id], &replica, now);
            self.actions.push(Action::Start { job: id, replica });
        }
    }
}
