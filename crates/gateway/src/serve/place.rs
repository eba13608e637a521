//! The place of a request at a replica.

use {
    super::admit::Request,
    crate::{
        model::{
            Engine,
            Replica, //
        },
        state::{
            Shared,
            Tables, //
        },
    },
    policy::{
        placement::{
            pick,
            pick_plain,
            Candidate,
            Choice,
            Load,
            Pick,
            Prompt,
            ReplicaKey,
            Server,
            Wish, //
        },
        quota::{
            Standing,
            WorkspaceKey, //
        },
        ReplicaId,
        Span,
        Time, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// When to come back where no replica takes work: about the first rest of one that failed.
const NOBODY_AGAIN: Duration = Duration::from_millis(400);

/// A request that was refused.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) why: &'static str,
    pub(crate) after: Duration,
    /// What it was decided by, for the log.
    pub(crate) inputs: String,
}

/// A place that a request takes at a replica until this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    gw: Arc<Shared>,
    pub(crate) replica: Arc<Replica>,
    /// Where it can copy the prompt's shared parts from.
    pub(crate) source: Option<SocketAddr>,
    key: ReplicaKey,
    /// What it still counts as.
    load: Load,
    /// Tokens to be read before its first event, when it was sent.
    unread: u64,
    began: Instant,
    since: Time,
}

impl Shared {
    /// Chooses a replica for a request, apart from those that were tried, and takes a place.
    ///
    /// # Errors
    ///
    /// Why it is refused, and when a place is likely.
    pub(crate) fn place(
        self: &Arc<Shared>,
        req: &Request,
        tried: &[ReplicaId],
    ) -> Result<Place, Refused> {
        let now = self.now();
        let mut tables = self.tables();
        let (prompt, engine) = (req.prompt.as_ref(), req.about.engine);
        let (picked, standing) = match (prompt, engine) {
            (Some(prompt), Some(engine)) => {
                tables.pick_engine(self, req, (prompt, engine), tried, now)
            }
            _ => (
                tables.pick_server(self, req, tried, now),
                Standing::default(),
            ),
        };
        let choice = match picked {
            None => {
                return Err(Refused {
                    why: "no replica of its service takes work",
                    after: NOBODY_AGAIN,
                    inputs: String::new(),
                })
            }
            Some(Pick::Refuse { after, full, bound }) => {
                return Err(Refused {
                    why: "the replicas of its service are full",
                    after: after.into(),
                    inputs: format!(
                        "full={full:.2} bound={bound} share={:.2} even={:.2}",
                        standing.share, standing.even
                    ),
                })
            }
            Some(Pick::Run(choice)) => choice,
        };
        Ok(tables.take(self, req, choice, now))
    }
}

impl Tables {
    fn pick_engine(
        &mut self,
        gw: &Shared,
        req: &Request,
        (prompt, engine): (&Prompt, Engine),
        tried: &[ReplicaId],
        now: Time,
    ) -> (Option<Pick>, Standing) {
        let workspace = req.workspace.as_ref().map(WorkspaceKey::of);
        let standing = workspace.map_or(Standing::default(), |key| {
            if tried.is_empty() {
                self.quota.asked(key, prompt.cost(), now);
            }
            self.quota.standing(key, now)
        });
        let usual = self.usual_failures(req);
        let home = prompt.home().unwrap_or_default();
        let candidates: Vec<Candidate> = self
            .open(req, tried, now)
            .map(|(key, replica)| Candidate {
                id: replica.id.clone(),
                key,
                slots: engine.slots,
                copies: engine.copies,
                memory: engine.memory,
                speed: self.speeds.of(key),
                load: self.board.load(key, now),
                penalty: self.health.get(&key).map_or(0.0, |h| h.penalty(usual)),
                cached: self
                    .cached
                    .get(&(key, home))
                    .map(|at| now.since(*at).as_secs()),
            })
            .collect();
        if candidates.is_empty() {
            return (None, standing);
        }
        let wish = Wish {
            prompt,
            target: Span::from(req.route.target),
            shortest: Span::from(req.shortest),
            standing,
            tuning: &gw.settings.placement,
        };
        (Some(pick(&candidates, &wish)), standing)
    }

    fn pick_server(
        &mut self,
        gw: &Shared,
        req: &Request,
        tried: &[ReplicaId],
        now: Time,
    ) -> Option<Pick> {
        let usual = self.usual_failures(req);
        let servers: Vec<Server> = self
            .open(req, tried, now)
            .map(|(key, replica)| Server {
                id: replica.id.clone(),
                key,
                slots: replica.slots,
                load: self.board.load(key, now),
                took: self.latencies.of(key),
                near: replica.zone == gw.settings.zone,
                penalty: self.health.get(&key).map_or(0.0, |h| h.penalty(usual)),
            })
            .collect();
        (!servers.is_empty()).then(|| pick_plain(&servers, fastrand::u64(..)))
    }

    /// Returns the replicas of a request's service that take work and answer.
    fn open<'a>(
        &'a self,
        req: &'a Request,
        tried: &'a [ReplicaId],
        now: Time,
    ) -> impl Iterator<Item = (ReplicaKey, &'a Arc<Replica>)> {
        let ready = self.roster.ready();
        ready
            .filter(|(id, r)| r.service == req.service && !tried.contains(id))
            .map(|(id, r)| (ReplicaKey::of(id), r))
            .filter(move |(key, _)| self.health.get(key).is_none_or(|h| h.open(now)))
    }

    /// Returns the part of failures that is usual at a service: the least of its replicas'.
    fn usual_failures(&self, req: &Request) -> f64 {
        let ready = self.roster.ready();
        let of_service = ready.filter(|(_, r)| r.service == req.service);
        let failures = of_service.map(|(id, _)| {
            let health = self.health.get(&ReplicaKey::of(id));
            health.map_or(0.0, |h| h.failures())
        });
        failures.fold(1.0, f64::min)
    }

    fn take(&mut self, gw: &Arc<Shared>, req: &Request, choice: Choice, now: Time) -> Place {
        let prompt = req.prompt.as_ref();
        let load = Load {
            running: 1,
            unread: u64::from(choice.uncached),
            memory: prompt.map_or(0, |p| u64::from(p.total + p.output)),
        };
        self.board.start(choice.key, load);
        self.health.entry(choice.key).or_default().sent(now);
        if let Some(home) = prompt.and_then(Prompt::home) {
            self.cached.insert((choice.key, home), now);
        }
        if let (Some(prompt), Some(workspace)) = (prompt, &req.workspace) {
            let key = WorkspaceKey::of(workspace);
            self.quota.given(key, prompt.cost(), now);
        }
        let replica = self.roster.get(&choice.replica).cloned();
        let source = choice.source.and_then(|id| self.roster.get(&id));
        Place {
            gw: gw.clone(),
            source: source.map(|r| r.addr),
            replica: replica.expect("what was chosen is known while the tables are locked"),
            key: choice.key,
            load,
            unread: choice.unread,
            began: Instant::now(),
            since: now,
        }
    }
}

impl Place {
    /// Notes the first event: the prompt was read.
    pub(crate) fn first_event(&mut self) {
        let took = Span::from(self.began.elapsed());
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.board.read(self.key, self.load.unread);
        tables.speeds.note(self.key, self.unread, took);
        tables.heard.insert(self.key, now);
        drop(tables);
        self.load.unread = 0;
    }

    /// Notes that the replica sent something.
    pub(crate) fn heard(&self) {
        let now = self.gw.now();
        self.gw.tables().heard.insert(self.key, now);
    }

    /// Returns how long the replica has sent nothing to this router, to any request.
    pub(crate) fn silent(&self) -> Duration {
        let now = self.gw.now();
        let tables = self.gw.tables();
        let heard = tables.heard.get(&self.key).copied().unwrap_or_default();
        now.since(heard.max(self.since)).into()
    }

    /// Notes an answer of the replica, good or a failure.
    pub(crate) fn answered(&self, ok: bool) {
        let took = Span::from(self.began.elapsed());
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().answered(ok);
        tables.heard.insert(self.key, now);
        if self.load.memory == 0 {
            tables.latencies.note(self.key, took);
        }
    }

    /// Notes that the replica could not be reached, or fell silent.
    pub(crate) fn unreachable(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().unreachable(now);
        drop(tables);
        self.gw.pool.forget(&self.replica.id);
    }

    /// Notes that the replica broke off its answer, or sent one that can't be used.
    pub(crate) fn broken(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().broken(now);
    }

    /// Returns how long the request has had this place.
    pub(crate) fn ran(&self) -> Duration {
        self.began.elapsed()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gw.tables().board.end(self.key, self.load);
    }
}
