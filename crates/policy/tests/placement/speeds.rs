//! Reading speeds that routers share.

use {
    fastrand::Rng,
    policy::{
        placement::{
            FleetSpeeds,
            Reading,
            ReplicaKey,
            SpeedReport,
            Speeds, //
        },
        Span,
        Time, //
    },
};

const ENGINE: ReplicaKey = ReplicaKey(1);
/// Time to the first event that is not spent on reading.
const OVERHEAD_MS: f64 = 25.0;

/// When the fleet starts: later than the longest prompt takes.
const START: Time = Time(2_000_000);

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn reading(sent_at: Time, tokens: u64) -> Reading {
    Reading {
        sent_at,
        unread: tokens,
        own: tokens,
    }
}

fn took(tokens: u64, speed: f64) -> Span {
    Span(((tokens as f64 / speed + OVERHEAD_MS) * 1e3) as u64)
}

/// Sends a prompt of 3,000 tokens that is read at this speed.
fn sample(speeds: &mut FleetSpeeds, engine: ReplicaKey, speed: f64, sent_at: Time) {
    let reading = reading(sent_at, 3_000);
    speeds.start(engine, reading);
    speeds.record(engine, reading, sent_at + took(3_000, speed));
}

fn report(speed: u16, samples: u8) -> [SpeedReport; 1] {
    [SpeedReport {
        replica: ENGINE,
        speed,
        samples,
    }]
}

fn is_close(estimate: f64, actual: f64) -> bool {
    (actual / 1.5..=actual * 1.5).contains(&estimate)
}

/// A router, with its estimates and with the one that is not shared.
#[derive(Debug, Default)]
struct Router {
    shared: FleetSpeeds,
    alone: Speeds,
}

/// 140 engines and 15 routers with 500 samples a second in all. Engines have three speeds, and are
/// 2.5 times as slow for 15% of the time. Reports arrive after 300 ms, and one in 100 is lost.
#[derive(Debug)]
struct Fleet {
    routers: Vec<Router>,
    slow: Vec<bool>,
    /// Reports with the time of arrival, the sender and the receiver.
    sent: Vec<(Time, u32, usize, Vec<SpeedReport>)>,
    rng: Rng,
}

impl Fleet {
    const ENGINES: usize = 140;
    const ROUTERS: usize = 15;

    fn new(seed: u64) -> Fleet {
        Fleet {
            routers: (0..Fleet::ROUTERS).map(|_| Router::default()).collect(),
            slow: vec![false; Fleet::ENGINES],
            sent: Vec::new(),
            rng: Rng::with_seed(seed),
        }
    }

    fn speed(engine: usize) -> f64 {
        [18.5, 30.9, 49.4][engine % 3]
    }

    fn run(&mut self, ms: u64) {
        for now in (0..ms).step_by(2) {
            if now % 600 == 0 {
                self.slow.fill_with(|| self.rng.f64() < 0.15);
            }
            let time = START + Span::millis(now);
            self.sample(time);
            if now % 300 == 0 {
                self.exchange(time);
            }
        }
    }

    fn sample(&mut self, now: Time) {
        let engine = self.rng.usize(..Fleet::ENGINES);
        let slowdown = if self.slow[engine] { 2.5 } else { 1.0 };
        let tokens = self.rng.u64(1_000..9_000);
        let took = took(tokens, Fleet::speed(engine) / slowdown);
        let router = self.rng.usize(..Fleet::ROUTERS);
        let Router { shared, alone } = &mut self.routers[router];
        let key = ReplicaKey(engine as u32);
        // The first event arrives now.
        let reading = reading(Time(now.0 - took.0), tokens);
        shared.start(key, reading);
        shared.record(key, reading, now);
        alone.record(key, tokens, took);
    }

    fn exchange(&mut self, now: Time) {
        let (due, later) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|(arrives, ..)| *arrives <= now);
        self.sent = later;
        let due: Vec<_> = due;
        for (_, from, to, reports) in due {
            self.routers[to].shared.apply_peer(from, &reports, now);
        }
        for from in 0..Fleet::ROUTERS {
            let reports = self.routers[from].shared.take_reports(300, now);
            for to in (0..Fleet::ROUTERS).filter(|to| *to != from) {
                if self.rng.f64() >= 0.01 {
                    let arrives = now + Span::millis(300);
                    self.sent.push((arrives, from as u32, to, reports.clone()));
                }
            }
            self.routers[from].shared.forget(now);
        }
    }

    /// Returns the lowest number of engines known at a router, given its estimate of an engine.
    fn least_known(&self, of: impl Fn(&Router, ReplicaKey) -> f64) -> usize {
        let known = |router: &Router| {
            let engines = 0..Fleet::ENGINES;
            let close = |e: &usize| is_close(of(router, ReplicaKey(*e as u32)), Fleet::speed(*e));
            engines.filter(close).count()
        };
        self.routers.iter().map(known).min().unwrap()
    }
}

/// Guards against routers that learn alone: each gets less than two samples of an engine in 5 s.
#[test]
fn fleet_speeds_known_within_seconds() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        fleet.run(5_000);
        let shared = fleet.least_known(|r, key| r.shared.of(key, START + Span::secs(5)));
        let alone = fleet.least_known(|r, key| r.alone.of(key));
        println!("seed {seed}: {shared} of 140 known, alone {alone}");
        assert!(shared > Fleet::ENGINES / 2, "{shared}");
        assert!(alone < shared, "{alone}");
    }
}

/// Guards against an engine that stays at the assumed speed for its first twenty samples.
#[test]
fn fleet_speeds_first_samples_weigh_more() {
    let mut speeds = FleetSpeeds::default();
    sample(&mut speeds, ENGINE, 20.0, at(0));
    sample(&mut speeds, ENGINE, 30.0, at(1_000));
    let speed = speeds.of(ENGINE, at(3_000));
    assert!((speed - 25.0).abs() < 0.1, "{speed}");
}

/// Guards against a peer with a fault that makes engines look idle or overloaded to all others.
#[test]
fn fleet_speeds_with_a_nonsense_peer() {
    for speed in [0, u16::MAX] {
        let mut speeds = FleetSpeeds::default();
        speeds.apply_peer(1, &report(speed, u8::MAX), at(0));
        assert!((4.0..=400.0).contains(&speeds.of(ENGINE, at(0))));
        for n in 0..11 {
            sample(&mut speeds, ENGINE, 30.0, at(n));
        }
        assert!(is_close(speeds.of(ENGINE, at(2_000)), 30.0));
        let mut speeds = FleetSpeeds::default();
        speeds.apply_peer(1, &report(speed, u8::MAX), at(0));
        for peer in 2..6 {
            speeds.apply_peer(peer, &report(300, 3), at(0));
        }
        assert!(is_close(speeds.of(ENGINE, at(0)), 30.0));
    }
}

/// Guards against a report without samples that decides the speed of an engine that no other router
/// has measured.
#[test]
fn fleet_speeds_ignore_reports_without_samples() {
    let mut speeds = FleetSpeeds::default();
    let unknown = speeds.of(ENGINE, at(0));
    speeds.apply_peer(1, &report(0, 0), at(0));
    assert_eq!(speeds.of(ENGINE, at(0)), unknown);
    assert!(speeds.range().is_none());
}

/// Guards against a router that keeps using what routers reported from which it is cut off.
#[test]
fn fleet_speeds_of_a_cut_off_router() {
    let mut speeds = FleetSpeeds::default();
    speeds.apply_peer(1, &report(1_000, 10), at(0));
    sample(&mut speeds, ENGINE, 30.0, at(100));
    assert!(!is_close(speeds.of(ENGINE, at(2_000)), 30.0));
    speeds.forget(at(12_000));
    assert!(is_close(speeds.of(ENGINE, at(12_000)), 30.0));
}

/// Guards against an engine that is judged by the speed that it had before it restarted, or by the
/// assumed speed although others are known.
#[test]
fn fleet_speeds_of_a_restarted_engine() {
    let mut speeds = FleetSpeeds::default();
    sample(&mut speeds, ENGINE, 20.0, at(0));
    sample(&mut speeds, ReplicaKey(2), 40.0, at(0));
    let restarted = ReplicaKey(3);
    assert!((speeds.of(restarted, at(2_000)) - 30.0).abs() < 0.1);
    speeds.retain(|key| key != ENGINE);
    assert!((speeds.of(ENGINE, at(2_000)) - 40.0).abs() < 0.1);
}

/// Guards against requests that are sent to an engine while it is slow, and against an engine that
/// is avoided long after it has recovered.
#[test]
fn fleet_speeds_of_a_slow_engine() {
    let mut speeds = FleetSpeeds::default();
    for n in 0..4 {
        sample(&mut speeds, ENGINE, 30.0, at(n * 500));
    }
    let late = reading(at(3_000), 3_000);
    speeds.start(ENGINE, late);
    assert!(is_close(speeds.of(ENGINE, at(3_100)), 30.0));
    let overdue = speeds.of(ENGINE, at(3_325));
    assert!((overdue - 10.0).abs() < 0.1, "{overdue}");
    speeds.end(ENGINE, late, at(3_325));
    assert!((speeds.of(ENGINE, at(3_325)) - 10.0).abs() < 0.1);
    assert!(is_close(speeds.of(ENGINE, at(3_825)), 30.0));
}

/// Guards against speeds that are too high because the engine reads a short prompt in turns with
/// longer ones, and has not read all of them when the first event arrives.
#[test]
fn fleet_speeds_ignore_short_prompts_among_others() {
    let mut speeds = FleetSpeeds::default();
    sample(&mut speeds, ENGINE, 30.0, at(0));
    let short = Reading {
        own: 500,
        ..reading(at(1_000), 9_000)
    };
    speeds.start(ENGINE, short);
    speeds.record(ENGINE, short, at(1_060));
    assert!((speeds.of(ENGINE, at(2_000)) - 30.0).abs() < 0.1);
}

#[test]
fn fleet_speeds_reports_only_new_samples() {
    let mut speeds = FleetSpeeds::default();
    for key in 0..3 {
        sample(&mut speeds, ReplicaKey(key), 30.0, at(0));
    }
    assert_eq!(speeds.take_reports(2, at(200)).len(), 2);
    assert_eq!(speeds.take_reports(2, at(500)).len(), 1);
    assert!(speeds.take_reports(2, at(800)).is_empty());
}

/// Guards against an engine that is avoided forever because it was slow once and gets no more prompts
/// that are long enough for a sample.
#[test]
fn fleet_speeds_own_samples_lapse() {
    let mut speeds = FleetSpeeds::default();
    sample(&mut speeds, ENGINE, 5.0, at(0));
    for n in 2..10 {
        sample(&mut speeds, ReplicaKey(n), 30.0, at(58_000));
    }
    speeds.forget(at(60_000));
    assert!(is_close(speeds.of(ENGINE, at(60_000)), 30.0));
}

/// Guards against an engine that seems to be slow because this router has sent it more prompts, which
/// it reads in turns with the first one.
#[test]
fn fleet_speeds_expect_later_prompts_to_be_read() {
    let mut speeds = FleetSpeeds::default();
    sample(&mut speeds, ENGINE, 30.0, at(0));
    speeds.start(ENGINE, reading(at(1_000), 3_000));
    for n in 1..4 {
        speeds.start(ENGINE, reading(at(1_020 + n), 3_000));
    }
    assert!(is_close(speeds.of(ENGINE, at(1_190)), 30.0));
}
