//! This router's entry in the store, and those of the others.

use {
    crate::{
        clock::unix_ms,
        state::Shared,
        Lease,
        Registered,
        Revision, //
    },
    async_std::task,
    policy::{
        entry_state,
        quarantine::{
            Held,
            QuarantineUpdate,
            RequestDigest, //
        },
        EntrySeen,
        EntryState,
        Era,
        Eras,
        RouterId,
        Span,
        Time, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Length of the lease on the entry. Routers tell each other's deaths from silence; the
/// entry only has to be there for those that start.
const LEASE: Duration = Duration::from_secs(15);
/// How often it is renewed, so that two renewals may fail.
const RENEW: Duration = Duration::from_secs(5);
/// A router that has been active for this long registers. One that starts takes itself for active
/// until it hears others, and 295 that start together would register all.
const SETTLED: Span = Span::millis(2_000);
/// When a router that starts looks for others: the seeds that its settings name may be down.
const EARLY: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(3_000),
    Duration::from_millis(6_000),
];
/// How often an active router looks for others later on, so that two parts of a fleet that
/// started without hearing each other become one.
const LOOK: Duration = Duration::from_secs(15);
/// How often a router that hears nobody looks for others.
const ALONE: Duration = Duration::from_secs(1);
/// How often it sees what is to be done.
const TICK: Duration = Duration::from_millis(500);

/// What a router registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) name: RouterId,
    pub(crate) peers: SocketAddr,
    /// Requests that it holds back. Where all routers end at once, nobody is left who could tell
    /// those that start, and three more replicas would end before it is known again.
    #[serde(default)]
    held: Vec<HeldUntil>,
}

/// A request that is held back, by the time of day. Clocks differ and are set, by seconds in ten
/// minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct HeldUntil {
    digest: RequestDigest,
    unix_ms: u64,
}

impl Entry {
    fn new(name: RouterId, peers: SocketAddr, held: &[Held], unix_ms: u64) -> Entry {
        let held = held.iter().map(|h| HeldUntil {
            digest: h.digest,
            unix_ms: unix_ms + h.left.as_millis(),
        });
        Entry {
            name,
            peers,
            held: held.collect(),
        }
    }

    /// Returns what is still held back by it.
    fn held(&self, unix_ms: u64) -> Vec<Held> {
        let held = self.held.iter().map(|h| Held {
            digest: h.digest,
            left: Span::millis(h.unix_ms.saturating_sub(unix_ms)),
        });
        held.filter(|h| h.left > Span::ZERO).collect()
    }
}

/// This router's entry, and its looks for the others'.
#[derive(Debug)]
struct Registration {
    started: Instant,
    /// When it last looked for others, and how often it did.
    looked: Option<Instant>,
    looks: usize,
    /// Its entry, where one stands.
    entry: Option<OwnEntry>,
    /// The newest era that was named. A lease is given up once for each that only peers name: the store
    /// may give out none of it.
    era: Era,
    /// The entry lacks a request that this router holds back.
    behind: bool,
}

/// This router's entry, as it wrote it.
#[derive(Debug, Clone, Copy)]
struct OwnEntry {
    lease: Lease,
    /// When the lease was renewed.
    renewed: Instant,
    /// At which revision it was written, and when.
    revision: Revision,
    written: Time,
}

/// Keeps this router's entry while it is active, and looks for the others'.
///
/// Those who start need to hear of a few routers only, who tell them of the rest. With an entry of
/// each, and a look of each every second at its start, 295 instances made some thousands of calls
/// to the store on a day of 50 s.
pub(crate) async fn register(gw: Arc<Shared>) {
    let mut own = Registration {
        started: Instant::now(),
        looked: None,
        looks: 0,
        entry: None,
        era: gw.eras().newest(),
        behind: false,
    };
    while !gw.is_leaving() {
        if own.is_to_look(&gw) {
            own.looked = Some(Instant::now());
            own.looks += 1;
            own.look(&gw).await;
        }
        own.keep_entry(&gw).await;
        task::sleep(TICK).await;
    }
    if let Some(entry) = own.entry {
        unregister(&gw, entry).await;
    }
}

impl Registration {
    fn is_to_look(&self, gw: &Shared) -> bool {
        let due = |every| self.looked.is_none_or(|at| at.elapsed() >= every);
        if let Some(early) = EARLY.get(self.looks) {
            return self.started.elapsed() >= *early;
        }
        let now = gw.now();
        let tables = gw.tables();
        if tables.fleet.count(now) == 1 {
            return due(ALONE);
        }
        tables.fleet.is_active() && due(LOOK)
    }

    async fn keep_entry(&mut self, gw: &Shared) {
        let settled = {
            let now = gw.now();
            gw.tables().fleet.active_for(now) >= SETTLED
        };
        self.leave_older_lease(gw.eras());
        match self.entry {
            None if settled => self.entry = take_out(gw).await,
            // The entry of one that only stands by ends with its lease.
            Some(entry) if settled && entry.renewed.elapsed() >= RENEW => {
                let goes_on = renew(gw, entry.lease).await;
                self.entry = goes_on.then(|| OwnEntry {
                    renewed: Instant::now(),
                    ..entry
                });
            }
            Some(entry) if entry.renewed.elapsed() >= LEASE => self.entry = None,
            _ => {}
        }
        self.behind |= gw.tables().quarantine.take_new_holds();
        if let Some(entry) = self.entry.as_mut().filter(|_| self.behind) {
            if let Some(revision) = write(gw, entry.lease).await {
                entry.revision = revision;
                entry.written = gw.now();
                self.behind = false;
            }
        }
    }

    /// Gives up a lease from before the store came back from an older copy.
    fn leave_older_lease(&mut self, eras: Eras) {
        let mut era = eras.confirmed();
        if eras.newest() > self.era {
            self.era = eras.newest();
            era = self.era;
        }
        if let Some(lost) = self.entry.take_if(|e| e.lease.era < era) {
            log::info!("event=register outcome=lost lease={} era={era}", lost.lease);
        }
    }

    /// Takes the others' entries, and sees whether its own still stands among them.
    async fn look(&mut self, gw: &Shared) {
        let asked = gw.now();
        let listed = (gw.store.routers)().await;
        gw.note_store("routers", listed.as_ref().err());
        let Ok(listed) = listed else { return };
        let entries = decoded(&listed);
        for (entry, _) in &entries {
            take(gw, entry);
        }
        let seen = entries.iter().map(|(entry, lease)| EntrySeen {
            name: &entry.name,
            lease: *lease,
        });
        self.check(gw, &seen.collect::<Vec<_>>(), asked);
    }

    /// Gives the entry up, to write it anew, where a list shows that it no longer stands.
    fn check(&mut self, gw: &Shared, seen: &[EntrySeen<'_>], asked: Time) {
        let Some(OwnEntry { lease, written, .. }) = self.entry else {
            return;
        };
        let state = entry_state(&gw.settings.name, lease.id, written, seen, asked);
        if state != EntryState::Valid {
            log::warn!("event=register outcome=lost lease={lease} cause={state:?}");
            self.entry = None;
        }
    }
}

/// Deletes the entry and leaves its lease to run out.
///
/// A lease is ended by its number, which is another router's where the store came back from an older
/// copy. Whatever the number stands for, this router's key at the revision that it wrote is its own.
async fn unregister(gw: &Shared, entry: OwnEntry) {
    let name = gw.settings.name.to_string();
    let deleted = (gw.store.unregister)(name, entry.revision).await;
    gw.note_store("unregister", deleted.as_ref().err());
    if deleted != Ok(true) {
        let OwnEntry {
            lease, revision, ..
        } = entry;
        log::info!("event=register outcome=left lease={lease} revision={revision}");
    }
}

/// Renews the lease. Returns false where it has ended.
async fn renew(gw: &Shared, lease: Lease) -> bool {
    let renewed = (gw.store.renew)(lease).await;
    gw.note_store("renew", renewed.as_ref().err());
    // Where the answer was lost the lease may still run, so it is tried again.
    let ended = renewed == Ok(false);
    if ended {
        log::info!("event=register outcome=lapsed");
    }
    !ended
}

async fn take_out(gw: &Shared) -> Option<OwnEntry> {
    let lease = (gw.store.lease)(LEASE).await;
    gw.note_store("lease", lease.as_ref().err());
    let lease = lease.ok()?;
    let renewed = Instant::now();
    let revision = write(gw, lease).await?;
    log::info!("event=register outcome=done lease={lease}");
    Some(OwnEntry {
        lease,
        renewed,
        revision,
        written: gw.now(),
    })
}

/// Writes this router's entry. Returns its revision where it stands there.
async fn write(gw: &Shared, lease: Lease) -> Option<Revision> {
    let held = gw.tables().quarantine.held_update(gw.now()).held;
    let settings = &gw.settings;
    let entry = Entry::new(
        settings.name.clone(),
        settings.listen.peers,
        &held,
        unix_ms(),
    );
    let bytes = match rmp_serde::to_vec_named(&entry) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!("event=register outcome=not-encoded cause={e:?}");
            return None;
        }
    };
    let written = (gw.store.register)(entry.name.to_string(), bytes, lease).await;
    gw.note_store("register", written.as_ref().err());
    written.ok()
}

/// Reads the entries that can be read, each with the number of its lease.
fn decoded(listed: &[Registered]) -> Vec<(Entry, u64)> {
    let read = |r: &Registered| match rmp_serde::from_slice::<Entry>(&r.value) {
        Ok(entry) => Some((entry, r.lease)),
        Err(e) => {
            log::warn!("event=register outcome=not-understood cause={e:?}");
            None
        }
    };
    listed.iter().filter_map(read).collect()
}

fn take(gw: &Shared, entry: &Entry) {
    let now = gw.now();
    let notes = QuarantineUpdate {
        held: entry.held(unix_ms()),
        ..QuarantineUpdate::default()
    };
    let mut tables = gw.tables();
    tables.fleet.add_address(entry.peers, now);
    let begun = tables.quarantine.apply_update(&notes, now);
    drop(tables);
    for digest in begun {
        log::warn!("event=quarantine outcome=begun digest={digest} from=store");
    }
}

#[cfg(test)]
mod tests;
