//! Maintains this router's entry in the store, and looks up those of others.

use {
    crate::{
        clock::unix_ms,
        serve::log_held,
        state::Shared,
        Lease,
        RegisteredRouter,
        Revision, //
    },
    async_std::task,
    policy::{
        check_address,
        entry_state,
        placement::ReplicaKey,
        quarantine::{
            Ended,
            Held,
            QuarantineUpdate,
            Suspect,
            HOLD_DURATION, //
        },
        AddressError,
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
    thiserror::Error,
};

/// Lease of the entry. It need not be short, as routers detect failed peers by their silence;
/// entries serve only routers that start.
const LEASE_DURATION: Duration = Duration::from_secs(15);
/// Two renewals in a row may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// How long a router must have been active before it registers. A starting router considers itself
/// active until it receives messages from others, so 295 routers that start together would all
/// register.
const MIN_ACTIVE_TIME: Span = Span::millis(2_000);
/// When a router that knows few others looks them up after its start. The seeds in its settings may
/// be down.
const STARTUP_LOOKUPS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(3_000),
    Duration::from_millis(6_000),
];
/// How often an active router looks up others later on, so that two parts of a fleet that started
/// without contact to each other merge.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(15);
/// How often a router that knows no live peer looks up others.
const ISOLATED_LOOKUP_INTERVAL: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A router's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouterEntry {
    pub(crate) name: RouterId,
    pub(crate) peers: SocketAddr,
    /// Quarantined suspects. If all routers end at once, no peer is left to pass them on to routers
    /// that start, and each suspect would end as many replicas again before it is quarantined.
    #[serde(default)]
    #[serde(rename = "held")]
    quarantined: Vec<QuarantinedUntil>,
}

/// Why an entry names no router.
#[derive(Debug, Error)]
enum EntryError {
    #[error("it can't be decoded: {0}")]
    Form(#[from] rmp_serde::decode::Error),
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// A quarantined suspect and the wall-clock time at which its quarantine ends. Clocks of instances
/// differ, and are adjusted, by seconds in ten minutes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantinedUntil {
    #[serde(rename = "digest")]
    suspect: Suspect,
    unix_ms: u64,
    /// Replicas that ended under it.
    #[serde(default)]
    ended: Vec<ReplicaKey>,
}

impl RouterEntry {
    fn new(
        name: RouterId,
        peers: SocketAddr,
        update: &QuarantineUpdate,
        unix_ms: u64,
    ) -> RouterEntry {
        let ended_under = |suspect| {
            let ended = update.ended.iter().filter(move |e| e.suspect == suspect);
            ended.map(|e| e.replica).collect()
        };
        let quarantined = update.held.iter().map(|h| QuarantinedUntil {
            suspect: h.suspect,
            unix_ms: unix_ms.saturating_add(h.left.as_millis()),
            ended: ended_under(h.suspect),
        });
        RouterEntry {
            name,
            peers,
            quarantined: quarantined.collect(),
        }
    }

    /// Returns what is still quarantined at this time.
    fn quarantined_at(&self, unix_ms: u64) -> QuarantineUpdate {
        let mut update = QuarantineUpdate::default();
        for entry in &self.quarantined {
            let left = Span::millis(entry.unix_ms.saturating_sub(unix_ms));
            if left == Span::ZERO {
                continue;
            }
            let suspect = entry.suspect;
            update.held.push(Held { suspect, left });
            let age = Span(HOLD_DURATION.0.saturating_sub(left.0));
            update.ended.extend(entry.ended.iter().map(|replica| Ended {
                suspect,
                replica: *replica,
                age,
            }));
        }
        update
    }
}

/// State of this router's registration and of its lookups of others.
#[derive(Debug)]
struct Registration {
    started_at: Instant,
    /// Time of the last lookup.
    last_lookup: Option<Instant>,
    lookups: usize,
    /// This router's entry, if it is registered.
    entry: Option<LocalEntry>,
    /// The newest era known. If only peers report an era, the store may never grant a lease of it,
    /// so the lease is given up only once for each such era.
    era: Era,
    /// The entry in the store lacks a quarantined suspect.
    outdated: bool,
}

/// This router's entry, as it was written.
#[derive(Debug, Clone, Copy)]
struct LocalEntry {
    lease: Lease,
    /// When the lease was last renewed.
    renewed_at: Instant,
    /// Revision of the last write.
    revision: Revision,
    written_at: Time,
}

/// Keeps this router registered while it is active, and looks up the others.
///
/// A starting router needs only a few addresses, as these routers send it those of the rest. When
/// every router registered, and looked up others every second at its start, 295 instances made some
/// thousands of calls to the store in 50 s.
pub(crate) async fn maintain_registration(gw: Arc<Shared>) {
    let mut registration = Registration {
        started_at: Instant::now(),
        last_lookup: None,
        lookups: 0,
        entry: None,
        era: gw.eras().newest(),
        outdated: false,
    };
    while !gw.is_leaving() {
        if registration.is_lookup_due(&gw) {
            registration.last_lookup = Some(Instant::now());
            registration.lookups += 1;
            registration.look_up_routers(&gw).await;
        }
        registration.maintain_entry(&gw).await;
        task::sleep(CHECK_INTERVAL).await;
    }
    if let Some(entry) = registration.entry {
        unregister(&gw, entry).await;
    }
}

impl Registration {
    fn is_lookup_due(&self, gw: &Shared) -> bool {
        let last = self.last_lookup.unwrap_or(self.started_at);
        let due = |interval| last.elapsed() >= interval;
        let now = gw.now();
        let tables = gw.tables();
        let delay = STARTUP_LOOKUPS.get(self.lookups);
        if let Some(delay) = delay.filter(|_| tables.fleet.needs_addresses()) {
            return self.started_at.elapsed() >= *delay;
        }
        if tables.fleet.count(now) == 1 {
            return due(ISOLATED_LOOKUP_INTERVAL);
        }
        tables.fleet.is_active() && due(LOOKUP_INTERVAL)
    }

    async fn maintain_entry(&mut self, gw: &Shared) {
        let registers = {
            let now = gw.now();
            gw.tables().fleet.active_for(now) >= MIN_ACTIVE_TIME
        };
        self.drop_older_lease(gw.eras());
        match self.entry {
            None if registers => self.entry = register(gw).await,
            // A standby does not renew; its entry ends with the lease.
            Some(entry) if registers && entry.renewed_at.elapsed() >= RENEW_INTERVAL => {
                let renewed = renew(gw, entry.lease).await;
                self.entry = renewed.then(|| LocalEntry {
                    renewed_at: Instant::now(),
                    ..entry
                });
            }
            Some(entry) if entry.renewed_at.elapsed() >= LEASE_DURATION => self.entry = None,
            _ => {}
        }
        self.outdated |= gw.tables().quarantine.take_new_holds();
        if let Some(entry) = self.entry.as_mut().filter(|_| self.outdated) {
            if let Some(revision) = write_entry(gw, entry.lease).await {
                entry.revision = revision;
                entry.written_at = gw.now();
                self.outdated = false;
            }
        }
    }

    /// Drops a lease of an older era: the store was since restored from a backup.
    fn drop_older_lease(&mut self, eras: Eras) {
        let mut era = eras.confirmed();
        if eras.newest() > self.era {
            self.era = eras.newest();
            era = self.era;
        }
        if let Some(lost) = self.entry.take_if(|e| e.lease.era < era) {
            log::info!("event=register outcome=lost lease={} era={era}", lost.lease);
        }
    }

    /// Applies the entries of all routers, and checks whether this router's is still among them.
    async fn look_up_routers(&mut self, gw: &Shared) {
        let asked_at = gw.now();
        let listed = (gw.store.list_routers)().await;
        gw.record_store_call("routers", listed.as_ref().err());
        let Ok(listed) = listed else { return };
        let entries = decode_entries(&listed);
        for (entry, _) in &entries {
            apply_entry(gw, entry);
        }
        let seen = entries.iter().map(|(entry, lease)| EntrySeen {
            name: &entry.name,
            lease: *lease,
        });
        self.check_entry(gw, &seen.collect::<Vec<_>>(), asked_at);
    }

    /// Drops the local entry if a list shows that the store no longer has it, so that it is written
    /// again.
    fn check_entry(&mut self, gw: &Shared, seen: &[EntrySeen<'_>], asked_at: Time) {
        let Some(LocalEntry {
            lease, written_at, ..
        }) = self.entry
        else {
            return;
        };
        let state = entry_state(&gw.settings.name, lease.id, written_at, seen, asked_at);
        if state != EntryState::Valid {
            log::warn!("event=register outcome=lost lease={lease} cause={state:?}");
            self.entry = None;
        }
    }
}

/// Deletes the entry and lets its lease expire.
///
/// The lease is not revoked: after the store was restored from a backup, its number may belong to
/// another router. The entry at the revision that this router wrote is certainly its own.
async fn unregister(gw: &Shared, entry: LocalEntry) {
    let name = gw.settings.name.to_string();
    let deleted = (gw.store.unregister)(name, entry.revision).await;
    gw.record_store_call("unregister", deleted.as_ref().err());
    if deleted != Ok(true) {
        let LocalEntry {
            lease, revision, ..
        } = entry;
        log::info!("event=register outcome=left lease={lease} revision={revision}");
    }
}

/// Renews the lease. Returns false if it has ended.
async fn renew(gw: &Shared, lease: Lease) -> bool {
    let renewed = (gw.store.renew_lease)(lease).await;
    gw.record_store_call("renew", renewed.as_ref().err());
    // If the call failed the lease may still be valid, so the entry is kept and renewed again
    // later.
    let ended = renewed == Ok(false);
    if ended {
        log::info!("event=register outcome=lapsed");
    }
    !ended
}

/// Takes out a lease and writes the entry under it.
async fn register(gw: &Shared) -> Option<LocalEntry> {
    let lease = (gw.store.grant_lease)(LEASE_DURATION).await;
    gw.record_store_call("lease", lease.as_ref().err());
    let lease = lease.ok()?;
    let renewed_at = Instant::now();
    let revision = write_entry(gw, lease).await?;
    log::info!("event=register outcome=done lease={lease}");
    Some(LocalEntry {
        lease,
        renewed_at,
        revision,
        written_at: gw.now(),
    })
}

/// Writes this router's entry. Returns its revision if that succeeded.
async fn write_entry(gw: &Shared, lease: Lease) -> Option<Revision> {
    let held = gw.tables().quarantine.held_update(gw.now());
    let settings = &gw.settings;
    let entry = RouterEntry::new(
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
    gw.record_store_call("register", written.as_ref().err());
    written.ok()
}

/// Decodes the entries, each with the number of its lease, and skips those that can't be
/// decoded.
fn decode_entries(listed: &[RegisteredRouter]) -> Vec<(RouterEntry, u64)> {
    let decode = |r: &RegisteredRouter| match decode_entry(&r.value) {
        Ok(entry) => Some((entry, r.lease)),
        Err(e) => {
            log::warn!("event=register outcome=not-understood cause={e:?}");
            None
        }
    };
    listed.iter().filter_map(decode).collect()
}

fn decode_entry(bytes: &[u8]) -> Result<RouterEntry, EntryError> {
    let entry: RouterEntry = rmp_serde::from_slice(bytes)?;
    check_address(entry.peers)?;
    Ok(entry)
}

/// Takes over the address and the quarantined suspects of another router's entry.
fn apply_entry(gw: &Shared, entry: &RouterEntry) {
    let now = gw.now();
    let quarantined = entry.quarantined_at(unix_ms());
    let mut tables = gw.tables();
    tables.fleet.add_address(entry.peers, now);
    let begun = tables.quarantine.apply_update(&quarantined, now);
    drop(tables);
    log_held(&begun, "store");
}

#[cfg(test)]
mod tests;
