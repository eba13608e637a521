//! A request's slot on a replica.

use {
    super::{
        admit::Request,
        request_log::{
            log_held,
            SharedParts, //
        }, //
    },
    crate::{
        http::ReadError,
        model::Replica,
        state::{
            Shared,
            Tables, //
        },
        upstream::{
            has_ended_or_ends,
            Reply, //
        },
    },
    policy::{
        placement::{
            Choice,
            Load,
            Prompt,
            Reading,
            ReplicaKey, //
        },
        quarantine::{
            Suspect,
            SuspectKind, //
        },
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

/// A request that has received events for this long is not suspected of crashing its replica on
/// start.
const CRASH_SUSPECT_TIME: Duration = Duration::from_secs(1);

/// How often a long answer clears its suspects.
const CLEAR_INTERVAL: Span = Span::secs(1);

/// A request's slot on a replica, released when this is dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    gw: Arc<Shared>,
    /// What may crash the replica when it begins the request.
    suspects: Vec<Suspect>,
    /// When an answer last cleared the suspects.
    cleared_at: Option<Time>,
    pub(crate) replica: Arc<Replica>,
    /// Address of a replica from which cached parts of the prompt can be copied.
    pub(crate) cache_source: Option<SocketAddr>,
    /// What the choice of the replica was based on, for the request log.
    pub(crate) inputs: String,
    key: ReplicaKey,
    /// The load that the request still adds to the replica.
    load: Load,
    /// Prompt tokens that the replica had to read before the first event when the request was sent.
    unread: u64,
    /// Measures how fast the replica reads the prompt, until its first event.
    reading: Option<Reading>,
    started: Instant,
    /// When the first event arrived.
    first_event_at: Option<Instant>,
    sent_at: Time,
}

/// Measures how long a replica is silent while it has a request.
#[derive(Debug)]
pub(crate) struct SilenceMonitor {
    gw: Arc<Shared>,
    pub(crate) replica: Arc<Replica>,
    key: ReplicaKey,
    /// When the request was sent.
    sent_at: Time,
}

impl SilenceMonitor {
    /// Returns for how long the replica has sent nothing to this router, for any request.
    pub(crate) fn silent_for(&self) -> Duration {
        let now = self.gw.now();
        let tables = self.gw.tables();
        let heard = tables
            .last_received
            .get(&self.key)
            .copied()
            .unwrap_or_default();
        now.since(heard.max(self.sent_at)).into()
    }

    /// Records that the replica could not be reached, or became silent.
    pub(crate) fn record_unreachable(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().unreachable(now);
        drop(tables);
        self.gw.pool.forget(&self.replica.id);
    }
}

impl Tables {
    /// Records that a replica answered a request with these suspects.
    fn clear_suspects(&mut self, suspects: &[Suspect], now: Time) {
        for suspect in suspects {
            self.quarantine.answered(*suspect, now);
        }
    }

    /// Takes a slot on the chosen replica for a request.
    pub(super) fn take_slot(
        &mut self,
        gw: &Arc<Shared>,
        req: &Request,
        choice: Choice,
        answer_state: AnswerState,
        now: Time,
    ) -> SlotPermit {
        let reading = self.start_reading(req, &choice, now);
        let prompt = req.prompt.as_ref();
        let load = Load {
            running: 1,
            unread: u64::from(choice.uncached),
            memory: prompt.map_or(0, |p| u64::from(p.total + p.output)),
        };
        self.board.start(choice.key, load);
        self.warmup.record_sent(choice.key, now);
        self.health.entry(choice.key).or_default().sent(now);
        self.cooldowns.record_sent(choice.key, now);
        if let Some(affinity_key) = prompt.and_then(Prompt::affinity_key) {
            self.cached_prefixes.insert((choice.key, affinity_key), now);
        }
        let counted = prompt.filter(|_| answer_state != AnswerState::Started);
        if let (Some(prompt), Some(workspace)) = (counted, &req.workspace) {
            let key = WorkspaceKey::of(workspace);
            self.quota.record_served(key, prompt.cost(), now);
            self.tally.record_started(workspace, prompt.cost() as u64);
        }
        let replica = self.roster.get(&choice.replica).cloned();
        let source = choice.source.and_then(|id| self.roster.get(&id));
        SlotPermit {
            gw: gw.clone(),
            suspects: req.suspects(),
            cleared_at: None,
            cache_source: source.map(|r| r.addr),
            inputs: String::new(),
            replica: replica.expect("the chosen replica is listed while the tables are locked"),
            key: choice.key,
            load,
            unread: choice.unread,
            reading,
            started: Instant::now(),
            first_event_at: None,
            sent_at: now,
        }
    }
}

impl SlotPermit {
    /// Records the first event: the prompt was read.
    pub(crate) fn record_first_event(&mut self) {
        let took = Span::from(self.started.elapsed());
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.board.read(self.key, self.load.unread);
        tables.speeds.record(self.key, self.unread, took);
        match self.reading.take() {
            Some(reading) if tables.is_delayed() => {
                tables.fleet_speeds.discard(self.key, reading);
            }
            Some(reading) => tables.fleet_speeds.record(self.key, reading, now),
            None => {}
        }
        tables.last_received.insert(self.key, now);
        drop(tables);
        self.load.unread = 0;
        self.first_event_at = Some(Instant::now());
    }

    /// Returns the time since the replica's first event.
    pub(crate) fn since_first_event(&self) -> Option<Duration> {
        self.first_event_at.map(|at| at.elapsed())
    }

    /// Returns whether the replica may have only just started to run the request.
    pub(crate) fn is_early(&self) -> bool {
        self.since_first_event()
            .is_none_or(|span| span < CRASH_SUSPECT_TIME)
    }

    /// Returns for how long the replica may still crash under the request.
    fn suspect_for(&self) -> Span {
        let begun = self.since_first_event().unwrap_or_default();
        CRASH_SUSPECT_TIME.saturating_sub(begun).into()
    }

    /// Records that the replica sent something.
    pub(crate) fn record_output(&mut self) {
        let now = self.gw.now();
        let due = self
            .cleared_at
            .is_none_or(|at| now.since(at) >= CLEAR_INTERVAL);
        let clears = due && !self.is_early();
        let mut tables = self.gw.tables();
        tables.last_received.insert(self.key, now);
        if clears {
            self.cleared_at = Some(now);
            tables.clear_suspects(&self.suspects, now);
        }
    }

    /// Returns the key of the replica's incarnation.
    pub(super) fn key(&self) -> ReplicaKey {
        self.key
    }

    /// Returns when the request took the slot.
    pub(super) fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Returns whether the replica still takes requests since it was chosen, and has not been
    /// replaced under its id, perhaps by another version.
    pub(super) fn may_send(&self) -> bool {
        let now = self.gw.now();
        let tables = self.gw.tables();
        let paused = tables.cooldowns.remaining(self.key, now).is_some();
        let listed = tables.roster.get(&self.replica.id);
        let replaced = listed.is_some_and(|r| !r.is_same_start(&self.replica));
        !paused && !replaced && !tables.roster.is_leaving(self.key)
    }

    /// Returns a monitor of the replica's silence.
    pub(crate) fn monitor(&self) -> SilenceMonitor {
        SilenceMonitor {
            gw: self.gw.clone(),
            replica: self.replica.clone(),
            key: self.key,
            sent_at: self.sent_at,
        }
    }

    /// Records an answer of the replica, a success or an error.
    pub(crate) fn record_answer(&self, ok: bool) {
        let took = Span::from(self.started.elapsed());
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().answered(ok);
        tables.last_received.insert(self.key, now);
        if ok {
            let clears_at = now + self.suspect_for();
            let is_part = |s: &Suspect| s.kind() == SuspectKind::PromptPart;
            let (parts, request) = self
                .suspects
                .iter()
                .copied()
                .partition::<Vec<_>, _>(is_part);
            // A caller that has its answer does not repeat the request.
            tables.clear_suspects(&request, now);
            tables.quarantine.completed(parts, self.key, clears_at, now);
        }
        if self.load.memory == 0 {
            tables.latencies.record(self.key, took);
        }
    }

    /// Records that the replica could not be reached, or became silent.
    pub(crate) fn record_unreachable(&self) {
        self.monitor().record_unreachable();
    }

    /// Records that the replica aborted its answer, or sent an invalid one.
    pub(crate) fn record_broken(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        tables.health.entry(self.key).or_default().broken(now);
    }

    /// Checks whether an answer that was read to its end is complete.
    ///
    /// One with neither a length nor chunks ends with its connection, which a crash closes too. A
    /// replica that leaves may end right after its last answer.
    ///
    /// # Errors
    ///
    /// The replica's process has ended, so that the rest of the answer may be missing.
    pub(crate) async fn check_complete(&self, reply: &Reply) -> Result<(), ReadError> {
        if !reply.body.ends_with_connection() || !self.takes_work() {
            return Ok(());
        }
        match has_ended_or_ends(&self.replica, &self.gw.pool).await {
            true => Err(ReadError::Closed),
            false => Ok(()),
        }
    }

    /// Returns whether the replica is expected to go on.
    fn takes_work(&self) -> bool {
        let tables = self.gw.tables();
        !tables.roster.is_leaving(self.key) && tables.roster.takes_work(&self.replica.id)
    }

    /// Records that the replica's process ended just after it started the request or was about to
    /// start it. A replica that is leaving doesn't count, as it ends anyway.
    pub(crate) fn record_crash(&self, req: &Request) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        let id = &self.replica.id;
        if !tables.roster.takes_work(id) {
            return;
        }
        let suspects = self.suspects.iter().copied();
        let mut held: Vec<Suspect> = suspects
            .filter(|s| tables.quarantine.ended(*s, self.key, self.sent_at, now))
            .collect();
        held.extend(tables.quarantine.replica_ended(self.key, now, now));
        drop(tables);
        log::info!(
            "event=replica outcome=ended replica={id} digest={} parts={} id={}",
            req.digest,
            SharedParts(req),
            req.id
        );
        self.announce_held(&held);
    }

    /// Records that the replica refused a connection. If it takes work its process has ended, perhaps
    /// under what it answered last.
    pub(crate) fn record_refused(&self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        if !tables.roster.takes_work(&self.replica.id) {
            return;
        }
        let held = tables.quarantine.replica_ended(self.key, now, now);
        drop(tables);
        // Many connections are refused after a crash. What it ended can wait for the next message.
        if !held.is_empty() {
            self.announce_held(&held);
        }
    }

    fn announce_held(&self, held: &[Suspect]) {
        log_held(held, "own");
        match held.is_empty() {
            true => self.gw.announce(),
            false => self.gw.announce_to_all(),
        }
    }

    /// Returns how long the request has held the slot.
    pub(crate) fn held_for(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        if let Some(reading) = self.reading.take() {
            tables.fleet_speeds.end(self.key, reading, now);
        }
        tables.board.end(self.key, self.load);
        tables.cooldowns.record_ended(self.key, self.sent_at);
    }
}
