//! Speaking to the peers.

use {
    super::beat::{
        About,
        Facts,
        Hello,
        Loads,
        Summary,
        Word, //
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
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// A router that stands by tells its loads from so many running requests on. A few requests of the
/// operators reach each router every second; told by 270 routers, they would be most of all words.
pub(super) const BUSY: u32 = 4;

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
pub(super) async fn send(
    socket: &UdpSocket,
    word: &Word,
    to: &[SocketAddr],
    mut failed: bool,
) -> bool {
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
    let acts = tables.fleet.acts_active(now);
    let pace = tables.fleet.gossip_interval();
    tables.board.set_report_interval(pace);
    tables
        .quota
        .set_report_interval(pace * f64::from(HELLO_EVERY));
    tables.board.forget(now);
    tables.quota.forget(now);
    tables.quarantine.forget(now);
    let facts = tables.facts(gw, number, config);
    let mut words = Vec::new();
    // A request that ends replicas is sent to the next one within a tenth of a second or so.
    let news = tables.quarantine.take_unreported();
    if news || occasion.round % HELLO_EVERY == 1 {
        words.extend(tables.introductions(&facts, &due, now));
    }
    words.extend(tables.summaries(&facts, &due, now));
    for (to, next) in [
        (due.remote, due.remote_next),
        (due.standbys, due.standbys_next),
    ] {
        if !to.is_empty() {
            let far = tables.hello(&facts, next, now);
            words.push((Word::Hello(Box::new(far)), to));
        }
    }
    drop(tables);
    for (to, to_active) in [(due.active_peers, true), (due.addressed, false)] {
        if !to.is_empty() {
            let about = About::new(&facts, due.active_next);
            let mut loads = Loads::new(about, &loads);
            loads.to_active = to_active;
            loads.from_active = acts;
            words.push((Word::Loads(loads), to));
        }
    }
    (words, pace.into())
}

impl Tables {
    pub(super) fn facts(&self, gw: &Shared, number: u32, config: u64) -> Facts {
        let now = gw.now();
        Facts {
            from: router_key(&gw.settings.name, gw.incarnation),
            number,
            list_age: self.roster.age(now),
            list: self.roster.digest(),
            config,
            config_age: self.watch.age(now),
            era: gw.eras().newest(),
        }
    }

    /// Returns introductions, with counts, for the active routers and the busy standbys.
    fn introductions(&mut self, facts: &Facts, due: &Recipients, now: Time) -> Vec<Addressed> {
        let near: Vec<SocketAddr> = due
            .active_peers
            .iter()
            .chain(&due.addressed)
            .copied()
            .collect();
        let beside = due.busy_standbys.clone();
        let mut all = Vec::new();
        if near.is_empty() && beside.is_empty() {
            return all;
        }
        let counts = self.quota.report(now);
        for (to, next) in [(near, due.active_next), (beside, due.busy_next)] {
            if !to.is_empty() {
                let mut hello = self.hello(facts, next, now);
                hello.notes = self.quarantine.full_update(now);
                hello.counts = counts.clone();
                all.push((Word::Hello(Box::new(hello)), to));
            }
        }
        all
    }

    /// Returns the summaries for the busy standbys that get them from this router.
    fn summaries(&self, facts: &Facts, due: &Recipients, now: Time) -> Vec<Addressed> {
        let sharers = self.fleet.sharers(now);
        let summary = |(name, addr): &(RouterId, SocketAddr)| {
            let about = About::new(facts, due.active_next);
            let loads = self.board.loads_except(name, now);
            let counts = self.quota.counts_except(name, now);
            (
                Word::Summary(Summary::new(about, sharers, loads, counts)),
                vec![*addr],
            )
        };
        due.relayed.iter().map(summary).collect()
    }

    /// Returns a word on who this router is, whose next one comes after `next`.
    pub(super) fn hello(&self, facts: &Facts, next: Span, now: Time) -> Hello {
        Hello {
            about: About::new(facts, next),
            name: self.fleet.name().clone(),
            intro: self.fleet.local().clone(),
            rate: self.fleet.rate() as f32,
            counts: Vec::new(),
            left: self.roster.departures(now),
            notes: self.quarantine.held_update(now),
            silent: self.fleet.silent(),
            asks: self.fleet.needs_addresses(),
            known: Vec::new(),
        }
    }
}
