//! Engines in the router's zone, in virtual time: which requests cross zones, and which shared parts
//! engines read again.
//!
//! The prompts are those of docs/design/uneven-load.md, at half its engines. Each test also runs the choice
//! of services that are not tolerant under the same load.

use {
    fastrand::Rng,
    policy::{
        placement::{
            pick,
            Candidate,
            Load,
            Part,
            Pick,
            PlacementRequest,
            Prompt,
            ReplicaKey,
            Tuning,
            WorkingSet, //
        },
        quota::UsageStanding,
        AnswerState,
        ReplicaId,
        Span,
        Time, //
    },
    std::collections::HashMap,
};

const ZONES: usize = 3;
const ENGINES: usize = 45;
const MEMORY: u64 = 193_634;
const TOKENS_PER_MS: f64 = 39.3;
/// How long a request runs after its prompt was read.
const RUN_SPAN: Span = Span::millis(1_500);
const VIEW_AGE: Span = Span::millis(100);
const DURATION: Span = Span::secs(24);
/// Shared and own tokens of long and of middle prompts.
const LONG: [(u32, u32); 1] = [(6_300, 2_890)];
const MIDDLE: [(u32, u32); 1] = [(568, 1_800)];
/// Middle and short prompts, most of which is their own.
const OWN: [(u32, u32); 2] = [MIDDLE[0], (172, 543)];

fn candidate(n: usize) -> Candidate {
    let id: ReplicaId = format!("i-{n}").parse().unwrap();
    Candidate {
        key: ReplicaKey::of(&id),
        id,
        version: None,
        slots: 96,
        memory: MEMORY,
        speed: TOKENS_PER_MS,
        load: Load::default(),
        penalty: 0.0,
        room: 0.0,
        can_copy: true,
        same_zone: false,
        cached_age_s: None,
    }
}

fn prompt(document: u64, (shared, own): (u32, u32)) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: vec![part(document, shared), part(u64::MAX, own)],
        total: shared + own,
        output: 200,
    }
}

fn request<'a>(prompt: &'a Prompt, tuning: &'a Tuning, tolerant: bool) -> PlacementRequest<'a> {
    PlacementRequest {
        prompt,
        answer: AnswerState::NotStarted,
        target: Span::millis(800),
        shortest_target: Span::millis(800),
        usage: UsageStanding::default(),
        load_interval: VIEW_AGE,
        tolerant,
        working_set_fits: true,
        tuning,
    }
}

/// A load, and what changes in the second half of a run.
#[derive(Clone, Copy)]
struct Scenario {
    routers: usize,
    documents: u64,
    kinds: &'static [(u32, u32)],
    /// Half of the first zone's callers use the second one.
    moves: bool,
    /// The first zone has no engines.
    loses: bool,
}

const STEADY: Scenario = Scenario {
    routers: 8,
    documents: 200,
    kinds: &OWN,
    moves: false,
    loses: false,
};

#[derive(Default, Clone)]
struct Engine {
    read_until: Time,
    /// Requests that run, by the time at which they end, with their memory.
    running: Vec<(Time, u64)>,
    /// Documents that it has cached, with their tokens and the time of their last use.
    cached: HashMap<u64, (u32, Time)>,
}

impl Engine {
    fn load(&mut self, now: Time) -> Load {
        self.running.retain(|(ends, _)| *ends > now);
        let unread_ms = self.read_until.since(now).as_secs() * 1e3;
        Load {
            running: self.running.len() as u32,
            unread: (unread_ms * TOKENS_PER_MS) as u64,
            memory: self.running.iter().map(|(_, memory)| memory).sum(),
        }
    }

    /// Reads `tokens` of a prompt and caches its document. Evicts those not used for longest.
    fn start(&mut self, prompt: &Prompt, tokens: u32, now: Time) {
        let reading = Span((f64::from(tokens) / TOKENS_PER_MS * 1e3) as u64);
        self.read_until = self.read_until.max(now) + reading;
        let memory = u64::from(prompt.total + prompt.output);
        self.running.push((self.read_until + RUN_SPAN, memory));
        let document = prompt.parts[0];
        self.cached.insert(document.id, (document.tokens, now));
        let free = MEMORY.saturating_sub(self.load(now).memory);
        while self.cached.values().map(|c| u64::from(c.0)).sum::<u64>() > free {
            let (_, oldest) = self.cached.iter().map(|(id, c)| (c.1, *id)).min().unwrap();
            self.cached.remove(&oldest);
        }
    }
}

#[derive(Default, Clone)]
struct Router {
    /// What it has sent to each engine since the last reports.
    sent: HashMap<usize, Load>,
    cached: HashMap<(usize, u64), Time>,
    working_set: WorkingSet,
}

/// Requests of the second half of a run, and their shared tokens.
#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    rejected: u32,
    crossed: u32,
    shared: u64,
    reread: u64,
}

impl Outcome {
    /// Returns the fraction of requests that ran in another zone than their router's.
    fn crossing(&self) -> f64 {
        f64::from(self.crossed) / f64::from(self.requests - self.rejected)
    }
}

struct World {
    tuning: Tuning,
    scenario: Scenario,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    /// Loads of the engines as last reported.
    view: Vec<Load>,
}

impl World {
    /// Returns the engines as a router sees them that asks for a document.
    fn candidates(&self, router: usize, document: u64, late: bool, now: Time) -> Vec<Candidate> {
        let own = &self.routers[router];
        let seen = |n: usize| {
            let sent = own.sent.get(&n).copied().unwrap_or_default();
            let used = own.cached.get(&(n, document));
            Candidate {
                load: sum(self.view[n], sent),
                same_zone: n % ZONES == router % ZONES,
                cached_age_s: used.map(|at| now.since(*at).as_secs()),
                ..candidate(n)
            }
        };
        let lost = |n: &usize| self.scenario.loses && late && n % ZONES == 0;
        (0..ENGINES).filter(|n| !lost(n)).map(seen).collect()
    }

    /// Returns the engine that a request is sent to, and the shared tokens that it reads again.
    fn ask(
        &mut self,
        router: usize,
        prompt: &Prompt,
        (tolerant, late): (bool, bool),
        now: Time,
    ) -> Option<(usize, u32)> {
        let document = prompt.parts[0];
        let candidates = self.candidates(router, document.id, late, now);
        let own = &mut self.routers[router];
        let memory = candidates.iter().filter(|c| c.same_zone).map(|c| c.memory);
        let request = PlacementRequest {
            working_set_fits: own.working_set.fits(memory.sum(), now),
            ..request(prompt, &self.tuning, tolerant)
        };
        let Pick::Run(choice) = pick(&candidates, &request) else {
            return None;
        };
        own.working_set.record(prompt.shared_parts(), now);
        let at = index(&choice.replica);
        own.cached.insert((at, document.id), now);
        let load = Load {
            running: 1,
            unread: u64::from(choice.uncached),
            memory: u64::from(prompt.total + prompt.output),
        };
        let sent = own.sent.entry(at).or_default();
        *sent = sum(*sent, load);
        let sources = [Some(at), choice.source.as_ref().map(index)];
        let has = |n: &usize| self.engines[*n].cached.contains_key(&document.id);
        let reread = match sources.iter().flatten().any(has) {
            true => 0,
            false => document.tokens,
        };
        self.engines[at].start(prompt, prompt.parts[1].tokens + reread, now);
        Some((at, reread))
    }
}

fn sum(a: Load, b: Load) -> Load {
    Load {
        running: a.running + b.running,
        unread: a.unread + b.unread,
        memory: a.memory + b.memory,
    }
}

fn index(id: &ReplicaId) -> usize {
    id.as_str()[2..].parse().unwrap()
}

/// Runs a scenario with 80 requests per second in each zone that has a router.
fn run(scenario: Scenario, tolerant: bool) -> Outcome {
    let mut rng = Rng::with_seed(1);
    let mut world = World {
        tuning: Tuning::default(),
        scenario,
        engines: vec![Engine::default(); ENGINES],
        routers: vec![Router::default(); scenario.routers],
        view: vec![Load::default(); ENGINES],
    };
    let interval = Span(12_500 / scenario.routers.min(ZONES) as u64);
    let mut outcome = Outcome::default();
    let (mut now, mut reported) = (Time(0), Time(0));
    while now < Time(0) + DURATION {
        now += interval;
        if now.since(reported) >= VIEW_AGE {
            reported = now;
            world.view = world.engines.iter_mut().map(|e| e.load(now)).collect();
            world.routers.iter_mut().for_each(|r| r.sent.clear());
        }
        let late = now.0 > DURATION.0 / 2;
        let mut router = rng.usize(..scenario.routers);
        if scenario.moves && late && router % ZONES == 0 && rng.bool() {
            router += 1;
        }
        let kind = rng.usize(..scenario.kinds.len());
        let document = rng.u64(..scenario.documents) * 10 + kind as u64;
        let prompt = prompt(document, scenario.kinds[kind]);
        let ran = world.ask(router, &prompt, (tolerant, late), now);
        if !late {
            continue;
        }
        outcome.requests += 1;
        match ran {
            None => outcome.rejected += 1,
            Some((at, reread)) => {
                outcome.crossed += u32::from(at % ZONES != router % ZONES);
                outcome.shared += u64::from(prompt.shared_tokens());
                outcome.reread += u64::from(reread);
            }
        }
    }
    outcome
}

/// Runs a scenario with the choice of tolerant services and with that of others, and prints which
/// fractions cross zones and are read again.
fn compare(name: &str, scenario: Scenario) -> (Outcome, Outcome) {
    let outcomes = (run(scenario, true), run(scenario, false));
    for (choice, o) in [("zoned", &outcomes.0), ("plain", &outcomes.1)] {
        println!(
            "{name} routers={} {choice}: crossing={:.3} reread={:.3} rejected={} of {}",
            scenario.routers,
            o.crossing(),
            o.reread as f64 / o.shared as f64,
            o.rejected,
            o.requests,
        );
    }
    outcomes
}

/// Guards against bodies and streams that cross zones although each zone has engines for them.
#[test]
fn zones_steady_load() {
    for routers in [1, 8, 60] {
        let (zoned, plain) = compare("steady", Scenario { routers, ..STEADY });
        assert!(zoned.crossing() <= 0.25, "{routers}: {zoned:?}");
        assert!(zoned.rejected <= plain.rejected, "{routers}: {zoned:?}");
    }
}

/// Guards against callers that change zones being rejected, or served from their former zone.
#[test]
fn zones_half_of_the_callers_move() {
    for routers in [8, 60] {
        let scenario = Scenario {
            routers,
            moves: true,
            ..STEADY
        };
        let (zoned, plain) = compare("moved", scenario);
        assert!(zoned.crossing() <= 0.25, "{routers}: {zoned:?}");
        assert!(zoned.rejected <= plain.rejected, "{routers}: {zoned:?}");
    }
}

/// Guards against documents that are read again in each zone, where that costs more than the bytes
/// between zones.
#[test]
fn zones_prompts_of_shared_tokens() {
    for routers in [1, 8, 60] {
        let scenario = Scenario {
            routers,
            kinds: &LONG,
            ..STEADY
        };
        let (zoned, plain) = compare("shared", scenario);
        assert!(zoned.reread <= plain.reread, "{routers}: {zoned:?}");
        assert!(zoned.rejected <= plain.rejected, "{routers}: {zoned:?}");
    }
}

fn too_large(routers: usize) -> (Outcome, Outcome) {
    let scenario = Scenario {
        routers,
        documents: 12_240,
        kinds: &MIDDLE,
        ..STEADY
    };
    compare("too-large", scenario)
}

/// Guards against rejections since each zone keeps documents that don't fit into its engines.
#[test]
fn zones_working_set_that_does_not_fit() {
    let (zoned, plain) = too_large(1);
    assert!(zoned.crossing() <= plain.crossing(), "{zoned:?}");
    assert!(zoned.rejected <= plain.rejected, "{zoned:?}");
}

/// Guards against rejections since each router sees only a part of the documents, which would fit.
#[test]
fn zones_working_set_seen_in_parts() {
    let outcomes = [8, 60].map(too_large);
    for (zoned, plain) in outcomes {
        assert!(zoned.rejected <= plain.rejected, "{zoned:?}");
    }
}

/// Guards against rejections by routers whose zone has no engines.
#[test]
fn zones_lost_zone() {
    for routers in [1, 8, 60] {
        let scenario = Scenario {
            routers,
            loses: true,
            ..STEADY
        };
        let (zoned, plain) = compare("lost", scenario);
        assert!(zoned.rejected <= plain.rejected, "{routers}: {zoned:?}");
    }
}

/// Calls `check` with many random views and requests.
fn random_cases(check: impl Fn(&[Candidate], &PlacementRequest<'_>)) {
    let (mut rng, tuning) = (Rng::with_seed(7), Tuning::default());
    for _ in 0..4_000 {
        let kinds = [LONG[0], OWN[0], OWN[1]];
        let prompt = prompt(rng.u64(..), kinds[rng.usize(..3)]);
        let fill = rng.f64();
        let engines = (0..rng.usize(1..40)).map(|n| Candidate {
            same_zone: rng.bool(),
            cached_age_s: rng.bool().then(|| rng.f64() * 30.0),
            load: Load {
                running: (rng.f64() * fill * 200.0) as u32,
                unread: (rng.f64() * fill * 60_000.0) as u64,
                memory: (rng.f64() * fill * 300_000.0) as u64,
            },
            ..candidate(n)
        });
        let engines: Vec<Candidate> = engines.collect();
        let answers = [AnswerState::NotStarted, AnswerState::Started];
        let request = PlacementRequest {
            answer: answers[rng.usize(..2)],
            working_set_fits: rng.bool(),
            ..request(&prompt, &tuning, rng.bool())
        };
        check(&engines, &request);
    }
}

/// Guards against zones that affect services whose targets are short.
#[test]
fn pick_ignores_zones_unless_tolerant() {
    random_cases(|engines, request| {
        let request = PlacementRequest {
            tolerant: false,
            ..request.clone()
        };
        let mut elsewhere = engines.to_vec();
        elsewhere.iter_mut().for_each(|e| e.same_zone = false);
        assert_eq!(pick(engines, &request), pick(&elsewhere, &request));
    });
}

/// Guards against a request that is rejected because of its zone only.
#[test]
fn pick_rejects_no_more_with_zones() {
    random_cases(|engines, request| {
        let plain = PlacementRequest {
            tolerant: false,
            ..request.clone()
        };
        let tolerant = PlacementRequest {
            tolerant: true,
            ..request.clone()
        };
        let runs = |request| matches!(pick(engines, request), Pick::Run(_));
        assert!(runs(&tolerant) || !runs(&plain), "{engines:?} {request:?}");
    });
}

/// Guards against documents that move between zones each time that the threshold is crossed, and
/// against parts of long ago that still count.
#[test]
fn working_set_fits_again_when_smaller() {
    let mut set = WorkingSet::default();
    let part = |id| Part { id, tokens: 100 };
    // Seen often enough that no others are expected.
    (0..7).for_each(|id| set.record(&[part(id); 3], Time(0)));
    assert!(!set.fits(1_000, Time(0)));
    assert!(!set.fits(1_300, Time(0)), "still more than half");
    assert!(set.fits(1_500, Time(0)));
    assert!(set.fits(1_300, Time(0)));
    let later = Time(0) + Span::secs(9);
    set.record(&[part(3)], later);
    assert_eq!(set.tokens(later + Span::secs(2)), 100);
}

/// Guards against a router that takes the parts that it has seen for all that are in use.
#[test]
fn working_set_counts_parts_of_other_routers() {
    let mut rng = Rng::with_seed(1);
    let mut set = WorkingSet::default();
    for _ in 0..300 {
        let id = rng.u64(..1_000);
        set.record(&[Part { id, tokens: 100 }], Time(0));
    }
    let tokens = set.tokens(Time(0));
    assert!((70_000..140_000).contains(&tokens), "{tokens}");
}

/// Guards against memory that grows with prompts whose shared parts are all different.
#[test]
fn working_set_is_bounded() {
    let mut set = WorkingSet::default();
    (0..100_000).for_each(|id| set.record(&[Part { id, tokens: 1 }; 3], Time(0)));
    assert!(set.tokens(Time(0)) <= 10_000);
    assert!(!set.fits(u64::MAX, Time(0)), "parts were left out");
    assert!(set.fits(u64::MAX, Time(0) + Span::secs(11)));
}
