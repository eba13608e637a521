//! Prints performance figures of the dispatcher alone:
//! `cargo test --test measure -- --ignored --nocapture`.

mod fleet;

use {
    fleet::{
        rules,
        ClosedLoopLoad,
        Fleet,
        Node, //
    },
    policy::{
        Mode,
        Span,
        Time, //
    },
};

/// Size of a measured fleet.
#[derive(Debug, Clone, Copy)]
struct Size {
    routers: usize,
    replicas: usize,
    workspaces: usize,
}

const BASE_SIZE: Size = Size {
    routers: 8,
    replicas: 10,
    workspaces: 16,
};
const SLOTS: u32 = 8;
const WARMUP_STEPS: u64 = 200;

/// Load of a few large workspaces at three routers each, and many small ones at one to three.
fn skewed(size: Size) -> ClosedLoopLoad {
    let mut rng = fastrand::Rng::with_seed(5);
    let callers = (0..size.workspaces)
        .map(|w| {
            let mut at = vec![0; size.routers];
            let large = w < size.workspaces / 4;
            let many = if large { 60 } else { 6 + w % 16 };
            let spread = if large { 3 } else { 1 + w % 3 };
            for _ in 0..many {
                at[(w * 3 + rng.usize(..spread)) % size.routers] += 1;
            }
            at
        })
        .collect();
    ClosedLoopLoad { callers }
}

/// Returns the bytes and messages per second of the busiest router, sent and received.
fn traffic(f: &Fleet, secs: u64) -> (u64, u64) {
    let bytes = |n: &Node| n.sent_bytes + n.received_bytes;
    let nodes = || f.nodes.iter().flatten();
    let most = nodes().map(bytes).max().unwrap();
    (
        most / secs,
        nodes().map(|n| n.messages).max().unwrap() / secs,
    )
}

fn run(size: Size, mode: Mode, ms: (u64, u64), secs: u64) {
    let mut f = Fleet::new(
        1,
        size.routers,
        size.replicas,
        size.workspaces,
        rules(mode, SLOTS),
    );
    let load = skewed(size);
    let n = size.workspaces;
    let mut span: Vec<(f64, f64)> = vec![(f64::MAX, f64::MIN); n * n];
    let (mut busy, mut slots) = (0u64, 0u64);
    for step in 0..secs * 100 {
        load.submit_missing(&mut f, ms);
        f.step();
        if step < WARMUP_STEPS {
            continue;
        }
        busy += u64::from(f.busy());
        slots += u64::from(f.slots());
        for i in 0..n {
            for j in 0..i {
                let d = f.served[i] - f.served[j];
                let s = &mut span[i * n + j];
                *s = (s.0.min(d), s.1.max(d));
            }
        }
    }
    let widths = span.iter().filter(|s| s.0 <= s.1).map(|s| s.1 - s.0);
    let gap = widths.fold(0.0, f64::max);
    let (bytes, messages) = traffic(&f, secs);
    let used = busy as f64 / slots as f64;
    println!("{size:?} {ms:?} {mode:?}: gap {gap:.1} used {used:.3} {bytes} B/s {messages} sent/s");
}

#[test]
#[ignore = "prints figures, proves nothing"]
fn measure_modes() {
    for ms in [(200, 800), (20, 60), (1000, 5000)] {
        for mode in [Mode::Static, Mode::Alone, Mode::Fleet] {
            run(BASE_SIZE, mode, ms, 30);
        }
    }
}

#[test]
#[ignore = "prints figures, proves nothing"]
fn measure_sizes() {
    let ms = (200, 800);
    for routers in [4, 8, 14, 28] {
        run(
            Size {
                routers,
                ..BASE_SIZE
            },
            Mode::Fleet,
            ms,
            15,
        );
    }
    for workspaces in [64, 256] {
        run(
            Size {
                workspaces,
                ..BASE_SIZE
            },
            Mode::Fleet,
            ms,
            15,
        );
    }
    for replicas in [20, 60] {
        run(
            Size {
                replicas,
                ..BASE_SIZE
            },
            Mode::Fleet,
            ms,
            15,
        );
    }
}

/// Open loop: requests arrive at random times, at a rate below the capacity.
#[test]
#[ignore = "prints figures, proves nothing"]
fn measure_below_capacity() {
    for (load, ms) in [(0.3, 400), (0.7, 400), (0.95, 400), (0.7, 40)] {
        for mode in [Mode::Static, Mode::Fleet] {
            let mut f = Fleet::new(
                1,
                BASE_SIZE.routers,
                BASE_SIZE.replicas,
                16,
                rules(mode, SLOTS),
            );
            let rate = f64::from(f.slots()) / (ms as f64 / 1000.0) * load;
            let secs = 20;
            let mut due = Time(0) + Span::secs(1);
            while f.now < Time(0) + Span::secs(secs) {
                f.step();
                while due < f.now {
                    due += Span((-f.rng.f64().max(1e-9).ln() / rate * 1e6) as u64);
                    // Two of three requests arrive at the first three routers.
                    let at = if f.rng.u8(..3) < 2 {
                        f.rng.usize(..3)
                    } else {
                        f.rng.usize(..8)
                    };
                    let (w, run) = (f.rng.usize(..16), f.rng.u64(ms / 2..ms * 3 / 2));
                    f.submit(at, w, Span::millis(run), 1.0, 1.0, Span::secs(20));
                }
            }
            let mut waits: Vec<u64> = f.ended.iter().map(|e| e.waited.as_millis()).collect();
            waits.sort_unstable();
            let at = |p: f64| waits[((waits.len() - 1) as f64 * p) as usize];
            let (bytes, messages) = traffic(&f, secs);
            println!(
                "{load} {ms} {mode:?}: wait p50 {} p95 {} p99 {} ms, {bytes} B/s {messages} sent/s",
                at(0.5),
                at(0.95),
                at(0.99)
            );
        }
    }
}
