//! The streams towards all peers.

use {
    crate::{
        ask,
        counted::Traffic,
        errors::AskError,
        link::{
            self,
            Acks,
            Ends, //
        },
    },
    async_std::{
        channel::{
            bounded,
            Sender, //
        },
        task, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    serde::{
        de::DeserializeOwned,
        Serialize, //
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            Mutex, //
        },
        time::Duration,
    },
};

/// Messages that may wait for one peer; more are dropped, since each is re-sent in time.
const QUEUE: usize = 1024;

/// How patient the streams are.
#[derive(Debug, Clone)]
pub struct LinkTiming {
    /// How long a connection may take to come about.
    pub connect: Duration,
    /// Pause before the next try after a failed one.
    pub redial: Duration,
    /// How long sent frames may stay unconfirmed before the stream is replaced.
    pub silence: Duration,
    /// How often an idle stream is looked after.
    pub check: Duration,
    /// How long messages are gathered into one frame.
    pub gather: Duration,
}

impl Default for LinkTiming {
    fn default() -> LinkTiming {
        LinkTiming {
            connect: Duration::from_millis(500),
            redial: Duration::from_millis(200),
            silence: Duration::from_millis(1500),
            check: Duration::from_millis(250),
            gather: Duration::from_millis(2),
        }
    }
}

#[derive(Debug)]
struct Peer<T> {
    addr: SocketAddr,
    items: Sender<T>,
}

/// The streams from this router to its peers, by peer.
#[derive(Debug)]
pub struct Links<T> {
    me: RouterId,
    incarnation: Incarnation,
    pace: LinkTiming,
    traffic: Arc<Traffic>,
    // Lock order: `peers` before `acks`; neither is held across a wait.
    peers: Mutex<HashMap<RouterId, Peer<T>>>,
    acks: Mutex<HashMap<RouterId, Arc<Acks>>>,
}

impl<T> Links<T>
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
{
    /// Makes the links of this start of a router.
    pub fn new(me: RouterId, incarnation: Incarnation, pace: LinkTiming) -> Arc<Links<T>> {
        Arc::new(Links {
            me,
            incarnation,
            pace,
            traffic: Arc::default(),
            peers: Mutex::default(),
            acks: Mutex::default(),
        })
    }

    /// Returns the bytes counted so far.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sets where a peer is reached; `delay` is held back before each frame.
    pub fn set_route(&self, peer: &RouterId, addr: SocketAddr, delay: Duration) {
        let mut peers = self.peers.lock().expect("peers lock");
        if peers.get(peer).is_some_and(|p| p.addr == addr) {
            return;
        }
        let (items, rx) = bounded(QUEUE);
        let ends = Ends {
            me: self.me.clone(),
            incarnation: self.incarnation,
            peer: peer.clone(),
            addr,
            pace: self.pace.clone(),
            delay,
        };
        peers.insert(peer.clone(), Peer { addr, items });
        let acks = self.acks(peer);
        task::spawn(link::run(ends, rx, acks, self.traffic.clone()));
    }

    /// Ends the streams to all peers but those that `keep` names.
    ///
    /// The numbers of its frames and streams are kept. A peer that was only cut off comes
    /// back with them, and would take those of a new count for old ones.
    pub fn retain(&self, keep: impl Fn(&RouterId) -> bool) {
        let mut peers = self.peers.lock().expect("peers lock");
        peers.retain(|id, _| keep(id));
    }

    /// Returns where a peer is reached.
    pub fn addr(&self, peer: &RouterId) -> Option<SocketAddr> {
        let peers = self.peers.lock().expect("peers lock");
        peers.get(peer).map(|p| p.addr)
    }

    /// Sends a message; it is dropped where the peer is unknown or too far behind.
    pub fn send(&self, peer: &RouterId, item: T) {
        let peers = self.peers.lock().expect("peers lock");
        if let Some(p) = peers.get(peer) {
            if p.items.try_send(item).is_err() {
                metrics::counter!("chervilwind_peers_dropped").increment(1);
            }
        }
    }

    /// Asks a peer a question and waits for its answer, `bound` at most.
    ///
    /// # Errors
    ///
    /// [`AskError::Connect`] says that the peer never saw the question; after any other
    /// error it may have.
    pub async fn ask<Q, A>(
        &self,
        addr: SocketAddr,
        question: &Q,
        bound: Duration,
    ) -> Result<A, AskError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        ask::ask(&self.me, addr, question, bound, self.traffic.clone()).await
    }

    pub(crate) fn acks(&self, peer: &RouterId) -> Arc<Acks> {
        let mut acks = self.acks.lock().expect("acks lock");
        acks.entry(peer.clone()).or_default().clone()
    }
}
