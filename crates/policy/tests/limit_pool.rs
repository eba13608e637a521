//! The learnt limits of a pool that is backlogged all the time, told as routers tell them.

use {
    fastrand::Rng,
    policy::{
        limit::ConcurrencyLimit,
        Slots,
        Span,
        Time, //
    },
};

const STEP: f64 = 0.01;
const REPLICAS: usize = 10;
const ROUTERS: usize = 8;
/// What an engine runs at full speed.
const FULL: f64 = 8.0;
/// Seconds to a first token and between tokens, of a request that runs alone.
const FIRST: f64 = 0.05;
const GAP: f64 = 0.04;

struct Request {
    router: usize,
    tokens: u32,
    left: u32,
    /// Until its next token.
    wait: f64,
    /// Since its last token.
    age: f64,
}

/// What a router has seen of a replica since its last report.
#[derive(Default, Clone)]
struct Seen {
    first: f64,
    gap: f64,
    gaps: u32,
    firsts: u32,
    /// As its last report said.
    running: u32,
}

struct Engine {
    full: f64,
    slow: f64,
    runs: Vec<Request>,
    seen: Vec<Seen>,
    limit: ConcurrencyLimit,
    used: f64,
    limits: f64,
}

struct Pool {
    engines: Vec<Engine>,
    rng: Rng,
    noise: f64,
    steps: u64,
}

impl Engine {
    fn new() -> Engine {
        Engine {
            full: FULL,
            slow: 1.0,
            runs: Vec::new(),
            seen: vec![Seen::default(); ROUTERS],
            limit: ConcurrencyLimit::new(Slots(FULL as u32)),
            used: 0.0,
            limits: 0.0,
        }
    }

    /// Time that the next token takes, as a multiple of what it takes alone.
    fn stretch(&self, noise: f64, rng: &mut Rng) -> f64 {
        let batch = (self.runs.len() as f64 / self.full).max(1.0);
        self.slow * batch * (1.0 + noise * (rng.f64() * 2.0 - 1.0))
    }

    fn step(&mut self, noise: f64, rng: &mut Rng) {
        while self.runs.len() < self.limit.get().0 as usize {
            let tokens = rng.u32(16..=64);
            self.runs.push(Request {
                router: rng.usize(..ROUTERS),
                tokens,
                left: tokens,
                wait: FIRST * self.stretch(noise, rng),
                age: 0.0,
            });
        }
        let stretch = self.stretch(noise, rng);
        for r in &mut self.runs {
            r.age += STEP;
            r.wait -= STEP;
            if r.wait > 0.0 {
                continue;
            }
            let seen = &mut self.seen[r.router];
            if r.left == r.tokens {
                seen.first += r.age;
                seen.firsts += 1;
            } else {
                seen.gap += r.age;
                seen.gaps += 1;
            }
            r.age = 0.0;
            r.left -= 1;
            r.wait += GAP * stretch;
        }
        self.used += (self.runs.len() as f64).min(self.full) / self.full;
        self.limits += f64::from(self.limit.get().0);
        self.runs.retain(|r| r.left > 0);
    }

    fn report(&mut self, router: usize, now: Time) {
        let running = self.runs.iter().filter(|r| r.router == router).count();
        let seen = std::mem::take(&mut self.seen[router]);
        self.seen[router].running = running as u32;
        let all = self.seen.iter().map(|s| s.running).sum();
        let mean = |sum: f64, n: u32| (n > 0).then(|| Span((sum / f64::from(n) * 1e6) as u64));
        let (first, gap) = (mean(seen.first, seen.firsts), mean(seen.gap, seen.gaps));
        self.limit.record(first, gap, Slots(all), true, now);
        let waiting = self.runs.iter().filter(|r| r.left == r.tokens).count();
        let begun = self.runs.len() - waiting;
        self.limit.record_load(begun as u32, waiting as u32, now);
    }
}

impl Pool {
    fn new(noise: f64, seed: u64) -> Pool {
        Pool {
            engines: (0..REPLICAS).map(|_| Engine::new()).collect(),
            rng: Rng::with_seed(seed),
            noise,
            steps: 0,
        }
    }

    /// Runs for some seconds; returns the mean utilisation of the pool, the least of any
    /// two seconds, and the mean limit.
    fn run(&mut self, secs: u32) -> (f64, f64, f64) {
        let (mut all, mut least, mut limits) = (0.0, 1.0_f64, 0.0);
        for _ in 0..secs / 2 {
            self.engines
                .iter_mut()
                .for_each(|e| (e.used, e.limits) = (0.0, 0.0));
            let steps = (2.0 / STEP) as u64;
            for _ in 0..steps {
                self.step();
            }
            let mean = |pick: fn(&Engine) -> f64| {
                let sum: f64 = self.engines.iter().map(pick).sum();
                sum / (steps as f64 * REPLICAS as f64)
            };
            let used = mean(|e| e.used);
            all += used;
            least = least.min(used);
            limits += mean(|e| e.limits);
        }
        let n = f64::from(secs / 2);
        (all / n, least, limits / n)
    }

    fn step(&mut self) {
        self.steps += 1;
        let now = Time((self.steps as f64 * STEP * 1e6) as u64);
        for i in 0..REPLICAS {
            let probing = self.engines.iter().any(|e| e.limit.is_probing());
            let e = &mut self.engines[i];
            e.limit.allow_probe(!probing);
            e.step(self.noise, &mut self.rng);
            for router in 0..ROUTERS {
                if self.steps % 50 == router as u64 * 6 {
                    e.report(router, now);
                }
            }
        }
    }
}

#[test]
fn sample_keeps_a_backlogged_pool_used() {
    // Importers wait in every router's queue while a fifth of the engines' slots stand
    // idle. Requests before their first token were taken for a queue inside the engine, and
    // all replicas looked for their floor at the same moment, each by a fourth of its slots.
    for seed in 0..5 {
        for noise in [0.0, 0.2] {
            let mut pool = Pool::new(noise, seed);
            let (start, low, limit) = pool.run(30);
            println!("start seed {seed} noise {noise}: {start:.3} least {low:.3} limit {limit:.1}");
            assert!(start >= 0.98 && low >= 0.97, "seed {seed}: {start} {low}");
            let (used, low, limit) = pool.run(120);
            println!("then  seed {seed} noise {noise}: {used:.3} least {low:.3} limit {limit:.1}");
            assert!(used >= 0.985 && low >= 0.97, "seed {seed}: {used} {low}");
            assert!((8.0..=10.0).contains(&limit), "seed {seed}: {limit}");
        }
    }
}

/// Returns utilisation, its least and the mean limit of one engine after a fault, among nine
/// that are well.
fn after_fault(seed: u64, fault: fn(&mut Engine)) -> (f64, f64, f64) {
    let mut pool = Pool::new(0.2, seed);
    pool.run(60);
    fault(&mut pool.engines[0]);
    pool.run(20);
    let (mut all, mut least, mut limits) = (0.0, 1.0_f64, 0.0);
    for _ in 0..20 {
        let (used, low, _) = pool.run(2);
        all += used;
        least = least.min(low);
        limits += pool.engines[0].limits * STEP / 2.0;
    }
    (all / 20.0, least, limits / 20.0)
}

#[test]
fn sample_follows_one_slow_engine_of_a_pool() {
    // One engine of ten is throttled or loses half of its memory. The pool stays used, and
    // the engine is neither left idle nor given twice what it can run.
    for seed in 0..5 {
        let (used, low, limit) = after_fault(seed, |e| e.slow = 2.0);
        println!("slow seed {seed}: {used:.3} least {low:.3} limit {limit:.1}");
        assert!(used >= 0.98 && low >= 0.95, "seed {seed}: {used} {low}");
        assert!(limit <= 11.0, "seed {seed}: {limit}");
        let (used, low, limit) = after_fault(seed, |e| e.full = 4.0);
        println!("half seed {seed}: {used:.3} least {low:.3} limit {limit:.1}");
        assert!(used >= 0.98 && low >= 0.95, "seed {seed}: {used} {low}");
        assert!((3.5..=6.5).contains(&limit), "seed {seed}: {limit}");
    }
}
