//! Hearing the peers.

use {
    super::{
        beat::{
            About,
            Hello,
            Loads,
            Summary,
            Word, //
        },
        documents,
        lists,
        talk::{
            send,
            BUSY, //
        }, //
    },
    crate::state::Shared,
    async_std::{
        net::UdpSocket,
        task, //
    },
    policy::{
        actives::{
            HelloKind,
            LoadFlags, //
        },
        RouterId, //
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

/// How many addresses of others a router that starts is told.
const KNOWN: usize = 64;
/// Pause after a word could not be received.
const AGAIN: Duration = Duration::from_millis(50);
/// Longest datagram.
pub(super) const MAX: usize = 16 * 1024;

/// Work of a kind of which one runs at a time. Words that call for it come several times a
/// second, and what is asked of a peer takes longer.
#[derive(Debug, Clone, Default)]
struct Single(Arc<AtomicBool>);

impl Single {
    /// Starts the work, unless some of its kind runs.
    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        if self.0.swap(true, Ordering::SeqCst) {
            return;
        }
        let busy = self.0.clone();
        task::spawn(async move {
            work.await;
            busy.store(false, Ordering::SeqCst);
        });
    }
}

/// What one router hears, and what it does then.
#[derive(Debug)]
struct Listener {
    gw: Arc<Shared>,
    socket: Arc<UdpSocket>,
    fetching: Single,
    listing: Single,
}

/// Hears the peers for as long as the process runs.
pub(crate) async fn listen(gw: Arc<Shared>, socket: Arc<UdpSocket>) {
    let listener = Listener {
        gw,
        socket,
        fetching: Single::default(),
        listing: Single::default(),
    };
    let mut buf = vec![0; MAX];
    loop {
        let n = match listener.socket.recv_from(&mut buf).await {
            Ok((n, _)) => n,
            Err(e) => {
                log::warn!("event=peers outcome=receive-failed cause={e:?}");
                task::sleep(AGAIN).await;
                continue;
            }
        };
        match Word::decode(&buf[..n]) {
            Ok(Word::Hello(hello)) if hello.name != listener.gw.settings.name => {
                if listener.hello(&hello) == HelloKind::First && hello.asks {
                    listener.answer(hello.intro.peers).await;
                }
            }
            Ok(Word::Hello(_)) => {}
            Ok(Word::Loads(loads)) => listener.loads(&loads),
            Ok(Word::Summary(summary)) => listener.summary(&summary),
            Err(e) => log::debug!("event=peers outcome=not-understood cause={e:?}"),
        }
    }
}

impl Listener {
    fn loads(&self, loads: &Loads) {
        let about = &loads.about;
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        let next = about.next();
        let told = loads.loads();
        let said = LoadFlags {
            busy: told.iter().map(|(_, load)| load.running).sum::<u32>() >= BUSY,
            to_active: loads.to_active,
            from_active: loads.from_active,
        };
        let word = tables
            .fleet
            .receive_loads(about.from, about.number, next, said, now);
        let Some((from, at)) = word else {
            return;
        };
        tables.board.set_peer(&from, &told, now);
        drop(tables);
        self.about(about, &from, at);
    }

    fn summary(&self, summary: &Summary) {
        let about = &summary.about;
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        let said = LoadFlags::default();
        let word = tables
            .fleet
            .receive_loads(about.from, about.number, about.next(), said, now);
        let Some((from, at)) = word else {
            return;
        };
        let sharers = usize::from(summary.sharers);
        tables.fleet.set_sharers(sharers, now);
        tables.board.set_summary(&summary.loads(), now);
        tables.quota.set_summary(&summary.counts, now);
        drop(tables);
        self.about(about, &from, at);
    }

    fn hello(&self, hello: &Hello) -> HelloKind {
        let now = self.gw.now();
        let about = &hello.about;
        let mut tables = self.gw.tables();
        let rate = f64::from(hello.rate);
        let intro = hello.intro.clone();
        let heard =
            tables
                .fleet
                .receive_hello(&hello.name, about.number, intro, about.next(), rate, now);
        if heard == HelloKind::Stale {
            return heard;
        }
        if !hello.counts.is_empty() {
            tables.quota.set_peer(&hello.name, &hello.counts, now);
        }
        tables.fleet.receive_silent(&hello.silent, now);
        for addr in &hello.known {
            tables.fleet.add_address(*addr, now);
        }
        let left = tables.roster.apply_departures(&hello.left, now);
        let held = tables.quarantine.apply_update(&hello.notes, now);
        drop(tables);
        let at = hello.intro.peers;
        for digest in held {
            log::warn!(
                "event=quarantine outcome=begun digest={digest} from={}",
                hello.name
            );
        }
        for id in left {
            log::info!(
                "event=replica outcome=left replica={id} from={}",
                hello.name
            );
        }
        self.about(about, &hello.name, at);
        if heard == HelloKind::First {
            log::info!("event=peer outcome=heard peer={} at={at}", hello.name);
        }
        heard
    }

    /// Tells a router that starts who this one is, and where others are: it may know only those
    /// that its settings name, and the store may be away.
    async fn answer(&self, to: SocketAddr) {
        let now = self.gw.now();
        let config = self.gw.version();
        let number = self.gw.next_word();
        let hello = {
            let tables = self.gw.tables();
            let facts = tables.facts(&self.gw, number, config);
            let mut hello = tables.hello(&facts, tables.fleet.hello_interval(), now);
            hello.known = tables.fleet.sample_addresses(KNOWN, fastrand::usize(..));
            hello
        };
        send(&self.socket, &Word::Hello(Box::new(hello)), &[to], false).await;
    }

    /// Takes what each word says.
    fn about(&self, about: &About, from: &RouterId, at: SocketAddr) {
        let gw = &self.gw;
        let now = gw.now();
        let mut tables = gw.tables();
        tables.watch.set_peer(from, about.config_age(), now);
        tables.roster.observe_peer_era(about.era, now);
        let newer = tables.roster.peer_list(about.list_age(), about.list, now);
        drop(tables);
        gw.note_named_era(about.era, from);
        if newer {
            let gw = gw.clone();
            self.listing
                .spawn(async move { lists::fetch(&gw, at).await });
        }
        if about.config > gw.version() {
            let gw = gw.clone();
            self.fetching
                .spawn(async move { documents::fetch(&gw, at).await });
        }
    }
}
