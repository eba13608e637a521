//! Measures what one router adds to a call, and what it costs while idle.

use {
    super::{
        load::pinned,
        plan::even,
        setup::{
            Setup,
            MODEL,
            PLAIN,
            PROFILE, //
        },
        show::mean,
        stage::Stage, //
    },
    crate::{
        cli::table,
        errors::Error,
        gauge::Quantiles, //
    },
    async_std::task,
    callers::{
        Call,
        Client, //
    },
    policy::Outcome,
    serde::Serialize,
    std::time::{
        Duration,
        Instant, //
    },
};

/// Calls of the plain service, and of the model.
const CALLS: usize = 2000;
const STREAMS: usize = 500;
/// Calls before counting starts.
const FIRST: usize = 100;
/// Connections that send concurrently in the closed loop.
const AT_ONCE: usize = 32;
const DEADLINE: Duration = Duration::from_secs(10);
const TOKENS: u32 = 4;
const HEADER: [&str; 7] = [
    "call",
    "direct p50 us",
    "p99",
    "router p50 us",
    "p99",
    "ratio p50",
    "p99",
];
const MB: f64 = 1e6;

/// Times to an answer in microseconds, directly and through the router.
#[derive(Debug, Serialize)]
struct Pair {
    name: &'static str,
    direct: Quantiles,
    router: Quantiles,
}

/// A closed loop.
#[derive(Debug, Serialize)]
struct Loop {
    connections: usize,
    /// Requests per second.
    direct: f64,
    router: f64,
    /// Fraction of a core that the router used.
    cpu: f64,
    failed: u64,
}

/// Idle routers.
#[derive(Debug, Serialize)]
struct Idle {
    routers: usize,
    /// Mean fraction of a core per router.
    cpu: f64,
    /// Mean resident memory per router, in bytes.
    memory: f64,
}

#[derive(Debug, Serialize)]
struct Report {
    calls: Vec<Pair>,
    closed: Loop,
    /// Alone, among eight, and alone after the load.
    idle: Vec<Idle>,
}

/// Measures one router, and prints what it adds.
pub(crate) async fn run(time: Duration, json: bool) -> Result<(), Error> {
    let stage = Stage::start(&setup(1)).await?;
    let mut idle = vec![rest(&stage, time).await];
    let calls = vec![
        plain_calls(&stage).await?,
        stream_calls(&stage, false).await?,
        stream_calls(&stage, true).await?,
    ];
    let closed = closed(&stage, time).await;
    idle.push(rest(&stage, time).await);
    drop(stage);
    let many = Stage::start(&setup(8)).await?;
    idle.push(rest(&many, time).await);
    show(
        &Report {
            calls,
            closed,
            idle,
        },
        json,
    );
    Ok(())
}

/// Makes a fleet with a plain service and a model that answer at once.
fn setup(routers: usize) -> Setup {
    let mut setup = Setup::new("fleet", even(1, 1, routers));
    setup.routers = routers;
    setup.replicas = 1;
    setup.plains = 1;
    setup.first = Duration::from_millis(1);
    setup.gap = Duration::from_millis(1);
    setup
}

async fn rest(stage: &Stage, time: Duration) -> Idle {
    let used = || -> Vec<_> { stage.routers.iter().map(|r| r.usage()).collect() };
    let before = used();
    task::sleep(time).await;
    let after = used();
    let both = after.iter().zip(&before);
    let cpu: Vec<f64> = both.map(|(a, b)| a.cpu - b.cpu).collect();
    let memory: Vec<f64> = after.iter().map(|u| u.memory as f64).collect();
    Idle {
        routers: stage.routers.len(),
        cpu: mean(&cpu) / time.as_secs_f64(),
        memory: mean(&memory),
    }
}

async fn plain_calls(stage: &Stage) -> Result<Pair, Error> {
    let direct = pinned(stage.plains[0].addr);
    let router = pinned(stage.routers[0].ports.callers);
    pair("plain", &direct, &router, &plain_call(), CALLS, false).await
}

async fn stream_calls(stage: &Stage, whole: bool) -> Result<Pair, Error> {
    let direct = pinned(stage.engines.addr(0));
    let router = pinned(stage.routers[0].ports.callers);
    let name = match whole {
        true => "stream, whole",
        false => "stream, first byte",
    };
    pair(name, &direct, &router, &stream_call(), STREAMS, !whole).await
}

/// Alternates direct calls and calls through the router, so that noise affects both alike.
async fn pair(
    name: &'static str,
    direct: &Client,
    router: &Client,
    call: &Call,
    calls: usize,
    first: bool,
) -> Result<Pair, Error> {
    let (mut one, mut other) = (Vec::new(), Vec::new());
    for n in 0..calls + FIRST {
        let (a, b) = (
            timed(direct, call, first).await?,
            timed(router, call, first).await?,
        );
        if n >= FIRST {
            one.push(a);
            other.push(b);
        }
    }
    Ok(Pair {
        name,
        direct: Quantiles::of(one),
        router: Quantiles::of(other),
    })
}

/// Returns the time of one call in microseconds, to its first byte or to its end.
async fn timed(client: &Client, call: &Call, first: bool) -> Result<f64, Error> {
    let begin = Instant::now();
    let mut began = None;
    let answer = client
        .call_streamed(call, &mut |_| {
            began.get_or_insert_with(|| begin.elapsed());
        })
        .await;
    if answer.outcome != Outcome::Answered {
        return Err(Error::Failed(
            format!("a call was not answered: {:?}", answer.refused),
            "run it on a machine that is less busy".to_owned(),
        ));
    }
    let whole = begin.elapsed();
    let time = if first { began.unwrap_or(whole) } else { whole };
    Ok(time.as_secs_f64() * 1e6)
}

async fn closed(stage: &Stage, time: Duration) -> Loop {
    let call = plain_call();
    let (direct, lost) = rate(stage.plains[0].addr, &call, time).await;
    let before = stage.routers[0].usage();
    let (router, failed) = rate(stage.routers[0].ports.callers, &call, time).await;
    let cpu = stage.routers[0].usage().cpu - before.cpu;
    Loop {
        connections: AT_ONCE,
        direct,
        router,
        cpu: cpu / time.as_secs_f64(),
        failed: lost + failed,
    }
}

/// Returns requests answered a second on many connections, and how many were not.
async fn rate(address: std::net::SocketAddr, call: &Call, time: Duration) -> (f64, u64) {
    let until = Instant::now() + time;
    let tasks: Vec<_> = (0..AT_ONCE)
        .map(|_| {
            let (client, call) = (pinned(address), call.clone());
            task::spawn(async move {
                let (mut answered, mut failed) = (0, 0);
                while Instant::now() < until {
                    match client.call(&call).await.outcome {
                        Outcome::Answered => answered += 1,
                        _ => failed += 1,
                    }
                }
                (answered, failed)
            })
        })
        .collect();
    let mut sums = (0, 0);
    for t in tasks {
        let (answered, failed) = t.await;
        sums = (sums.0 + answered, sums.1 + failed);
    }
    (f64::from(sums.0) / time.as_secs_f64(), sums.1)
}

fn plain_call() -> Call {
    call(PLAIN, "/quote", b"a quote for a small practice".to_vec())
}

fn stream_call() -> Call {
    let body = serde_json::json!({
        "model": "drafting",
        "stream": true,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": "a short draft"}],
    });
    call(MODEL, "/v1/chat/completions", body.to_string().into_bytes())
}

fn call(service: &str, path: &str, body: Vec<u8>) -> Call {
    let mut call = Call::post(
        service.parse().expect("a valid name"),
        even(1, 1, 1)[0].name.parse().expect("a valid name"),
        PROFILE.parse().expect("a valid name"),
        path,
        body,
    );
    call.deadline = Some(DEADLINE);
    call
}

fn show(r: &Report, json: bool) {
    if json {
        let text = serde_json::to_string_pretty(r).unwrap_or_default();
        println!("{text}");
        return;
    }
    println!("{}", table(&HEADER, 1, r.calls.iter().map(cells).collect()));
    let l = &r.closed;
    println!(
        "closed loop   {} connections: {:.0}/s directly, {:.0}/s through the router, \
         which used {:.0}% of a core; {} failed",
        l.connections,
        l.direct,
        l.router,
        l.cpu * 100.0,
        l.failed
    );
    for (when, i) in ["alone", "alone, after the load", "among others"]
        .iter()
        .zip(&r.idle)
    {
        println!(
            "idle          {when} ({} routers): {:.2}% of a core, {:.1} MB",
            i.routers,
            i.cpu * 100.0,
            i.memory / MB
        );
    }
}

fn cells(p: &Pair) -> Vec<String> {
    vec![
        p.name.to_owned(),
        format!("{:.0}", p.direct.p50),
        format!("{:.0}", p.direct.p99),
        format!("{:.0}", p.router.p50),
        format!("{:.0}", p.router.p99),
        format!("{:.2}", p.router.p50 / p.direct.p50),
        format!("{:.2}", p.router.p99 / p.direct.p99),
    ]
}
