//! Fuzz test with overlapping random faults; once they end, all routers must agree on who is
//! up.

use {
    crate::{
        fleet::{
            id,
            Fleet, //
        },
        seeded, //
    },
    policy::{
        members::State,
        Span, //
    },
    proptest::prelude::*,
    proptest_state_machine::{
        prop_state_machine,
        ReferenceStateMachine,
        StateMachineTest, //
    },
};

const ROUTERS: usize = 6;
/// The time after the last fault within which all tables must be correct.
const CONVERGENCE_TIME: Span = Span::secs(5);

#[derive(Debug, Clone)]
pub enum Step {
    Run(Span),
    Kill(usize),
    Restart(usize),
    Goodbye(usize),
    Freeze(usize, Span),
    Cut(usize, usize),
    Split(usize, usize),
    Noise(bool),
    /// Ends all faults.
    Heal,
}

pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let r = || 0..ROUTERS;
        let ms = |most: u64| (1..most / 10).prop_map(|n: u64| Span::millis(n * 10));
        prop_oneof![
            6 => ms(4000).prop_map(Step::Run),
            2 => r().prop_map(Step::Kill),
            3 => r().prop_map(Step::Restart),
            1 => r().prop_map(Step::Goodbye),
            2 => (r(), ms(6000)).prop_map(|(i, s)| Step::Freeze(i, s)),
            2 => (r(), r()).prop_map(|(a, b)| Step::Cut(a, b)),
            1 => (r(), r()).prop_map(|(a, b)| Step::Split(a, b)),
            1 => any::<bool>().prop_map(Step::Noise),
            2 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test(_: &()) -> Fleet {
        Fleet::new(ROUTERS, 1)
    }

    fn apply(mut f: Fleet, _: &(), step: Step) -> Fleet {
        match step {
            Step::Run(s) => f.run(s),
            Step::Kill(i) => f.kill(i),
            Step::Restart(i) => f.restart(i),
            Step::Goodbye(i) => goodbye(&mut f, i),
            Step::Freeze(i, s) => f.freeze(i, s),
            Step::Cut(a, b) => {
                f.blocked.insert((a, b));
            }
            Step::Split(a, b) => f.split(&[a, b]),
            Step::Noise(on) => noise(&mut f, on),
            Step::Heal => heal(&mut f),
        }
        f
    }

    fn check_invariants(f: &Fleet, _: &()) {
        for node in f.nodes.iter().filter(|n| n.up) {
            assert!(
                !node.replaced,
                "a router was replaced although it runs only once"
            );
            for m in node.table.known() {
                let b = (0..ROUTERS).find(|b| id(*b) == m.id).unwrap();
                assert!(m.incarnation.0 <= f.nodes[b].incarnation);
            }
        }
    }

    fn teardown(mut f: Fleet) {
        heal(&mut f);
    }
}

fn goodbye(f: &mut Fleet, i: usize) {
    if f.running(i) {
        f.nodes[i].table.goodbye();
        f.run(Span::millis(10));
        f.kill(i);
    }
}

fn noise(f: &mut Fleet, on: bool) {
    (f.loss, f.duplicated, f.jitter) = match on {
        true => (0.1, 0.1, Span::millis(100)),
        false => (0.0, 0.0, Span::millis(1)),
    };
}

fn heal(f: &mut Fleet) {
    f.blocked.clear();
    noise(f, false);
    let frozen = |f: &Fleet| f.nodes.iter().all(|n| n.frozen.is_none());
    f.until(Span::secs(60), frozen).unwrap();
    f.run(CONVERGENCE_TIME);
    for a in (0..ROUTERS).filter(|a| f.running(*a)) {
        for b in (0..ROUTERS).filter(|b| *b != a) {
            let m = f.nodes[a].table.get(&id(b)).unwrap();
            match f.running(b) {
                true => {
                    assert_eq!(m.state, State::Live, "{b} at {a}");
                    assert_eq!(m.incarnation.0, f.nodes[b].incarnation);
                    assert!(m.inbound_ok && m.outbound_ok, "{b} at {a}");
                }
                false => assert!(!m.up(), "{b} at {a} is {}", m.state),
            }
        }
    }
    let false_alarms = f.false_alarms;
    f.run(Span::secs(3));
    assert_eq!(
        f.false_alarms, false_alarms,
        "a false suspicion without any fault"
    );
}

prop_state_machine! {
    #![proptest_config(seeded::config(64))]

    #[test]
    fn members_converge_after_faults(sequential 1..40 => Fleet);
}
