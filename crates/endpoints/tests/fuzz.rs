//! Calls under random sequences of faults, compared with what the simulated endpoints ran.

mod common;

use {
    async_std::task::{
        block_on,
        spawn, //
    },
    common::{
        engine,
        plain_call,
        service,
        stream_call,
        text, //
    },
    endpoints::{
        Client,
        Kind,
        Options, //
    },
    policy::Outcome,
    proptest::{
        prelude::*,
        strategy::ValueTree,
        test_runner::{
            Config,
            RngAlgorithm,
            TestRng,
            TestRunner, //
        },
    },
    standins::{
        engine::expected,
        plain::answer,
        Fault, //
    },
    std::{
        collections::BTreeMap,
        time::Duration, //
    },
};

/// Sequences of calls, each with its own client and simulated endpoints.
const SEQUENCES: usize = 96;
/// Calls per sequence.
const CALLS: usize = 24;
/// Sequences that run concurrently.
const CONCURRENT_SEQUENCES: usize = 16;

/// A call and its faults, one for each request made for it.
#[derive(Debug, Clone)]
struct Step {
    kind: Kind,
    idempotent: bool,
    tokens: u32,
    faults: Vec<Fault>,
}

/// How the calls of a sequence ended.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    calls: u32,
    answered: u32,
    not_run: u32,
    may_have_run: u32,
    failed: u32,
    /// Reported as "may have run" although they had not run.
    unknown: u32,
    /// Idempotent calls that ran more than once.
    again: u32,
    /// Calls that are not idempotent.
    single: u32,
    /// Reported as "may have run" among those.
    single_unsure: u32,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::ResetUnread),
        Just(Fault::ResetUnanswered),
        Just(Fault::ResetAfterHead),
        (0..20u32).prop_map(|after| Fault::Cut { after }),
        Just(Fault::Silent),
        (0..20u32).prop_map(|after| Fault::SilentAfter { after }),
        Just(Fault::Ignored),
        Just(Fault::WrongId),
        Just(Fault::NoId),
        (0..80u64).prop_map(|ms| Fault::Delay { ms }),
        Just(Fault::Twice),
        (0..4u64).prop_map(|ms| Fault::Stray { ms }),
        (1..8u32).prop_map(|by| Fault::Overlap { by }),
        (1..8u32).prop_map(|by| Fault::Skip { by }),
        Just(Fault::Refuse),
        Just(Fault::Fail),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![Just(Kind::Plain), Just(Kind::Stream)];
    let faults = prop::collection::vec(fault(), 0..4);
    (kind, any::<bool>(), 1..24u32, faults).prop_map(|(kind, idempotent, tokens, faults)| Step {
        kind,
        idempotent,
        tokens,
        faults,
    })
}

/// Makes the calls of a sequence one after another with one client.
async fn run_sequence(number: usize, steps: Vec<Step>) -> Tally {
    let (service, engine) = (service().await, engine().await);
    let client = Client::new(Options::default());
    let mut tally = Tally::default();
    let mut ended = Vec::new();
    for (i, step) in steps.into_iter().enumerate() {
        let id = format!("s{number}.{i}");
        let mut call = match step.kind {
            Kind::Plain => plain_call(service.addr, &id, step.idempotent),
            Kind::Stream => stream_call(engine.addr, &id, step.tokens),
        };
        call.idempotent = step.idempotent;
        call.silence_timeout = Duration::from_millis(40);
        let faults = match step.kind {
            Kind::Plain => &service.faults,
            Kind::Stream => &engine.faults,
        };
        faults.clear();
        step.faults.iter().for_each(|f| faults.order(*f, 1));
        let body = call.body.clone();
        let received = client.call(call).read_all().await;
        if received.end.outcome == Outcome::Answered {
            match step.kind {
                Kind::Plain => {
                    let expected_body = answer("POST", "/records", &body);
                    assert_eq!(received.body, expected_body.into_bytes(), "{id} {step:?}");
                }
                Kind::Stream => {
                    assert_eq!(text(&received.body), expected(&body), "{id} {step:?}");
                    assert_eq!(received.end.tokens, step.tokens, "{id} {step:?}");
                }
            }
        }
        ended.push((id, step, received.end));
    }
    let mut runs: BTreeMap<String, u32> = service.runs();
    runs.extend(engine.runs());
    for (id, step, end) in ended {
        let ran = runs.get(&id).copied().unwrap_or(0);
        let context = format!("{id} ran {ran}: {step:?} {end:?}");
        assert!(step.idempotent || ran <= 1, "{context}");
        match end.outcome {
            Outcome::Answered | Outcome::Failed => assert!(ran >= 1, "{context}"),
            Outcome::NotRun => assert_eq!(ran, 0, "{context}"),
            Outcome::MayHaveRun => tally.unknown += u32::from(ran == 0),
        }
        tally.calls += 1;
        tally.again += u32::from(ran > 1);
        if !step.idempotent {
            tally.single += 1;
            tally.single_unsure += u32::from(end.outcome == Outcome::MayHaveRun);
        }
        match end.outcome {
            Outcome::Answered => tally.answered += 1,
            Outcome::Failed => tally.failed += 1,
            Outcome::NotRun => tally.not_run += 1,
            Outcome::MayHaveRun => tally.may_have_run += 1,
        }
    }
    tally
}

#[test]
fn call_any_faults() {
    // Guards against calls that run twice, and against wrong answers, after several faults of
    // one call: up to three in a row, of every kind, over connections reused from earlier
    // calls. Calls that are not idempotent never run twice, "not run" is true, and complete
    // answers are exact.
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let steps = prop::collection::vec(step(), CALLS);
    let sequences: Vec<Vec<Step>> = (0..SEQUENCES)
        .map(|_| steps.new_tree(&mut runner).expect("steps").current())
        .collect();
    let mut sum = Tally::default();
    for (n, batch) in sequences.chunks(CONCURRENT_SEQUENCES).enumerate() {
        let tasks: Vec<_> = batch
            .iter()
            .enumerate()
            .map(|(i, steps)| spawn(run_sequence(n * CONCURRENT_SEQUENCES + i, steps.clone())))
            .collect();
        for task in tasks {
            let t = block_on(task);
            sum.calls += t.calls;
            sum.answered += t.answered;
            sum.not_run += t.not_run;
            sum.may_have_run += t.may_have_run;
            sum.failed += t.failed;
            sum.unknown += t.unknown;
            sum.again += t.again;
            sum.single += t.single;
            sum.single_unsure += t.single_unsure;
        }
    }
    println!("{sum:?}");
    assert_eq!(sum.calls as usize, SEQUENCES * CALLS);
    assert!(sum.answered > 0 && sum.may_have_run > 0);
    assert!(sum.failed > 0 && sum.not_run > 0);
}
