//! Receives and applies messages from peers.

use {
    super::{
        documents,
        messages::{
            Datagram,
            HelloMessage,
            LoadMessage,
            MessageHeader,
            PeerMessage,
            SummaryMessage, //
        },
        replica_list,
        sender::{
            send,
            BUSY_REQUESTS, //
        },
        streams,
    },
    crate::{
        serve::log_held,
        state::Shared, //
    },
    async_std::task,
    policy::{
        actives::{
            HelloKind,
            LoadFlags, //
        },
        placement::ReplicaKey,
        streams::StreamRecord,
        RouterId,
        Span,
        Time, //
    },
    std::{
        future::Future,
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc, //
        },
        time::Duration, //
    },
};

/// How many peer addresses are sent to a router that has just started.
const MAX_KNOWN_PEERS: usize = 64;
/// How long after its start a router at most fetches its first documents only from peers of its own
/// zone, for each other router. Documents are large, and each zone needs only a few from another one.
const OWN_ZONE_SPAN_PER_ROUTER: Span = Span::millis(3);
/// Delay after an error of the socket.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);
pub(super) const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Runs at most one task of a kind at a time. The messages that trigger it arrive several times a
/// second, and a request to a peer takes longer than that.
#[derive(Debug, Clone, Default)]
struct SingleFlight(Arc<AtomicBool>);

impl SingleFlight {
    /// Spawns the future, unless one of its kind is running.
    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if self.0.swap(true, Ordering::SeqCst) {
            return;
        }
        let running = self.0.clone();
        task::spawn(async move {
            future.await;
            running.store(false, Ordering::SeqCst);
        });
    }
}

/// Applies the messages of peers to the tables of one gateway.
#[derive(Debug)]
struct MessageReceiver {
    gw: Arc<Shared>,
    config_fetch: SingleFlight,
    list_fetch: SingleFlight,
    /// A random number from 0 to 1.
    roll: f64,
}

/// Receives messages from peers for as long as the process runs.
pub(crate) async fn receive_messages(gw: Arc<Shared>) {
    let receiver = MessageReceiver {
        gw,
        config_fetch: SingleFlight::default(),
        list_fetch: SingleFlight::default(),
        roll: fastrand::f64(),
    };
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n, from) = match receiver.gw.peer_socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::warn!("event=peers outcome=receive-failed cause={e:?}");
                task::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        let (Datagram(messages), error) = Datagram::decode(&buf[..n]);
        for message in messages {
            receiver.apply(message, from).await;
        }
        if let Some(e) = error {
            log::debug!("event=peers outcome=not-understood cause={e:?}");
        }
    }
}

impl Shared {
    /// Records what a peer has, for a router that starts.
    fn record_offers(&self, header: &MessageHeader) {
        if header.has_list() {
            self.list_offered.store(true, Ordering::Relaxed);
        }
        if header.config_version > 0 {
            self.config_offered.store(true, Ordering::Relaxed);
        }
    }
}

impl MessageReceiver {
    async fn apply(&self, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::Hello(hello) if hello.name != self.gw.settings.name => {
                if self.apply_hello(&hello) == HelloKind::First && hello.wants_peers {
                    self.send_hello(hello.intro.peers).await;
                }
            }
            PeerMessage::Hello(_) => {}
            PeerMessage::Loads(loads) => self.apply_loads(&loads),
            PeerMessage::Summary(summary) => self.apply_summary(&summary),
            PeerMessage::Evacuations(orders) => {
                if self.gw.apply_evacuations(orders, &from.to_string()) {
                    self.gw.relay();
                }
            }
            PeerMessage::ColdReplicas(replicas) => {
                let now = self.gw.now();
                self.gw.tables().warmup.apply_peer(&replicas, now);
            }
            PeerMessage::LeavingReplicas(replicas) => self.apply_leaving(&replicas, from),
            PeerMessage::StreamRecords(records) => self.apply_streams(&records),
            PeerMessage::StreamQuery(query) => streams::answer(&self.gw, query, from).await,
            PeerMessage::StreamAnswer(answer) => self.gw.lookups.receive(answer, from),
            PeerMessage::ReplicaSpeeds(speeds) => self.gw.apply_speeds(&speeds),
        }
    }

    fn apply_streams(&self, records: &[StreamRecord]) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        for record in records {
            tables.streams.record_peer(record, now);
        }
    }

    fn apply_leaving(&self, replicas: &[ReplicaKey], from: SocketAddr) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        for key in replicas {
            if !tables.roster.announce_leaving(*key, now) {
                continue;
            }
            if let Some(id) = tables.roster.id_of(*key) {
                log::info!("event=replica outcome=leaving replica={id} from={from}");
            }
        }
    }

    fn apply_loads(&self, message: &LoadMessage) {
        let header = &message.header;
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        let next = header.next();
        let loads = message.loads();
        let flags = LoadFlags {
            busy: loads.iter().map(|(_, load)| load.running).sum::<u32>() >= BUSY_REQUESTS,
            to_active: message.to_active,
            from_active: message.from_active,
        };
        let sender = tables
            .fleet
            .receive_loads(header.from, header.number, next, flags, now);
        let Some((from, at)) = sender else {
            return;
        };
        tables.board.set_peer(&from, &loads, now);
        drop(tables);
        self.apply_header(header, &from, at);
    }

    fn apply_summary(&self, summary: &SummaryMessage) {
        let header = &summary.header;
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        let flags = LoadFlags::default();
        let sender =
            tables
                .fleet
                .receive_loads(header.from, header.number, header.next(), flags, now);
        let Some((from, at)) = sender else {
            return;
        };
        let sharers = usize::from(summary.sharers);
        tables.fleet.set_sharers(sharers, now);
        tables.board.set_summary(&summary.loads(), now);
        tables.quota.set_summary(&summary.counts, now);
        drop(tables);
        self.apply_header(header, &from, at);
    }

    fn apply_hello(&self, hello: &HelloMessage) -> HelloKind {
        let now = self.gw.now();
        let header = &hello.header;
        let mut tables = self.gw.tables();
        let rate = f64::from(hello.rate);
        let intro = hello.intro.clone();
        let kind =
            tables
                .fleet
                .receive_hello(&hello.name, header.number, intro, header.next(), rate, now);
        if kind == HelloKind::Stale {
            return kind;
        }
        if !hello.counts.is_empty() {
            tables.quota.set_peer(&hello.name, &hello.counts, now);
        }
        tables.fleet.receive_silent(&hello.silent, now);
        for addr in &hello.known_peers {
            tables.fleet.add_address(*addr, now);
        }
        let departed = tables.roster.apply_departures(&hello.departed, now);
        let held = tables.quarantine.apply_update(&hello.quarantine, now);
        drop(tables);
        let at = hello.intro.peers;
        log_held(&held, hello.name.as_str());
        for id in departed {
            log::info!(
                "event=replica outcome=left replica={id} from={}",
                hello.name
            );
        }
        self.apply_header(header, &hello.name, at);
        if kind == HelloKind::First {
            log::info!("event=peer outcome=heard peer={} at={at}", hello.name);
        }
        kind
    }

    /// Introduces this router and some of its peers to a router that has just started: that one may
    /// know only the seeds in its settings, and the store may be unreachable.
    async fn send_hello(&self, to: SocketAddr) {
        let now = self.gw.now();
        let config = self.gw.config_version();
        let number = self.gw.next_message_number();
        let datagram = {
            let tables = self.gw.tables();
            let state = tables.sender_state(&self.gw, number, config);
            let mut hello = tables.hello(&state, tables.fleet.hello_interval(), now);
            hello.known_peers = tables
                .fleet
                .sample_addresses(MAX_KNOWN_PEERS, fastrand::usize(..));
            tables.datagram(hello, now)
        };
        send(&self.gw.peer_socket, &datagram, &[to], false).await;
    }

    /// Applies the header of a message, and fetches what the sender has in a newer version.
    fn apply_header(&self, header: &MessageHeader, from: &RouterId, at: SocketAddr) {
        let gw = &self.gw;
        let now = gw.now();
        let mut tables = gw.tables();
        tables.watch.set_peer(from, header.config_age(), now);
        tables.roster.observe_peer_era(header.era, now);
        let newer = tables
            .roster
            .peer_list(header.list_age(), header.list_digest, now);
        let is_near = tables.fleet.is_in_zone(from, &gw.settings.zone);
        let own_zone_span = OWN_ZONE_SPAN_PER_ROUTER * tables.fleet.contact_count() as f64;
        let any_zone = is_near || now.since(Time(0)) >= own_zone_span * self.roll;
        let may_fetch = |has_one: bool| has_one || any_zone;
        let newer = newer && may_fetch(tables.roster.has_list());
        drop(tables);
        gw.record_peer_era(header.era, from);
        gw.record_offers(header);
        if newer {
            let gw = gw.clone();
            self.list_fetch
                .spawn(async move { replica_list::fetch(&gw, at).await });
        }
        let version = gw.config_version();
        if header.config_version > version && may_fetch(version > 0) {
            let gw = gw.clone();
            self.config_fetch
                .spawn(async move { documents::fetch_config(&gw, at).await });
        }
    }
}
