//! A stand-in of the platform's store, which can be unavailable.

use {
    super::http::{
        answer,
        serve,
        Conn,
        Message, //
    },
    base64::{
        engine::general_purpose::STANDARD,
        Engine, //
    },
    serde_json::{
        json,
        Value, //
    },
    std::{
        collections::BTreeMap,
        io,
        net::{
            SocketAddr,
            TcpListener, //
        },
        sync::{
            Arc,
            Mutex, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How often a watch looks for changes.
const WATCH_POLL: Duration = Duration::from_millis(20);
/// How long a silent store holds a call before it closes the connection.
const SILENCE: Duration = Duration::from_secs(3);

/// How calls fail while the store is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreFault {
    /// It answers 503.
    Busy,
    /// It closes the connection.
    Reset,
    /// It sends nothing for seconds.
    Silent,
}

#[derive(Debug)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: u64,
    fault: Option<StoreFault>,
}

/// The store.
#[derive(Debug, Clone)]
pub(crate) struct FakeStore {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
        }
    }

    /// Returns the items of a prefix that were written after a revision.
    fn changed(&self, prefix: &str, after: u64) -> Vec<Value> {
        let items = self.items.iter();
        let items = items.filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
        items
            .map(|(key, item)| {
                json!({"key": key, "value": item.value, "revision": item.revision,
                       "created": item.revision, "lease": item.lease})
            })
            .collect()
    }

    fn commit(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(change) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let rows = |name: &str| change[name].as_array().cloned().unwrap_or_default();
        for expected in rows("expected_rev") {
            let key = expected["key"].as_str().unwrap_or_default();
            let current = self.items.get(key).map_or(0, |item| item.revision);
            if expected["revision"].as_u64() != Some(current) {
                return (412, json!({"items": []}));
            }
        }
        for put in rows("puts") {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            let lease = put["lease"].as_u64().unwrap_or(0);
            self.put(put["key"].as_str().unwrap_or_default(), value, lease);
        }
        for key in rows("deletes") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": self.revision}))
    }
}

impl FakeStore {
    pub(crate) fn start() -> FakeStore {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = FakeStore {
            addr: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let handle = store.clone();
        serve(
            listener,
            Arc::new(move |req, conn| handle.handle(req, conn)),
        );
        store
    }

    pub(crate) fn set_fault(&self, fault: Option<StoreFault>) {
        self.state.lock().unwrap().fault = fault;
    }

    pub(crate) fn is_available(&self) -> bool {
        self.state.lock().unwrap().fault.is_none()
    }

    /// Writes a key, as operators and replicas do.
    pub(crate) fn put(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        self.state.lock().unwrap().put(key, value, 0);
    }

    pub(crate) fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
    }

    fn handle(&self, req: &Message, conn: &mut Conn) -> io::Result<()> {
        let fault = self.state.lock().unwrap().fault;
        match fault {
            Some(StoreFault::Busy) => return conn.send(&answer(503, &[], "")),
            Some(StoreFault::Reset) => return Err(io::ErrorKind::ConnectionReset.into()),
            Some(StoreFault::Silent) => {
                thread::sleep(SILENCE);
                return Err(io::ErrorKind::TimedOut.into());
            }
            None => {}
        }
        let (status, body) = self.answer(req);
        let headers = [("Store-Era", "1"), ("Content-Type", "application/json")];
        conn.send(&answer(status, &headers, &body.to_string()))
    }

    fn answer(&self, req: &Message) -> (u16, Value) {
        let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
        let find = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == name);
            found.next().map_or("", |(_, value)| value)
        };
        match path {
            "/v1/kv-range" => {
                let state = self.state.lock().unwrap();
                let items = state.changed(find("prefix"), 0);
                (
                    200,
                    json!({"items": items, "has_more": false, "store_revision": state.revision}),
                )
            }
            "/v1/kv-watch" => {
                let after = find("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(find("wait_ms").parse().unwrap_or(0));
                self.watch(find("prefix"), after, wait)
            }
            "/v1/kv-txn" => self.state.lock().unwrap().commit(&req.body),
            "/v1/kv-lease" => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                (200, json!({"lease": state.leases, "ttl_ms": 10_000}))
            }
            path if path.starts_with("/v1/kv-keep/") => (200, json!({"ttl_ms": 10_000})),
            path if path.starts_with("/v1/kv-lease-end/") => (200, json!({})),
            _ => (404, json!({})),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        loop {
            let state = self.state.lock().unwrap();
            let events = state.changed(prefix, after);
            if !events.is_empty() || Instant::now() >= until || state.fault.is_some() {
                return (
                    200,
                    json!({"events": events, "store_revision": state.revision}),
                );
            }
            drop(state);
            thread::sleep(WATCH_POLL);
        }
    }
}
