//! A server is added that never closes idle channels, and says so.

use {
    crate::{
        fleet::{configure, free_addr, request, start_routers, Replica, Route},
        http::Conn,
        record::Record,
        replica::{body, Work},
        store::Store,
    },
    std::{io, net::SocketAddr, thread, time::Duration},
};

const SERVERS: usize = 4;
const ROUTERS: usize = 3;
const CLIENTS_PER_ROUTER: usize = 4;
/// Requests of a client before the server is added, and after it.
const BEFORE: usize = 5;
const AFTER: usize = 40;
const CLIENT_STEP: Duration = Duration::from_millis(40);
/// The rule allows so many on a machine.
const ALLOWED: usize = 3;
const BODY_BYTES: usize = 800;
const PATIENCE_MS: u64 = 3_000;
/// The idle timeout of the first servers, and of one that has none, in seconds.
const SHORT: u64 = 5;
const NEVER: u64 = i64::MAX as u64;

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let routes = [Route {
        name: "bind",
        route_type: "non_idempotent",
        service: "desk",
        timeout_ms: PATIENCE_MS,
        target_ms: 300,
        max_attempts: 1,
        resume: false,
        regions: &[],
    }];
    configure(&store, 1, &routes, &["desk"], 4 << 20);
    let start = |n: usize, keep_alive| {
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: 0,
            step: Duration::ZERO,
            body_bytes: BODY_BYTES,
            delay: Duration::from_millis(60),
            slots: 6,
            keep_alive,
        };
        Replica::start("desk", &work, &store, record)
    };
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        servers.push(start(n, SHORT)?);
    }
    thread::sleep(Duration::from_millis(300));
    let routers = start_routers(ROUTERS, 260, &store, record)?;
    // Longer than `contact_ms` of the sheet.
    thread::sleep(Duration::from_millis(3_500));
    let mut channels = Vec::new();
    for n in 0..ROUTERS * CLIENTS_PER_ROUTER {
        let addr = routers[n % ROUTERS].callers;
        let mut conn = Conn::open(addr, Duration::from_millis(2 * PATIENCE_MS))?;
        for k in 0..BEFORE {
            if !ask(&mut conn, &format!("before-{n}-{k}"), record)? {
                return Err(io::Error::other(
                    "a request before the disruption was not served",
                ));
            }
        }
        channels.push((addr, conn));
    }
    if trouble {
        servers.push(start(SERVERS, NEVER)?);
        record.note("a server is added that keeps idle channels open for ever");
    }
    thread::sleep(Duration::from_millis(2_500));
    let clients: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(n, (addr, conn))| {
            let record = record.clone();
            thread::spawn(move || ask_on(addr, conn, n, &record))
        })
        .collect();
    let mut lost = vec![0; ROUTERS];
    for (n, client) in clients.into_iter().enumerate() {
        lost[n % ROUTERS] += client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
    }
    let lost = routers.iter().zip(lost).filter(|(_, lost)| *lost > ALLOWED);
    Ok(lost
        .map(|(router, lost)| {
            format!(
                "{} closed {lost} kept channels without an answer to the request that it had passed \
                 on",
                router.name
            )
        })
        .collect())
}

/// Sends requests, on a new channel where the former was closed. Returns how often a channel that
/// had carried an answer was closed without one.
fn ask_on(addr: SocketAddr, mut conn: Conn, n: usize, record: &Record) -> io::Result<usize> {
    let (mut lost, mut kept) = (0, true);
    for k in 0..AFTER {
        let attempt = format!("after-{n}-{k}");
        match ask(&mut conn, &attempt, record) {
            Ok(_) => kept = true,
            Err(e) => {
                record.note(&format!(
                    "client gets {attempt}: no answer, {e}, kept channel: {kept}"
                ));
                lost += usize::from(kept);
                kept = false;
                conn = Conn::open(addr, Duration::from_millis(2 * PATIENCE_MS))?;
            }
        }
        thread::sleep(CLIENT_STEP);
    }
    Ok(lost)
}

fn ask(conn: &mut Conn, attempt: &str, record: &Record) -> io::Result<bool> {
    conn.send(&request("POST", "/bind/7", attempt, PATIENCE_MS, b"{}"))?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut bytes = Vec::new();
    conn.read_body(&head, &mut bytes)?;
    record.note(&format!("client gets {attempt}: status {}", head.status()));
    Ok(head.status() == 200 && bytes == body(attempt, BODY_BYTES))
}
