//! Tests of at-most-once execution: a fuzz test against an oracle, and single failures.

mod failures;
#[path = "../seeded/mod.rs"]
mod seeded;
mod world;

use {
    policy::{
        Outcome,
        Span, //
    },
    proptest::{
        prelude::*,
        sample::Index, //
    },
    proptest_state_machine::{
        prop_state_machine,
        ReferenceStateMachine,
        StateMachineTest, //
    },
    world::{
        Step,
        World, //
    },
};

/// Generates any step at any time; [`World`] skips those that are impossible.
pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let i = any::<Index>;
        let outcome = prop_oneof![
            Just(Outcome::Answered),
            Just(Outcome::Failed),
            Just(Outcome::MayHaveRun),
        ];
        prop_oneof![
            2 => (i(), 1..4u32).prop_map(|(at, count)| Step::Issue { at, count }),
            8 => (i(), i()).prop_map(|(at, ticket)| Step::Claim { at, ticket }),
            12 => (i(), i()).prop_map(|(message, to)| Step::Deliver { message, to }),
            2 => i().prop_map(|message| Step::Lose { message }),
            4 => i().prop_map(|grant| Step::Start { grant }),
            3 => i().prop_map(|grant| Step::Reject { grant }),
            1 => i().prop_map(|grant| Step::ReleaseAgain { grant }),
            2 => (i(), outcome).prop_map(|(grant, outcome)| Step::Finish { grant, outcome }),
            1 => (i(), any::<bool>()).prop_map(|(at, killed)| Step::Restart { at, killed }),
            2 => (i(), 1..15u64).prop_map(|(at, s)| Step::AdvanceClock { at, time: Span::secs(s) }),
            2 => i().prop_map(|at| Step::Tick { at }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        world.step(&step);
        world
    }
}

prop_state_machine! {
    #![proptest_config(seeded::config(256))]

    #[test]
    fn tickets_start_at_most_once(sequential 1..400 => World);
}
