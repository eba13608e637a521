//! The state of this part and its events.

use {
    super::{
        dump::dump_service,
        exchange::HOMES,
        reject::AFTER_NONE, //
    },
    crate::{
        pool::Bucket,
        rendezvous,
        service::{
            Entry,
            Live, //
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

/// A service without any work here is looked at this often.
const CALM_TICK: Span = Span::millis(250);

/// Decides which request starts where and when.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) me: Peer,
    pub(super) rules: Rules,
    pub(super) lives: SlotMap<JobId, Live>,
    pub(super) services: BTreeMap<ServiceId, Entry>,
    /// The other routers.
    pub(super) routers: BTreeMap<RouterId, Peer>,
    /// Whether the list of routers was given at least once.
    pub(super) listed: bool,
    pub(super) leaving: bool,
    pub(super) actions: Vec<Action>,
    /// When it was last looked for notes to be sent.
    pub(super) exchanged: Time,
    /// Bytes that notes may take.
    pub(super) pacer: Bucket,
}

impl Dispatch {
    /// Makes the state of a router that knows nothing yet.
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
            lives: SlotMap::with_key(),
            services: BTreeMap::new(),
            routers: BTreeMap::new(),
            listed: false,
            leaving: false,
            actions: Vec::new(),
            exchanged: Time(0),
            pacer: Bucket::default(),
        }
    }

    /// Puts rules in force. Requests of a service that is gone are refused.
    pub fn configure(&mut self, rules: Rules, now: Time) {
        let writer = Writer::of(&self.me.id, self.me.incarnation);
        let mut fresh = rules.mode != self.rules.mode;
        let mut table: Option<(&Arc<Vec<WorkspaceShare>>, ShareTable)> = None;
        for r in &rules.services {
            let shares = match &table {
                Some((of, shares)) if Arc::ptr_eq(of, &r.shares) => shares.clone(),
                _ => ShareTable::of(&r.shares),
            };
            table = Some((&r.shares, shares.clone()));
            match self.services.get_mut(&r.service) {
                Some(entry) => entry.configure(r, shares),
                None => {
                    fresh = true;
                    let entry = Entry::new(r.clone(), shares, writer);
                    self.services.insert(r.service.clone(), entry);
                }
            }
        }
        let gone: Vec<ServiceId> = self
            .services
            .keys()
            .filter(|s| !rules.services.iter().any(|r| &r.service == *s))
            .cloned()
            .collect();
        for service in gone {
            self.refuse_queued(&service, Refusal::NoEndpoint, now);
            self.services.remove(&service);
        }
        self.rules = rules;
        if fresh {
            self.rank(now);
        } else {
            self.pump_all(now);
        }
    }

    /// Takes over the list of a service's replicas.
    pub fn set_replicas(&mut self, service: &ServiceId, list: Vec<Replica>, now: Time) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.seats.replace(list);
        }
        self.reseat(service, now);
    }

    /// Takes over the list of the other routers, which may be empty.
    ///
    /// Until it was called once, this router owns nothing and waits for slots: one that
    /// has just started and knows of nobody yet would take all slots for its own.
    pub fn set_routers(&mut self, list: Vec<Peer>, now: Time) {
        self.listed = true;
        self.routers = list.into_iter().map(|p| (p.id.clone(), p)).collect();
        self.rank(now);
    }

    /// Takes a request in. Its start or refusal is an action.
    pub fn submit(&mut self, job: Job, now: Time) -> JobId {
        let service = job.service.clone();
        let known = self.services.contains_key(&service);
        if self.leaving || !known {
            let why = self.closed();
            return self.turn_away(job, why);
        }
        let entry = self
            .services
            .get_mut(&service)
            .expect("the service is known");
        let (id, refused) = entry.submit(job, self.rules.mode, &mut self.lives, now);
        match refused {
            Some((job, reason, retry_after)) => self.actions.push(Action::Reject {
                job,
                reason,
                retry_after,
            }),
            None => self.pump(&service, now),
        }
        id
    }

    /// Queues a started request again, away from a replica.
    ///
    /// The caller knows that it surely did not run there, or that it is idempotent. Where
    /// it can't wait any more, and not start either, it is refused at once.
    pub fn requeue(&mut self, id: JobId, avoid: &ReplicaId, now: Time) {
        let Some(live) = self.lives.get_mut(id) else {
            return;
        };
        let service = live.job.service.clone();
        let failed = Completion {
            refund: true,
            ..Completion::default()
        };
        let entry = self.services.get_mut(&service);
        let entry = entry.and_then(|entry| {
            entry.end(live, Some(&failed), now);
            entry.seats.any_open().then_some(entry)
        });
        // Nothing would ever be decided about a request that waits where nothing starts
        // any more: its service is gone, or this router leaves.
        let waits = match entry {
            Some(entry) => {
                live.avoid = Some(avoid.clone());
                entry.enqueue(id, live, now);
                self.pump(&service, now);
                self.leaving && self.lives[id].run.is_none()
            }
            None => true,
        };
        if waits {
            self.refuse(id, self.closed(), AFTER_NONE, now);
            self.pump(&service, now);
        }
    }

    /// Forgets a request that its caller gave up, queued or running.
    ///
    /// What a running one has received stays charged.
    pub fn cancel(&mut self, id: JobId, now: Time) {
        let Some(mut live) = self.lives.remove(id) else {
            return;
        };
        let service = live.job.service.clone();
        if let Some(entry) = self.services.get_mut(&service) {
            match live.run {
                Some(_) => entry.end(&mut live, None, now),
                None => entry.unqueue(id, &live, now),
            }
        }
        self.pump(&service, now);
    }

    /// Notes how much a running request has received so far.
    pub fn record_progress(&mut self, id: JobId, served: Units, _now: Time) {
        let Some(live) = self.lives.get_mut(id) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&live.job.service) {
            entry.progress(live, served);
        }
    }

    /// Notes tokens that a running request has received, and how long after its last ones.
    ///
    /// The limit of a replica is learnt from these. A mean over whole requests would tell
    /// seconds late what a change of the limit has changed.
    pub fn record_tokens(&mut self, id: JobId, count: u32, took: Span) {
        let Some(live) = self.lives.get(id) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&live.job.service) {
            entry.tokens(live, count, took);
        }
    }

    /// Ends a started request.
    pub fn finish(&mut self, id: JobId, f: Completion, now: Time) {
        let Some(mut live) = self.lives.remove(id) else {
            return;
        };
        let service = live.job.service.clone();
        if let Some(entry) = self.services.get_mut(&service) {
            entry.end(&mut live, Some(&f), now);
        }
        self.pump(&service, now);
    }

    /// Stops new work on a replica that was seen to leave.
    pub fn withdraw(&mut self, replica: &ReplicaId, now: Time) {
        let mut of = None;
        for (service, entry) in &mut self.services {
            if let Some(seat) = entry.seats.all.get_mut(replica) {
                seat.withdrawn = true;
                of = Some(service.clone());
            }
        }
        if let Some(service) = of {
            self.reseat(&service, now);
        }
    }

    /// Takes in what a replica says of itself, some time after it was true: how many
    /// requests run on it and how many wait inside it.
    pub fn record_load(&mut self, replica: &ReplicaId, running: u32, waiting: u32, _now: Time) {
        for entry in self.services.values_mut() {
            if let Some(seat) = entry.seats.all.get_mut(replica) {
                seat.sample.said = Some((running, waiting));
            }
        }
    }

    /// Does what has become due. Call it every 10 ms or so.
    pub fn tick(&mut self, now: Time) {
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            let entry = self.services.get_mut(&service).expect("listed above");
            if entry.calm() && now.since(entry.ticked) < CALM_TICK {
                continue;
            }
            entry.ticked = now;
            entry.forget_idle(now);
            for refused in entry.overdue(&self.lives, now) {
                self.refuse(refused.0, refused.1, refused.2, now);
            }
            self.pump(&service, now);
        }
        self.exchange(now);
    }

    /// Begins the shutdown of this router: nothing new is taken in.
    ///
    /// What is queued is refused as not run; what runs goes on.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            self.refuse_queued(&service, Refusal::Leaving, now);
        }
        self.rank(now);
    }

    /// Returns what is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns which routers hold how many slots of a service.
    pub fn preferred_routers(&self, service: &ServiceId) -> Vec<PreferredRouter> {
        let Some(entry) = self.services.get(service) else {
            return Vec::new();
        };
        let live = self.live();
        let live = rendezvous::top(service.as_str(), live, HOMES, |id| id.as_str());
        let slots = Slots(entry.capacity().div_ceil(live.len().max(1) as u32));
        live.into_iter()
            .map(|router| PreferredRouter { router, slots })
            .collect()
    }

    /// Returns how many requests run from here.
    pub fn running(&self) -> usize {
        self.lives.values().filter(|l| l.run.is_some()).count()
    }

    /// Returns the state of this part, as operators read it.
    pub fn dump(&self) -> DispatchDump {
        DispatchDump {
            mode: self.rules.mode,
            leaving: self.leaving,
            queued: self.services.values().map(Entry::queued).sum(),
            running: self.running(),
            services: self.services.values().map(dump_service).collect(),
        }
    }

    /// Starts what may start at a service.
    pub(super) fn pump(&mut self, service: &ServiceId, now: Time) {
        self.start(service, now);
        if self.rules.mode == Mode::Fleet {
            self.flush(service, now);
        }
    }

    pub(super) fn start(&mut self, service: &ServiceId, now: Time) {
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        entry.note_waits(now);
        while let Some((id, replica)) = entry.next(self.rules.mode, &self.lives, &self.me.zone, now)
        {
            entry.start(id, &mut self.lives[id], &replica, now);
            self.actions.push(Action::Start { job: id, replica });
        }
    }
}
