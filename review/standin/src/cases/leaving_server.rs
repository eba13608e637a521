//! A server leaves as planned, and its process ends while it still answers streams whose answers
//! have no length.

use crate::{
    fleet::{resolve, Fleet, Record, HOST},
    http::{message, Channel},
    Verdict,
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Bound of the installation: how long a server goes on after its report was accepted.
const DRAIN: Duration = Duration::from_millis(2_000);
/// "and a little longer".
const LITTLE_LONGER: Duration = Duration::from_millis(300);
const CALM: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(6);
/// As many as at the site, of which `scale_in` takes a share of 0.13.
const SERVERS: usize = 9;
const CLIENTS: usize = 72;
/// The clients begin within this time.
const BEGIN: Duration = Duration::from_millis(4_000);
/// As many as the site's longest kind of stream has on average.
const PIECES: u64 = 76;
const GAP_MS: u64 = 70;
const DEADLINE_MS: u64 = 15_000;

/// What a client saw of its streams.
#[derive(Debug, Default)]
struct Seen {
    whole: usize,
    /// Streams that ended without looking complete.
    cut: usize,
    refused: usize,
    /// Streams that look complete and are not.
    false_ends: Vec<String>,
}

fn route(name: &str, prefix: &str, resume: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","route_type":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":1,"service":"writer","max_attempts":2,"auth_exempt":false,"session_affinity":true,"stream_resume":{resume},"gap_target_ms":300}}"#
    )
}

pub fn run(trouble: bool, file: &Path) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(260).map_err(|e| e.to_string())?;
    let routes = [
        route("r-draft", "/draft/", false),
        route("r-digest", "/digest/", true),
    ];
    let service = r#"{"name":"writer","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_token_cap":511815,"moves":false,"models":[{"name":"m"}]}}"#;
    let tenant = r#"{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}"#;
    fleet.configure(&routes.join(","), service, tenant);
    let options = [
        ("slots", 64),
        ("queue", 192),
        ("pieces", PIECES),
        ("gap-ms", GAP_MS),
    ];
    for n in 0..SERVERS {
        fleet.start_server(&format!("i-{n}"), "writer", n % 3, &options)?;
    }
    fleet.start_machines(3)?;
    let directory = fleet.machines[0].addr(7702);
    let (stop, numbers) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let seen = Arc::new(Mutex::new(Seen::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, numbers) = (stop.clone(), numbers.clone());
            let (seen, record) = (seen.clone(), fleet.record.clone());
            thread::spawn(move || client(n, directory, &stop, &numbers, &seen, &record))
        })
        .collect();
    thread::sleep(CALM);
    if trouble {
        fleet.drain_server("i-0");
        thread::sleep(DRAIN + LITTLE_LONGER);
        fleet.end_server("i-0");
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    fleet.end();
    let seen = seen.lock().unwrap();
    let text = format!(
        "{} streams whole, {} cut, {} refused, {} ended early and looked complete: {:?}",
        seen.whole,
        seen.cut,
        seen.refused,
        seen.false_ends.len(),
        seen.false_ends
    );
    fleet.record.write(file, &text).map_err(|e| e.to_string())?;
    if seen.whole < CLIENTS {
        return Err(format!("too little was served: {text}"));
    }
    Ok(match seen.false_ends.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    })
}

/// Sends streams one after the other over a kept channel.
fn client(
    n: usize,
    directory: SocketAddr,
    stop: &AtomicBool,
    numbers: &AtomicUsize,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    // They don't all begin at once.
    thread::sleep(BEGIN * n as u32 / CLIENTS as u32);
    let mut channel: Option<Channel> = None;
    while !stop.load(Ordering::SeqCst) {
        let number = numbers.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_0000_0000 + number);
        let addrs = resolve(directory);
        let Some(addr) = addrs.get(number % addrs.len().max(1)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let opened = match channel.take() {
            Some(channel) => Ok(channel),
            None => Channel::open(*addr),
        };
        let Ok(mut open) = opened else { continue };
        let path = ["/draft/", "/digest/"][n % 2];
        record.add(format!("client {n}: sends {id} to {path}"));
        let usage = "1460,80";
        let own = 0x10_0000 + number;
        let prefix = format!("5c1e07a2:800,91bd3f06:410,{own:x}:250");
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("Host", HOST),
            ("Chervilwind-Attempt-Id", id.as_str()),
            ("Chervilwind-Model", "m"),
            ("Chervilwind-Token-Usage", usage),
            ("Chervilwind-Prompt-Prefix", prefix.as_str()),
            ("Chervilwind-Deadline-Ms", deadline.as_str()),
            ("Chervilwind-Key", "asnmgkcuyj8pjbvk9m68"),
        ];
        let line = format!("POST {path}2f HTTP/1.1");
        let begun = Instant::now();
        if open.send(&message(&line, &headers, b"a prompt")).is_err() {
            continue;
        }
        let Ok(answer) = open.read_answer() else {
            record.add(format!("client {n}: {id} got no answer"));
            seen.lock().unwrap().cut += 1;
            continue;
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let pieces = body.matches("\n\n").count() as u64;
        let sealed = answer.header("chervilwind-replica-seal");
        let seal = sealed.unwrap_or("none").to_owned();
        let (status, complete) = (answer.status(), answer.complete);
        record.add(format!(
            "client {n}: {id} got {status}, seal {seal}, {pieces} of {PIECES} pieces, complete {complete}, after {} ms",
            begun.elapsed().as_millis()
        ));
        let mut seen = seen.lock().unwrap();
        match (status, complete) {
            (200, true) if pieces < PIECES => {
                seen.false_ends
                    .push(format!("{id} on {path}: {pieces} of {PIECES} pieces"));
            }
            (200, true) => seen.whole += 1,
            (200, false) => seen.cut += 1,
            _ => seen.refused += 1,
        }
        drop(seen);
        if status != 200 {
            thread::sleep(Duration::from_millis(200));
        }
        channel = Some(open).filter(|_| complete && !answer.closes());
    }
}
