//! The operator takes a key away and adds a tenant whose name has spaces.

use {
    crate::{
        fleet::{
            configure_tenants, free_addr, request_with_key, start_routers, Replica, Route, Router,
            Tenant, KEY, TENANT,
        },
        http::Conn,
        record::Record,
        replica::Work,
        store::Store,
    },
    std::{env, io, thread, time::Duration},
};

const SERVERS: usize = 3;
const ROUTERS: usize = 3;
/// Requests with each key at each router.
const REQUESTS: usize = 10;
const PATIENCE_MS: u64 = 1_000;
/// `config_apply_ms` of the sheet.
const APPLY: Duration = Duration::from_millis(2_000);
/// More than `contact_ms` of the sheet, in which all routers run undisturbed.
const CONTACT: Duration = Duration::from_millis(3_500);
/// The key that is taken away, and the one of the added tenant.
const FORMER_KEY: &str = "w3v8kq2nxd6ty1rm0czb";
const NEW_KEY: &str = "p5hs9ljf4ag7uw2ei8ok";
/// The name of the added tenant, unless `TENANT_NAME` gives another.
const NEW_TENANT: &str = "North Shore Markets";

/// What the requests with one key came to.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    refused: usize,
    other: usize,
}

pub fn run(trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let routes = [Route {
        name: "renewal",
        route_type: "non_idempotent",
        service: "registry",
        timeout_ms: PATIENCE_MS,
        target_ms: 100,
        max_attempts: 1,
        resume: false,
        regions: &[],
    }];
    let configure = |version, tenants: &[Tenant<'_>]| {
        configure_tenants(&store, version, &routes, &["registry"], 4 << 20, tenants);
    };
    configure(1, &[(TENANT, &[KEY, FORMER_KEY])]);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let work = Work {
            id: format!("i-{n:08x}"),
            addr: free_addr()?,
            events: 0,
            step: Duration::ZERO,
            body_bytes: 800,
            delay: Duration::from_millis(15),
            slots: 6,
            keep_alive: 5,
        };
        servers.push(Replica::start("registry", &work, &store, record)?);
    }
    thread::sleep(Duration::from_millis(300));
    let routers = start_routers(ROUTERS, 110, &store, record)?;
    thread::sleep(CONTACT);
    if trouble {
        let name = env::var("TENANT_NAME").unwrap_or(NEW_TENANT.to_owned());
        configure(2, &[(TENANT, &[KEY]), (&name, &[NEW_KEY])]);
        record.note(&format!(
            "version 2 is acknowledged: it takes a key of {TENANT} away and adds the tenant {name:?}"
        ));
    }
    thread::sleep(APPLY + Duration::from_millis(500));
    let mut broken = Vec::new();
    for router in &routers {
        let kept = ask(router, "kept", KEY, record)?;
        if kept.served < REQUESTS {
            return Err(io::Error::other(
                "requests with a key that stays are not served",
            ));
        }
        if !trouble {
            continue;
        }
        let former = ask(router, "former", FORMER_KEY, record)?;
        if former.served > 0 {
            broken.push(format!(
                "{} passed {} of {REQUESTS} requests with the dropped key on, and they ran",
                router.name, former.served
            ));
        }
        let new = ask(router, "new", NEW_KEY, record)?;
        if new.refused > 0 {
            broken.push(format!(
                "{} answered 401 to {} of {REQUESTS} requests with the key of the added tenant",
                router.name, new.refused
            ));
        }
    }
    Ok(broken)
}

fn ask(router: &Router, what: &str, key: &str, record: &Record) -> io::Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut conn = Conn::open(router.callers, Duration::from_millis(2 * PATIENCE_MS))?;
    for n in 0..REQUESTS {
        let attempt = format!("{what}-{}-{n}", router.name);
        conn.send(&request_with_key(
            key,
            "POST",
            "/renewal/7",
            &attempt,
            PATIENCE_MS,
            b"{}",
        ))?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        conn.read_body(&head, &mut Vec::new())?;
        let status = head.status();
        record.note(&format!("client gets {attempt}: status {status}"));
        match status {
            200 => outcome.served += 1,
            401 => outcome.refused += 1,
            _ => outcome.other += 1,
        }
    }
    record.note(&format!("{} with the {what} key: {outcome:?}", router.name));
    Ok(outcome)
}
