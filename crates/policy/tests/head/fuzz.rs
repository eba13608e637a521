//! Fuzz test with several routers, a platform that may be restored to an older state, and
//! failed fetches.

use {
    crate::seeded,
    policy::{
        head::{
            Decision,
            FetchOutcome,
            Hash,
            Head,
            Revision,
            Source, //
        },
        Span,
        Time, //
    },
    proptest::prelude::*,
    proptest_state_machine::{
        prop_state_machine,
        ReferenceStateMachine,
        StateMachineTest, //
    },
};

const ROUTERS: usize = 4;

#[derive(Debug, Clone)]
pub enum Step {
    /// An operator writes a revision above all that were ever in force.
    Write,
    /// The platform is restored to an older state.
    Restore(u64),
    PlatformDown(bool),
    /// A router learns the platform's revision.
    Watch(usize),
    /// The second router learns the first one's revision.
    Heartbeat(usize, usize),
    /// A router performs its pending fetch; the source may have become unavailable.
    Fetch(usize),
    Tick(usize),
    Restart(usize),
    AdvanceClock(Span),
    /// The platform and all routers reach each other, and all fetches succeed.
    Heal,
}

#[derive(Debug)]
pub struct World {
    now: Time,
    platform: u64,
    down: bool,
    written: u64,
    heads: Vec<Head>,
    pending: Vec<Option<Source>>,
    /// The highest revision in force at each router since it started.
    highest: Vec<Option<Revision>>,
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
        prop_oneof![
            3 => Just(Step::Write),
            1 => (1..5u64).prop_map(Step::Restore),
            1 => any::<bool>().prop_map(Step::PlatformDown),
            4 => r().prop_map(Step::Watch),
            6 => (r(), r()).prop_map(|(a, b)| Step::Heartbeat(a, b)),
            6 => r().prop_map(Step::Fetch),
            3 => r().prop_map(Step::Tick),
            1 => r().prop_map(Step::Restart),
            2 => (1..2000u64).prop_map(|ms| Step::AdvanceClock(Span::millis(ms))),
            1 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

impl World {
    fn revision(&self, from: &Source) -> Option<Revision> {
        match from {
            Source::Platform if self.down => None,
            Source::Platform => Some(Revision(self.platform)).filter(|r| r.0 > 0),
            Source::Peer(id) => self.heads[index(id.as_str())].revision(),
        }
    }

    fn apply_decision(&mut self, i: usize, d: Decision) {
        match d {
            Decision::Fetch { revision, from } => {
                assert!(self.heads[i].revision().is_none_or(|r| revision > r));
                self.pending[i] = Some(from);
            }
            Decision::Stale { ours, theirs } => assert!(theirs < ours),
            Decision::Ignore => {}
        }
    }

    fn heartbeat(&mut self, a: usize, b: usize) {
        let from = Source::Peer(format!("r{a}").parse().unwrap());
        let revision = self.heads[a].revision().unwrap_or_default();
        if a != b {
            let d = self.heads[b].offer(revision, from, self.now);
            self.apply_decision(b, d);
        }
    }

    fn watch(&mut self, i: usize) {
        if !self.down {
            let d = self.heads[i].offer(Revision(self.platform), Source::Platform, self.now);
            self.apply_decision(i, d);
        }
    }

    fn fetch(&mut self, i: usize) {
        let Some(from) = self.pending[i].take() else {
            return;
        };
        match self.revision(&from) {
            Some(r) => {
                let higher = self.heads[i].revision().is_none_or(|h| r > h);
                let taken = self.heads[i].fetched(r, Hash(r.0), self.now);
                assert_eq!(taken == FetchOutcome::InForce, higher);
            }
            None => {
                let d = self.heads[i].failed(&from, self.now);
                self.apply_decision(i, d);
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let d = self.heads[i].tick(self.now);
        self.apply_decision(i, d);
    }

    fn heal(&mut self) {
        self.down = false;
        let best = (0..ROUTERS).filter_map(|i| self.heads[i].revision()).max();
        let best = best.unwrap_or_default().max(Revision(self.platform));
        for _ in 0..12 {
            self.now += Span::millis(1100);
            for i in 0..ROUTERS {
                self.watch(i);
                (0..ROUTERS).for_each(|b| self.heartbeat(i, b));
            }
            for i in 0..ROUTERS {
                self.tick(i);
                self.fetch(i);
            }
        }
        for h in &self.heads {
            assert_eq!(h.revision().unwrap_or_default(), best);
            assert!(!h.ready() || h.unconfirmed_since(self.now).is_none());
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Write if !self.down => {
                self.written += 1;
                self.platform = self.written;
            }
            Step::Restore(by) => self.platform = self.platform.saturating_sub(by),
            Step::PlatformDown(down) => self.down = down,
            Step::Watch(i) => self.watch(i),
            Step::Heartbeat(a, b) => self.heartbeat(a, b),
            Step::Fetch(i) => self.fetch(i),
            Step::Tick(i) => self.tick(i),
            Step::Restart(i) => {
                self.heads[i] = Head::new(self.now);
                self.pending[i] = None;
                self.highest[i] = None;
            }
            Step::AdvanceClock(s) => self.now += s,
            Step::Heal => self.heal(),
            Step::Write => {}
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(_: &()) -> World {
        World {
            now: Time(0),
            platform: 0,
            down: false,
            written: 0,
            heads: (0..ROUTERS).map(|_| Head::new(Time(0))).collect(),
            pending: vec![None; ROUTERS],
            highest: vec![None; ROUTERS],
        }
    }

    fn apply(mut w: World, _: &(), step: Step) -> World {
        w.step(step);
        for i in 0..ROUTERS {
            let in_force = w.heads[i].revision();
            assert!(in_force >= w.highest[i], "router {i} went back");
            assert_eq!(in_force.map(|r| Hash(r.0)), w.heads[i].hash());
            w.highest[i] = in_force;
        }
        w
    }

    fn teardown(mut w: World) {
        w.heal();
    }
}

fn index(id: &str) -> usize {
    id[1..].parse().unwrap()
}

prop_state_machine! {
    #![proptest_config(seeded::config(256))]

    #[test]
    fn head_never_goes_back_and_reaches_the_highest(sequential 1..200 => World);
}
