//! A stand-in of the platform's store, which lists in pages and can be unavailable.

use {
    super::http::{
        answer,
        serve,
        Conn,
        Message, //
    },
    adapter::testing::{
        encode_bytes,
        encode_value,
        lease_answer,
        range_answer,
        refused_transaction_answer,
        transaction_answer,
        watch_answer,
        StoreCall,
        StoredEvent,
        StoredItem,
        TransactionCall,
        STORE_ERA, //
    },
    serde_json::Value,
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
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Items of a page, unless a test sets another number.
const PAGE_ITEMS: usize = 500;

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

#[derive(Debug)]
struct State {
    items: BTreeMap<String, Item>,
    /// Deleted keys, and the revisions of their removals.
    removed: BTreeMap<String, u64>,
    revision: u64,
    leases: u64,
    fault: Option<StoreFault>,
    page_items: usize,
    /// Pages that were asked for, by prefix.
    pages: BTreeMap<String, usize>,
}

impl Default for State {
    fn default() -> State {
        State {
            items: BTreeMap::new(),
            removed: BTreeMap::new(),
            revision: 0,
            leases: 0,
            fault: None,
            page_items: PAGE_ITEMS,
            pages: BTreeMap::new(),
        }
    }
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
        self.removed.remove(key);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.removed.insert(key.to_owned(), self.revision);
        }
    }

    /// Returns the items of a prefix that were written after a revision.
    fn changed(&self, prefix: &str, after: u64) -> Vec<StoredItem> {
        let items = self.items.iter();
        let items = items.filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
        items
            .map(|(key, item)| StoredItem {
                key: key.clone(),
                value: item.value.clone(),
                revision: item.revision,
                lease: item.lease,
            })
            .collect()
    }

    /// Returns the changes of a prefix after a revision, in order.
    fn events(&self, prefix: &str, after: u64) -> Vec<StoredEvent> {
        let written = self.changed(prefix, after).into_iter();
        let written = written.map(|item| (item.revision, StoredEvent::Put(item)));
        let removed = self.removed.iter();
        let removed = removed.filter(|(key, at)| key.starts_with(prefix) && **at > after);
        let removed = removed.map(|(key, at)| {
            let event = StoredEvent::Removed {
                key: key.clone(),
                revision: *at,
                removed: true,
            };
            (*at, event)
        });
        let mut events: Vec<(u64, StoredEvent)> = written.chain(removed).collect();
        events.sort_by_key(|(revision, _)| *revision);
        events.into_iter().map(|(_, event)| event).collect()
    }

    /// Returns the page of a prefix that begins after a key.
    fn page(&mut self, prefix: &str, after: &str) -> Value {
        *self.pages.entry(prefix.to_owned()).or_default() += 1;
        let mut items = self.changed(prefix, 0);
        items.retain(|item| item.key.as_str() > after);
        let more = items.len() > self.page_items;
        items.truncate(self.page_items);
        range_answer(&items, more, self.revision)
    }

    fn commit(&mut self, change: TransactionCall) -> (u16, Value) {
        for (key, revision) in &change.expected {
            let current = self.items.get(key).map_or(0, |item| item.revision);
            if *revision != current {
                return (412, refused_transaction_answer());
            }
        }
        for (key, value, lease) in change.puts {
            self.put(&key, value, lease);
        }
        for key in change.deletes {
            self.remove(&key);
        }
        (200, transaction_answer(self.revision))
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
        let _ = serve(
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
        let value = encode_value(value);
        self.state.lock().unwrap().put(key, value, 0);
    }

    /// Writes a key with any bytes, as another writer may.
    pub(crate) fn put_bytes(&self, key: &str, value: &[u8]) {
        let value = encode_bytes(value);
        self.state.lock().unwrap().put(key, value, 0);
    }

    pub(crate) fn set_page_items(&self, count: usize) {
        self.state.lock().unwrap().page_items = count;
    }

    /// Returns how many pages of a prefix were asked for since this was last called.
    pub(crate) fn take_pages(&self, prefix: &str) -> usize {
        let mut state = self.state.lock().unwrap();
        state.pages.remove(prefix).unwrap_or_default()
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
        let headers = [(STORE_ERA, "1"), ("Content-Type", "application/json")];
        conn.send(&answer(status, &headers, &body.to_string()))
    }

    fn answer(&self, req: &Message) -> (u16, Value) {
        match StoreCall::parse(&req.target, &req.body) {
            StoreCall::Range { prefix, after } => {
                (200, self.state.lock().unwrap().page(&prefix, &after))
            }
            StoreCall::Watch {
                prefix,
                after,
                wait,
            } => self.watch(&prefix, after, wait),
            StoreCall::Transaction(change) => self.state.lock().unwrap().commit(change),
            StoreCall::Grant => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                (200, lease_answer(state.leases, LEASE_TTL))
            }
            StoreCall::Lease => (200, lease_answer(0, LEASE_TTL)),
            StoreCall::Unknown => (404, Value::Null),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        loop {
            let state = self.state.lock().unwrap();
            let events = state.events(prefix, after);
            if !events.is_empty() || Instant::now() >= until || state.fault.is_some() {
                return (200, watch_answer(&events, state.revision));
            }
            drop(state);
            thread::sleep(WATCH_POLL);
        }
    }
}
