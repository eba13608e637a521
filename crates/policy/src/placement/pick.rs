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

/// Time to the first event beside reading, in milliseconds.
const BASE_MS: f64 = 40.0;
/// Longest time after which a refused request may come back, in milliseconds.
const AGAIN_MS: f64 = 2_000.0;

/// What is asked for.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// What it has of its answer.
    pub answer: AnswerState,
    /// The time to the first event that is aimed at.
    pub target: Span,
    /// The shortest such time among all requests to these engines.
    pub shortest_target: Span,
    /// What its workspace had of late, against its fair share.
    pub usage: UsageStanding,
    /// Time between two words of a peer on what it sent to each engine.
    pub load_interval: Span,
    /// How the choice is weighed.
    pub tuning: &'a Tuning,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaId,
    /// Its short name.
    pub key: ReplicaKey,
    /// Prompt tokens that it will read.
    pub uncached: u32,
    /// Tokens that it has to read in all before the first event, this prompt included.
    pub unread: u64,
    /// The replica that it can copy the prompt's shared parts from.
    pub source: Option<ReplicaId>,
}

/// Why an engine does not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Places for requests.
    Slots,
    /// Memory.
    Memory,
    /// Time, as others' prompts are to be read first.
    Backlog,
    /// Time, as the prompt itself takes long to read.
    Reading,
    /// It has failed more requests than is usual, and counts as fuller than it is.
    Failures,
    /// It is not known, or nothing is there.
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

/// What was decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Pick {
    /// It is sent to this replica.
    Run(Choice),
    /// It is refused, as it would be late or push others out.
    Refuse {
        /// When a place is likely.
        retry_after: Span,
        /// How full the best of its homes is.
        fullness: f64,
        /// Why that engine does not take it.
        bound: Bound,
    },
}

struct Rated<'a> {
    engine: &'a Candidate,
    uncached: u32,
    /// How full the engine is with the request.
    full: Fullness,
    /// The larger of the places.
    place: Bound,
    /// Time to read all that stands before the first event, in milliseconds.
    wait: f64,
    cost: f64,
}

/// Chooses an engine for a prompt, or refuses it.
///
/// The load is many long prompts that share parts, beyond what the engines can read. A
/// request goes to one of two engines that have its parts cached, the same at all routers,
/// whichever is expected to read it first; elsewhere only where an engine is half idle. Once
/// a free place anywhere is taken, each request finds nothing cached, and reading eats the
/// engines.
///
/// A stream that has begun was let through once, and refusing it would throw away what its caller
/// has. It goes where it waits least.
pub fn pick(engines: &[Candidate], wish: &PlacementRequest<'_>) -> Pick {
    let home = wish.prompt.affinity_key().unwrap_or_default();
    let rated: Vec<Rated<'_>> = rendezvous::of_hash(home, engines, |e| e.id.as_str())
        .into_iter()
        .enumerate()
        .map(|(rank, engine)| rate(engine, rank, wish))
        .collect();
    if wish.answer == AnswerState::Started {
        if let Some(best) = shortest_queue(&rated) {
            return Pick::Run(chosen(&rated, best));
        }
    }
    let tuning = wish.tuning;
    let limit = tuning.limit(wish.usage, wish.load_interval);
    let (homes, others) = rated.split_at(tuning.homes.min(rated.len()));
    if let Some(best) = cheapest(&rated, homes, limit) {
        return Pick::Run(best);
    }
    if let Some(best) = cheapest(&rated, others, tuning.spare(wish.usage, wish.load_interval)) {
        return Pick::Run(best);
    }
    let least = homes
        .iter()
        .min_by(|a, b| a.full.most().total_cmp(&b.full.most()));
    Pick::Refuse {
        retry_after: after(homes, wish),
        fullness: least.map_or(0.0, |r| r.full.most()),
        bound: least.map_or(Bound::None, |r| r.exceeds(limit)),
    }
}

impl Rated<'_> {
    /// Returns which limit the engine exceeds most. Where it exceeds none but for its failures, these
    /// are the reason.
    fn exceeds(&self, limit: Fullness) -> Bound {
        let penalty = self.engine.penalty;
        let parts = [
            (self.full.places - limit.places, self.place),
            (self.full.backlog - limit.backlog, Bound::Backlog),
            (self.full.own - limit.own, Bound::Reading),
        ];
        let most = parts.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        match most {
            Some((over, _)) if over > 0.0 && over <= penalty => Bound::Failures,
            Some((_, bound)) => bound,
            None => Bound::None,
        }
    }
}

/// Returns the engine that most likely has the shared parts that `best` lacks.
///
/// A router knows only of what it sent itself, and the first request of a part may have gone to
/// either home through any router. Where it knows of none, the other home is asked: that costs
/// an engine far less time than reading the parts anew.
fn source(rated: &[Rated<'_>], best: &Rated<'_>) -> Option<ReplicaId> {
    let used = rated.iter().filter(|r| r.engine.cached_age_s.is_some());
    let last = used.min_by(|a, b| {
        let ago = |r: &Rated<'_>| r.engine.cached_age_s.unwrap_or(f64::MAX);
        ago(a).total_cmp(&ago(b))
    });
    let other = |r: &&Rated<'_>| r.engine.key != best.engine.key;
    let from = match last {
        Some(last) => Some(last).filter(other),
        None => rated.iter().find(other),
    };
    from.filter(|_| best.engine.can_copy)
        .map(|r| r.engine.id.clone())
}

fn rate<'a>(engine: &'a Candidate, rank: usize, wish: &PlacementRequest<'_>) -> Rated<'a> {
    let (prompt, tuning) = (wish.prompt, wish.tuning);
    let cached = rank == 0 || engine.cached_age_s.is_some_and(|s| s < tuning.cached_s);
    let missing = if cached { 0 } else { prompt.shared() };
    // Copied from another engine, shared parts are there in a fraction of the time.
    let again = if engine.can_copy { 0 } else { missing };
    let copied = f64::from(missing - again) * tuning.copy_cost;
    let uncached = prompt.total.saturating_sub(prompt.shared()) + again;
    let load = engine.load;
    let wait = (load.unread as f64 + f64::from(uncached)) / engine.speed;
    let target = (wish.target.as_secs() * 1e3 - BASE_MS).max(1.0);
    let slots = f64::from(load.running + 1) / (f64::from(engine.slots.max(1)) * tuning.slots);
    let need = load.memory + u64::from(prompt.total + prompt.output);
    let memory = need as f64 / (engine.memory.max(1) as f64 * tuning.memory);
    // What stands before this request stands before the next one too, whose target may be
    // shorter.
    let shortest = (wish.shortest_target.as_secs() * 1e3 - BASE_MS).max(1.0);
    let before = load.unread as f64 / engine.speed / shortest;
    // A prompt that takes long to read by itself is late at any engine.
    let own = tuning.own * wait / target;
    let full = Fullness {
        places: slots.max(memory) + engine.penalty,
        backlog: before + engine.penalty,
        own: own + engine.penalty,
    };
    let place = match slots >= memory {
        true => Bound::Slots,
        false => Bound::Memory,
    };
    let cost = wait + (tuning.again_cost * f64::from(again) + copied) / engine.speed;
    Rated {
        engine,
        uncached,
        full,
        place,
        wait,
        cost,
    }
}

fn cheapest(all: &[Rated<'_>], among: &[Rated<'_>], limit: Fullness) -> Option<Choice> {
    let fits = among.iter().filter(|r| r.full.within(limit));
    let best = fits.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    Some(chosen(all, best))
}

/// Returns the engine at which fewest requests wait for a place, the cheapest of several.
fn shortest_queue<'a, 'b>(rated: &'b [Rated<'a>]) -> Option<&'b Rated<'a>> {
    let queue = |r: &Rated<'_>| (r.full.places - 1.0).max(0.0);
    rated.iter().min_by(|a, b| {
        let by_queue = queue(a).total_cmp(&queue(b));
        by_queue.then(a.cost.total_cmp(&b.cost))
    })
}

fn chosen(all: &[Rated<'_>], best: &Rated<'_>) -> Choice {
    Choice {
        replica: best.engine.id.clone(),
        key: best.engine.key,
        uncached: best.uncached,
        unread: best.engine.load.unread + u64::from(best.uncached),
        source: source(all, best),
    }
}

/// Returns when a place at a home is likely: once what is to be read before has been read.
fn after(homes: &[Rated<'_>], wish: &PlacementRequest<'_>) -> Span {
    let least = homes.iter().map(|r| r.wait).fold(f64::MAX, f64::min);
    let least = if homes.is_empty() { 0.0 } else { least };
    let ms = least * wish.usage.share.clamp(1.0, 4.0);
    Span::millis(ms.clamp(wish.tuning.again_ms, AGAIN_MS) as u64)
}
