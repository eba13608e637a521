//! A stand-in of the platform's store.
//!
//! It keeps items, revisions and leases as the pages say. Its answers are always current, so
//! `serializable` makes no difference.

use {
    crate::{
        http::{answer, serve, Conn, Head},
        json::{base64, number_field, text_field},
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

const WATCH_POLL: Duration = Duration::from_millis(10);
const LEASE_TTL_MAX: u64 = 600_000;

#[derive(Debug, Clone)]
struct Item {
    /// In base64; none once the key is deleted.
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// The time to live of each lease, and when it ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let known = self.items.get(key).filter(|item| item.value.is_some());
        let item = Item {
            value: Some(value),
            revision: self.revision,
            created: known.map_or(self.revision, |item| item.created),
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        let Some(item) = self.items.get_mut(key).filter(|item| item.value.is_some()) else {
            return;
        };
        self.revision += 1;
        item.value = None;
        item.revision = self.revision;
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| now >= *until);
        for id in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.delete(&key);
        }
    }

    fn grant(&mut self, ttl_ms: u64) -> String {
        let ttl_ms = ttl_ms.clamp(1_000, LEASE_TTL_MAX);
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        self.leases
            .insert(self.last_lease, (ttl, Instant::now() + ttl));
        format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", self.last_lease)
    }

    fn keep(&mut self, id: u64) -> (u16, String) {
        match self.leases.get_mut(&id) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                (
                    200,
                    format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    /// Applies a transaction with at most one row of each kind, as the routers send them.
    fn commit(&mut self, body: &str) -> (u16, String) {
        let section = |name: &str| {
            let at = body.find(&format!("\"{name}\""))?;
            let rest = &body[at..];
            let (begin, end) = (rest.find('[')?, rest.find(']')?);
            Some(rest[begin + 1..end].to_owned())
        };
        let part = |name| section(name).unwrap_or_default();
        let (expected, puts, deletes) = (part("expected_rev"), part("puts"), part("deletes"));
        if let Some(key) = text_field(&expected, "key") {
            let current = self.items.get(key).filter(|item| item.value.is_some());
            let current = current.map_or(0, |item| item.revision);
            if number_field(&expected, "revision") != Some(current) {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        if let (Some(key), Some(value)) = (text_field(&puts, "key"), text_field(&puts, "value")) {
            let lease = number_field(&puts, "lease").unwrap_or(0);
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            if lease > 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            self.put(key, value.to_owned(), lease);
        }
        for key in deletes.split(',').map(|key| key.trim().trim_matches('"')) {
            self.delete(key);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn encode(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        serve(listener, move |head, body, conn| {
            served.handle(head, body, conn)
        });
        Ok(store)
    }

    /// Writes a document, as the operator and the servers do.
    pub fn put(&self, key: &str, document: &str) {
        self.lock().put(key, base64(document.as_bytes()), 0);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.end_leases();
        state
    }

    fn handle(&self, head: &Head, body: &[u8], conn: &mut Conn) -> io::Result<bool> {
        let (status, text) = self.call(head, &String::from_utf8_lossy(body));
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        conn.send(&answer(status, &headers, text.as_bytes()))?;
        Ok(true)
    }

    fn call(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let find = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
        };
        let prefix = find("prefix").unwrap_or_default();
        let number = |name: &str| find(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        match (head.method(), path) {
            ("GET", "/v1/kv-range") => (200, self.range(prefix, find("after").unwrap_or_default())),
            ("GET", "/v1/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms"));
                (200, self.watch(prefix, number("after"), wait))
            }
            ("POST", "/v1/kv-txn") => self.lock().commit(body),
            ("POST", "/v1/kv-lease") => {
                let ttl_ms = number_field(body, "ttl_ms").unwrap_or(0);
                (200, self.lock().grant(ttl_ms))
            }
            ("POST", keep) if keep.starts_with("/v1/kv-keep/") => {
                let id = keep.rsplit('/').next().and_then(|id| id.parse().ok());
                self.lock().keep(id.unwrap_or(0))
            }
            ("DELETE", end) if end.starts_with("/v1/kv-lease-end/") => {
                let id = end.rsplit('/').next().and_then(|id| id.parse().ok());
                self.lock().end_lease(id.unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let items = state.items.iter();
        let items = items.filter(|(key, item)| {
            key.starts_with(prefix) && key.as_str() > after && item.value.is_some()
        });
        let items: Vec<String> = items.map(|(key, item)| encode(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        loop {
            let state = self.lock();
            let events = state.items.iter();
            let events =
                events.filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
            let mut events: Vec<(u64, String)> = events
                .map(|(key, item)| (item.revision, encode(key, item)))
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                events.sort();
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            drop(state);
            thread::sleep(WATCH_POLL);
        }
    }
}
