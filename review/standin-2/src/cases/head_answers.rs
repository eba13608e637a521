//! A client asks with HEAD for what a route no longer leads to, and goes on with its channel.

use {
    crate::{
        fleet::{configure, free_addr, request, start_routers, Replica, Route, Router},
        http::Conn,
        record::Record,
        replica::{body, Work},
        store::Store,
    },
    std::{io, thread, time::Duration},
};

const SERVERS: usize = 3;
const ROUTERS: usize = 3;
const BODY_BYTES: usize = 800;
const PATIENCE_MS: u64 = 1_000;
/// `config_apply_ms` of the sheet.
const APPLY: Duration = Duration::from_millis(2_000);

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let route = |name| Route {
        name,
        route_type: "idempotent",
        service: "registry",
        timeout_ms: PATIENCE_MS,
        target_ms: 100,
        max_attempts: 2,
        resume: false,
        regions: &[],
    };
    let routes = [route("status"), route("former")];
    configure(&store, 1, &routes, &["registry"], 4 << 20);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: 0,
            step: Duration::ZERO,
            body_bytes: BODY_BYTES,
            delay: Duration::from_millis(15),
            slots: 6,
            keep_alive: 5,
        };
        servers.push(Replica::start("registry", &work, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let routers = start_routers(ROUTERS, 110, &store, record)?;
    thread::sleep(Duration::from_secs(1));
    let mut channels = Vec::new();
    for router in &routers {
        channels.push(Conn::open(router.callers, Duration::from_secs(3))?);
    }
    let mut broken = Vec::new();
    for (router, conn) in routers.iter().zip(&mut channels) {
        ask_both(router, conn, "before", record, &mut broken);
    }
    if trouble {
        configure(&store, 2, &routes[..1], &["registry"], 4 << 20);
        record.note("the operator has removed the route /former/ with version 2");
    }
    thread::sleep(APPLY + Duration::from_millis(500));
    for (router, conn) in routers.iter().zip(&mut channels) {
        ask_both(router, conn, "after", record, &mut broken);
    }
    Ok(broken)
}

/// Sends HEAD for the one route and, when that is answered, GET for the other on the same channel.
fn ask_both(
    router: &Router,
    conn: &mut Conn,
    time: &str,
    record: &Record,
    broken: &mut Vec<String>,
) {
    let first = format!("{time}-head-{}", router.name);
    let second = format!("{time}-get-{}", router.name);
    let mut ask = || -> io::Result<()> {
        record.note(&format!(
            "client sends {first}: HEAD /former/7 to {}",
            router.name
        ));
        conn.send(&request("HEAD", "/former/7", &first, PATIENCE_MS, b""))?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        record.note(&format!("client gets {first}: status {}", head.status()));
        let closes = head
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if closes {
            record.note("the channel is closed after this answer");
            return Ok(());
        }
        record.note(&format!(
            "client sends {second}: GET /status/7 on the same channel"
        ));
        conn.send(&request("GET", "/status/7", &second, PATIENCE_MS, b""))?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut bytes = Vec::new();
        conn.read_body(&head, &mut bytes)?;
        let status = head.status();
        record.note(&format!(
            "client gets {second}: status {status}, {} bytes",
            bytes.len()
        ));
        if status == 200 && bytes != body(&second, BODY_BYTES) {
            return Err(io::Error::other("the body is not the server's"));
        }
        Ok(())
    };
    if let Err(e) = ask() {
        record.note(&format!(
            "client gets {second}: bytes that are no answer: {e}"
        ));
        broken.push(format!("{}: after an answer to HEAD, {e}", router.name));
    }
}
