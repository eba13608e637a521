//! What is known of the replicas, put before the decision where a request goes.

use {
    super::{
        admit::Request,
        place::Place,
        step::Refusal, //
    },
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
            Pick,
            PlacementRequest, //
            PlainCandidate,
            Prompt,
            ReplicaKey,
            View,
        },
        quota::{
            UsageStanding,
            WorkspaceKey, //
        },
        AnswerState,
        ReplicaId,
        Span,
        Time, //
    },
    std::{
        fmt,
        sync::Arc,
        time::Duration, //
    },
    xxhash_rust::xxh3::xxh3_64, //
};

/// When to come back where no replica takes work: about the first rest of one that failed.
const NOBODY_AGAIN: Duration = Duration::from_millis(400);

/// A request that was refused.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) why: Refusal,
    pub(crate) after: Duration,
    /// What it was decided by, for the log.
    pub(crate) inputs: String,
}

/// What a router knew when it chose among engines, for the log.
#[derive(Debug, Clone, Copy, Default)]
struct Basis {
    standing: UsageStanding,
    view: View,
    active: bool,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Basis {
            standing,
            view,
            active,
        } = self;
        write!(
            f,
            "share={:.2} even={:.2} asked={:.0} part={:.0} running={} own={} peers={} active={active}",
            standing.share, standing.max_min_ratio, standing.demand, standing.max_min_share, view.running, view.local,
            view.peers,
        )
    }
}

impl Shared {
    /// Chooses a replica for a request, apart from those that were tried, and takes a place.
    ///
    /// A request under which replicas ended gets none. Each that it is sent to ends with all that
    /// runs there, which shows as a tenth and more of a service's requests failing while it comes.
    /// The refusal holds for each try at each router, since all of them know of it a moment later.
    ///
    /// # Errors
    ///
    /// Why it is refused, and when a place is likely.
    pub(crate) fn place(
        self: &Arc<Shared>,
        req: &Request,
        tried: &[ReplicaId],
        claim: AnswerState,
    ) -> Result<Place, Refused> {
        let now = self.now();
        let mut tables = self.tables();
        if let Some(left) = tables.quarantine.remaining(req.digest, now) {
            return Err(Refused {
                why: Refusal::Held,
                after: left.into(),
                inputs: String::new(),
            });
        }
        let (prompt, engine) = (req.prompt.as_ref(), req.about.engine);
        let (picked, basis) = match (prompt, engine) {
            (Some(prompt), Some(engine)) => {
                let (pick, basis) =
                    tables.pick_engine(self, req, (prompt, engine), tried, claim, now);
                (pick, Some(basis))
            }
            _ => (tables.pick_server(self, req, tried, claim, now), None),
        };
        let inputs = basis.as_ref().map_or(String::new(), Basis::to_string);
        let choice = match picked {
            None => {
                return Err(Refused {
                    why: Refusal::NoReplica,
                    after: NOBODY_AGAIN,
                    inputs: String::new(),
                })
            }
            Some(Pick::Refuse {
                retry_after: after,
                fullness: full,
                bound,
            }) => {
                if let (Some(prompt), Some(workspace), Some(basis)) =
                    (prompt, &req.workspace, basis)
                {
                    let tokens = prompt.cost() as u64;
                    tables
                        .tally
                        .refused(workspace, tokens, basis.standing, bound);
                }
                return Err(Refused {
                    why: Refusal::Full,
                    after: after.into(),
                    inputs: format!("full={full:.2} bound={bound} {inputs}"),
                });
            }
            Some(Pick::Run(choice)) => choice,
        };
        let mut place = tables.take(self, req, choice, claim, now);
        place.inputs = inputs;
        Ok(place)
    }
}

impl Tables {
    fn pick_engine(
        &mut self,
        gw: &Shared,
        req: &Request,
        (prompt, engine): (&Prompt, Engine),
        tried: &[ReplicaId],
        claim: AnswerState,
        now: Time,
    ) -> (Option<Pick>, Basis) {
        let workspace = req.workspace.as_ref().map(WorkspaceKey::of);
        let standing = workspace.map_or(UsageStanding::default(), |key| {
            if tried.is_empty() {
                self.quota.record_requested(key, prompt.cost(), now);
            }
            self.quota.standing(key, roll(&req.id), now)
        });
        self.board.forget(now);
        let basis = Basis {
            standing,
            view: self.board.view(now),
            active: self.fleet.is_active(),
        };
        let usual = self.usual_failures(req);
        let home = prompt.affinity_key().unwrap_or_default();
        let candidates: Vec<Candidate> = self
            .open(req, tried, now)
            .map(|(key, replica)| Candidate {
                id: replica.id.clone(),
                key,
                slots: engine.slots,
                can_copy: engine.copies,
                memory: engine.memory,
                speed: self.speeds.of(key),
                load: self.board.load(key, now),
                penalty: self.health.get(&key).map_or(0.0, |h| h.penalty(usual)),
                cached_age_s: self
                    .cached
                    .get(&(key, home))
                    .map(|at| now.since(*at).as_secs()),
            })
            .collect();
        if candidates.is_empty() {
            return (None, basis);
        }
        let wish = PlacementRequest {
            prompt,
            answer: claim,
            target: Span::from(req.route.target),
            shortest_target: Span::from(req.shortest),
            usage: standing,
            load_interval: self.fleet.gossip_interval(),
            tuning: &gw.settings.placement,
        };
        (Some(pick(&candidates, &wish)), basis)
    }

    fn pick_server(
        &mut self,
        gw: &Shared,
        req: &Request,
        tried: &[ReplicaId],
        claim: AnswerState,
        now: Time,
    ) -> Option<Pick> {
        let usual = self.usual_failures(req);
        let servers: Vec<PlainCandidate> = self
            .open(req, tried, now)
            .map(|(key, replica)| PlainCandidate {
                id: replica.id.clone(),
                key,
                slots: replica.slots,
                load: self.board.load(key, now),
                mean_latency_s: self.latencies.of(key),
                same_zone: replica.zone == gw.settings.zone,
                penalty: self.health.get(&key).map_or(0.0, |h| h.penalty(usual)),
            })
            .collect();
        (!servers.is_empty()).then(|| pick_plain(&servers, claim, fastrand::u64(..)))
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
            .map(|(_, r)| (r.key(), r))
            .filter(move |(key, _)| self.health.get(key).is_none_or(|h| h.is_available(now)))
    }

    /// Returns the part of failures that is usual at a service: the least of its replicas'.
    fn usual_failures(&self, req: &Request) -> f64 {
        let ready = self.roster.ready();
        let of_service = ready.filter(|(_, r)| r.service == req.service);
        let failures = of_service.map(|(_, r)| {
            let health = self.health.get(&r.key());
            health.map_or(0.0, |h| h.failures())
        });
        let mut least = 1.0;
        for part in failures {
            least = f64::min(least, part);
            // Mostly the first replica does not fail, and none fails less.
            if least == 0.0 {
                break;
            }
        }
        least
    }
}

/// Returns a number from 0 to 1 for a request, the same whenever it is asked.
fn roll(id: &str) -> f64 {
    xxh3_64(id.as_bytes()) as f64 / u64::MAX as f64
}
