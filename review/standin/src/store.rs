//! The platform's store, as PROTOCOL.md tells it, without faults.

use crate::{
    http::{message, Channel, Message},
    json::{base64, Json},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const POLL: Duration = Duration::from_millis(5);
/// "4 ms an answer".
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    /// In base64; none for a removed key.
    value: Option<String>,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
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
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    /// Removes the keys of leases that have ended.
    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let live: Vec<u64> = self.leases.keys().copied().collect();
        let ended = self.items.iter().filter(|(_, item)| {
            item.value.is_some() && item.lease != 0 && !live.contains(&item.lease)
        });
        let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.write(&key, None, 0);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        lease,
    } = item;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":{lease}}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}

fn query<'a>(target: &'a str, name: &str) -> &'a str {
    let pairs = target.split_once('?').map_or("", |(_, q)| q).split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            addr: listener.local_addr().expect("bound"),
            state: Arc::default(),
        };
        let handle = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = handle.clone();
                thread::spawn(move || {
                    let Ok(mut channel) = Channel::new(stream) else {
                        return;
                    };
                    while let Ok(request) = channel.read_request() {
                        let (status, body) = store.answer(&request);
                        let line = format!("HTTP/1.1 {status} Status");
                        let headers = [("Content-Type", "application/json")];
                        let bytes = message(&line, &headers, body.as_bytes());
                        if channel.send(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a key, as operators and servers do.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.state.lock().unwrap().write(key, Some(value), 0);
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().write(key, None, 0);
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let path = target.split('?').next().unwrap_or_default();
        if path != "/v1/kv-watch" {
            thread::sleep(ANSWER_TIME);
        }
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        let revision = state.revision;
        match path {
            "/v1/kv-key" => {
                let key = query(target, "key");
                let item = state.items.get(key).filter(|i| i.value.is_some());
                match item {
                    Some(item) => (200, item_json(key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/v1/kv-range" => {
                let (prefix, after) = (query(target, "prefix"), query(target, "after"));
                let items = state.items.iter().filter(|(key, item)| {
                    key.starts_with(prefix) && key.as_str() > after && item.value.is_some()
                });
                let items: Vec<String> = items.map(|(k, i)| item_json(k, i)).collect();
                let body = format!(
                    r#"{{"items":[{}],"has_more":false,"store_revision":{revision}}}"#,
                    items.join(",")
                );
                (200, body)
            }
            "/v1/kv-watch" => {
                drop(state);
                (200, self.watch(target))
            }
            "/v1/kv-txn" => commit(&mut state, &request.body),
            "/v1/kv-lease" => {
                let ttl_ms = body_json(&request.body).number("ttl_ms");
                let ttl = Duration::from_millis(ttl_ms);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            path => match path.strip_prefix("/v1/kv-keep/") {
                Some(lease) => match state.leases.get_mut(&lease.parse().unwrap_or(0)) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                },
                None => (404, "{}".to_owned()),
            },
        }
    }

    fn watch(&self, target: &str) -> String {
        let after = query(target, "after").parse().unwrap_or(0);
        let wait = query(target, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let mut state = self.state.lock().unwrap();
            state.end_leases();
            let items = state.items.iter();
            let prefix = query(target, "prefix");
            let items = items.filter(|(k, i)| k.starts_with(prefix) && i.revision > after);
            let mut items: Vec<_> = items.collect();
            if !items.is_empty() || Instant::now() >= until {
                items.sort_by_key(|(_, item)| item.revision);
                let events: Vec<String> = items.iter().map(|(k, i)| item_json(k, i)).collect();
                return format!(
                    r#"{{"events":[{}],"store_revision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            drop(state);
            thread::sleep(POLL);
        }
    }
}

fn body_json(body: &[u8]) -> Json {
    Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null)
}

fn commit(state: &mut State, body: &[u8]) -> (u16, String) {
    let body = body_json(body);
    for row in body.list("expected_rev") {
        let item = state.items.get(row.text("key"));
        let current = item.filter(|i| i.value.is_some()).map_or(0, |i| i.revision);
        if row.number("revision") != current {
            return (412, r#"{"items":[]}"#.to_owned());
        }
    }
    let puts = body.list("puts");
    if puts.iter().any(|p| {
        let lease = p.number("lease");
        lease != 0 && !state.leases.contains_key(&lease)
    }) {
        return (404, "{}".to_owned());
    }
    for put in puts {
        let value = Some(put.text("value").to_owned());
        state.write(put.text("key"), value, put.number("lease"));
    }
    for key in body.list("deletes") {
        state.write(key.as_text(), None, 0);
    }
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}
