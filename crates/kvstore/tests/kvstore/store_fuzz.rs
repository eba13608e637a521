//! Operators who race over the configuration, fuzzed against a simple oracle.

use {
    crate::common::{
        platform,
        rash,
        run,
        write, //
    },
    kvstore::{
        store::{
            read,
            repair,
            ApplyError,
            Base,
            Config,
            Revision, //
        },
        Kv,
    },
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{
            Config as Settings,
            RngSeed, //
        },
    },
    standins::platform::Handle,
};

const OPERATORS: usize = 3;
const NAMES: [&str; OPERATORS] = ["ada", "ben", "eve"];

#[derive(Debug, Clone)]
enum Step {
    /// An operator looks at what routers have in force.
    Look(usize),
    /// An operator adds a line to what they saw last, and so many answers are lost.
    Apply(usize, u32),
    /// The same, and so many writes are still under way when the operator gives them up.
    ApplyLate(usize, u32),
    /// The writes under way are done.
    Release,
    /// All connections go silent.
    Silence,
    /// The platform keeps a copy.
    Snapshot,
    /// The platform goes back to its copy.
    Restore,
    /// A router repairs the platform.
    Repair,
}

/// What has to hold: the accepted configuration, as the routers have it in force.
#[derive(Debug, Default)]
struct Oracle {
    lines: Vec<String>,
    in_force: Option<Config>,
    seen: [Option<Config>; OPERATORS],
    next: usize,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..OPERATORS).prop_map(Step::Look),
        12 => (0..OPERATORS, 0..4_u32).prop_map(|(i, n)| Step::Apply(i, n / 2)),
        4 => (0..OPERATORS, 1..3_u32).prop_map(|(i, n)| Step::ApplyLate(i, n)),
        3 => Just(Step::Release),
        1 => Just(Step::Silence),
        1 => Just(Step::Snapshot),
        1 => Just(Step::Restore),
        1 => Just(Step::Repair),
    ]
}

async fn play(steps: Vec<Step>) {
    let platform = platform().await;
    platform.snapshot();
    let clients = NAMES.map(|name| rash(&platform, name));
    let mut oracle = Oracle::default();
    for step in steps {
        match step {
            Step::Look(i) => oracle.seen[i] = oracle.in_force.clone(),
            Step::Apply(i, lost) => {
                platform.lose_answers(lost);
                oracle.apply(&clients[i], i).await;
                platform.lose_answers(0);
            }
            Step::ApplyLate(i, held) => {
                platform.hold_writes(held);
                oracle.apply(&clients[i], i).await;
                platform.hold_writes(0);
            }
            Step::Release => platform.release_writes().await,
            Step::Silence => platform.silence(),
            Step::Snapshot => platform.snapshot(),
            Step::Restore => assert!(platform.restore()),
            Step::Repair => oracle.repair(&platform).await,
        }
    }
    oracle.repair(&platform).await;
    let kv = rash(&platform, "end");
    assert_eq!(read(&kv, &[]).await.unwrap(), oracle.in_force);
}

impl Oracle {
    fn revision(&self) -> Revision {
        self.in_force
            .as_ref()
            .map_or(Revision::NONE, |c| c.revision)
    }

    async fn apply(&mut self, kv: &Kv, i: usize) {
        let seen = self.seen[i].as_ref();
        let base = seen.map(Config::base).unwrap_or_default();
        let old = seen.map_or("", |c| &c.parts[0].text);
        let line = format!("{} {}\n", NAMES[i], self.next);
        let text = format!("{old}{line}");
        self.next += 1;
        let done = apply_at_last(kv, NAMES[i], base, self.revision(), &text).await;
        if base.revision < self.revision() {
            let refused = matches!(
                done,
                Err(ApplyError::Conflict { .. } | ApplyError::Behind { .. })
            );
            assert!(refused, "{done:?}");
            return;
        }
        let done = done.expect("a change on what is in force is accepted");
        assert!(done.revision > self.revision());
        self.lines.push(line);
        let config = read_at_last(kv).await;
        assert_eq!((config.revision, config.write), (done.revision, done.write));
        assert_eq!(&*config.parts[0].text, self.lines.concat());
        self.in_force = Some(config);
    }

    async fn repair(&self, platform: &Handle) {
        if let Some(config) = &self.in_force {
            let kv = rash(platform, "router");
            while repair(&kv, config).await.is_err() {}
        }
    }
}

/// Applies until the platform can be reached.
async fn apply_at_last(
    kv: &Kv,
    name: &str,
    base: Base,
    floor: Revision,
    text: &str,
) -> Result<kvstore::store::Applied, ApplyError> {
    loop {
        match write(kv, name, base, floor.0, text).await {
            Err(ApplyError::NotApplied(_)) => {}
            done => return done,
        }
    }
}

async fn read_at_last(kv: &Kv) -> Config {
    loop {
        if let Ok(config) = read(kv, &[]).await {
            return config.expect("a configuration was applied");
        }
    }
}

proptest! {
    #![proptest_config(Settings {
        cases: 32,
        rng_seed: RngSeed::Fixed(0x6368_6572),
        failure_persistence: None,
        ..Settings::default()
    })]

    // Operators look and apply in any order, answers are lost, connections go silent, the
    // platform goes back to older states. What was accepted is never lost or taken back.
    #[test]
    fn apply_any_order(steps in vec(step(), 1..30)) {
        run(play(steps));
    }
}
