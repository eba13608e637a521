//! Figures of the decisions alone, for tuning: `cargo test --test measure -- --ignored --nocapture`.

mod fleet;

use {
    fleet::{
        rules,
        Fleet,
        Load, //
    },
    policy::Mode,
};

const ROUTERS: usize = 8;
const WORKSPACES: usize = 16;

fn skewed(rng: &mut fastrand::Rng) -> Load {
    let callers = (0..WORKSPACES)
        .map(|w| {
            let mut at = vec![0; ROUTERS];
            let many = if w < 4 { 60 } else { 6 + w };
            let homes = if w < 4 { 3 } else { 1 + w % 3 };
            for _ in 0..many {
                at[(w * 3 + rng.usize(..homes)) % ROUTERS] += 1;
            }
            at
        })
        .collect();
    Load { callers }
}

struct Figures {
    gap: f64,
    drift: f64,
    used: f64,
    bytes: u64,
    messages: u64,
    served: f64,
}

fn run(mode: Mode, ms: (u64, u64), secs: u64) -> Figures {
    let mut f = Fleet::new(1, ROUTERS, 10, WORKSPACES, rules(mode, 8));
    let mut rng = fastrand::Rng::with_seed(5);
    let load = skewed(&mut rng);
    let mut span: Vec<(f64, f64)> = vec![(f64::MAX, f64::MIN); WORKSPACES * WORKSPACES];
    let (mut busy, mut slots) = (0u64, 0u64);
    for step in 0..secs * 100 {
        load.ask(&mut f, ms);
        f.step();
        if step < 200 {
            continue;
        }
        busy += u64::from(f.busy());
        slots += u64::from(f.slots());
        for i in 0..WORKSPACES {
            for j in 0..i {
                let d = f.served[i] - f.served[j];
                let s = &mut span[i * WORKSPACES + j];
                *s = (s.0.min(d), s.1.max(d));
            }
        }
    }
    let gap = span
        .iter()
        .filter(|s| s.0 <= s.1)
        .map(|s| s.1 - s.0)
        .fold(0.0, f64::max);
    let most = f.served.iter().copied().fold(0.0, f64::max);
    let least = f.served.iter().copied().fold(f64::MAX, f64::min);
    let sent = |n: &Option<fleet::Node>| n.as_ref().map_or(0, |n| n.sent);
    let msgs = |n: &Option<fleet::Node>| n.as_ref().map_or(0, |n| n.messages);
    Figures {
        gap,
        drift: most - least,
        used: busy as f64 / slots as f64,
        bytes: f.nodes.iter().map(sent).max().unwrap() / secs,
        messages: f.nodes.iter().map(msgs).max().unwrap() / secs,
        served: f.served.iter().sum(),
    }
}

#[test]
#[ignore = "prints figures, proves nothing"]
fn measure_modes() {
    for ms in [(200, 800), (20, 60), (1000, 5000)] {
        for mode in [Mode::Static, Mode::Alone, Mode::Fleet] {
            let f = run(mode, ms, 30);
            println!(
                "{ms:?} {mode:?}: gap {:.1} end {:.1} used {:.3} sent {} B/s {} msg/s served {:.0}",
                f.gap, f.drift, f.used, f.bytes, f.messages, f.served
            );
        }
    }
}
