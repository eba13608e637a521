//! Collects what is known of the replicas for the placement decision.

use {
    super::{
        admit::Request,
        outcome::Refusal,
        permit::SlotPermit, //
    },
    crate::{
        index::{
            Scope,
            Subset, //
        },
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
            retry_after_cooldown,
            stream_room,
            Candidate,
            Pick,
            PlacementRequest,
            PlainCandidate,
            Prompt,
            ReplicaKey,
            ReplicaSet,
            View, //
        },
        quarantine::Hold,
        quota::{
            UsageStanding,
            WorkspaceKey, //
        },
        streams::StreamOrigin,
        AnswerState,
        ReplicaId,
        SoftwareVersion,
        Span,
        Time, //
    },
    std::{
        collections::BTreeMap,
        fmt,
        sync::Arc,
        time::Duration, //
    },
    xxhash_rust::xxh3::xxh3_64, //
};

/// Retry delay if no replica takes work: about as long as a replica is avoided after its first
/// failure.
const NO_REPLICA_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Retry delay if the version that began a stream is gone. It is back only if a release is reverted.
const VERSION_GONE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// What the choice of a replica has to respect, apart from the request itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Selection<'a> {
    /// Replicas that were tried before.
    pub(crate) tried: &'a [ReplicaId],
    pub(crate) answer: AnswerState,
    /// What began the stream, if it goes on.
    pub(crate) origin: Option<&'a StreamOrigin>,
}

/// A request for which no replica was chosen.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) refusal: Refusal,
    pub(crate) retry_delay: Duration,
    /// What the decision was based on, for the request log.
    pub(crate) inputs: String,
}

/// What the router knew when it chose among engines, for the request log.
#[derive(Debug, Clone, Copy, Default)]
struct Basis {
    usage: UsageStanding,
    view: View,
    active: bool,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Basis {
            usage,
            view,
            active,
        } = self;
        write!(
            f,
            "share={:.2} even={:.2} asked={:.0} part={:.0} running={} own={} peers={} active={active}",
            usage.share, usage.max_min_ratio, usage.demand, usage.max_min_share, view.running, view.local,
            view.peers,
        )
    }
}

impl Shared {
    /// Chooses a replica for a request, other than those already tried, and takes one of its slots.
    ///
    /// A request with a quarantined suspect is rejected: every replica that runs it crashes, along with
    /// all other requests running there, so a few such requests fail a tenth or more of a service's
    /// requests. Quarantines are shared with all routers, so the rejection holds for every attempt
    /// everywhere.
    ///
    /// # Errors
    ///
    /// Why the request is rejected, and when a retry is likely to succeed.
    pub(crate) fn acquire_slot(
        self: &Arc<Shared>,
        req: &Request,
        selection: Selection<'_>,
    ) -> Result<SlotPermit, Refused> {
        let now = self.now();
        let mut tables = self.tables();
        let suspects = req.suspects();
        if let Some(hold) = tables.quarantine.find_hold(&suspects, now) {
            return Err(refuse_held(hold));
        }
        let (prompt, engine) = (req.prompt.as_ref(), req.service_info.engine);
        let (picked, basis) = match (prompt, engine) {
            (Some(prompt), Some(engine)) => {
                let (pick, basis) =
                    tables.choose_engine(self, req, (prompt, engine), selection, now);
                (pick, Some(basis))
            }
            _ => (tables.choose_plain(self, req, selection, now), None),
        };
        let mut inputs = basis.as_ref().map_or(String::new(), Basis::to_string);
        let choice = match picked {
            None => return Err(tables.refuse_unavailable(req, selection.origin, now)),
            Some(Pick::Reject {
                retry_after,
                fullness,
                bound,
            }) => {
                if let (Some(prompt), Some(workspace), Some(basis)) =
                    (prompt, &req.workspace, basis)
                {
                    let tokens = prompt.cost() as u64;
                    tables
                        .tally
                        .record_rejected(workspace, tokens, basis.usage, bound);
                }
                return Err(Refused {
                    refusal: Refusal::Full,
                    retry_delay: retry_after.into(),
                    inputs: format!("full={fullness:.2} bound={bound} {inputs}"),
                });
            }
            Some(Pick::Run(choice)) => choice,
        };
        if basis.is_some() {
            let speed = tables.reading_speed(req, choice.key, now);
            inputs = format!("{inputs} speed={speed:.1}");
        }
        let mut permit = tables.take_slot(self, req, choice, selection.answer, now);
        permit.inputs = inputs;
        Ok(permit)
    }
}

impl Shared {
    /// Returns when the caller of a request that is given up should retry.
    pub(super) fn retry_delay(
        &self,
        req: &Request,
        origin: Option<&StreamOrigin>,
        default: Duration,
    ) -> Duration {
        let cooldown = self.tables().cooldown(req, origin, self.now());
        cooldown.map_or(default, spread_return)
    }
}

impl Tables {
    fn choose_engine(
        &mut self,
        gw: &Shared,
        req: &Request,
        (prompt, engine): (&Prompt, Engine),
        selection: Selection<'_>,
        now: Time,
    ) -> (Option<Pick>, Basis) {
        let workspace = req.workspace.as_ref().map(WorkspaceKey::of);
        let usage = workspace.map_or(UsageStanding::default(), |key| {
            if selection.tried.is_empty() {
                self.quota.record_requested(key, prompt.cost(), now);
            }
            self.quota.standing(key, id_fraction(&req.id), now)
        });
        self.board.forget(now);
        let basis = Basis {
            usage,
            view: self.board.view(now),
            active: self.fleet.is_active(),
        };
        let barred = self.barred(gw, req, now);
        let mut request = PlacementRequest {
            spare: false,
            prompt,
            answer: selection.answer,
            target: Span::from(req.route.latency_target),
            shortest_target: Span::from(req.min_target),
            usage,
            load_interval: self.fleet.gossip_interval(),
            tuning: &gw.settings.placement,
        };
        let mut scope = req.scope(selection.origin);
        loop {
            let subset = self.subset(scope, now);
            request.spare = !subset.complete;
            let candidates = self.engines(req, engine, selection, (&subset, &barred), now);
            let picked = (!candidates.is_empty()).then(|| pick(&candidates, &request));
            let others_may = picked.as_ref().is_none_or(Pick::is_overload);
            if !others_may || !scope.widen(&subset) {
                return (picked, basis);
            }
        }
    }

    /// Returns the engines of a subset that may take a request.
    fn engines(
        &self,
        req: &Request,
        engine: Engine,
        selection: Selection<'_>,
        (subset, barred): (&Subset, &ReplicaSet),
        now: Time,
    ) -> Vec<Candidate> {
        let affinity_key = req.prompt.as_ref().and_then(Prompt::affinity_key);
        let affinity_key = affinity_key.unwrap_or_default();
        let baseline = self.baseline_failures(subset);
        let rooms = stream_rooms(subset, selection.answer);
        let available = self.available(subset, selection.tried, barred, now);
        let candidates = available.map(|(key, replica)| Candidate {
            id: replica.id.clone(),
            key,
            version: replica.version.clone(),
            slots: engine.slots,
            can_copy: engine.copies_cache,
            memory: engine.memory_tokens,
            speed: self.reading_speed(req, key, now),
            load: self.board.load(key, now),
            penalty: self.health.get(&key).map_or(0.0, |h| h.penalty(baseline)),
            room: rooms.get(&replica.version).copied().unwrap_or(0.0),
            cached_age_s: self
                .cached_prefixes
                .get(&(key, affinity_key))
                .map(|at| now.since(*at).as_secs()),
        });
        candidates.collect()
    }

    fn choose_plain(
        &mut self,
        gw: &Shared,
        req: &Request,
        selection: Selection<'_>,
        now: Time,
    ) -> Option<Pick> {
        let barred = self.barred(gw, req, now);
        let mut scope = req.scope(selection.origin);
        loop {
            let subset = self.subset(scope, now);
            let baseline = self.baseline_failures(&subset);
            let available = self.available(&subset, selection.tried, &barred, now);
            let candidates = available.map(|(key, replica)| PlainCandidate {
                id: replica.id.clone(),
                key,
                slots: replica.slots,
                load: self.board.load(key, now),
                mean_latency_s: self.latencies.of(key),
                same_zone: replica.zone == gw.settings.zone,
                penalty: self.health.get(&key).map_or(0.0, |h| h.penalty(baseline)),
            });
            let candidates: Vec<PlainCandidate> = candidates.collect();
            let picked = (!candidates.is_empty())
                .then(|| pick_plain(&candidates, selection.answer, fastrand::u64(..)));
            let others_may = picked.as_ref().is_none_or(Pick::is_overload);
            if !others_may || !scope.widen(&subset) {
                return picked;
            }
        }
    }

    /// Returns the cold replicas of the request's service that get no more requests from here now.
    fn barred(&mut self, gw: &Shared, req: &Request, now: Time) -> ReplicaSet {
        match gw.settings.bounds.cold_start(req.service_info.warmup) {
            Some(start) => {
                let joined_for = self.fleet.joined_for(now);
                self.warmup
                    .barred(start, self.fleet.name(), joined_for, now)
            }
            None => ReplicaSet::default(),
        }
    }

    /// Returns whether the service goes on without the version that began a stream: none of its
    /// replicas takes work, none is expected back, and those of another version take work.
    fn is_gone(&mut self, origin: &StreamOrigin, now: Time) -> bool {
        let service = Scope {
            service: &origin.service,
            origin: None,
            width: 1,
        };
        let version = Scope {
            origin: Some(origin),
            ..service
        };
        self.has_ready(service, now)
            && !self.has_ready(version, now)
            && !self.versions.is_expected(origin, now)
    }

    /// Rejects a request for which no replica is available.
    fn refuse_unavailable(
        &mut self,
        req: &Request,
        origin: Option<&StreamOrigin>,
        now: Time,
    ) -> Refused {
        let gone = origin.is_some_and(|o| self.is_gone(o, now));
        let (refusal, retry_delay) = match self.cooldown(req, origin, now) {
            _ if gone => (Refusal::VersionGone, VERSION_GONE_RETRY_DELAY),
            Some(left) => (Refusal::Cooldown, spread_return(left)),
            None => (Refusal::NoReplica, NO_REPLICA_RETRY_DELAY),
        };
        Refused {
            refusal,
            retry_delay,
            inputs: String::new(),
        }
    }

    /// Returns the time until the first replica that the request chooses among takes requests again,
    /// if all of them asked for a pause.
    fn cooldown(
        &mut self,
        req: &Request,
        origin: Option<&StreamOrigin>,
        now: Time,
    ) -> Option<Span> {
        let mut scope = req.scope(origin);
        let mut subset = self.subset(scope, now);
        while scope.widen(&subset) {
            subset = self.subset(scope, now);
        }
        let mut first: Option<Span> = None;
        for (key, _) in subset.members.iter() {
            let left = self.cooldowns.remaining(*key, now)?;
            first = Some(first.map_or(left, |first| first.min(left)));
        }
        first
    }

    /// Returns the replicas of a subset that were not tried and are not avoided, because of failures,
    /// because they asked for a pause or because they are cold.
    fn available<'a>(
        &'a self,
        subset: &'a Subset,
        tried: &'a [ReplicaId],
        barred: &'a ReplicaSet,
        now: Time,
    ) -> impl Iterator<Item = (ReplicaKey, &'a Arc<Replica>)> {
        let members = subset.members.iter().map(|(key, r)| (*key, r));
        members
            .filter(move |(_, r)| !tried.contains(&r.id))
            .filter(move |(key, _)| !barred.contains(key))
            .filter(move |(key, _)| self.cooldowns.is_available(*key, now))
            .filter(move |(key, _)| self.health.get(key).is_none_or(|h| h.is_available(now)))
    }

    /// Returns the baseline failure rate of a service: the lowest among its replicas.
    fn baseline_failures(&self, subset: &Subset) -> f64 {
        let failures = subset.members.iter().map(|(key, _)| {
            let health = self.health.get(key);
            health.map_or(0.0, |h| h.failures())
        });
        let mut least = 1.0;
        for part in failures {
            least = f64::min(least, part);
            // Usually the first replica has no failures, and no other can have fewer.
            if least == 0.0 {
                break;
            }
        }
        least
    }
}

/// Returns what a new request leaves to streams that go on, by version; nothing if there is only one
/// version.
fn stream_rooms(subset: &Subset, answer: AnswerState) -> BTreeMap<Option<SoftwareVersion>, f64> {
    let versions = || subset.members.iter().map(|(_, r)| &r.version);
    let first = versions().next();
    let several = first.is_some_and(|first| versions().any(|v| v != first));
    if !several || answer != AnswerState::NotStarted {
        return BTreeMap::new();
    }
    let mut counts = BTreeMap::new();
    for version in versions() {
        *counts.entry(version).or_insert(0) += 1;
    }
    let largest = counts.values().copied().max().unwrap_or(0);
    let rooms = counts.into_iter();
    rooms
        .map(|(version, own)| (version.clone(), stream_room(own, largest)))
        .collect()
}

/// Rejects a request with a held suspect.
fn refuse_held(hold: Hold) -> Refused {
    let (suspect, kind) = (hold.suspect, hold.suspect.kind());
    metrics::counter!("chervilwind_quarantine_rejections", "kind" => kind.to_string()).increment(1);
    Refused {
        refusal: Refusal::Quarantined,
        retry_delay: hold.left.into(),
        inputs: format!("held={suspect} kind={kind}"),
    }
}

/// Returns when a caller should retry if the first cooldown ends in this time.
fn spread_return(left: Span) -> Duration {
    retry_after_cooldown(left, fastrand::f64()).into()
}

/// Maps a request id to a number from 0 to 1, always the same for the same id.
fn id_fraction(id: &str) -> f64 {
    xxh3_64(id.as_bytes()) as f64 / u64::MAX as f64
}
