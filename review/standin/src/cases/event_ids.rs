//! A configuration adds a route to a service whose servers number the events of a stream by tokens.

use crate::{
    fleet::{resolve, Fleet, Record, HOST},
    http::{message, Channel},
    Verdict,
};
use std::{
    collections::BTreeMap,
    env,
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Bounds of the installation: when a version has to be in force, and when machines are in touch.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const CALM: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(10);
const MACHINES: usize = 3;
const CLIENTS: usize = 8;
const PIECES: u64 = 20;
/// "An event of a stream holds 5 tokens" at the site.
const TOKENS_PER_EVENT: u64 = 5;
/// "20 or more requests", "less than a quarter as often".
const LEAST: usize = 20;

/// Requests of a route that were sent while it counts, and those of them that were served.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    sent: usize,
    served: usize,
    /// Streams that were cut after their start.
    cut: usize,
}

impl Served {
    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

type Counts = Arc<Mutex<BTreeMap<&'static str, Served>>>;

fn route(name: &str, service: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","route_type":"streaming","timeout_ms":12000,"target_latency_ms":400,"priority":1,"service":"{service}","max_attempts":1,"auth_exempt":false,"session_affinity":true,"stream_resume":false,"gap_target_ms":300}}"#
    )
}

fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_token_cap":511815,"moves":false,"stride":{TOKENS_PER_EVENT},"models":[{{"name":"m"}}]}}}}"#
    )
}

pub fn run(trouble: bool, file: &Path) -> Result<Verdict, String> {
    // For a comparison with servers that number their events one by one.
    let id_step = env::var("ID_STEP").ok().and_then(|text| text.parse().ok());
    let id_step = id_step.unwrap_or(TOKENS_PER_EVENT);
    let mut fleet = Fleet::new(110).map_err(|e| e.to_string())?;
    let tenant = r#"{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}"#;
    fleet.configure(&route("first", "writer"), &service("writer"), tenant);
    for n in 0..3 {
        let common = [
            ("slots", 64),
            ("queue", 192),
            ("pieces", PIECES),
            ("gap-ms", 50),
            ("chunked", 1),
        ];
        fleet.start_server(&format!("i-writer-{n}"), "writer", n, &common)?;
        let by_tokens: Vec<(&str, u64)> =
            common.into_iter().chain([("id-step", id_step)]).collect();
        fleet.start_server(&format!("i-editor-{n}"), "editor", n, &by_tokens)?;
    }
    fleet.start_machines(MACHINES)?;
    let directory = fleet.machines[0].addr(7702);
    let (stop, counting) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (numbers, counts) = (Arc::new(AtomicUsize::new(0)), Counts::default());
    let start = |path: &'static str, record: &Record| -> Vec<_> {
        (0..CLIENTS)
            .map(|_| {
                let (stop, counting, numbers) = (stop.clone(), counting.clone(), numbers.clone());
                let (counts, record) = (counts.clone(), record.clone());
                thread::spawn(move || {
                    client(
                        path,
                        directory,
                        (&stop, &counting),
                        &numbers,
                        &counts,
                        &record,
                    )
                })
            })
            .collect()
    };
    let mut clients = start("first", &fleet.record);
    thread::sleep(CALM);
    if trouble {
        let routes = [route("first", "writer"), route("later", "editor")];
        let services = [service("writer"), service("editor")];
        fleet.configure(&routes.join(","), &services.join(","), tenant);
        thread::sleep(CONFIG_APPLY + CONTACT);
        clients.extend(start("later", &fleet.record));
    }
    counting.store(true, Ordering::SeqCst);
    thread::sleep(MEASURED);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    fleet.end();
    let counts = counts.lock().unwrap();
    let of = |path| counts.get(path).copied().unwrap_or_default();
    let (first, later) = (of("first"), of("later"));
    let text = format!(
        "first route: {} of {} served, {} cut; later route: {} of {} served, {} cut",
        first.served, first.sent, first.cut, later.served, later.sent, later.cut
    );
    fleet.record.write(file, &text).map_err(|e| e.to_string())?;
    if first.sent < LEAST || first.share() < 0.5 {
        return Err(format!("the first route was not served: {text}"));
    }
    Ok(
        match later.sent >= LEAST && later.share() < first.share() / 4.0 {
            true => Verdict::Broken(text),
            false => Verdict::Held(text),
        },
    )
}

/// Sends streams one after the other over a kept channel.
fn client(
    path: &'static str,
    directory: SocketAddr,
    (stop, counting): (&AtomicBool, &AtomicBool),
    numbers: &AtomicUsize,
    counts: &Counts,
    record: &Record,
) {
    let mut channel: Option<Channel> = None;
    while !stop.load(Ordering::SeqCst) {
        let number = numbers.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x4c17_0000_0000_usize + number);
        let opened = match channel.take() {
            Some(channel) => Ok(channel),
            None => {
                let all = resolve(directory);
                let addr = all.get(number % all.len().max(1)).copied();
                addr.map_or(Err(std::io::ErrorKind::NotFound.into()), Channel::open)
            }
        };
        let Ok(mut open) = opened else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let prefix = format!("5c1e07a2:800,91bd3f06:410,{:x}:250", 0x10_0000 + number);
        let headers = [
            ("Host", HOST),
            ("Chervilwind-Attempt-Id", id.as_str()),
            ("Chervilwind-Model", "m"),
            ("Chervilwind-Token-Usage", "1460,100"),
            ("Chervilwind-Prompt-Prefix", prefix.as_str()),
            ("Chervilwind-Deadline-Ms", "12000"),
            ("Chervilwind-Key", "asnmgkcuyj8pjbvk9m68"),
        ];
        let counts_now = counting.load(Ordering::SeqCst);
        let begun = Instant::now();
        let request = message(&format!("POST /{path}/2f HTTP/1.1"), &headers, b"a prompt");
        let answer = open.send(&request).and_then(|()| open.read_answer());
        let (status, pieces, complete) = match &answer {
            Ok(a) => {
                let body = String::from_utf8_lossy(&a.body);
                (a.status(), body.matches("\n\n").count() as u64, a.complete)
            }
            Err(_) => (0, 0, false),
        };
        record.add(format!(
            "client: {id} to /{path}/ got {status}, {pieces} of {PIECES} pieces, complete {complete}, after {} ms",
            begun.elapsed().as_millis()
        ));
        if counts_now {
            let mut counts = counts.lock().unwrap();
            let served = counts.entry(path).or_default();
            served.sent += 1;
            served.served += usize::from(status == 200 && complete && pieces == PIECES);
            served.cut += usize::from(status == 200 && !complete);
        }
        // "Consumers honour `Retry-After`".
        let wait = answer.as_ref().ok().and_then(|a| a.header("retry-after"));
        let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0.2);
        channel = Some(open).filter(|_| complete && !answer.is_ok_and(|a| a.closes()));
        thread::sleep(Duration::from_secs_f64(wait));
    }
}
