//! Fuzzing of several routers' decisions against an oracle that sees the complete fleet.
//!
//! `CHERVILWIND_FUZZ_CASES=2000 cargo test --release --test fuzz` runs longer;
//! `CHERVILWIND_FUZZ_SEED` selects other cases.

mod fleet;

use {
    fleet::{
        oracle::{
            Oracle,
            MAX_COST,
            MAX_RUN, //
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

/// One step of a test case.
#[derive(Debug, Clone)]
enum Step {
    /// Requests of one workspace arrive at one router.
    Submit {
        router: usize,
        workspace: usize,
        count: usize,
        run: u64,
        hint: f64,
        timeout_ms: u64,
    },
    /// Time passes, in ticks.
    Advance(u16),
    /// A caller cancels its request.
    Cancel(usize),
    /// A router crashes; the others detect it after some ticks.
    Kill(usize, u16),
    /// A router starts, or restarts, without any state.
    Start(usize),
    Leave(usize),
    /// Some routers are partitioned from the others; all detect it after some ticks.
    Partition(BTreeSet<usize>, u16),
    Heal,
    /// A replica begins or cancels its shutdown; the routers learn of it after some ticks.
    MarkReplica(usize, bool, u8),
    DegradeNetwork {
        jitter: u64,
        loss: u8,
        duplicate: u8,
    },
    RestoreNetwork,
}

/// The state that decides which steps are possible.
#[derive(Debug, Clone)]
struct Model {
    running: BTreeSet<usize>,
    partitioned: bool,
    degraded: bool,
    withdrawn: BTreeSet<usize>,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let running = (0..ROUTERS).collect();
        Just(Model {
            running,
            partitioned: false,
            degraded: false,
            withdrawn: BTreeSet::new(),
        })
        .boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let submit = (
            0..ROUTERS,
            0..WORKSPACES,
            1..40usize,
            20..MAX_RUN.as_millis(),
            0.3..3.0,
            prop_oneof![Just(60_000u64), 500..3_000u64],
        )
            .prop_map(
                |(router, workspace, count, run, hint, timeout_ms)| Step::Submit {
                    router,
                    workspace,
                    count,
                    run,
                    hint,
                    timeout_ms,
                },
            );
        prop_oneof![
            24 => submit,
            24 => (1..150u16).prop_map(Step::Advance),
            4 => (700..1200u16).prop_map(Step::Advance),
            2 => (0..ROUTERS).prop_map(Step::Cancel),
            1 => (0..ROUTERS, 0..200u16).prop_map(|(n, t)| Step::Kill(n, t)),
            2 => (0..ROUTERS).prop_map(Step::Start),
            1 => (0..ROUTERS).prop_map(Step::Leave),
            1 => (prop::collection::btree_set(0..ROUTERS, 1..ROUTERS), 0..200u16)
                .prop_map(|(cut, t)| Step::Partition(cut, t)),
            2 => Just(Step::Heal),
            2 => (0..REPLICAS, any::<bool>(), 0..100u8)
                .prop_map(|(n, l, t)| Step::MarkReplica(n, l, t)),
            1 => (0..20u64, 0..30u8, 0..30u8)
                .prop_map(|(jitter, loss, duplicate)| Step::DegradeNetwork {
                    jitter,
                    loss,
                    duplicate,
                }),
            2 => Just(Step::RestoreNetwork),
        ]
        .boxed()
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        match step {
            Step::Kill(n, _) | Step::Leave(n) => {
                model.running.contains(n) && model.running.len() > 2
            }
            Step::Start(n) => !model.running.contains(n),
            Step::Partition(..) => !model.partitioned,
            Step::Heal => model.partitioned,
            Step::RestoreNetwork => model.degraded,
            Step::MarkReplica(n, leaving, _) => {
                model.withdrawn.contains(n) != *leaving
                    && (!leaving || model.withdrawn.len() + 1 < REPLICAS)
            }
            _ => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::Kill(n, _) | Step::Leave(n) => {
                model.running.remove(n);
            }
            Step::Start(n) => {
                model.running.insert(*n);
            }
            Step::Partition(..) => model.partitioned = true,
            Step::Heal => model.partitioned = false,
            Step::MarkReplica(n, true, _) => {
                model.withdrawn.insert(*n);
            }
            Step::MarkReplica(n, false, _) => {
                model.withdrawn.remove(n);
            }
            Step::DegradeNetwork { .. } => model.degraded = true,
            Step::RestoreNetwork => model.degraded = false,
            _ => {}
        }
        model
    }
}

/// Rules with different shares and an urgency window.
fn uneven_rules() -> Rules {
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

/// The routers, and the oracle that checks them.
struct CheckedFleet {
    fleet: Fleet,
    oracle: Oracle,
    submitted: usize,
}

impl CheckedFleet {
    fn advance(&mut self, ticks: u16) {
        for _ in 0..ticks {
            self.fleet.step();
            if !self.fleet.partitioned.is_empty() || !self.fleet.net.is_reliable() {
                self.oracle.record_fault(self.fleet.now);
            }
            self.oracle.check(&self.fleet);
        }
    }

    /// Advances time until a fault is detected.
    fn advance_undetected(&mut self, ticks: u16) {
        for _ in 0..ticks {
            self.oracle.record_fault(self.fleet.now);
            self.advance(1);
        }
        self.fleet.announce_routers();
    }

    fn submit_requests(&mut self, step: Step) {
        let Step::Submit {
            router,
            workspace,
            count,
            run,
            hint,
            timeout_ms,
        } = step
        else {
            return;
        };
        if self.fleet.nodes[router].is_none() {
            return;
        }
        let cost = run as f64 / MAX_RUN.as_millis() as f64 * MAX_COST;
        for _ in 0..count {
            self.submitted += 1;
            self.fleet.submit(
                router,
                workspace,
                Span::millis(run),
                cost,
                cost * hint,
                Span::millis(timeout_ms),
            );
        }
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = CheckedFleet;
    type Reference = Model;

    fn init_test(_: &Model) -> CheckedFleet {
        let mut checked = CheckedFleet {
            fleet: Fleet::new(3, ROUTERS, REPLICAS, WORKSPACES, uneven_rules()),
            oracle: Oracle::default(),
            submitted: 0,
        };
        checked.advance(100);
        checked
    }

    fn apply(mut s: CheckedFleet, _: &Model, step: Step) -> CheckedFleet {
        let faultless = matches!(
            step,
            Step::Submit { .. } | Step::Advance(_) | Step::Cancel(_)
        );
        match step {
            Step::Submit { .. } => s.submit_requests(step),
            Step::Advance(ticks) => s.advance(ticks),
            Step::Cancel(n) => s.fleet.cancel(n),
            Step::Kill(n, after) => {
                s.fleet.kill(n);
                s.advance_undetected(after);
            }
            Step::Start(n) => {
                s.fleet.kill(n);
                s.fleet.restart(n);
            }
            Step::Leave(n) => s.fleet.leave(n),
            Step::Partition(cut, after) => {
                s.fleet.partitioned = cut;
                s.advance_undetected(after);
            }
            Step::Heal => s.fleet.partition(BTreeSet::new()),
            Step::MarkReplica(n, leaving, after) => {
                s.fleet.mark_replica(n, leaving);
                s.oracle.record_fault(s.fleet.now);
                s.advance(u16::from(after));
                s.fleet.announce_replicas();
                s.oracle.record_fault(s.fleet.now);
                return s;
            }
            Step::DegradeNetwork {
                jitter,
                loss,
                duplicate,
            } => {
                s.fleet.net = Net {
                    delay: Span(1_500),
                    jitter: Span::millis(jitter),
                    loss,
                    duplicate,
                }
            }
            Step::RestoreNetwork => s.fleet.net = Net::RELIABLE,
        }
        if !faultless {
            s.oracle.record_fault(s.fleet.now);
        }
        s
    }

    /// Checks that each accepted request ends exactly once.
    fn teardown(mut s: CheckedFleet) {
        s.fleet.net = Net::RELIABLE;
        s.fleet.partition(BTreeSet::new());
        s.oracle.record_fault(s.fleet.now);
        for _ in 0..70 {
            s.advance(100);
        }
        println!("largest gap {:.2} of the bound", s.oracle.largest_gap);
        let open: usize = s.fleet.nodes.iter().flatten().map(|n| n.open.len()).sum();
        assert_eq!(open, 0, "requests have not ended");
        assert_eq!(
            s.submitted,
            s.fleet.ended.len() + s.fleet.lost,
            "requests have ended twice"
        );
    }
}

fn env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn fleet_invariants_hold_under_faults() {
    let cases = env("CHERVILWIND_FUZZ_CASES").map_or(CASES, |n| n as u32);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(env("CHERVILWIND_FUZZ_SEED").unwrap_or(SEED)),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    let strategy = Model::sequential_strategy(10..60);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        FleetTest::test_sequential(config.clone(), state, steps, seen);
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
