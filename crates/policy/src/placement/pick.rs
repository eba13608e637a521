//! The choice among engines.

use {
    super::{
        Candidate,
        Prompt,
        ReplicaKey, //
    },
    crate::{
        ReplicaId,
        Span, //
    },
    std::cmp::Reverse,
    xxhash_rust::xxh3::xxh3_64_with_seed, //
};

/// How many engines a prompt's shared parts are kept at.
const HOMES: usize = 2;
/// A part is taken as cached where it was used this recently, in seconds.
const CACHED_S: f64 = 20.0;
/// What reading shared tokens again counts, relative to reading tokens for the first time.
///
/// It takes the same time of the engine, and besides pushes other parts out of its cache.
const AGAIN_COST: f64 = 1.5;
/// Fullness up to which any engine takes a request whose homes are full. An engine that is
/// half idle loses nothing by reading the shared parts anew.
const SPARE: f64 = 0.5;
/// Fullness at which a workspace within its fair share is refused.
const FULL: f64 = 1.0;
/// The same for a workspace that had far more than its share.
const FULL_OVER: f64 = 0.55;
/// Multiples of its fair share between which a workspace's bound falls from one to the other.
const OVER: (f64, f64) = (0.9, 1.6);
/// Part of the slots that the fleet fills.
const SLOTS: f64 = 1.0;
/// Part of an engine's memory that the fleet fills. What is left holds cached parts.
const MEMORY: f64 = 0.85;
/// Time to the first event beside reading, in milliseconds.
const BASE_MS: f64 = 40.0;
/// Shortest and longest time after which a refused request may come back.
const AGAIN_MS: (f64, f64) = (150.0, 2_000.0);

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Wish<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The time to the first event that is aimed at.
    pub target: Span,
    /// The shortest such time among all requests to these engines.
    pub shortest: Span,
    /// What its workspace had of late, as a multiple of its fair share.
    pub standing: f64,
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
}

/// What was decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Pick {
    /// It is sent to this replica.
    Run(Choice),
    /// It is refused, as it would be late or push others out.
    Refuse {
        /// When a place is likely.
        after: Span,
    },
}

struct Rated<'a> {
    engine: &'a Candidate,
    uncached: u32,
    /// Highest of the parts used of slots, memory and time.
    full: f64,
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
/// engines (0.587 to 0.481 of the value served in a trial of twelve engines).
pub fn pick(engines: &[Candidate], wish: &Wish<'_>) -> Pick {
    let home = wish.prompt.home().unwrap_or_default();
    let mut ranked: Vec<(u64, &Candidate)> = engines
        .iter()
        .map(|e| (xxh3_64_with_seed(e.id.as_str().as_bytes(), home), e))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
    let mut rated: Vec<Rated<'_>> = ranked
        .iter()
        .enumerate()
        .map(|(rank, (_, engine))| rate(engine, rank, wish))
        .collect();
    let limit = limit(wish.standing);
    let (homes, others) = rated.split_at_mut(HOMES.min(ranked.len()));
    if let Some(best) = cheapest(homes, limit) {
        return Pick::Run(best);
    }
    if let Some(best) = cheapest(others, SPARE.min(limit)) {
        return Pick::Run(best);
    }
    Pick::Refuse {
        after: after(homes, wish),
    }
}

fn rate<'a>(engine: &'a Candidate, rank: usize, wish: &Wish<'_>) -> Rated<'a> {
    let prompt = wish.prompt;
    let cached = rank == 0 || engine.cached.is_some_and(|s| s < CACHED_S);
    let again = if cached { 0 } else { prompt.shared() };
    let uncached = prompt.total.saturating_sub(prompt.shared()) + again;
    let load = engine.load;
    let wait = (load.unread as f64 + f64::from(uncached)) / engine.speed;
    let target = (wish.target.as_secs() * 1e3 - BASE_MS).max(1.0);
    let slots = f64::from(load.running + 1) / (f64::from(engine.slots.max(1)) * SLOTS);
    let need = load.memory + u64::from(prompt.total + prompt.output);
    let memory = need as f64 / (engine.memory.max(1) as f64 * MEMORY);
    // What stands before this request stands before the next one too, whose target may be
    // shorter.
    let shortest = (wish.shortest.as_secs() * 1e3 - BASE_MS).max(1.0);
    let before = load.unread as f64 / engine.speed / shortest;
    let full = slots.max(memory).max(wait / target).max(before) + engine.penalty;
    let cost = wait + AGAIN_COST * f64::from(again) / engine.speed;
    Rated {
        engine,
        uncached,
        full,
        wait,
        cost,
    }
}

fn cheapest(rated: &[Rated<'_>], limit: f64) -> Option<Choice> {
    let fits = rated.iter().filter(|r| r.full <= limit);
    let best = fits.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    Some(Choice {
        replica: best.engine.id.clone(),
        key: best.engine.key,
        uncached: best.uncached,
        unread: best.engine.load.unread + u64::from(best.uncached),
    })
}

/// Returns up to which fullness a workspace's requests are taken.
///
/// One that floods is refused first, while those within their share still find a place.
fn limit(standing: f64) -> f64 {
    let over = ((standing - OVER.0) / (OVER.1 - OVER.0)).clamp(0.0, 1.0);
    FULL - (FULL - FULL_OVER) * over
}

/// Returns when a place at a home is likely: once what is to be read before has been read.
fn after(homes: &[Rated<'_>], wish: &Wish<'_>) -> Span {
    let least = homes.iter().map(|r| r.wait).fold(f64::MAX, f64::min);
    let least = if homes.is_empty() { 0.0 } else { least };
    let ms = least * wish.standing.clamp(1.0, 4.0);
    Span::millis(ms.clamp(AGAIN_MS.0, AGAIN_MS.1) as u64)
}
