//! Clients pause while they read a stream that the server has sent at its usual pace.

use {
    crate::{
        fleet::{configure, free_addr, request, start_routers, Replica, Route},
        http::Conn,
        record::Record,
        replica::{event, Work},
        socket::connect_with_buffer,
        store::Store,
    },
    std::{
        io,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const SERVERS: usize = 3;
const ROUTERS: usize = 3;
const CLIENTS_PER_ROUTER: usize = 6;
/// The rule allows so many on a machine.
const ALLOWED: usize = 3;
/// Events of the longer streams of the sheet.
const EVENTS: u32 = 100;
const STEP: Duration = Duration::from_millis(20);
/// The client's receive buffer.
const RECEIVE_BUFFER: i32 = 2_048;
/// How long a client reads nothing: less than the gap after which it may abandon a stream.
const PAUSE: Duration = Duration::from_secs(6);
/// Time budget and `timeout_ms` of the requests.
const PATIENCE_MS: u64 = 15_000;

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let routes = [Route {
        name: "chat",
        route_type: "streaming",
        service: "model",
        timeout_ms: PATIENCE_MS,
        target_ms: 800,
        max_attempts: 1,
        resume: false,
        regions: &[],
    }];
    configure(&store, 1, &routes, &["model"], 4 << 20);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: EVENTS,
            step: STEP,
            body_bytes: 0,
            delay: Duration::ZERO,
            slots: 64,
            keep_alive: 5,
        };
        servers.push(Replica::start("model", &work, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let routers = start_routers(ROUTERS, 260, &store, record)?;
    // Longer than `contact_ms` of any sheet.
    thread::sleep(Duration::from_secs(6));
    let clients: Vec<_> = (0..ROUTERS * CLIENTS_PER_ROUTER)
        .map(|n| {
            let (addr, record) = (routers[n % ROUTERS].callers, record.clone());
            thread::spawn(move || ask_twice(addr, n, trouble, &record))
        })
        .collect();
    let mut lost = vec![0; ROUTERS];
    for (n, client) in clients.into_iter().enumerate() {
        let whole = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        lost[n % ROUTERS] += usize::from(!whole);
    }
    let mut broken = Vec::new();
    for (router, lost) in routers.iter().zip(lost) {
        if lost > ALLOWED {
            broken.push(format!(
                "{} closed {lost} kept channels without the whole answer of a request that it had \
                 passed on to a sound server",
                router.name
            ));
        }
    }
    Ok(broken)
}

/// Sends two requests on one channel, and pauses while it reads the second stream. Returns whether
/// that was whole; an error means that the first one failed.
fn ask_twice(addr: SocketAddr, n: usize, pauses: bool, record: &Record) -> io::Result<bool> {
    let SocketAddr::V4(addr) = addr else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let stream = connect_with_buffer(addr, RECEIVE_BUFFER)?;
    stream.set_read_timeout(Some(Duration::from_millis(PATIENCE_MS)))?;
    let mut conn = Conn::new(stream)?;
    let first = format!("{n:015x}a");
    if !ask(&mut conn, &first, Duration::ZERO, record)? {
        return Err(io::Error::other(
            "a request on a new channel was not answered",
        ));
    }
    let second = format!("{n:015x}b");
    let pause = if pauses { PAUSE } else { Duration::ZERO };
    let seen = ask(&mut conn, &second, pause, record);
    if let Err(e) = &seen {
        record.note(&format!("client gets {second}: the answer is cut, {e}"));
    }
    Ok(seen.unwrap_or(false))
}

fn ask(conn: &mut Conn, attempt: &str, pause: Duration, record: &Record) -> io::Result<bool> {
    let begun = Instant::now();
    record.note(&format!("client sends {attempt}: POST /chat/stream/7"));
    conn.send(&request(
        "POST",
        "/chat/stream/7",
        attempt,
        PATIENCE_MS,
        b"{}",
    ))?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    thread::sleep(pause);
    let mut bytes = Vec::new();
    conn.read_body(&head, &mut bytes)?;
    let all: String = (1..=EVENTS).map(event).collect();
    record.note(&format!(
        "client gets {attempt}: status {}, {} bytes, after {:.1} s",
        head.status(),
        bytes.len(),
        begun.elapsed().as_secs_f64()
    ));
    Ok(head.status() == 200 && bytes == all.as_bytes())
}
