//! Figures of the decisions alone, for tuning: `cargo test --test measure -- --ignored --nocapture`.

mod fleet;

use {
    fleet::{
        rules,
        Fleet,
        Load,
        Node, //
    },
    policy::{
        Mode,
        Span,
        Time, //
    },
};

/// What is measured, and at what size.
#[derive(Debug, Clone, Copy)]
struct Size {
    routers: usize,
    replicas: usize,
    workspaces: usize,
}

const TODAY: Size = Size {
    routers: 8,
    replicas: 10,
    workspaces: 16,
};
const SLOTS: u32 = 8;
const WARM: u64 = 200;

/// A few large workspaces at three routers each, many small ones at one to three.
fn skewed(size: Size) -> Load {
    let mut rng = fastrand::Rng::with_seed(5);
    let callers = (0..size.workspaces)
        .map(|w| {
            let mut at = vec![0; size.routers];
            let large = w < size.workspaces / 4;
            let many = if large { 60 } else { 6 + w % 16 };
            let homes = if large { 3 } else { 1 + w % 3 };
            for _ in 0..many {
                at[(w * 3 + rng.usize(..homes)) % size.routers] += 1;
            }
            at
        })
        .collect();
    Load { callers }
}

/// Bytes that the busiest router sends and takes in a second, and its messages.
fn traffic(f: &Fleet, secs: u64) -> (u64, u64) {
    let bytes = |n: &Node| n.sent + n.taken;
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
        load.ask(&mut f, ms);
        f.step();
        if step < WARM {
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
            run(TODAY, mode, ms, 30);
        }
    }
}

#[test]
#[ignore = "prints figures, proves nothing"]
fn measure_sizes() {
    let ms = (200, 800);
    for routers in [4, 8, 14, 28] {
        run(Size { routers, ..TODAY }, Mode::Fleet, ms, 15);
    }
    for workspaces in [64, 256] {
        run(
            Size {
                workspaces,
                ..TODAY
            },
            Mode::Fleet,
            ms,
            15,
        );
    }
    for replicas in [20, 60] {
        run(Size { replicas, ..TODAY }, Mode::Fleet, ms, 15);
    }
}

/// Requests that arrive one by one at half of what the replicas can do.
#[test]
#[ignore = "prints figures, proves nothing"]
fn measure_calm() {
    for (part, ms) in [(0.3, 400), (0.7, 400), (0.95, 400), (0.7, 40)] {
        for mode in [Mode::Static, Mode::Fleet] {
            let mut f = Fleet::new(1, TODAY.routers, TODAY.replicas, 16, rules(mode, SLOTS));
            let rate = f64::from(f.slots()) / (ms as f64 / 1000.0) * part;
            let secs = 20;
            let mut due = Time(0) + Span::secs(1);
            while f.now < Time(0) + Span::secs(secs) {
                f.step();
                while due < f.now {
                    due += Span((-f.rng.f64().max(1e-9).ln() / rate * 1e6) as u64);
                    // Two of three callers use the first three routers.
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
                "{part} {ms} {mode:?}: wait p50 {} p95 {} p99 {} ms, {bytes} B/s {messages} sent/s",
                at(0.5),
                at(0.95),
                at(0.99)
            );
        }
    }
}
