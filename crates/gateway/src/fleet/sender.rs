//! Sends this router's messages to its peers.

use {
    super::messages::{
        Datagram,
        HelloMessage,
        LoadMessage,
        MessageHeader,
        PeerMessage,
        SenderState,
        SummaryMessage, //
    },
    crate::state::{
        Shared,
        Tables, //
    },
    async_std::{
        net::UdpSocket,
        task, //
    },
    futures_lite::future::or,
    policy::{
        actives::{
            router_key,
            Actives,
            Recipients,
            HELLO_EVERY, //
        },
        RouterId,
        Span,
        Time, //
    },
    std::{
        cmp::Reverse,
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// A standby sends its loads only if it runs at least this many requests. Each router gets a few of
/// the operators' requests every second; reported by 270 routers, these would cause most messages.
pub(super) const BUSY_REQUESTS: u32 = 4;

/// How many cold replicas a datagram names; a hello, and these, fit into the receiver's buffer.
const MAX_COLD_REPLICAS: usize = 300;
/// How many leaving replicas a datagram names. The list tells of others.
const MAX_LEAVING_REPLICAS: usize = 300;

/// A datagram and its receivers.
type Addressed = (Datagram, Vec<SocketAddr>);

/// What the sender remembers between two sends.
#[derive(Debug, Clone, Copy)]
struct SendState {
    /// Number of gossip intervals so far.
    intervals: u32,
    /// It reported running requests in its last messages, which the active routers still count.
    was_busy: bool,
    /// It was woken before its time, to send an update to the active routers.
    woken: bool,
    /// It was active when it last sent messages.
    was_active: bool,
}

impl SendState {
    /// Records whether this router is active, and logs a change.
    fn record_active(&mut self, fleet: &Actives) {
        let active = fleet.is_active();
        if active != self.was_active {
            let outcome = if active { "begun" } else { "ended" };
            let count = fleet.active_count();
            log::info!("event=active outcome={outcome} active={count}");
        }
        self.was_active = active;
    }
}

/// Sends messages to peers for as long as the process runs.
pub(crate) async fn send_messages(gw: Arc<Shared>) {
    let mut failed = false;
    let mut state = SendState {
        intervals: 0,
        was_busy: false,
        woken: false,
        was_active: false,
    };
    loop {
        state.intervals += 1;
        let (datagrams, pause) = due_datagrams(&gw, &mut state);
        for (datagram, to) in datagrams {
            failed = send(&gw.peer_socket, &datagram, &to, failed).await;
        }
        state.woken = or(
            async {
                task::sleep(pause).await;
                false
            },
            async { gw.woken.recv().await.is_ok() },
        )
        .await;
    }
}

/// Sends a datagram to all receivers. Returns whether the last send failed; a failure is logged
/// unless the previous send failed too.
pub(super) async fn send(
    socket: &UdpSocket,
    datagram: &Datagram,
    to: &[SocketAddr],
    mut failed: bool,
) -> bool {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!("event=peers outcome=not-encoded cause={e:?}");
            return failed;
        }
    };
    for addr in to {
        let sent = socket.send_to(&bytes, addr).await;
        if let (Err(e), false) = (&sent, failed) {
            log::warn!("event=peers outcome=send-failed to={addr} cause={e:?}");
        }
        failed = sent.is_err();
        metrics::counter!("chervilwind_peers_bytes_sent").increment(bytes.len() as u64);
    }
    failed
}

/// Returns the datagrams that are due now, and the time until the next ones.
fn due_datagrams(gw: &Shared, state: &mut SendState) -> (Vec<Addressed>, Duration) {
    let now = gw.now();
    let ready = gw.is_ready();
    let config = gw.config_version();
    let number = gw.next_message_number();
    let urgency = gw.take_urgency();
    let shares_speeds = gw.shares_speeds();
    let mut tables = gw.tables();
    tables.fleet.set_ready(ready);
    let loads = tables.board.report();
    let busy = tables.board.running() >= BUSY_REQUESTS;
    let reports = busy || state.was_busy || state.woken;
    state.was_busy = busy;
    let due = tables.fleet.due(reports, urgency, now);
    state.record_active(&tables.fleet);
    tables.observe_active(now);
    let acts_active = tables.fleet.acts_active(now);
    let interval = tables.fleet.gossip_interval();
    tables.board.set_report_interval(interval);
    tables
        .quota
        .set_report_interval(interval * f64::from(HELLO_EVERY));
    tables.board.forget(now);
    tables.quota.forget(now);
    tables.quarantine.forget(now);
    let header_state = tables.sender_state(gw, number, config);
    let mut datagrams = Vec::new();
    // The quarantine can't wait for the next hello: a request that ends replicas is sent to the
    // next replica within about 100 ms.
    let unreported = tables.quarantine.take_unreported();
    if unreported || state.intervals % HELLO_EVERY == 1 {
        tables.fleet_speeds.forget(now);
        datagrams.extend(tables.hellos(&header_state, &due, shares_speeds, now));
    }
    datagrams.extend(tables.summaries(&header_state, &due, now));
    for (to, next) in [
        (due.followers, due.followers_next),
        (due.remote, due.remote_next),
        (due.standbys, due.standbys_next),
    ] {
        if !to.is_empty() {
            let hello = tables.hello(&header_state, next, now);
            datagrams.push((tables.datagram(hello, now), to));
        }
    }
    drop(tables);
    for (to, to_active) in [(due.active_peers, true), (due.addressed, false)] {
        if !to.is_empty() {
            let header = MessageHeader::new(&header_state, due.active_next);
            let mut message = LoadMessage::new(header, &loads);
            message.to_active = to_active;
            message.from_active = acts_active;
            datagrams.push((PeerMessage::Loads(message).into(), to));
        }
    }
    (datagrams, interval.into())
}

impl Tables {
    /// Records the routers among which cold replicas are assigned.
    fn observe_active(&mut self, now: Time) {
        let names = self.fleet.active_names();
        self.warmup.assignment.observe_active(names, now);
    }

    pub(super) fn sender_state(&self, gw: &Shared, number: u32, config: u64) -> SenderState {
        let now = gw.now();
        SenderState {
            from: router_key(&gw.settings.name, gw.incarnation),
            number,
            list_age: self.roster.age(now),
            list_digest: self.roster.digest(),
            config_version: config,
            config_age: self.watch.age(now),
            era: gw.eras().newest(),
        }
    }

    /// Returns hello messages, with counts, for the active routers and the busy standbys.
    ///
    /// Active routers also get the speeds of engines, if these are shared.
    fn hellos(
        &mut self,
        state: &SenderState,
        due: &Recipients,
        shares_speeds: bool,
        now: Time,
    ) -> Vec<Addressed> {
        let active: Vec<SocketAddr> = due
            .active_peers
            .iter()
            .chain(&due.addressed)
            .copied()
            .collect();
        let busy = due.busy_standbys.clone();
        let mut all = Vec::new();
        if active.is_empty() && busy.is_empty() {
            return all;
        }
        let counts = self.quota.report(now);
        let mut speeds = None;
        if shares_speeds && !active.is_empty() {
            speeds = self.speeds_message(state.from, now);
        }
        for (to, next, speeds) in [
            (active, due.active_next, speeds),
            (busy, due.busy_next, None),
        ] {
            if !to.is_empty() {
                let mut hello = self.hello(state, next, now);
                hello.quarantine = self.quarantine.full_update(now);
                hello.counts = counts.clone();
                let mut datagram = self.datagram(hello, now);
                datagram.0.extend(speeds);
                all.push((datagram, to));
            }
        }
        all
    }

    /// Returns the summaries for the busy standbys that get them from this router.
    fn summaries(&self, state: &SenderState, due: &Recipients, now: Time) -> Vec<Addressed> {
        let sharers = self.fleet.sharers(now);
        let summary = |(name, addr): &(RouterId, SocketAddr)| {
            let header = MessageHeader::new(state, due.active_next);
            let loads = self.board.loads_except(name, now);
            let counts = self.quota.counts_except(name, now);
            let message = SummaryMessage::new(header, sharers, loads, counts);
            (PeerMessage::Summary(message).into(), vec![*addr])
        };
        due.relayed.iter().map(summary).collect()
    }

    /// Returns a datagram with a hello, the zones to evacuate, and the cold and leaving replicas.
    pub(super) fn datagram(&self, hello: HelloMessage, now: Time) -> Datagram {
        let mut messages = vec![PeerMessage::Hello(Box::new(hello))];
        let orders = self.evacuations.orders().cloned();
        messages.extend(orders.map(PeerMessage::Evacuations));
        let mut cold = self.warmup.report(now);
        if !cold.is_empty() {
            cold.sort_by_key(|c| Reverse(c.remaining));
            cold.truncate(MAX_COLD_REPLICAS);
            messages.push(PeerMessage::ColdReplicas(cold));
        }
        let mut leaving = self.roster.announced_leaving(now);
        if !leaving.is_empty() {
            leaving.truncate(MAX_LEAVING_REPLICAS);
            messages.push(PeerMessage::LeavingReplicas(leaving));
        }
        Datagram(messages)
    }

    /// Returns a hello message whose successor is sent after `next`.
    pub(super) fn hello(&self, state: &SenderState, next: Span, now: Time) -> HelloMessage {
        HelloMessage {
            header: MessageHeader::new(state, next),
            name: self.fleet.name().clone(),
            intro: self.fleet.local().clone(),
            rate: self.fleet.rate() as f32,
            counts: Vec::new(),
            departed: self.roster.departures(now),
            quarantine: self.quarantine.held_update(now),
            silent: self.fleet.silent(),
            wants_peers: self.fleet.needs_addresses(),
            known_peers: Vec::new(),
        }
    }
}
