//! One tenant sends many times its usual: uploads within the limit on bodies. The platform ends a
//! process that takes more memory than its machine has, and starts it again.

use super::Rng;
use crate::{
    fleet::{resolve, Fleet, Record, HOST},
    http::{head, message, Channel},
    Verdict,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// `memory_mb` of the installation's machines.
const MEMORY_MB: u64 = 110;
const MACHINES: usize = 2;
const CALM: Duration = Duration::from_secs(8);
/// `hot_tenant`, `x` and `for_s` of the site.
const HOT_X: f64 = 7.5;
const HOT: Duration = Duration::from_millis(6_500);
const AFTER: Duration = Duration::from_secs(8);
/// The tenant's usual uploads a second, over all machines.
const USUAL_PER_S: f64 = 4.0;
/// Less than `max_body_bytes`, 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// A client sends its body at about 11 Mbit/s.
const SEND_TIME: Duration = Duration::from_millis(3_000);
const SLICES: usize = 100;
const CLIENTS: usize = 24;
/// Within the site's `work_ms`, 15 on average and 110 at most.
const WORK_MS: u64 = 40;
/// How often the platform looks at a process's memory.
const LOOK: Duration = Duration::from_millis(10);
/// "restarted after a short delay".
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// "more than three times".
const ALLOWED: usize = 3;

/// A request on a kept channel that ended without an answer.
#[derive(Debug)]
struct Lost {
    id: String,
    addr: SocketAddr,
    sent: Duration,
}

#[derive(Debug, Default)]
struct Seen {
    answered: usize,
    refused: usize,
    uploads: usize,
    uploaded: usize,
    lost: Vec<Lost>,
}

pub fn run(trouble: bool, file: &Path) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(MEMORY_MB).map_err(|e| e.to_string())?;
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","route_type":"{kind}","timeout_ms":15000,"target_latency_ms":100,"priority":2,"service":"registry","max_attempts":2,"auth_exempt":false,"session_affinity":false}}"#
        )
    };
    let routes = [
        route("r-post", "/post/", "non_idempotent"),
        route("r-file", "/file/", "non_idempotent"),
    ];
    let service = r#"{"name":"registry","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}"#;
    let tenants = r#"{"name":"small","api_keys":["k-small"],"priority":1},{"name":"large","api_keys":["k-large"],"priority":1}"#;
    fleet.configure(&routes.join(","), service, tenants);
    let options = [("slots", 6), ("queue", 24), ("work-ms", WORK_MS)];
    for n in 0..3 {
        fleet.start_server(&format!("i-{n}"), "registry", n % MACHINES, &options)?;
    }
    fleet.start_machines(MACHINES)?;
    let directories: Vec<SocketAddr> = fleet.machines.iter().map(|m| m.addr(7702)).collect();
    let fronts: BTreeMap<SocketAddr, String> = fleet
        .machines
        .iter()
        .map(|m| (m.addr(7700), m.name.clone()))
        .collect();
    let (stop, numbers) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let (hot, seen) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Seen::default())),
    );
    let mut threads = Vec::new();
    for n in 0..CLIENTS {
        let (stop, numbers, seen) = (stop.clone(), numbers.clone(), seen.clone());
        let (record, directories) = (fleet.record.clone(), directories.clone());
        threads.push(thread::spawn(move || {
            small_client(n, &directories, &stop, &numbers, &seen, &record)
        }));
    }
    {
        let (stop, hot, numbers, seen) = (stop.clone(), hot.clone(), numbers.clone(), seen.clone());
        let record = fleet.record.clone();
        threads.push(thread::spawn(move || {
            uploads(&directories, &stop, &hot, &numbers, &seen, &record)
        }));
    }
    // When each machine's process started and was ended by the platform.
    let mut ends: BTreeMap<String, Vec<(Duration, Duration)>> = BTreeMap::new();
    let mut peaks: BTreeMap<String, u64> = BTreeMap::new();
    let begun = Instant::now();
    let mut dead: BTreeMap<usize, Instant> = BTreeMap::new();
    while begun.elapsed() < CALM + HOT + AFTER {
        let in_hot = begun.elapsed() >= CALM && begun.elapsed() < CALM + HOT;
        if hot.swap(trouble && in_hot, Ordering::SeqCst) != (trouble && in_hot) {
            let what = if in_hot { "begins" } else { "ends" };
            fleet
                .record
                .add(format!("tenant large: {HOT_X} times its usual {what}"));
        }
        for n in 0..MACHINES {
            let log = fleet.log(&fleet.machines[n].name);
            let machine = &mut fleet.machines[n];
            if let Some(at) = dead.get(&n) {
                if at.elapsed() >= RESTART_DELAY {
                    machine.restart(&log).map_err(|e| e.to_string())?;
                    dead.remove(&n);
                    fleet
                        .record
                        .add(format!("machine {}: started again", machine.name));
                }
                continue;
            }
            let bytes = memory_of(machine.pid()).unwrap_or(0);
            let peak = peaks.entry(machine.name.clone()).or_default();
            *peak = bytes.max(*peak);
            if bytes > MEMORY_MB << 20 {
                let now = fleet.record.now();
                let up = now.saturating_sub(machine.started.elapsed());
                machine.kill();
                dead.insert(n, Instant::now());
                ends.entry(machine.name.clone())
                    .or_default()
                    .push((up, now));
                let mb = bytes >> 20;
                fleet.record.add(format!(
                    "machine {}: its process holds {mb} MB of {MEMORY_MB}, the platform ends it",
                    machine.name
                ));
            }
        }
        thread::sleep(LOOK);
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let ran = fleet.record.ids_after("run ");
    fleet.end();
    let seen = seen.lock().unwrap();
    let mut lost: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for Lost { id, addr, sent } in seen.lost.iter().filter(|l| ran.contains(&l.id)) {
        let name = fronts[addr].as_str();
        let own = ends.get(name).into_iter().flatten();
        // The process that took it had run undisturbed for long enough.
        let mut by = own.filter(|(up, end)| up <= sent && sent <= end);
        if by.any(|(up, _)| *sent >= *up + CONTACT) {
            lost.entry(name).or_default().insert(id);
        }
    }
    let counts: Vec<(&str, usize)> = lost.iter().map(|(name, ids)| (*name, ids.len())).collect();
    let ended: Vec<(&String, usize)> = ends.iter().map(|(name, all)| (name, all.len())).collect();
    let peaks: Vec<(&String, u64)> = peaks.iter().map(|(n, b)| (n, b >> 20)).collect();
    let text = format!(
        "{} answered, {} refused, {} of {} uploads answered; most memory in MB {peaks:?} of {MEMORY_MB}; ended for memory {ended:?}; passed on to a sound server from a kept channel, and never answered {counts:?}",
        seen.answered, seen.refused, seen.uploaded, seen.uploads
    );
    fleet.record.write(file, &text).map_err(|e| e.to_string())?;
    if seen.answered < 500 {
        return Err(format!("too little was served: {text}"));
    }
    Ok(match counts.iter().any(|(_, n)| *n > ALLOWED) {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}

/// Memory that a process has written to, in bytes.
fn memory_of(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|l| l.starts_with("RssAnon:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb << 10)
}

/// Asks the directories in turn, as clients do.
fn addresses(directories: &[SocketAddr]) -> Vec<SocketAddr> {
    let found = directories.iter().map(|d| resolve(*d));
    found
        .into_iter()
        .find(|a| !a.is_empty())
        .unwrap_or_default()
}

fn next_id(numbers: &AtomicUsize) -> String {
    format!(
        "{:016x}",
        0x7b20_0000_0000 + numbers.fetch_add(1, Ordering::SeqCst)
    )
}

/// Sends small requests one after the other over a kept channel.
fn small_client(
    n: usize,
    directories: &[SocketAddr],
    stop: &AtomicBool,
    numbers: &AtomicUsize,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    let mut rng = Rng(n as u64 * 7_919 + 1);
    let mut kept: Option<(SocketAddr, Channel)> = None;
    while !stop.load(Ordering::SeqCst) {
        let (addr, mut channel) = match kept.take() {
            Some(kept) => kept,
            None => {
                let all = addresses(directories);
                let at = rng.next() as usize % all.len().max(1);
                let opened = all
                    .get(at)
                    .and_then(|a| Some((*a, Channel::open(*a).ok()?)));
                match opened {
                    Some(opened) => opened,
                    None => {
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                }
            }
        };
        let id = next_id(numbers);
        let headers = [
            ("Host", HOST),
            ("Chervilwind-Attempt-Id", id.as_str()),
            ("Chervilwind-Deadline-Ms", "1000"),
            ("Chervilwind-Key", "k-small"),
        ];
        let sent = record.now();
        let request = message("POST /post/2f HTTP/1.1", &headers, &[b'r'; 600]);
        let answer = channel.send(&request).and_then(|()| channel.read_answer());
        match answer {
            Ok(answer) if answer.complete => {
                record.add(format!("client {n}: {id} got {}", answer.status()));
                let mut seen = seen.lock().unwrap();
                match answer.status() {
                    200 => seen.answered += 1,
                    _ => seen.refused += 1,
                }
                drop(seen);
                if !answer.closes() {
                    kept = Some((addr, channel));
                }
                thread::sleep(Duration::from_millis(5));
            }
            _ => {
                let answers = channel.answered;
                record.add(format!("client {n}: {id}: its channel ended without an answer, after {answers} answers"));
                if answers > 0 {
                    seen.lock().unwrap().lost.push(Lost { id, addr, sent });
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// Sends the uploads of one tenant, evenly spaced, each from a client of its own.
fn uploads(
    directories: &[SocketAddr],
    stop: &AtomicBool,
    hot: &AtomicBool,
    numbers: &AtomicUsize,
    seen: &Arc<Mutex<Seen>>,
    record: &Record,
) {
    let mut clients = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let rate = USUAL_PER_S
            * if hot.load(Ordering::SeqCst) {
                HOT_X
            } else {
                1.0
            };
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
        let mut all = addresses(directories);
        all.sort();
        if all.is_empty() {
            continue;
        }
        let addr = all[number % all.len()];
        number += 1;
        let id = next_id(numbers);
        let (seen, record) = (seen.clone(), record.clone());
        clients.push(thread::spawn(move || {
            seen.lock().unwrap().uploads += 1;
            let status = upload(addr, &id);
            record.add(format!("upload {id}: {status:?}"));
            seen.lock().unwrap().uploaded += usize::from(status == Some(200));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
}

fn upload(addr: SocketAddr, id: &str) -> Option<u16> {
    let mut channel = Channel::open(addr).ok()?;
    let length = BODY_BYTES.to_string();
    let headers = [
        ("Host", HOST),
        ("Chervilwind-Attempt-Id", id),
        ("Chervilwind-Deadline-Ms", "15000"),
        ("Chervilwind-Key", "k-large"),
        ("Content-Length", length.as_str()),
    ];
    channel
        .send(&head("POST /file/2f HTTP/1.1", &headers))
        .ok()?;
    let slice = vec![b'u'; BODY_BYTES / SLICES];
    for _ in 0..SLICES {
        thread::sleep(SEND_TIME / SLICES as u32);
        if channel.send(&slice).is_err() {
            break;
        }
    }
    channel.read_answer().ok().map(|answer| answer.status())
}
