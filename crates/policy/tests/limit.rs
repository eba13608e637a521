//! The concurrency limit of a replica against a model of an engine that batches.

use {
    fastrand::Rng,
    policy::{
        limit::ConcurrencyLimit,
        Slots,
        Span,
        Time, //
    },
};

/// Mean run time in seconds; it bounds how fast the running requests fall after a decrease.
const RUN_TIME: f64 = 8.0;
/// Seconds from one report to the next.
const REPORT_INTERVAL: f64 = 0.25;

/// An engine that runs up to `capacity` requests at `token_time` seconds per token.
struct Engine {
    token_time: f64,
    capacity: f64,
    noise: f64,
    running: f64,
    demand: f64,
    /// Part of a batch step's time that doesn't depend on the number of running requests.
    fixed_part: f64,
    rng: Rng,
    now: f64,
}

impl Engine {
    fn new(capacity: f64, noise: f64, seed: u64) -> Engine {
        Engine {
            token_time: 0.02,
            capacity,
            noise,
            running: 0.0,
            demand: f64::INFINITY,
            fixed_part: 1.0,
            rng: Rng::with_seed(seed),
            now: 0.0,
        }
    }

    /// Runs for some seconds; returns the means of limit and utilisation.
    fn run(&mut self, limit: &mut ConcurrencyLimit, secs: f64) -> (f64, f64) {
        let steps = (secs / REPORT_INTERVAL) as u32;
        let (mut limits, mut used) = (0.0, 0.0);
        for _ in 0..steps {
            self.now += REPORT_INTERVAL;
            let target = f64::from(limit.get().0).min(self.demand);
            let drained = self.running * (1.0 - REPORT_INTERVAL / RUN_TIME);
            self.running = target.max(drained).floor();
            let load = self.running / self.capacity;
            let slowdown = load.max(self.fixed_part + (1.0 - self.fixed_part) * load);
            let gap =
                self.token_time * slowdown * (1.0 + self.noise * (self.rng.f64() * 2.0 - 1.0));
            let first = 0.3 * slowdown * (1.0 + 0.5 * (self.rng.f64() * 2.0 - 1.0));
            limit.record(
                Some(Span((first * 1e6) as u64)),
                Some(Span((gap * 1e6) as u64)),
                Slots(self.running as u32),
                true,
                Time((self.now * 1e6) as u64),
            );
            limits += f64::from(limit.get().0);
            used += (self.running / self.capacity).min(1.0);
        }
        (limits / f64::from(steps), used / f64::from(steps))
    }
}

#[test]
fn sample_converges_near_what_the_engine_can_run() {
    for seed in 0..20 {
        for full in [1.0, 4.0, 16.0, 60.0] {
            let mut limit = ConcurrencyLimit::new(Slots(4));
            let mut e = Engine::new(full, 0.2, seed);
            e.run(&mut limit, 60.0);
            let (mean, used) = e.run(&mut limit, 120.0);
            println!("full {full} seed {seed}: limit {mean:.1}, utilisation {used:.3}");
            assert!(mean <= full * 1.4 + 2.0, "full {full} seed {seed}: {mean}");
            // A probe takes a fourth of a small replica's slots.
            let least = if full < 8.0 { 0.9 } else { 0.97 };
            assert!(used >= least, "full {full} seed {seed}: {used}");
        }
    }
}

#[test]
fn sample_follows_an_engine_that_runs_half_as_many() {
    // An engine loses half of its cache memory. Without a lower limit its answers would take twice
    // as long.
    for seed in 0..20 {
        let mut limit = ConcurrencyLimit::new(Slots(4));
        let mut e = Engine::new(32.0, 0.2, seed);
        e.run(&mut limit, 60.0);
        e.capacity = 16.0;
        e.run(&mut limit, 30.0);
        let (mean, used) = e.run(&mut limit, 60.0);
        println!("half seed {seed}: limit {mean:.1}, utilisation {used:.3}");
        assert!(
            mean <= 16.0 * 1.75 && used >= 0.97,
            "seed {seed}: {mean} {used}"
        );
        e.capacity = 32.0;
        e.run(&mut limit, 30.0);
        let (mean, used) = e.run(&mut limit, 60.0);
        println!("restored seed {seed}: limit {mean:.1}, utilisation {used:.3}");
        assert!(
            mean <= 32.0 * 1.75 && used >= 0.97,
            "seed {seed}: {mean} {used}"
        );
    }
}

#[test]
fn sample_does_not_collapse_when_every_token_is_slower() {
    // A throttled engine takes twice as long for each token at any load. A limit that shrinks until
    // the old latency returns would end at 1 and leave the engine idle.
    for seed in 0..20 {
        let mut limit = ConcurrencyLimit::new(Slots(4));
        let mut e = Engine::new(16.0, 0.2, seed);
        e.run(&mut limit, 60.0);
        e.token_time *= 2.0;
        e.run(&mut limit, 30.0);
        let (mean, used) = e.run(&mut limit, 60.0);
        println!("slow seed {seed}: limit {mean:.1}, utilisation {used:.3}");
        assert!(
            mean <= 16.0 * 1.75 && used >= 0.97,
            "seed {seed}: {mean} {used}"
        );
        e.token_time /= 2.0;
        e.run(&mut limit, 30.0);
        let (mean, used) = e.run(&mut limit, 60.0);
        println!("back seed {seed}: limit {mean:.1}, utilisation {used:.3}");
        assert!(
            mean <= 16.0 * 1.75 && used >= 0.97,
            "seed {seed}: {mean} {used}"
        );
    }
}

#[test]
fn sample_of_an_engine_whose_steps_grow_with_its_batch() {
    // Each request slows the others a little long before the engine is saturated. A limit that
    // stops at the first slowdown would leave most of the engine idle.
    for seed in 0..20 {
        let mut limit = ConcurrencyLimit::new(Slots(4));
        let mut e = Engine::new(40.0, 0.2, seed);
        e.fixed_part = 0.6;
        e.run(&mut limit, 180.0);
        let (mean, used) = e.run(&mut limit, 120.0);
        println!("grow seed {seed}: limit {mean:.1}, utilisation {used:.3}");
        assert!(
            mean <= 40.0 * 1.75 && used >= 0.75,
            "seed {seed}: {mean} {used}"
        );
    }
}

#[test]
fn sample_of_a_rejection() {
    let mut limit = ConcurrencyLimit::new(Slots(10));
    for i in 0..6 {
        limit.record(
            None,
            None,
            Slots(10),
            false,
            Time(0) + Span::millis(250 * i),
        );
    }
    assert_eq!(limit.get(), Slots(7));
    for i in 0..200 {
        limit.record(
            None,
            None,
            Slots(1),
            false,
            Time(0) + Span::millis(2000 + 250 * i),
        );
    }
    assert_eq!(limit.get(), Slots(1));
}

#[test]
fn sample_leaves_the_limit_while_it_is_not_in_use() {
    let mut limit = ConcurrencyLimit::new(Slots(8));
    let mut e = Engine::new(16.0, 0.1, 1);
    e.demand = 2.0;
    e.run(&mut limit, 60.0);
    assert_eq!(limit.get(), Slots(8));
}

#[test]
fn sample_when_the_load_ends_during_a_probe() {
    // Guards against a limit that falls to 1 while a replica is idle: a probe that saw no requests,
    // as the load had just ended, was taken for a replica that had become faster, repeatedly.
    let mut limit = ConcurrencyLimit::new(Slots(8));
    let mut e = Engine::new(8.0, 0.0, 1);
    while !limit.is_probing() {
        e.run(&mut limit, REPORT_INTERVAL);
        assert!(e.now < 600.0, "no probe was started");
    }
    for i in 1..400 {
        let now = Time(((e.now + REPORT_INTERVAL * f64::from(i)) * 1e6) as u64);
        limit.record(None, None, Slots(0), true, now);
    }
    assert!(limit.get() >= Slots(8), "{}", limit.get());
}

#[test]
fn load_with_requests_that_wait_inside_the_engine() {
    let mut limit = ConcurrencyLimit::new(Slots(40));
    limit.record_load(8, 12, Time(0));
    assert_eq!(limit.get(), Slots(20), "all that is inside");
    limit.record_load(4, 12, Time(0) + Span::millis(500));
    assert_eq!(limit.get(), Slots(20), "the report lags");
    limit.record_load(0, 0, Time(0) + Span::secs(5));
    assert_eq!(limit.get(), Slots(20));
}

#[test]
fn load_with_requests_before_their_first_token() {
    // Guards against idle slots (a fifth of a pool) while requests are queued: an engine that
    // admits every request counts it as waiting until its first token, and the limit was cut to
    // the rest.
    let mut limit = ConcurrencyLimit::new(Slots(8));
    for s in 0..20 {
        limit.record_load(5, 3, Time(0) + Span::secs(s));
        limit.record_load(8, 0, Time(0) + Span::secs(s));
    }
    assert_eq!(limit.get(), Slots(8));
}

#[test]
fn with_max_bounds_the_limit() {
    let mut limit = ConcurrencyLimit::new(Slots(4)).with_max(Slots(6));
    Engine::new(100.0, 0.0, 1).run(&mut limit, 30.0);
    assert_eq!(limit.get(), Slots(6));
}
