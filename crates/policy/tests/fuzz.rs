//! Fuzzing of several routers' decisions against an oracle that knows the whole.
//!
//! `CHERVILWIND_FUZZ_CASES=2000 cargo test --release --test fuzz` runs longer;
//! `CHERVILWIND_FUZZ_SEED` draws other cases.

mod fleet;

use {
    fleet::{
        oracle::{
            Oracle,
            COST_MAX,
            RUN_MAX, //
        },
        rules,
        Fleet,
        Net, //
    },
    policy::{
        Mode,
        Rules,
        Share,
        Span,
        Units,
        WorkspaceShare, //
    },
    proptest::{
        prelude::*,
        test_runner::{
            RngSeed,
            TestError, //
        },
    },
    proptest_state_machine::{
        ReferenceStateMachine,
        StateMachineTest, //
    },
    std::{
        collections::BTreeSet,
        sync::Arc, //
    },
};

const ROUTERS: usize = 4;
const REPLICAS: usize = 3;
const SLOTS: u32 = 3;
const WORKSPACES: usize = 5;
const CASES: u32 = 24;
const SEED: u64 = 20;

/// What the tests' world does next.
#[derive(Debug, Clone)]
enum Step {
    /// Requests of one workspace arrive at one router.
    Ask {
        router: usize,
        workspace: usize,
        many: usize,
        run: u64,
        hint: f64,
        window: u64,
    },
    /// Time passes, in ticks.
    Pass(u16),
    /// A caller hangs up.
    Cancel(usize),
    /// A router dies; the others notice after some ticks.
    Kill(usize, u16),
    /// A router starts, or starts again, with empty memory.
    Boot(usize),
    Leave(usize),
    /// Some routers are cut off; all notice after some ticks.
    Cut(BTreeSet<usize>, u16),
    Heal,
    /// A replica is marked as leaving or as back; routers learn it after some ticks.
    Mark(usize, bool, u8),
    Weather {
        jitter: u64,
        loss: u8,
        double: u8,
    },
    Clear,
}

/// What decides which steps make sense.
#[derive(Debug, Clone)]
struct World {
    up: BTreeSet<usize>,
    cut: bool,
    bad: bool,
    gone: BTreeSet<usize>,
}

impl ReferenceStateMachine for World {
    type State = World;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<World> {
        let up = (0..ROUTERS).collect();
        Just(World {
            up,
            cut: false,
            bad: false,
            gone: BTreeSet::new(),
        })
        .boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Step> {
        let ask = (
            0..ROUTERS,
            0..WORKSPACES,
            1..40usize,
            20..RUN_MAX.as_millis(),
            0.3..3.0,
            prop_oneof![Just(60_000u64), 500..3_000u64],
        )
            .prop_map(|(router, workspace, many, run, hint, window)| Step::Ask {
                router,
                workspace,
                many,
                run,
                hint,
                window,
            });
        prop_oneof![
            24 => ask,
            24 => (1..150u16).prop_map(Step::Pass),
            4 => (700..1200u16).prop_map(Step::Pass),
            2 => (0..ROUTERS).prop_map(Step::Cancel),
            1 => (0..ROUTERS, 0..200u16).prop_map(|(n, t)| Step::Kill(n, t)),
            2 => (0..ROUTERS).prop_map(Step::Boot),
            1 => (0..ROUTERS).prop_map(Step::Leave),
            1 => (prop::collection::btree_set(0..ROUTERS, 1..ROUTERS), 0..200u16)
                .prop_map(|(cut, t)| Step::Cut(cut, t)),
            2 => Just(Step::Heal),
            2 => (0..REPLICAS, any::<bool>(), 0..100u8).prop_map(|(n, l, t)| Step::Mark(n, l, t)),
            1 => (0..20u64, 0..30u8, 0..30u8)
                .prop_map(|(jitter, loss, double)| Step::Weather { jitter, loss, double }),
            2 => Just(Step::Clear),
        ]
        .boxed()
    }

    fn preconditions(w: &World, step: &Step) -> bool {
        match step {
            Step::Kill(n, _) | Step::Leave(n) => w.up.contains(n) && w.up.len() > 2,
            Step::Boot(n) => !w.up.contains(n),
            Step::Cut(..) => !w.cut,
            Step::Heal => w.cut,
            Step::Clear => w.bad,
            Step::Mark(n, leaving, _) => {
                w.gone.contains(n) != *leaving && (!leaving || w.gone.len() + 1 < REPLICAS)
            }
            _ => true,
        }
    }

    fn apply(mut w: World, step: &Step) -> World {
        match step {
            Step::Kill(n, _) | Step::Leave(n) => {
                w.up.remove(n);
            }
            Step::Boot(n) => {
                w.up.insert(*n);
            }
            Step::Cut(..) => w.cut = true,
            Step::Heal => w.cut = false,
            Step::Mark(n, true, _) => {
                w.gone.insert(*n);
            }
            Step::Mark(n, false, _) => {
                w.gone.remove(n);
            }
            Step::Weather { .. } => w.bad = true,
            Step::Clear => w.bad = false,
            _ => {}
        }
        w
    }
}

/// Rules with shares that differ and a window for urgent work.
fn uneven() -> Rules {
    let mut rules = rules(Mode::Fleet, SLOTS);
    let share = |(n, share)| WorkspaceShare {
        workspace: fleet::workspace(n),
        share: Share::try_from(share).unwrap(),
        queue: None,
    };
    let shares = [(1, 2.0), (2, 0.5)].map(share);
    rules.services[0].shares = Arc::new(shares.to_vec());
    rules.services[0].window = Units(2.0);
    rules
}

/// The routers, and who judges them.
struct Judged {
    fleet: Fleet,
    oracle: Oracle,
    asked: usize,
}

impl Judged {
    fn pass(&mut self, ticks: u16) {
        for _ in 0..ticks {
            self.fleet.step();
            if !self.fleet.cut.is_empty() || !self.fleet.net.clear() {
                self.oracle.fault(self.fleet.now);
            }
            self.oracle.judge(&self.fleet);
        }
    }

    /// Lets time pass until a fault is noticed.
    fn unnoticed(&mut self, ticks: u16) {
        for _ in 0..ticks {
            self.oracle.fault(self.fleet.now);
            self.pass(1);
        }
        self.fleet.tell_routers();
    }

    fn ask(&mut self, step: Step) {
        let Step::Ask {
            router,
            workspace,
            many,
            run,
            hint,
            window,
        } = step
        else {
            return;
        };
        if self.fleet.nodes[router].is_none() {
            return;
        }
        let cost = run as f64 / RUN_MAX.as_millis() as f64 * COST_MAX;
        for _ in 0..many {
            self.asked += 1;
            self.fleet.submit(
                router,
                workspace,
                Span::millis(run),
                cost,
                cost * hint,
                Span::millis(window),
            );
        }
    }
}

struct Routers;

impl StateMachineTest for Routers {
    type SystemUnderTest = Judged;
    type Reference = World;

    fn init_test(_: &World) -> Judged {
        let mut judged = Judged {
            fleet: Fleet::new(3, ROUTERS, REPLICAS, WORKSPACES, uneven()),
            oracle: Oracle::default(),
            asked: 0,
        };
        judged.pass(100);
        judged
    }

    fn apply(mut s: Judged, _: &World, step: Step) -> Judged {
        let calm = matches!(step, Step::Ask { .. } | Step::Pass(_) | Step::Cancel(_));
        match step {
            Step::Ask { .. } => s.ask(step),
            Step::Pass(ticks) => s.pass(ticks),
            Step::Cancel(n) => s.fleet.cancel(n),
            Step::Kill(n, after) => {
                s.fleet.kill(n);
                s.unnoticed(after);
            }
            Step::Boot(n) => {
                s.fleet.kill(n);
                s.fleet.boot(n);
            }
            Step::Leave(n) => s.fleet.leave(n),
            Step::Cut(cut, after) => {
                s.fleet.cut = cut;
                s.unnoticed(after);
            }
            Step::Heal => s.fleet.partition(BTreeSet::new()),
            Step::Mark(n, leaving, after) => {
                s.fleet.mark(n, leaving);
                s.oracle.fault(s.fleet.now);
                s.pass(u16::from(after));
                s.fleet.tell_replicas();
                s.oracle.fault(s.fleet.now);
                return s;
            }
            Step::Weather {
                jitter,
                loss,
                double,
            } => {
                s.fleet.net = Net {
                    delay: Span(1_500),
                    jitter: Span::millis(jitter),
                    loss,
                    double,
                }
            }
            Step::Clear => s.fleet.net = Net::CLEAR,
        }
        if !calm {
            s.oracle.fault(s.fleet.now);
        }
        s
    }

    /// Every request that was taken in has one end.
    fn teardown(mut s: Judged) {
        s.fleet.net = Net::CLEAR;
        s.fleet.partition(BTreeSet::new());
        s.oracle.fault(s.fleet.now);
        for _ in 0..70 {
            s.pass(100);
        }
        println!("largest gap {:.2} of the bound", s.oracle.gap);
        let open: usize = s.fleet.nodes.iter().flatten().map(|n| n.open.len()).sum();
        assert_eq!(open, 0, "requests without an end");
        assert_eq!(
            s.asked,
            s.fleet.ended.len() + s.fleet.lost,
            "requests with two ends"
        );
    }
}

fn env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn routers_hold_what_must_hold() {
    let cases = env("CHERVILWIND_FUZZ_CASES").map_or(CASES, |n| n as u32);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(env("CHERVILWIND_FUZZ_SEED").unwrap_or(SEED)),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    let strategy = World::sequential_strategy(10..60);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        Routers::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    match result {
        Ok(()) => {}
        Err(TestError::Fail(why, (_, steps, _))) => {
            let steps: Vec<String> = steps.iter().map(|s| format!("{s:?}")).collect();
            panic!("{why}\n{}", steps.join("\n"));
        }
        Err(e) => panic!("{e}"),
    }
}
