//! Many clients come at once and send long bodies; the platform kills what exceeds its memory.

use {
    crate::{
        fleet::{configure, free_addr, request, start_routers, wait_ready, Replica, Route, Router},
        http::Conn,
        record::Record,
        replica::Work,
        store::Store,
    },
    std::{
        io,
        net::SocketAddr,
        thread,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
};

const SERVERS: usize = 3;
const ROUTERS: usize = 3;
/// `memory_mb` of a machine.
const MEMORY_MB: u64 = 110;
/// `max_body_bytes` of the configuration, which the clients' bodies just reach.
const BODY_BYTES: usize = 4 << 20;
/// A body is sent in parts, one after the other, as a slow link does.
const PART_BYTES: usize = 64 << 10;
const PART_STEP: Duration = Duration::from_millis(20);
/// Clients of a router at the usual load, and in a burst of 1.7 times that.
const USUAL_CLIENTS: usize = 9;
const BURST_CLIENTS: usize = 15;
const ROUNDS: usize = 24;
const PATIENCE_MS: u64 = 10_000;
/// How often the platform looks at the memory of the processes.
const LOOK: Duration = Duration::from_millis(5);
/// After this the platform starts a process again that it has killed.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// A fault: so many processes that end so often.
const FAULT_ROUTERS: usize = 2;
const FAULT_ENDS: usize = 3;

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let routes = [Route {
        name: "renewal",
        route_type: "non_idempotent",
        service: "registry",
        timeout_ms: PATIENCE_MS,
        target_ms: 1_000,
        max_attempts: 1,
        resume: false,
        regions: &[],
    }];
    configure(&store, 1, &routes, &["registry"], BODY_BYTES);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: 0,
            step: Duration::ZERO,
            unframed: false,
            body_bytes: 800,
            delay: Duration::from_millis(15),
            slots: 60,
        };
        servers.push(Replica::start("registry", &work, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let mut routers = start_routers(ROUTERS, MEMORY_MB, &store, record)?;
    thread::sleep(Duration::from_secs(1));
    let clients = if trouble {
        BURST_CLIENTS
    } else {
        USUAL_CLIENTS
    };
    let mut ends = vec![0; ROUTERS];
    let mut unanswered = 0;
    for round in 0..ROUNDS {
        record.note(&format!("round {round}: {clients} clients at each router"));
        let uploads: Vec<_> = (0..clients * ROUTERS)
            .map(|n| {
                let (addr, record) = (routers[n % ROUTERS].callers, record.clone());
                thread::spawn(move || upload(addr, &format!("{round:08x}{n:08x}"), &record))
            })
            .collect();
        watch_memory(&mut routers, &uploads, &mut ends, record)?;
        for upload in uploads {
            let answered = upload
                .join()
                .map_err(|_| io::Error::other("a client failed"))?;
            unanswered += usize::from(!answered);
        }
        wait_ready(&routers)?;
    }
    record.note(&format!("{unanswered} requests have no answer"));
    let faulty = ends.iter().filter(|n| **n >= FAULT_ENDS).count();
    match faulty >= FAULT_ROUTERS {
        true => Ok(vec![format!(
            "the processes of {faulty} of {ROUTERS} machines ended {FAULT_ENDS} times over their \
             memory, and {unanswered} requests have no answer"
        )]),
        false => Ok(Vec::new()),
    }
}

/// Does what the platform does: kills the processes that exceed their memory, and starts them again.
fn watch_memory(
    routers: &mut [Router],
    uploads: &[JoinHandle<bool>],
    ends: &mut [usize],
    record: &Record,
) -> io::Result<()> {
    let mut most = vec![0; routers.len()];
    let mut down: Vec<Option<Instant>> = vec![None; routers.len()];
    while uploads.iter().any(|u| !u.is_finished()) || down.iter().any(Option::is_some) {
        for (n, router) in routers.iter_mut().enumerate() {
            if let Some(since) = down[n] {
                if since.elapsed() >= RESTART_DELAY {
                    router.restart()?;
                    down[n] = None;
                }
                continue;
            }
            let memory = router.memory_mb().unwrap_or(0);
            most[n] = memory.max(most[n]);
            if memory > MEMORY_MB {
                router.kill();
                ends[n] += 1;
                down[n] = Some(Instant::now());
                record.note(&format!(
                    "router {} has {memory} MB of {MEMORY_MB}; the platform kills it",
                    router.name
                ));
            }
        }
        thread::sleep(LOOK);
    }
    record.note(&format!("the most memory of each router, in MB: {most:?}"));
    Ok(())
}

/// Sends a request with a long body. Returns whether it was answered.
fn upload(addr: SocketAddr, attempt: &str, record: &Record) -> bool {
    let ask = || -> io::Result<u16> {
        let mut conn = Conn::open(addr, Duration::from_millis(PATIENCE_MS))?;
        let body = vec![b'x'; BODY_BYTES];
        for part in request("POST", "/renewal/1", attempt, PATIENCE_MS, &body).chunks(PART_BYTES) {
            conn.send(part)?;
            thread::sleep(PART_STEP);
        }
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(head.status())
    };
    let outcome = ask();
    match &outcome {
        Ok(status) => record.note(&format!("client gets {attempt}: status {status}")),
        Err(e) => record.note(&format!("client gets {attempt}: no answer, {e}")),
    }
    outcome.is_ok()
}
