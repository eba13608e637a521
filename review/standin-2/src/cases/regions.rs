//! The operator restricts a route to one region, and servers in other ones still get its requests.

use {
    crate::{
        fleet::{configure, free_addr, request, start_routers_in, Place, Replica, Route},
        http::Conn,
        record::Record,
        replica::Work,
        store::Store,
    },
    std::{collections::BTreeMap, io, net::SocketAddr, thread, time::Duration},
};

const PLACES: [Place; 3] = [
    Place {
        zone: "boston-a",
        region: "boston",
    },
    Place {
        zone: "hartford-a",
        region: "hartford",
    },
    Place {
        zone: "portland-a",
        region: "portland-me",
    },
];
/// The region to which the route is restricted: that of the first place.
const HOME: &[&str] = &["boston"];
const SERVERS: usize = 6;
const REQUESTS: usize = 120;
const CLIENTS: usize = 6;
const PATIENCE_MS: u64 = 3_000;
/// `config_apply_ms` of the sheet.
const APPLY: Duration = Duration::from_millis(4_000);

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let route = |regions| Route {
        name: "offer",
        route_type: "non_idempotent",
        service: "board",
        timeout_ms: PATIENCE_MS,
        target_ms: 400,
        max_attempts: 1,
        resume: false,
        regions,
    };
    configure(&store, 1, &[route(&[])], &["board"], 4 << 20);
    let mut servers = Vec::new();
    let mut regions = BTreeMap::new();
    for n in 0..SERVERS {
        let place = PLACES[n % PLACES.len()];
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: 0,
            step: Duration::ZERO,
            body_bytes: 800,
            delay: Duration::from_millis(60),
            slots: 6,
            keep_alive: 5,
        };
        regions.insert(work.id.clone(), place.region);
        servers.push(Replica::start_in(place, "board", &work, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let routers = start_routers_in(&PLACES, 260, &store, record)?;
    thread::sleep(Duration::from_secs(1));
    if trouble {
        configure(&store, 2, &[route(HOME)], &["board"], 4 << 20);
        record.note("version 2 is acknowledged: /offer/ may be served in boston only");
    }
    thread::sleep(APPLY + Duration::from_millis(500));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (addr, record) = (routers[0].callers, record.clone());
            thread::spawn(move || ask(addr, n, &record))
        })
        .collect();
    let mut away: BTreeMap<&str, usize> = BTreeMap::new();
    for client in clients {
        for server in client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??
        {
            let region = regions.get(&server).copied().unwrap_or("nowhere");
            if !HOME.contains(&region) {
                *away.entry(region).or_default() += 1;
            }
        }
    }
    record.note(&format!(
        "answers from servers outside boston, by region: {away:?}"
    ));
    if !trouble {
        // Without the restriction, any server may serve the route.
        return Ok(Vec::new());
    }
    let broken = away.into_iter();
    Ok(broken
        .map(|(region, n)| format!("{n} of {REQUESTS} requests ran in {region}, not in boston"))
        .collect())
}

/// Sends requests one after the other, and returns the servers that answered them.
fn ask(addr: SocketAddr, client: usize, record: &Record) -> io::Result<Vec<String>> {
    let mut conn = Conn::open(addr, Duration::from_millis(PATIENCE_MS))?;
    let mut servers = Vec::new();
    for n in 0..REQUESTS / CLIENTS {
        let attempt = format!("{client:08x}{n:08x}");
        conn.send(&request("POST", "/offer/7", &attempt, PATIENCE_MS, b"{}"))?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut bytes = Vec::new();
        conn.read_body(&head, &mut bytes)?;
        let seal = head.header("Chervilwind-Replica-Seal").unwrap_or_default();
        let server = seal.split('.').nth(1).unwrap_or_default().to_owned();
        record.note(&format!(
            "client gets {attempt}: status {}, of {server:?}",
            head.status()
        ));
        if head.status() == 200 {
            servers.push(server);
        }
    }
    Ok(servers)
}
