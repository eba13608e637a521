//! Concurrency limits of a constantly backlogged pool, with samples as routers report them.

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
/// Number of requests that an engine runs at full speed.
const CAPACITY: f64 = 8.0;
/// Times to the first token and between tokens of a request that runs alone.
const FIRST_TOKEN_SECS: f64 = 0.05;
const TOKEN_GAP_SECS: f64 = 0.04;

struct Request {
    router: usize,
    tokens: u32,
    remaining: u32,
    /// Seconds until its next token.
    next_token: f64,
    /// Seconds since its last token.
    token_age: f64,
}

/// What a router has observed of a replica since its last report.
#[derive(Default, Clone)]
struct Observed {
    first_sum: f64,
    gap_sum: f64,
    gap_count: u32,
    first_count: u32,
    /// Running requests, by its last report.
    running: u32,
}

struct Engine {
    capacity: f64,
    slowdown: f64,
    requests: Vec<Request>,
    observed: Vec<Observed>,
    limit: ConcurrencyLimit,
    utilisation: f64,
    limit_sum: f64,
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
            capacity: CAPACITY,
            slowdown: 1.0,
            requests: Vec::new(),
            observed: vec![Observed::default(); ROUTERS],
            limit: ConcurrencyLimit::new(Slots(CAPACITY as u32)),
            utilisation: 0.0,
            limit_sum: 0.0,
        }
    }

    /// Returns the time to the next token as a multiple of that of a request that runs alone.
    fn stretch(&self, noise: f64, rng: &mut Rng) -> f64 {
        let batch = (self.requests.len() as f64 / self.capacity).max(1.0);
        self.slowdown * batch * (1.0 + noise * (rng.f64() * 2.0 - 1.0))
    }

    fn step(&mut self, noise: f64, rng: &mut Rng) {
        while self.requests.len() < self.limit.get().0 as usize {
            let tokens = rng.u32(16..=64);
            self.requests.push(Request {
                router: rng.usize(..ROUTERS),
                tokens,
                remaining: tokens,
                next_token: FIRST_TOKEN_SECS * self.stretch(noise, rng),
                token_age: 0.0,
            });
        }
        let stretch = self.stretch(noise, rng);
        for r in &mut self.requests {
            r.token_age += STEP;
            r.next_token -= STEP;
            if r.next_token > 0.0 {
                continue;
            }
            let observed = &mut self.observed[r.router];
            if r.remaining == r.tokens {
                observed.first_sum += r.token_age;
                observed.first_count += 1;
            } else {
                observed.gap_sum += r.token_age;
                observed.gap_count += 1;
            }
            r.token_age = 0.0;
            r.remaining -= 1;
            r.next_token += TOKEN_GAP_SECS * stretch;
        }
        self.utilisation += (self.requests.len() as f64).min(self.capacity) / self.capacity;
        self.limit_sum += f64::from(self.limit.get().0);
        self.requests.retain(|r| r.remaining > 0);
    }

    fn report(&mut self, router: usize, now: Time) {
        let running = self.requests.iter().filter(|r| r.router == router).count();
        let observed = std::mem::take(&mut self.observed[router]);
        self.observed[router].running = running as u32;
        let all = self.observed.iter().map(|s| s.running).sum();
        let mean = |sum: f64, n: u32| (n > 0).then(|| Span((sum / f64::from(n) * 1e6) as u64));
        let (first, gap) = (
            mean(observed.first_sum, observed.first_count),
            mean(observed.gap_sum, observed.gap_count),
        );
        self.limit.record(first, gap, Slots(all), true, now);
        let waiting = self
            .requests
            .iter()
            .filter(|r| r.remaining == r.tokens)
            .count();
        let started = self.requests.len() - waiting;
        self.limit.record_load(started as u32, waiting as u32, now);
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

    /// Runs for some seconds; returns the mean utilisation of the pool, the lowest in any two
    /// seconds, and the mean limit.
    fn run(&mut self, secs: u32) -> (f64, f64, f64) {
        let (mut all, mut least, mut limits) = (0.0, 1.0_f64, 0.0);
        for _ in 0..secs / 2 {
            self.engines
                .iter_mut()
                .for_each(|e| (e.utilisation, e.limit_sum) = (0.0, 0.0));
            let steps = (2.0 / STEP) as u64;
            for _ in 0..steps {
                self.step();
            }
            let mean = |pick: fn(&Engine) -> f64| {
                let sum: f64 = self.engines.iter().map(pick).sum();
                sum / (steps as f64 * REPLICAS as f64)
            };
            let used = mean(|e| e.utilisation);
            all += used;
            least = least.min(used);
            limits += mean(|e| e.limit_sum);
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
    // Guards against a fifth of the engines' slots being idle while requests are queued at every
    // router: requests before their first token counted as a queue inside the engine, and all
    // replicas probed their baselines at the same time, each with a fourth of its slots.
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

/// Returns the mean and the lowest utilisation of the pool, and the mean limit of the one engine
/// of ten that has a fault.
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
        limits += pool.engines[0].limit_sum * STEP / 2.0;
    }
    (all / 20.0, least, limits / 20.0)
}

#[test]
fn sample_follows_one_slow_engine_of_a_pool() {
    // One engine of ten is throttled or loses half of its memory. The pool stays in use, and the
    // engine neither idles nor gets twice as many requests as it can run.
    for seed in 0..5 {
        let (used, low, limit) = after_fault(seed, |e| e.slowdown = 2.0);
        println!("slow seed {seed}: {used:.3} least {low:.3} limit {limit:.1}");
        assert!(used >= 0.98 && low >= 0.95, "seed {seed}: {used} {low}");
        assert!(limit <= 11.0, "seed {seed}: {limit}");
        let (used, low, limit) = after_fault(seed, |e| e.capacity = 4.0);
        println!("half seed {seed}: {used:.3} least {low:.3} limit {limit:.1}");
        assert!(used >= 0.98 && low >= 0.95, "seed {seed}: {used} {low}");
        assert!((3.5..=6.5).contains(&limit), "seed {seed}: {limit}");
    }
}
