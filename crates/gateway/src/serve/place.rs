//! The place of a request at a replica.

use {
    super::admit::Request,
    crate::{
        model::Replica,
        state::{
            Shared,
            Tables, //
        },
    },
    policy::{
        placement::{
            Choice,
            Load,
            Prompt,
            ReplicaKey, //
        },
        quarantine::RequestDigest,
        quota::WorkspaceKey,
        AnswerState,
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

/// A request whose replica has sent events of it for this long is not what ends the replica by
/// being begun.
const SETTLED: Duration = Duration::from_secs(1);

/// A place that a request takes at a replica until this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    gw: Arc<Shared>,
    digest: RequestDigest,
    pub(crate) replica: Arc<Replica>,
    /// Where it can copy the prompt's shared parts from.
    pub(crate) source: Option<SocketAddr>,
    /// What it was chosen by, for the log.
    pub(crate) inputs: String,
    key: ReplicaKey,
    /// What it still counts as.
    load: Load,
    /// Tokens to be read before its first event, when it was sent.
    unread: u64,
    began: Instant,
    /// When the first event came.
    first: Option<Instant>,
    since: Time,
}

/// Tells how long a replica is silent while it has a request.
#[derive(Debug)]
pub(crate) struct Watch {
    gw: Arc<Shared>,
    pub(crate) replica: Arc<Replica>,
    key: ReplicaKey,
    /// When it got the request.
    since: Time,
}

impl Watch {
    /// Returns how long the replica has sent nothing to this router, to any request.
    pub(crate) fn silent(&self) -> Duration {
        let now = self.gw.now();
        let tables = self.gw.tables();
        let heard = tables.heard.get(&self.key).copied().unwrap_or_default();
        now.since(heard.max(self.since)).into()
    }

    /// Notes that the replica could not be reached, or fell silent.
    pub(crate) fn unreachable(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().unreachable(now);
        drop(tables);
        self.gw.pool.forget(&self.replica.id);
    }
}

impl Tables {
    /// Takes a place for a request at the replica that was chosen.
    pub(super) fn take(
        &mut self,
        gw: &Arc<Shared>,
        req: &Request,
        choice: Choice,
        claim: AnswerState,
        now: Time,
    ) -> Place {
        let prompt = req.prompt.as_ref();
        let load = Load {
            running: 1,
            unread: u64::from(choice.uncached),
            memory: prompt.map_or(0, |p| u64::from(p.total + p.output)),
        };
        self.board.start(choice.key, load);
        self.health.entry(choice.key).or_default().sent(now);
        if let Some(home) = prompt.and_then(Prompt::affinity_key) {
            self.cached.insert((choice.key, home), now);
        }
        let counted = prompt.filter(|_| claim == AnswerState::NotStarted);
        if let (Some(prompt), Some(workspace)) = (counted, &req.workspace) {
            let key = WorkspaceKey::of(workspace);
            self.quota.record_served(key, prompt.cost(), now);
            self.tally.begun(workspace, prompt.cost() as u64);
        }
        let replica = self.roster.get(&choice.replica).cloned();
        let source = choice.source.and_then(|id| self.roster.get(&id));
        Place {
            gw: gw.clone(),
            digest: req.digest,
            source: source.map(|r| r.addr),
            inputs: String::new(),
            replica: replica.expect("what was chosen is known while the tables are locked"),
            key: choice.key,
            load,
            unread: choice.unread,
            began: Instant::now(),
            first: None,
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
        tables.speeds.record(self.key, self.unread, took);
        tables.heard.insert(self.key, now);
        drop(tables);
        self.load.unread = 0;
        self.first = Some(Instant::now());
    }

    /// Returns how long ago the replica's first event came.
    pub(crate) fn since_first(&self) -> Option<Duration> {
        self.first.map(|at| at.elapsed())
    }

    /// Tells whether the replica may have only just begun to run the request.
    pub(crate) fn is_early(&self) -> bool {
        self.since_first().is_none_or(|span| span < SETTLED)
    }

    /// Notes that the replica sent something.
    pub(crate) fn heard(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.heard.insert(self.key, now);
        if !self.is_early() {
            tables.quarantine.answered(self.digest, now);
        }
    }

    /// Returns a watch on how long the replica is silent.
    pub(crate) fn watch(&self) -> Watch {
        Watch {
            gw: self.gw.clone(),
            replica: self.replica.clone(),
            key: self.key,
            since: self.since,
        }
    }

    /// Notes an answer of the replica, good or a failure.
    pub(crate) fn answered(&self, ok: bool) {
        let took = Span::from(self.began.elapsed());
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().answered(ok);
        tables.heard.insert(self.key, now);
        if ok {
            tables.quarantine.answered(self.digest, now);
        }
        if self.load.memory == 0 {
            tables.latencies.record(self.key, took);
        }
    }

    /// Notes that the replica could not be reached, or fell silent.
    pub(crate) fn unreachable(&self) {
        self.watch().unreachable();
    }

    /// Notes that the replica broke off its answer, or sent one that can't be used.
    pub(crate) fn broken(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().broken(now);
    }

    /// Notes that the replica's process ended, when it had just begun the request or was about
    /// to. One that was leaving ends by itself.
    pub(crate) fn ended(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        let (id, digest) = (&self.replica.id, self.digest);
        if !tables.roster.takes_work(id) {
            return;
        }
        let held = tables.quarantine.ended(digest, self.key, now);
        drop(tables);
        log::info!("event=replica outcome=ended replica={id} digest={digest}");
        match held {
            true => {
                log::warn!("event=quarantine outcome=begun digest={digest} from=own");
                self.gw.announce_to_all();
            }
            false => self.gw.announce(),
        }
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
