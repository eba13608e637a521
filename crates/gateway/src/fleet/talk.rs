//! Speaking to the peers, and hearing them.

use {
    super::{
        beat::Beat,
        documents, //
    },
    crate::state::Shared,
    async_std::{
        net::UdpSocket,
        task, //
    },
    std::{
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

/// Least time between two words to the same peer. Requests that others sent in this time are
/// not counted in a decision: about one for each replica at 420 requests a second.
const EVERY: Duration = Duration::from_millis(40);
/// Time that each known peer adds to it, so that a router of 60 sends 200 words a second, not
/// 1,500.
const EVERY_PEER: Duration = Duration::from_millis(5);
/// A word tells where others hear theirs once in so many.
const KNOWN_EVERY: u64 = 20;
/// How many addresses it tells then.
const KNOWN: usize = 16;
/// Longest datagram.
const MAX: usize = 16 * 1024;

/// Speaks to all peers for as long as the process runs.
pub(crate) async fn say(gw: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut number = 0;
    let mut failed = false;
    loop {
        number += 1;
        let (beat, to) = word(&gw, number);
        match beat.encode() {
            Ok(bytes) => {
                for addr in &to {
                    let sent = socket.send_to(&bytes, addr).await;
                    if let (Err(e), false) = (&sent, failed) {
                        log::warn!("event=peers outcome=send-failed to={addr} cause={e:?}");
                    }
                    failed = sent.is_err();
                    metrics::counter!("chervilwind_peers_bytes_sent").increment(bytes.len() as u64);
                }
            }
            Err(e) => log::error!("event=peers outcome=not-encoded cause={e:?}"),
        }
        task::sleep(EVERY.max(EVERY_PEER * to.len() as u32)).await;
    }
}

fn word(gw: &Shared, number: u64) -> (Beat, Vec<std::net::SocketAddr>) {
    let now = gw.now();
    let config = gw.in_force().map_or(0, |f| f.config.version);
    let ready = gw.is_ready();
    let me = &gw.settings;
    let mut tables = gw.tables();
    tables.peers.forget(now);
    tables.board.forget(now);
    tables.quota.forget(now);
    let mut to = tables.peers.addresses();
    to.retain(|addr| *addr != me.listen.peers);
    let known = match number % KNOWN_EVERY {
        0 => to.iter().take(KNOWN).copied().collect(),
        _ => Vec::new(),
    };
    let beat = Beat {
        name: me.name.clone(),
        incarnation: gw.incarnation,
        number,
        zone: me.zone.clone(),
        peers: me.listen.peers,
        callers: me.listen.callers,
        ready,
        config,
        loads: tables.board.report(),
        counts: tables.quota.report(now),
        left: tables.roster.left(now),
        known,
    };
    (beat, to)
}

/// Hears the peers for as long as the process runs.
pub(crate) async fn listen(gw: Arc<Shared>, socket: Arc<UdpSocket>) {
    let fetching = Arc::new(AtomicBool::new(false));
    let mut buf = vec![0; MAX];
    loop {
        let n = match socket.recv_from(&mut buf).await {
            Ok((n, _)) => n,
            Err(e) => {
                log::warn!("event=peers outcome=receive-failed cause={e:?}");
                task::sleep(EVERY).await;
                continue;
            }
        };
        match Beat::decode(&buf[..n]) {
            Ok(beat) if beat.name != gw.settings.name => hear(&gw, &beat, &fetching),
            Ok(_) => {}
            Err(e) => log::debug!("event=peers outcome=not-understood cause={e:?}"),
        }
    }
}

fn hear(gw: &Arc<Shared>, beat: &Beat, fetching: &Arc<AtomicBool>) {
    let now = gw.now();
    let mut tables = gw.tables();
    let known = tables.peers.live(now).any(|(name, _)| *name == beat.name);
    if !tables.peers.hear(beat, now) {
        return;
    }
    if !known {
        log::info!(
            "event=peer outcome=heard peer={} at={}",
            beat.name,
            beat.peers
        );
    }
    tables.board.peer(&beat.name, &beat.loads, now);
    tables.quota.peer(&beat.name, &beat.counts, now);
    for addr in &beat.known {
        tables.peers.list(*addr, now);
    }
    for id in tables.roster.told(&beat.left, now) {
        log::info!("event=replica outcome=left replica={id} from={}", beat.name);
    }
    drop(tables);
    let have = gw.in_force().map_or(0, |f| f.config.version);
    if beat.config > have && !fetching.swap(true, Ordering::SeqCst) {
        let (gw, addr, fetching) = (gw.clone(), beat.peers, fetching.clone());
        task::spawn(async move {
            documents::fetch(&gw, addr).await;
            fetching.store(false, Ordering::SeqCst);
        });
    }
}
