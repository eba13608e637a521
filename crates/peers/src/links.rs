//! The streams to all peers.

use {
    crate::{
        ask,
        errors::AskError,
        link::{
            self,
            AckState,
            LinkParams, //
        },
        traffic::Traffic,
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

/// Messages queued for one peer. More are dropped, as messages are sent again periodically.
const QUEUE_MESSAGES: usize = 1024;

/// Timeouts and intervals of streams.
#[derive(Debug, Clone)]
pub struct LinkTiming {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Delay after a failed connection attempt.
    pub reconnect_delay: Duration,
    /// How long sent frames may stay unconfirmed before the stream is replaced.
    pub ack_timeout: Duration,
    /// How often an idle stream is checked.
    pub check_interval: Duration,
    /// How long messages are collected into one frame.
    pub batch_delay: Duration,
}

impl Default for LinkTiming {
    fn default() -> LinkTiming {
        LinkTiming {
            connect_timeout: Duration::from_millis(500),
            reconnect_delay: Duration::from_millis(200),
            ack_timeout: Duration::from_millis(1500),
            check_interval: Duration::from_millis(250),
            batch_delay: Duration::from_millis(2),
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
    local: RouterId,
    incarnation: Incarnation,
    timing: LinkTiming,
    traffic: Arc<Traffic>,
    // Lock order: `peers` before `acks`; neither is held across an await.
    peers: Mutex<HashMap<RouterId, Peer<T>>>,
    acks: Mutex<HashMap<RouterId, Arc<AckState>>>,
}

impl<T> Links<T>
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
{
    /// Makes the links of a router with this incarnation.
    pub fn new(local: RouterId, incarnation: Incarnation, timing: LinkTiming) -> Arc<Links<T>> {
        Arc::new(Links {
            local,
            incarnation,
            timing,
            traffic: Arc::default(),
            peers: Mutex::default(),
            acks: Mutex::default(),
        })
    }

    /// Returns the counters of bytes sent and received.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sets the address of a peer. Each frame to it is delayed by `delay`.
    pub fn set_route(&self, peer: &RouterId, addr: SocketAddr, delay: Duration) {
        let mut peers = self.peers.lock().expect("peers lock");
        if peers.get(peer).is_some_and(|p| p.addr == addr) {
            return;
        }
        let (items, rx) = bounded(QUEUE_MESSAGES);
        let params = LinkParams {
            local: self.local.clone(),
            incarnation: self.incarnation,
            peer: peer.clone(),
            addr,
            timing: self.timing.clone(),
            delay,
        };
        peers.insert(peer.clone(), Peer { addr, items });
        let acks = self.acks(peer);
        task::spawn(link::run(params, rx, acks, self.traffic.clone()));
    }

    /// Closes the streams to all peers except those for which `keep` returns true.
    ///
    /// The sequence numbers of frames and streams are kept. If the peer was only disconnected, it
    /// still knows them, and would reject frames and streams that are numbered from 1 again.
    pub fn retain(&self, keep: impl Fn(&RouterId) -> bool) {
        let mut peers = self.peers.lock().expect("peers lock");
        peers.retain(|id, _| keep(id));
    }

    /// Returns the address of a peer.
    pub fn addr(&self, peer: &RouterId) -> Option<SocketAddr> {
        let peers = self.peers.lock().expect("peers lock");
        peers.get(peer).map(|p| p.addr)
    }

    /// Sends a message. It is dropped if the peer is unknown or its queue is full.
    pub fn send(&self, peer: &RouterId, item: T) {
        let peers = self.peers.lock().expect("peers lock");
        if let Some(p) = peers.get(peer) {
            if p.items.try_send(item).is_err() {
                metrics::counter!("chervilwind_peers_dropped").increment(1);
            }
        }
    }

    /// Sends a question to a peer and waits at most `max_wait` for the answer.
    ///
    /// # Errors
    ///
    /// After [`AskError::Connect`] the peer did not receive the question; after any other error it
    /// may have.
    pub async fn ask<Q, A>(
        &self,
        addr: SocketAddr,
        question: &Q,
        max_wait: Duration,
    ) -> Result<A, AskError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        ask::ask(&self.local, addr, question, max_wait, self.traffic.clone()).await
    }

    pub(crate) fn acks(&self, peer: &RouterId) -> Arc<AckState> {
        let mut acks = self.acks.lock().expect("acks lock");
        acks.entry(peer.clone()).or_default().clone()
    }
}
