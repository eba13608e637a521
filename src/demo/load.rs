//! The demo's callers.

use {
    super::{
        stage::Stage,
        Row, //
    },
    crate::gauge::text_of,
    async_std::task,
    callers::{
        Answer,
        Call,
        Client,
        ClientSettings, //
    },
    operators::{
        Document,
        Source, //
    },
    policy::{
        Outcome,
        WorkspaceId, //
    },
    standins::{
        engine,
        plain, //
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicU32,
                Ordering, //
            },
            Arc, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Requests of each workspace that floods, and how many it sends at a time.
const FLOOD: Plan = Plan {
    requests: 1_200,
    at_once: 60,
};
/// The same for each other workspace.
const USUAL: Plan = Plan {
    requests: 120,
    at_once: 10,
};
const FLOODING: [&str; 2] = ["manchester", "leeds"];
/// One in this many requests of a workspace is a renewal, which must not be repeated.
const RENEWAL: u32 = 4;
/// One in this many is a request to the plain service.
const DESK: u32 = 5;
const DEADLINE: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, Copy)]
struct Plan {
    requests: u32,
    at_once: u32,
}

/// The outcome of one request.
#[derive(Debug)]
struct Result {
    outcome: Outcome,
    tokens: f64,
    took: f64,
    fault: Option<String>,
}

/// Sends all requests. Returns a row for each workspace, and the errors.
pub(crate) async fn run_load(stage: &Stage) -> (Vec<Row>, Vec<String>) {
    let source = Source::from_text("fleet.toml", operators::FLEET);
    let Ok(document) = Document::parse(&source) else {
        return (
            Vec::new(),
            vec!["the shipped configuration is wrong".to_owned()],
        );
    };
    let routers = stage.addresses();
    let tasks: Vec<_> = document
        .workspaces
        .iter()
        .map(|(id, w)| task::spawn(workspace(id.clone(), w.share.get(), routers.clone())))
        .collect();
    let mut rows = Vec::new();
    let mut faults = Vec::new();
    for t in tasks {
        let (row, wrong) = t.await;
        rows.push(row);
        faults.extend(wrong);
    }
    (rows, faults)
}

async fn workspace(id: WorkspaceId, share: f64, routers: Vec<SocketAddr>) -> (Row, Vec<String>) {
    let plan = match FLOODING.contains(&id.as_str()) {
        true => FLOOD,
        false => USUAL,
    };
    let client = Client::new(ClientSettings::new(routers));
    let next = Arc::new(AtomicU32::new(0));
    let workers: Vec<_> = (0..plan.at_once)
        .map(|_| {
            task::spawn(worker(
                id.clone(),
                client.clone(),
                next.clone(),
                plan.requests,
            ))
        })
        .collect();
    let mut results = Vec::new();
    for w in workers {
        results.extend(w.await);
    }
    row(&id, share, plan, &mut results)
}

async fn worker(
    id: WorkspaceId,
    client: Client,
    next: Arc<AtomicU32>,
    requests: u32,
) -> Vec<Result> {
    let mut results = Vec::new();
    loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        if n >= requests {
            return results;
        }
        results.push(one(&id, &client, n).await);
    }
}

async fn one(id: &WorkspaceId, client: &Client, n: u32) -> Result {
    let begin = Instant::now();
    let (call, expected) = match n % DESK {
        0 => desk(id, n),
        _ => draft(id, n),
    };
    let answer = client.call(&call).await;
    let took = begin.elapsed().as_secs_f64() * 1e3;
    judge(&answer, &expected, took, n % DESK != 0)
}

/// Returns a request to the plain service, and the answer expected.
fn desk(id: &WorkspaceId, n: u32) -> (Call, String) {
    let target = "/quote";
    let body = format!("{id} wants quote {n}").into_bytes();
    let expected = plain::answer("POST", target, &body);
    (call("broker-desk", id, "standard", target, body), expected)
}

/// Returns a request to the model, and the text expected in the answer.
fn draft(id: &WorkspaceId, n: u32) -> (Call, String) {
    let body = serde_json::json!({
        "model": "drafting",
        "stream": true,
        "max_tokens": 16 + n % 16,
        "messages": [{"role": "user", "content": format!("{id} drafts {n}")}],
    });
    let body = body.to_string().into_bytes();
    let expected = engine::expected(&body);
    let once = n % RENEWAL == 0;
    let profile = if once { "renewal" } else { "standard" };
    let mut call = call("drafting-llm", id, profile, "/v1/chat/completions", body);
    call.at_most_once = once;
    (call, expected)
}

fn call(service: &str, id: &WorkspaceId, profile: &str, target: &str, body: Vec<u8>) -> Call {
    let service = service.parse().expect("a valid name");
    let profile = profile.parse().expect("a valid name");
    let mut call = Call::post(service, id.clone(), profile, target, body);
    call.deadline = Some(DEADLINE);
    call
}

fn judge(answer: &Answer, expected: &str, took: f64, model: bool) -> Result {
    let got = match model {
        true => text_of(&answer.body),
        false => String::from_utf8_lossy(&answer.body).into_owned(),
    };
    let right = got == expected;
    let tokens = match model {
        true => got.split_whitespace().count() as f64,
        false => 0.0,
    };
    let fault = match answer.outcome {
        Outcome::Answered if right => None,
        Outcome::Answered => Some("an answer was wrong".to_owned()),
        Outcome::NotRun => None,
        Outcome::Failed | Outcome::MayHaveRun => Some(format!("lost: {:?}", answer.refused)),
    };
    Result {
        outcome: answer.outcome,
        tokens,
        took,
        fault,
    }
}

fn row(id: &WorkspaceId, share: f64, plan: Plan, results: &mut [Result]) -> (Row, Vec<String>) {
    let count = |o| results.iter().filter(|r| r.outcome == o).count() as u32;
    let faults = results.iter().filter_map(|r| r.fault.clone());
    let faults = faults.map(|f| format!("{id}: {f}")).collect();
    let mut times: Vec<f64> = results.iter().map(|r| r.took).collect();
    times.sort_by(f64::total_cmp);
    let row = Row {
        workspace: id.to_string(),
        share,
        asked: plan.requests,
        answered: count(Outcome::Answered),
        refused: count(Outcome::NotRun),
        service: results.iter().map(|r| r.tokens).sum(),
        median: times.get(times.len() / 2).copied().unwrap_or_default(),
    };
    (row, faults)
}
