//! Speaking to the peers, and hearing them.

use {
    super::{
        beat::{
            About,
            Facts,
            Hello,
            Loads,
            Word, //
        },
        documents,
        lists, //
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
            short,
            Actives,
            Heard,
            Said, //
        },
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

/// An active router tells the others who it is, and what workspaces asked of it, once in so many
/// words on its loads: some 3 times a second.
const HELLO_EVERY: u32 = 3;
/// A router that stands by tells its loads from so many running requests on. A few requests of the
/// operators reach each router every second; told by 270 routers, they would be most of all words.
const BUSY: u32 = 4;
/// How many addresses of others a router that starts is told.
const KNOWN: usize = 64;
/// Pause after a word could not be received.
const AGAIN: Duration = Duration::from_millis(50);
/// Longest datagram.
const MAX: usize = 16 * 1024;

/// A word, and to whom it goes.
type Addressed = (Word, Vec<SocketAddr>);

/// Why a router speaks now.
#[derive(Debug, Clone, Copy)]
struct Occasion {
    /// Number of words on its loads so far.
    round: u32,
    /// It had requests at replicas when it last spoke, so that the active routers count these.
    was_busy: bool,
    /// There is something to tell the active ones.
    woken: bool,
    /// It was active when it last spoke.
    was_active: bool,
}

impl Occasion {
    /// Notes whether this router is active, and logs the change.
    fn note_active(&mut self, fleet: &Actives) {
        let active = fleet.is_active();
        if active != self.was_active {
            let outcome = if active { "begun" } else { "ended" };
            let all = fleet.active_count();
            log::info!("event=active outcome={outcome} active={all}");
        }
        self.was_active = active;
    }
}

/// Speaks to all peers for as long as the process runs.
pub(crate) async fn say(gw: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut failed = false;
    let mut occasion = Occasion {
        round: 0,
        was_busy: false,
        woken: false,
        was_active: false,
    };
    loop {
        occasion.round += 1;
        let (words, pause) = words(&gw, &mut occasion);
        for (word, to) in words {
            failed = send(&socket, &word, &to, failed).await;
        }
        occasion.woken = or(
            async {
                task::sleep(pause).await;
                false
            },
            async { gw.woken.recv().await.is_ok() },
        )
        .await;
    }
}

/// Sends a word to all; returns whether the last could not be sent, which is logged once.
async fn send(socket: &UdpSocket, word: &Word, to: &[SocketAddr], mut failed: bool) -> bool {
    let bytes = match word.encode() {
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

/// Returns what is to be said now, to whom, and the time until the next words.
fn words(gw: &Shared, occasion: &mut Occasion) -> (Vec<Addressed>, Duration) {
    let now = gw.now();
    let ready = gw.is_ready();
    let config = gw.version();
    let number = gw.next_word();
    let urgent = gw.takes_urgent();
    let mut tables = gw.tables();
    tables.fleet.set_ready(ready);
    let loads = tables.board.report();
    let busy = tables.board.running() >= BUSY;
    let speaks = busy || occasion.was_busy || occasion.woken;
    occasion.was_busy = busy;
    let due = tables.fleet.due(speaks, urgent, now);
    occasion.note_active(&tables.fleet);
    let pace = tables.fleet.pace();
    tables.board.hear(pace);
    tables.quota.hear(pace * f64::from(HELLO_EVERY));
    tables.board.forget(now);
    tables.quota.forget(now);
    let facts = tables.facts(gw, number, config);
    let mut words = Vec::new();
    let told: Vec<SocketAddr> = due.near.iter().chain(&due.beside).copied().collect();
    if occasion.round % HELLO_EVERY == 1 && !told.is_empty() {
        let mut near = tables.hello(&facts, due.near_next, now);
        near.counts = tables.quota.report(now);
        words.push((Word::Hello(Box::new(near)), told));
    }
    for (to, next) in [(due.far, due.far_next), (due.seldom, due.seldom_next)] {
        if !to.is_empty() {
            let far = tables.hello(&facts, next, now);
            words.push((Word::Hello(Box::new(far)), to));
        }
    }
    drop(tables);
    for (to, to_active) in [(due.near, true), (due.beside, false)] {
        if !to.is_empty() {
            let about = About::new(&facts, due.near_next);
            words.push((Word::Loads(Loads::new(about, to_active, &loads)), to));
        }
    }
    (words, pace.into())
}

impl Tables {
    fn facts(&self, gw: &Shared, number: u32, config: u64) -> Facts {
        let now = gw.now();
        Facts {
            from: short(&gw.settings.name, gw.incarnation),
            number,
            list_age: self.roster.age(now),
            list: self.roster.digest(),
            config,
            config_age: self.watch.age(now),
        }
    }

    /// Returns a word on who this router is, whose next one comes after `next`.
    fn hello(&self, facts: &Facts, next: Span, now: Time) -> Hello {
        Hello {
            about: About::new(facts, next),
            name: self.fleet.name().clone(),
            intro: self.fleet.own().clone(),
            rate: self.fleet.rate() as f32,
            counts: Vec::new(),
            left: self.roster.left(now),
            silent: self.fleet.silent(),
            asks: self.fleet.knows_few(),
            known: Vec::new(),
        }
    }
}

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
                if listener.hello(&hello) == Heard::First && hello.asks {
                    listener.answer(hello.intro.peers).await;
                }
            }
            Ok(Word::Hello(_)) => {}
            Ok(Word::Loads(loads)) => listener.loads(&loads),
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
        let said = Said {
            busy: told.iter().map(|(_, load)| load.running).sum::<u32>() >= BUSY,
            to_active: loads.to_active,
        };
        let word = tables.fleet.word(about.from, about.number, next, said, now);
        let Some((from, at)) = word else {
            return;
        };
        tables.board.peer(&from, &told, now);
        drop(tables);
        self.about(about, &from, at);
    }

    fn hello(&self, hello: &Hello) -> Heard {
        let now = self.gw.now();
        let about = &hello.about;
        let mut tables = self.gw.tables();
        let rate = f64::from(hello.rate);
        let intro = hello.intro.clone();
        let heard = tables
            .fleet
            .hello(&hello.name, about.number, intro, about.next(), rate, now);
        if heard == Heard::Old {
            return heard;
        }
        if !hello.counts.is_empty() {
            tables.quota.peer(&hello.name, &hello.counts, now);
        }
        tables.fleet.told_silent(&hello.silent, now);
        for addr in &hello.known {
            tables.fleet.list(*addr, now);
        }
        let left = tables.roster.told(&hello.left, now);
        drop(tables);
        let at = hello.intro.peers;
        for id in left {
            log::info!(
                "event=replica outcome=left replica={id} from={}",
                hello.name
            );
        }
        self.about(about, &hello.name, at);
        if heard == Heard::First {
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
            let mut hello = tables.hello(&facts, tables.fleet.round(), now);
            hello.known = tables.fleet.some(KNOWN, fastrand::usize(..));
            hello
        };
        send(&self.socket, &Word::Hello(Box::new(hello)), &[to], false).await;
    }

    /// Takes what each word says.
    fn about(&self, about: &About, from: &RouterId, at: SocketAddr) {
        let gw = &self.gw;
        let now = gw.now();
        let mut tables = gw.tables();
        tables.watch.peer(from, about.config_age(), now);
        let newer = tables.roster.peer_list(about.list_age(), about.list, now);
        drop(tables);
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
