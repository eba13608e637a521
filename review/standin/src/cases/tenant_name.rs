//! The operator takes a key away, and in the same configuration adds a tenant whose name has a space.

use crate::{
    fleet::{Fleet, HOST},
    http::{message, Channel},
    Verdict,
};
use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Bound of the installation.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const LENGTH: Duration = Duration::from_secs(8);
const MACHINES: usize = 3;
const PAUSE: Duration = Duration::from_millis(50);

pub fn run(trouble: bool, file: &Path) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(110).map_err(|e| e.to_string())?;
    let route = format!(
        r#"{{"name":"r-post","host":"{HOST}","prefix":"/post/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":100,"priority":2,"service":"registry","max_attempts":1,"auth_exempt":false,"session_affinity":false}}"#
    );
    let service = r#"{"name":"registry","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}"#;
    let before = r#"{"name":"hule930","api_keys":["k-kept","k-taken"],"priority":1}"#;
    fleet.configure(&route, service, before);
    for n in 0..3 {
        let options = [("slots", 6), ("queue", 24), ("work-ms", 15)];
        fleet.start_server(&format!("i-{n}"), "registry", n, &options)?;
    }
    fleet.start_machines(MACHINES)?;
    thread::sleep(Duration::from_secs(4));
    let name = if trouble {
        "North Shore Markets"
    } else {
        "north-shore-markets"
    };
    let after = format!(
        r#"{{"name":"hule930","api_keys":["k-kept"],"priority":1}},{{"name":"{name}","api_keys":["k-new"],"priority":1}}"#
    );
    fleet.configure(&route, service, &after);
    let acknowledged = Instant::now();
    fleet.record.add(format!(
        "operator: key k-taken is taken away, tenant {name:?} added"
    ));
    let mut number = 0;
    let mut counts: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    while acknowledged.elapsed() < LENGTH {
        for machine in &fleet.machines {
            for key in ["k-kept", "k-taken", "k-new"] {
                number += 1;
                let id = format!("{:016x}", 0x5a10_0000_0000_u64 + number);
                let headers = [
                    ("Host", HOST),
                    ("Chervilwind-Attempt-Id", id.as_str()),
                    ("Chervilwind-Deadline-Ms", "1000"),
                    ("Chervilwind-Key", key),
                ];
                let late = acknowledged.elapsed() > CONFIG_APPLY;
                let request = message("POST /post/2f HTTP/1.1", &headers, b"r");
                let mut channel = Channel::open(machine.addr(7700)).map_err(|e| e.to_string())?;
                let answer = channel.send(&request).and_then(|()| channel.read_answer());
                let status = answer.map_or(0, |a| a.status());
                fleet.record.add(format!(
                    "client: {id} with {key} at {} got {status}",
                    machine.name
                ));
                if late {
                    *counts.entry((key, status)).or_default() += 1;
                }
            }
        }
        thread::sleep(PAUSE);
    }
    let ran = fleet.record.ids_after("run ").len();
    fleet.end();
    let text = format!("{ran} requests run; later than {CONFIG_APPLY:?} after the acknowledgement, by key and status: {counts:?}");
    fleet.record.write(file, &text).map_err(|e| e.to_string())?;
    let served = |key| counts.get(&(key, 200)).copied().unwrap_or(0);
    if served("k-kept") == 0 {
        return Err(format!("nothing was served: {text}"));
    }
    let refused = counts.get(&("k-new", 401)).copied().unwrap_or(0);
    Ok(match served("k-taken") + refused {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
