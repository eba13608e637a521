//! Calls under sequences of faults, held against what the stand-ins ran.

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

/// Sequences of calls, each with a client and stand-ins of its own.
const SEQUENCES: usize = 96;
/// Calls in a sequence.
const CALLS: usize = 24;
/// Sequences under way at a time.
const ABREAST: usize = 16;

/// A call and the faults that it meets, one for each request it takes.
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
    /// "May have run" of what in truth had not run.
    unknown: u32,
    /// Idempotent calls that ran more than once.
    again: u32,
    /// Calls that may not run twice.
    single: u32,
    /// "May have run" among those.
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

/// Makes the calls of a sequence one after another over one client.
async fn sequence(number: usize, steps: Vec<Step>) -> Tally {
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
        let whole = client.call(call).collect().await;
        if whole.end.outcome == Outcome::Answered {
            match step.kind {
                Kind::Plain => {
                    let right = answer("POST", "/records", &body);
                    assert_eq!(whole.body, right.into_bytes(), "{id} {step:?}");
                }
                Kind::Stream => {
                    assert_eq!(text(&whole.body), expected(&body), "{id} {step:?}");
                    assert_eq!(whole.end.tokens, step.tokens, "{id} {step:?}");
                }
            }
        }
        ended.push((id, step, whole.end));
    }
    let mut runs: BTreeMap<String, u32> = service.runs();
    runs.extend(engine.runs());
    for (id, step, end) in ended {
        let ran = runs.get(&id).copied().unwrap_or(0);
        let told = format!("{id} ran {ran}: {step:?} {end:?}");
        assert!(step.idempotent || ran <= 1, "{told}");
        match end.outcome {
            Outcome::Answered | Outcome::Failed => assert!(ran >= 1, "{told}"),
            Outcome::NotRun => assert_eq!(ran, 0, "{told}"),
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
    // A renewal is in the registry twice, or a draft has a word doubled or missing, after
    // two or three things went wrong with one call. Up to three faults in a row, of every
    // kind, over connections that earlier calls left behind: what may not repeat never
    // runs twice, "not run" is true, and what is answered is exact.
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let steps = prop::collection::vec(step(), CALLS);
    let sequences: Vec<Vec<Step>> = (0..SEQUENCES)
        .map(|_| steps.new_tree(&mut runner).expect("steps").current())
        .collect();
    let mut sum = Tally::default();
    for (n, batch) in sequences.chunks(ABREAST).enumerate() {
        let tasks: Vec<_> = batch
            .iter()
            .enumerate()
            .map(|(i, steps)| spawn(sequence(n * ABREAST + i, steps.clone())))
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
