//! Messages about what began streams that may be taken up at another router.
//!
//! While a service has several software versions, a router tells a few others of each stream before
//! it forwards the first event, so that the stream can go on after the router was killed. They are
//! found by hashing, in different zones. A router that doesn't know a stream asks those that may.

use {
    super::{
        messages::{
            Datagram,
            PeerMessage,
            StreamAnswer,
            StreamQuery, //
        },
        sender::send,
    },
    crate::state::Shared,
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        future::timeout,
        net::UdpSocket, //
    },
    policy::{
        streams::{
            Knowledge,
            Lookup,
            StreamKey,
            StreamRecord, //
        },
        ServiceId,
    },
    slab::Slab,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            Mutex,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Records in one datagram, which then fits into the receiver's buffer.
const MAX_RECORDS: usize = 100;
/// How long answers to a query are awaited before it is sent again, or the lookup ends.
const ANSWER_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(130),
];
/// Services of a query that are looked up.
const MAX_SERVICES: usize = 16;
/// Answers that are held until the lookup takes them.
const MAX_ANSWERS: usize = 32;

/// Lookups that wait for answers of other routers.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    pending: Mutex<Slab<PendingLookup>>,
}

#[derive(Debug)]
struct PendingLookup {
    key: StreamKey,
    answers: Sender<(SocketAddr, Knowledge)>,
}

/// A pending lookup, which ends when this is dropped.
struct LookupGuard<'a> {
    lookups: &'a Lookups,
    number: u32,
    answers: Receiver<(SocketAddr, Knowledge)>,
}

impl Lookups {
    fn start(&self, key: StreamKey) -> LookupGuard<'_> {
        let (sender, answers) = bounded(MAX_ANSWERS);
        let lookup = PendingLookup {
            key,
            answers: sender,
        };
        let number = self.lock().insert(lookup) as u32;
        LookupGuard {
            lookups: self,
            number,
            answers,
        }
    }

    /// Passes an answer to the lookup that waits for it.
    pub(crate) fn receive(&self, answer: StreamAnswer, from: SocketAddr) {
        let pending = self.lock();
        let lookup = pending.get(answer.number as usize);
        if let Some(lookup) = lookup.filter(|l| l.key == answer.key) {
            // The channel is full only of answers that were sent more than once.
            let _ = lookup.answers.try_send((from, answer.knowledge));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Slab<PendingLookup>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.lookups.lock().remove(self.number as usize);
    }
}

/// Tells the holders of each stream what began it.
pub(crate) async fn tell(gw: &Shared, records: Vec<StreamRecord>) {
    let mut by_holder: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
    {
        let now = gw.now();
        let tables = gw.tables();
        for record in records {
            for holder in tables.fleet.stream_holders(record.key, now) {
                by_holder.entry(holder).or_default().push(record.clone());
            }
        }
    }
    for (holder, records) in by_holder {
        metrics::counter!("chervilwind_stream_records_sent").increment(records.len() as u64);
        for part in records.chunks(MAX_RECORDS) {
            let message = PeerMessage::StreamRecords(part.to_vec());
            send(&gw.peer_socket, &message.into(), &[holder], false).await;
        }
    }
}

/// Asks other routers what began a stream, unless that is known here.
pub(crate) async fn ask(
    gw: &Shared,
    key: StreamKey,
    services: &[ServiceId],
    own: Knowledge,
) -> Lookup {
    if own.record.is_some() {
        return Lookup::new(own, 0, 0, gw.stream_span());
    }
    let now = gw.now();
    let (sources, silent, isolated) = {
        let fleet = &gw.tables().fleet;
        (
            fleet.stream_sources(key, now),
            fleet.silent_count(now),
            fleet.is_isolated(now),
        )
    };
    let asked = if isolated { 1 } else { sources.len() };
    let lookup = Lookup::new(own, asked, silent, gw.stream_span());
    let pending = gw.lookups.start(key);
    let query = StreamQuery {
        number: pending.number,
        key,
        services: services.to_vec(),
    };
    exchange(&gw.peer_socket, query, &pending, sources, lookup).await
}

/// Sends a query until the lookup is complete, or a few times.
async fn exchange(
    socket: &UdpSocket,
    query: StreamQuery,
    pending: &LookupGuard<'_>,
    mut unanswered: Vec<SocketAddr>,
    mut lookup: Lookup,
) -> Lookup {
    let query: Datagram = PeerMessage::StreamQuery(query).into();
    for span in ANSWER_TIMEOUTS {
        if lookup.is_complete() || unanswered.is_empty() {
            break;
        }
        send(socket, &query, &unanswered, false).await;
        let until = Instant::now() + span;
        receive_answers(pending, &mut unanswered, &mut lookup, until).await;
    }
    lookup
}

async fn receive_answers(
    pending: &LookupGuard<'_>,
    unanswered: &mut Vec<SocketAddr>,
    lookup: &mut Lookup,
    until: Instant,
) {
    while !lookup.is_complete() {
        let left = until.saturating_duration_since(Instant::now());
        let Ok(Ok((from, knowledge))) = timeout(left, pending.answers.recv()).await else {
            return;
        };
        let before = unanswered.len();
        unanswered.retain(|addr| *addr != from);
        if unanswered.len() < before {
            lookup.add(knowledge);
        }
    }
}

/// Answers another router's query.
pub(super) async fn answer(gw: &Arc<Shared>, query: StreamQuery, from: SocketAddr) {
    let StreamQuery {
        number,
        key,
        services,
    } = query;
    let services = &services[..services.len().min(MAX_SERVICES)];
    let answer = StreamAnswer {
        number,
        key,
        knowledge: gw.stream_knowledge(key, services),
    };
    let message = PeerMessage::StreamAnswer(answer);
    send(&gw.peer_socket, &message.into(), &[from], false).await;
}

#[cfg(test)]
mod tests;
