//! The stream to one peer.

use {
    crate::{
        body_stream::{
            BodyStream,
            Chunk, //
        },
        frame::{
            encode,
            Frame, //
        },
        links::LinkTiming,
        traffic::{
            CountedStream,
            Traffic, //
        },
    },
    answers::Capped,
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        future::timeout,
        net::TcpStream,
        task, //
    },
    http_types::{
        Body,
        Method,
        Request,
        Url, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    resources::Bytes,
    serde::Serialize,
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicU32,
                AtomicU64,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// A stream is stuck if this many frames are queued in its buffer.
const BUFFER_FRAMES: usize = 16;
/// Limits the size of a frame, so that the receiver accepts it.
const MAX_BATCH: usize = 256;
/// Longest answer to a stream, which a peer sends when it ends the stream.
const ANSWER_MAX: Bytes = Bytes(64 << 10);
/// A pending acknowledgement is sent after `ack_timeout` divided by this, even without messages.
const ACK_DELAY_DIVISOR: u32 = 4;

/// State of the acknowledgements between this router and one peer, in both directions.
#[derive(Debug, Default)]
pub(crate) struct AckState {
    /// Number of the last stream opened to the peer. The peer accepts only frames of the highest
    /// one, so counting continues if the address of the peer changes.
    pub(crate) streams: AtomicU64,
    /// Number of the last frame sent that carries messages.
    pub(crate) sent: AtomicU32,
    /// Highest frame that the peer acknowledged.
    pub(crate) confirmed: AtomicU32,
    /// Highest frame received from the peer.
    pub(crate) received: AtomicU32,
    /// Highest frame of the peer that was acknowledged to it.
    pub(crate) acknowledged: AtomicU32,
    /// When `confirmed` last increased, or the first frame after it was sent.
    pub(crate) progress_at: Mutex<Option<Instant>>,
}

impl AckState {
    /// Records the sequence number and the acknowledgement of a frame from the peer.
    pub(crate) fn record(&self, seq: u32, ack: u32) {
        self.received.fetch_max(seq, Ordering::Relaxed);
        // An acknowledgement of more frames than were sent is for an earlier incarnation.
        if ack > self.sent.load(Ordering::Relaxed) {
            return;
        }
        if self.confirmed.fetch_max(ack, Ordering::Relaxed) < ack {
            *self.progress_at.lock().expect("acks lock") = Some(Instant::now());
        }
    }

    /// Resets the state for a restarted peer, which numbers its frames from 1 again and has
    /// received none of this router's.
    pub(crate) fn reset(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.acknowledged.store(0, Ordering::Relaxed);
        let sent = self.sent.load(Ordering::Relaxed);
        self.confirmed.store(sent, Ordering::Relaxed);
    }

    /// Returns the sequence number of the next frame.
    ///
    /// A frame without messages has the number of the previous one. With a number of its own it
    /// would have to be acknowledged in turn, and two idle routers would send four frames a second
    /// forever.
    fn next_seq(&self, messages: usize) -> u32 {
        let sent = self.sent.load(Ordering::Relaxed);
        if messages == 0 {
            return sent;
        }
        // The timeout starts now and not with the last confirmation, as there was nothing to
        // confirm since then. Otherwise the stream would be replaced at once, and the message be
        // lost.
        if self.confirmed.load(Ordering::Relaxed) == sent {
            self.restart_timeout();
        }
        self.sent.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Drops pending acknowledgements to a peer that can't be reached.
    fn drop_pending(&self) {
        let received = self.received.load(Ordering::Relaxed);
        self.acknowledged.fetch_max(received, Ordering::Relaxed);
    }

    fn restart_timeout(&self) {
        *self.progress_at.lock().expect("acks lock") = Some(Instant::now());
    }

    /// Returns whether sent frames have been unconfirmed for `ack_timeout`.
    fn stuck(&self, ack_timeout: Duration) -> bool {
        let behind = self.confirmed.load(Ordering::Relaxed) < self.sent.load(Ordering::Relaxed);
        let progress_at = *self.progress_at.lock().expect("acks lock");
        behind && progress_at.is_some_and(|t| t.elapsed() > ack_timeout)
    }

    fn is_pending(&self) -> bool {
        self.acknowledged.load(Ordering::Relaxed) < self.received.load(Ordering::Relaxed)
    }
}

/// Parameters of a link: this router, the peer, and the timing.
#[derive(Debug, Clone)]
pub(crate) struct LinkParams {
    pub(crate) local: RouterId,
    pub(crate) incarnation: Incarnation,
    pub(crate) peer: RouterId,
    pub(crate) addr: SocketAddr,
    pub(crate) timing: LinkTiming,
    /// Delay of each frame, which simulates the latency between zones in benchmarks.
    pub(crate) delay: Duration,
}

/// Sends the messages of `items` to the peer until the channel is closed.
pub(crate) async fn run<T>(
    params: LinkParams,
    items: Receiver<T>,
    acks: Arc<AckState>,
    traffic: Arc<Traffic>,
) where
    T: Serialize + Send + Sync + 'static,
{
    // Connect only when there is something to send, so that a departed peer is not dialled forever.
    while let Some(first) = wait_for_work(&params, &items, &acks).await {
        let number = acks.streams.fetch_add(1, Ordering::Relaxed) + 1;
        match open(&params, number, traffic.clone()).await {
            Ok(stream) => {
                acks.restart_timeout();
                send_frames(&params, first, &items, &acks, stream).await;
            }
            Err(e) => {
                log::debug!(
                    "peers: no connection to {} at {}: {e}",
                    params.peer,
                    params.addr
                );
                discard_queued(&items);
                acks.drop_pending();
                task::sleep(params.timing.reconnect_delay).await;
            }
        }
    }
}

/// Waits until there is something to send: a message, or an acknowledgement.
///
/// A peer that gets no acknowledgements considers its stream dead and replaces it once in every
/// [`LinkTiming::ack_timeout`]. So acknowledgements are sent even if there are no messages.
async fn wait_for_work<T>(
    params: &LinkParams,
    items: &Receiver<T>,
    acks: &AckState,
) -> Option<Vec<T>> {
    loop {
        match timeout(params.timing.ack_timeout / ACK_DELAY_DIVISOR, items.recv()).await {
            Ok(Ok(item)) => return Some(vec![item]),
            Ok(Err(_)) => return None,
            Err(_) if acks.is_pending() => return Some(Vec::new()),
            Err(_) => {}
        }
    }
}

/// Discards queued messages. They would be outdated by the time the peer is reachable again.
fn discard_queued<T>(items: &Receiver<T>) {
    while items.try_recv().is_ok() {}
}

struct Stream {
    chunks: Sender<Chunk>,
    /// Receives a message when the request has ended for any reason.
    ended: Receiver<()>,
    /// Used to close the connection when the stream is dropped.
    socket: TcpStream,
}

impl Drop for Stream {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Both);
    }
}

async fn open(params: &LinkParams, number: u64, traffic: Arc<Traffic>) -> io::Result<Stream> {
    let socket = timeout(
        params.timing.connect_timeout,
        TcpStream::connect(params.addr),
    )
    .await
    .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    socket.set_nodelay(true)?;
    let (chunks, rx) = bounded(BUFFER_FRAMES);
    let (end, ended) = bounded(1);
    let req = new_request(params, number, rx)?;
    let capped = Capped::new(socket.clone(), ANSWER_MAX, "peer");
    let counted = CountedStream::new(capped, traffic);
    task::spawn(async move {
        let _ = async_h1::connect(counted, req).await;
        let _ = end.send(()).await;
    });
    Ok(Stream {
        chunks,
        ended,
        socket,
    })
}

fn new_request(params: &LinkParams, number: u64, chunks: Receiver<Chunk>) -> io::Result<Request> {
    let url = Url::parse(&format!("http://{}/p", params.addr)).map_err(io::Error::other)?;
    let mut req = Request::new(Method::Post, url);
    req.insert_header("chervilwind-from", params.local.as_str());
    req.insert_header("chervilwind-start", params.incarnation.to_string());
    req.insert_header("chervilwind-link", number.to_string());
    let body = futures_lite::io::BufReader::new(BodyStream::new(chunks));
    req.set_body(Body::from_reader(body, None));
    Ok(req)
}

async fn send_frames<T>(
    params: &LinkParams,
    first: Vec<T>,
    items: &Receiver<T>,
    acks: &Arc<AckState>,
    stream: Stream,
) where
    T: Serialize + Send + Sync + 'static,
{
    let mut next = Some(collect_batch(params, first, items).await);
    while let Some(batch) = next {
        let acknowledged = acks.received.load(Ordering::Relaxed);
        let frame = Frame {
            seq: acks.next_seq(batch.len()),
            ack: acknowledged,
            items: batch,
        };
        let Ok(bytes) = encode(&frame) else {
            log::error!("peers: a message to {} can't be encoded", params.peer);
            return;
        };
        let chunk = Chunk {
            send_at: Instant::now() + params.delay,
            bytes,
        };
        if stream.chunks.try_send(chunk).is_err() {
            log::warn!(
                "peers: stream to {} is stuck, opening a new one",
                params.peer
            );
            return;
        }
        acks.acknowledged.fetch_max(acknowledged, Ordering::Relaxed);
        next = next_batch(params, items, acks, &stream).await;
    }
}

/// Waits for messages, and collects those that arrive at about the same time.
///
/// Returns none if the stream must be replaced: it ended, or its frames have been unconfirmed for
/// too long. A network device that lost its state of a connection can make it silently drop all
/// data while new connections work. Writes still succeed then, and only missing acknowledgements
/// show it.
async fn next_batch<T>(
    params: &LinkParams,
    items: &Receiver<T>,
    acks: &AckState,
    stream: &Stream,
) -> Option<Vec<T>> {
    loop {
        if stream.ended.try_recv().is_ok() || acks.stuck(params.timing.ack_timeout) {
            log::info!(
                "peers: stream to {} is silent or closed, opening a new one",
                params.peer
            );
            return None;
        }
        let mut batch = Vec::new();
        match timeout(params.timing.check_interval, items.recv()).await {
            Ok(Ok(item)) => batch.push(item),
            Ok(Err(_)) => return None,
            Err(_) if acks.is_pending() => return Some(batch),
            Err(_) => continue,
        }
        return Some(collect_batch(params, batch, items).await);
    }
}

/// Adds messages that arrive at about the same time.
async fn collect_batch<T>(params: &LinkParams, mut batch: Vec<T>, items: &Receiver<T>) -> Vec<T> {
    if !params.timing.batch_delay.is_zero() {
        task::sleep(params.timing.batch_delay).await;
    }
    while batch.len() < MAX_BATCH {
        match items.try_recv() {
            Ok(item) => batch.push(item),
            Err(_) => break,
        }
    }
    batch
}
