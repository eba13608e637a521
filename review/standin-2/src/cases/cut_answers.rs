//! A server that is taken away with notice ends in the middle of streams that have no length.

use {
    crate::{
        fleet::{configure, free_addr, request, start_routers, Replica, Route},
        http::Conn,
        record::Record,
        replica::{event, Work},
        store::Store,
    },
    std::{io, net::SocketAddr, thread, time::Duration},
};

const SERVERS: usize = 8;
const ROUTERS: usize = 3;
const STREAMS: usize = 48;
const EVENTS: u32 = 60;
const STEP: Duration = Duration::from_millis(60);
/// From the begin of the streams to the notice.
const NOTICE_AFTER: Duration = Duration::from_millis(500);
/// From the notice to the server's end: the `x` of `scale_in`, `spot`.
const GONE_AFTER: Duration = Duration::from_secs(2);
const PATIENCE_MS: u64 = 12_000;

/// How a stream ended for its client.
struct Seen {
    attempt: String,
    events: Vec<u32>,
    /// The answer has its end, so that it looks complete.
    whole: bool,
    note: String,
}

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let route = |name, resume, max_attempts| Route {
        name,
        route_type: "streaming",
        service: "drafting",
        timeout_ms: PATIENCE_MS,
        target_ms: 400,
        max_attempts,
        resume,
        regions: &[],
    };
    let routes = [route("cert", false, 1), route("audit", true, 2)];
    configure(&store, 1, &routes, &["drafting"], 4 << 20);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: EVENTS,
            step: STEP,
            unframed: true,
            body_bytes: 800,
            delay: Duration::from_millis(15),
            slots: 24,
        };
        servers.push(Replica::start("drafting", &work, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let routers = start_routers(ROUTERS, 110, &store, record)?;
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (addr, record) = (routers[n % ROUTERS].callers, record.clone());
            let name = if n % 2 == 0 { "cert" } else { "audit" };
            let (target, attempt) = (format!("/{name}/stream/{n}"), format!("{n:016x}"));
            thread::spawn(move || read_stream(addr, &target, &attempt, &record))
        })
        .collect();
    thread::sleep(NOTICE_AFTER);
    servers[0].drain(&store);
    record.note(&format!(
        "server {} has reported that it is draining",
        servers[0].id
    ));
    if trouble {
        thread::sleep(GONE_AFTER);
        servers[0].kill();
        record.note(&format!("server {} is gone", servers[0].id));
    }
    let mut broken = Vec::new();
    for client in clients {
        let seen = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        let all: Vec<u32> = (1..=EVENTS).collect();
        if seen.whole && seen.events != all {
            broken.push(format!(
                "request {}: the stream ends as complete after event {} of {EVENTS}",
                seen.attempt,
                seen.events.last().copied().unwrap_or(0)
            ));
        }
        if !seen.whole {
            record.note(&format!(
                "request {} has no whole answer: {}",
                seen.attempt, seen.note
            ));
        }
    }
    Ok(broken)
}

fn read_stream(addr: SocketAddr, target: &str, attempt: &str, record: &Record) -> Seen {
    record.note(&format!("client sends {attempt}: POST {target} to {addr}"));
    let mut body = Vec::new();
    let mut read = || -> io::Result<u16> {
        let mut conn = Conn::open(addr, Duration::from_millis(PATIENCE_MS))?;
        conn.send(&request("POST", target, attempt, PATIENCE_MS, b"{}"))?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        conn.read_body(&head, &mut body)?;
        Ok(head.status())
    };
    let ended = read();
    let text = String::from_utf8_lossy(&body).into_owned();
    let ids = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    let events: Vec<u32> = ids.collect();
    let sent: String = events.iter().map(|n| event(*n)).collect();
    let whole = matches!(ended, Ok(200));
    let note = match &ended {
        Ok(status) => format!("status {status}"),
        Err(e) => format!("cut: {e}"),
    };
    record.note(&format!(
        "client gets {attempt}: {note}, {} events, the last {}{}",
        events.len(),
        events.last().copied().unwrap_or(0),
        if whole && sent != text {
            ", with other bytes"
        } else {
            ""
        },
    ));
    Seen {
        attempt: attempt.to_owned(),
        events,
        whole,
        note,
    }
}
