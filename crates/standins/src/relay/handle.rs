//! Starts a relay and controls what it drops.

use {
    super::forward::accept,
    async_std::{
        net::TcpListener,
        task, //
    },
    std::{
        collections::HashSet,
        io,
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicU64,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
    },
};

/// What a relay drops.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Connections opened before this count are silent for good.
    silent: AtomicU64,
    /// Connections opened so far.
    opened: AtomicU64,
    /// Routers whose bytes are dropped.
    blocked: Mutex<HashSet<String>>,
    /// All bytes are dropped.
    shut: Mutex<bool>,
}

impl Faults {
    pub(crate) fn open(&self) -> u64 {
        self.opened.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Returns whether the bytes of a router's connection are dropped.
    pub(crate) fn lost(&self, number: u64, from: &str) -> bool {
        number <= self.silent.load(Ordering::SeqCst)
            || *self.shut.lock().expect("shut lock")
            || self.blocked.lock().expect("blocked lock").contains(from)
    }
}

/// A running relay towards one address.
#[derive(Debug)]
pub struct Relay {
    /// Where the relay listens.
    pub addr: SocketAddr,
    faults: Arc<Faults>,
}

impl Relay {
    /// Starts a relay towards `target` on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        task::spawn(accept(listener, target, faults.clone()));
        Ok(Relay { addr, faults })
    }

    /// Returns how many connections were opened so far.
    pub fn connections(&self) -> u64 {
        self.faults.opened.load(Ordering::SeqCst)
    }

    /// Makes all open connections silent for good, while new ones work.
    pub fn silence(&self) {
        let opened = self.faults.opened.load(Ordering::SeqCst);
        self.faults.silent.store(opened, Ordering::SeqCst);
    }

    /// Drops what the named router sends, on open and new connections.
    pub fn block(&self, from: &str) {
        let mut blocked = self.faults.blocked.lock().expect("blocked lock");
        blocked.insert(from.to_owned());
    }

    /// Drops everything.
    pub fn shut(&self) {
        *self.faults.shut.lock().expect("shut lock") = true;
    }

    /// Ends [`Relay::block`] and [`Relay::shut`]; connections that were open stay silent.
    pub fn heal(&self) {
        self.silence();
        *self.faults.shut.lock().expect("shut lock") = false;
        self.faults.blocked.lock().expect("blocked lock").clear();
    }
}
