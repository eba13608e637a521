//! The stand-in's state, behind one mutex.

use {
    super::{
        counts::Counts,
        faults::{
            Down,
            Faults, //
        },
        instances::Instances,
        kv::Kv, //
    },
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        net::TcpStream,
    },
    http_types::Request,
    slotmap::{
        new_key_type,
        SlotMap, //
    },
    std::{
        net::Shutdown,
        sync::{
            Arc,
            Mutex,
            MutexGuard, //
        },
        time::Duration,
    },
};

new_key_type! {
    /// One open connection.
    pub(crate) struct ConnKey;
}

/// The state that connections and handle share.
#[derive(Debug, Clone)]
pub(crate) struct Shared(Arc<Mutex<Inner>>);

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) kv: Kv,
    pub(crate) saved: Option<Kv>,
    pub(crate) list: Instances,
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
    pub(crate) conns: SlotMap<ConnKey, Conn>,
    /// Writes to be done when they are released.
    pub(crate) held: Vec<Request>,
    waiting: Vec<Sender<()>>,
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
    /// It gets no more answers.
    pub(crate) silent: bool,
}

impl Shared {
    pub(crate) fn new(lag: Duration) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            kv: Kv::default(),
            saved: None,
            list: Instances::new(lag),
            faults: Faults::default(),
            counts: Counts::default(),
            conns: SlotMap::with_key(),
            held: Vec::new(),
            waiting: Vec::new(),
        })))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    /// Returns a channel that receives the next change.
    pub(crate) fn next_change(&mut self) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        self.waiting.push(tx);
        rx
    }

    /// Wakes all that wait for a change.
    pub(crate) fn changed(&mut self) {
        for tx in self.waiting.drain(..) {
            let _ = tx.try_send(());
        }
    }

    pub(crate) fn set_down(&mut self, down: Option<Down>) {
        self.faults.down = down;
        if down == Some(Down::Refuse) {
            for conn in self.conns.values() {
                let _ = conn.stream.shutdown(Shutdown::Both);
            }
        }
        self.changed();
    }

    /// Makes the open connections silent for good.
    pub(crate) fn silence(&mut self) {
        for conn in self.conns.values_mut() {
            conn.silent = true;
        }
    }

    pub(crate) fn expire_leases(&mut self) {
        self.kv.expire_all();
        self.changed();
    }

    /// Keeps a copy of the keys and leases for `restore`.
    pub(crate) fn snapshot(&mut self) {
        self.saved = Some(self.kv.clone());
    }

    /// Forgets all keys, leases and instances, as a restart without a backup does.
    pub(crate) fn restart_empty(&mut self) {
        self.kv = Kv::default();
        self.list.restart_empty();
        self.changed();
    }

    /// Restores the last snapshot. Returns whether there is one.
    pub(crate) fn restore(&mut self) -> bool {
        let Some(kv) = self.saved.clone() else {
            return false;
        };
        self.kv = kv;
        self.changed();
        true
    }
}
