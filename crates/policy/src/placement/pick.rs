//! The choice among engines.

use {
    super::{
        tuning::Fullness,
        Candidate,
        Prompt,
        ReplicaKey,
        Tuning, //
    },
    crate::{
        quota::UsageStanding,
        rendezvous,
        AnswerState,
        ReplicaId,
        Span, //
    },
    std::fmt,
};

/// Time to the first event that is not spent on reading, in milliseconds.
const OVERHEAD_MS: f64 = 40.0;
/// Longest retry delay of a rejected request, in milliseconds.
const RETRY_MAX_MS: f64 = 2_000.0;

/// A request that needs an engine.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Whether its caller has the start of the answer.
    pub answer: AnswerState,
    /// Target for the time to the first event.
    pub target: Span,
    /// The shortest target among all requests to these engines.
    pub shortest_target: Span,
    /// Recent usage of its workspace against its fair share.
    pub usage: UsageStanding,
    /// Time between two load reports of a peer.
    pub load_interval: Span,
    /// The service has engines that its requests don't need.
    pub spare: bool,
    /// The weights of the choice.
    pub tuning: &'a Tuning,
}

/// The replica that a request is sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaId,
    /// Its key in messages between routers.
    pub key: ReplicaKey,
    /// Prompt tokens that it will have to read for this request.
    pub uncached: u32,
    /// Tokens that it has to read before the first event, including this prompt.
    pub unread: u64,
    /// The replica that it can copy the shared parts of the prompt from.
    pub source: Option<ReplicaId>,
}

/// The limit because of which an engine doesn't take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Its slots.
    Slots,
    /// Its memory.
    Memory,
    /// Time to read the prompts of earlier requests.
    Backlog,
    /// Time to read the prompt itself.
    Reading,
    /// It has failed more requests than usual, and therefore counts as fuller than it is.
    Failures,
    /// Unknown, or there is no engine.
    None,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Bound::Slots => "slots",
            Bound::Memory => "memory",
            Bound::Backlog => "backlog",
            Bound::Reading => "reading",
            Bound::Failures => "failures",
            Bound::None => "none",
        })
    }
}

/// The decision for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Pick {
    /// Send it to this replica.
    Run(Choice),
    /// Reject it, as it would be late or displace others.
    Reject {
        /// When a slot is likely to be free.
        retry_after: Span,
        /// Fullness of the least full preferred replica.
        fullness: f64,
        /// The limit because of which that replica doesn't take it.
        bound: Bound,
    },
}

impl Pick {
    /// Returns whether the request is rejected because of the load of the engines, so that others
    /// may take it.
    pub fn is_overload(&self) -> bool {
        let load = [Bound::Slots, Bound::Memory, Bound::Backlog];
        matches!(self, Pick::Reject { bound, .. } if load.contains(bound))
    }
}

struct Rated<'a> {
    engine: &'a Candidate,
    uncached: u32,
    /// Fullness of the engine with this request.
    fullness: Fullness,
    /// Whether slots or memory determine the occupancy.
    occupancy_bound: Bound,
    /// Time to read everything before the first event, in milliseconds.
    wait_ms: f64,
    cost: f64,
}

/// Chooses an engine for a prompt, or rejects it.
///
/// The expected load is many long prompts that share parts, and more of them than the engines can
/// read. A request goes to one of two preferred replicas that have its parts cached, the same ones
/// at all routers, whichever is expected to read it first. It goes elsewhere only if an engine is
/// half idle: if any free slot would do, requests would find nothing cached, and reading would take
/// up the engines.
///
/// A stream that has started was admitted once, and rejecting it would waste what its caller
/// already has. It goes to the engine with the shortest queue, and into the room that new requests
/// leave there.
pub fn pick(engines: &[Candidate], request: &PlacementRequest<'_>) -> Pick {
    let affinity_key = request.prompt.affinity_key().unwrap_or_default();
    let rated: Vec<Rated<'_>> = rendezvous::rank_by_hash(affinity_key, engines, |e| e.id.as_str())
        .into_iter()
        .enumerate()
        .map(|(rank, engine)| rate(engine, rank, request))
        .collect();
    if request.answer != AnswerState::NotStarted {
        if let Some(best) = shortest_queue(&rated) {
            return Pick::Run(choice_of(&rated, best));
        }
    }
    let tuning = request.tuning;
    let (limit, spill) = limits(request);
    let (preferred, others) = rated.split_at(tuning.preferred_replicas.min(rated.len()));
    if let Some(best) = cheapest(&rated, preferred, limit) {
        return Pick::Run(best);
    }
    if let Some(best) = cheapest(&rated, others, spill) {
        return Pick::Run(best);
    }
    let least = preferred
        .iter()
        .min_by(|a, b| a.fullness.highest().total_cmp(&b.fullness.highest()));
    Pick::Reject {
        retry_after: retry_after(preferred, request),
        fullness: least.map_or(0.0, |r| r.fullness.highest()),
        bound: least.map_or(Bound::None, |r| r.exceeds(limit)),
    }
}

impl Rated<'_> {
    /// Returns the limit that the engine exceeds most, or [`Bound::Failures`] if it exceeds a limit
    /// only because of its penalty.
    fn exceeds(&self, limit: Fullness) -> Bound {
        let penalty = self.engine.penalty;
        let parts = [
            (
                self.fullness.occupancy - limit.occupancy,
                self.occupancy_bound,
            ),
            (self.fullness.backlog - limit.backlog, Bound::Backlog),
            (self.fullness.reading - limit.reading, Bound::Reading),
        ];
        let most = parts.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        match most {
            Some((over, _)) if over > 0.0 && over <= penalty => Bound::Failures,
            Some((_, bound)) => bound,
            None => Bound::None,
        }
    }
}

/// Returns the engine of the same version that most likely has the shared parts that `best` lacks.
///
/// A router only knows of its own requests, and the first request with a part may have gone to
/// either preferred replica through any router. If it knows of none, the other preferred replica is
/// asked, which takes an engine far less time than reading the parts again.
fn copy_source(rated: &[Rated<'_>], best: &Rated<'_>) -> Option<ReplicaId> {
    let rated = || {
        rated
            .iter()
            .filter(|r| r.engine.version == best.engine.version)
    };
    let used = rated().filter(|r| r.engine.cached_age_s.is_some());
    let last = used.min_by(|a, b| {
        let ago = |r: &Rated<'_>| r.engine.cached_age_s.unwrap_or(f64::MAX);
        ago(a).total_cmp(&ago(b))
    });
    let other = |r: &&Rated<'_>| r.engine.key != best.engine.key;
    let from = match last {
        Some(last) => Some(last).filter(other),
        None => rated().find(other),
    };
    from.filter(|_| best.engine.can_copy)
        .map(|r| r.engine.id.clone())
}

fn rate<'a>(engine: &'a Candidate, rank: usize, request: &PlacementRequest<'_>) -> Rated<'a> {
    let (prompt, tuning) = (request.prompt, request.tuning);
    let cached = rank == 0 || engine.cached_age_s.is_some_and(|s| s < tuning.cached_s);
    let missing = if cached { 0 } else { prompt.shared_tokens() };
    // Shared parts that are copied from another engine take a fraction of the time.
    let reread = if engine.can_copy { 0 } else { missing };
    let copied = f64::from(missing - reread) * tuning.copy_cost;
    let uncached = prompt.total.saturating_sub(prompt.shared_tokens()) + reread;
    let load = engine.load;
    let wait_ms = (load.unread as f64 + f64::from(uncached)) / engine.speed;
    let target = (request.target.as_secs() * 1e3 - OVERHEAD_MS).max(1.0);
    let slots = f64::from(load.running + 1) / (f64::from(engine.slots.max(1)) * tuning.slots);
    let need = load.memory + u64::from(prompt.total + prompt.output);
    let memory = need as f64 / (engine.memory.max(1) as f64 * tuning.memory);
    // What is queued before this request is also queued before the next one, whose target may be
    // shorter.
    let shortest = (request.shortest_target.as_secs() * 1e3 - OVERHEAD_MS).max(1.0);
    let queued = load.unread as f64 / engine.speed / shortest;
    // A prompt that takes long to read by itself is late at any engine.
    let reading = tuning.reading_weight * wait_ms / target;
    let occupied = slots.max(memory) / (1.0 - engine.room);
    let fullness = Fullness {
        occupancy: occupied + engine.penalty,
        backlog: queued + engine.penalty,
        reading: reading + engine.penalty,
    };
    let occupancy_bound = match slots >= memory {
        true => Bound::Slots,
        false => Bound::Memory,
    };
    let cost = wait_ms + (tuning.reread_cost * f64::from(reread) + copied) / engine.speed;
    Rated {
        engine,
        uncached,
        fullness,
        occupancy_bound,
        wait_ms,
        cost,
    }
}

/// Returns the fullness up to which the preferred replicas, and the others, take the request.
fn limits(request: &PlacementRequest<'_>) -> (Fullness, Fullness) {
    let (tuning, usage) = (request.tuning, request.usage);
    if request.spare {
        return tuning.spare_limits();
    }
    let limit = tuning.limit(usage, request.load_interval);
    (limit, tuning.spill_limit(usage, request.load_interval))
}

fn cheapest(all: &[Rated<'_>], among: &[Rated<'_>], limit: Fullness) -> Option<Choice> {
    let fits = among.iter().filter(|r| r.fullness.within(limit));
    let best = fits.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    Some(choice_of(all, best))
}

/// Returns the engine with the fewest requests waiting for a slot, and the cheapest one of several.
fn shortest_queue<'a, 'b>(rated: &'b [Rated<'a>]) -> Option<&'b Rated<'a>> {
    let queue = |r: &Rated<'_>| (r.fullness.occupancy - 1.0).max(0.0);
    rated.iter().min_by(|a, b| {
        let by_queue = queue(a).total_cmp(&queue(b));
        by_queue.then(a.cost.total_cmp(&b.cost))
    })
}

fn choice_of(all: &[Rated<'_>], best: &Rated<'_>) -> Choice {
    Choice {
        replica: best.engine.id.clone(),
        key: best.engine.key,
        uncached: best.uncached,
        unread: best.engine.load.unread + u64::from(best.uncached),
        source: copy_source(all, best),
    }
}

/// Returns when a slot at a preferred replica is likely to be free: once its backlog has been read.
fn retry_after(preferred: &[Rated<'_>], request: &PlacementRequest<'_>) -> Span {
    let least = preferred.iter().map(|r| r.wait_ms).fold(f64::MAX, f64::min);
    let least = if preferred.is_empty() { 0.0 } else { least };
    let ms = least * request.usage.share.clamp(1.0, 4.0);
    Span::millis(ms.clamp(request.tuning.retry_ms, RETRY_MAX_MS) as u64)
}
