//! Exchange of the list of replicas between peers.
//!
//! In any second only a few of 60 routers read the list from the store. The headers of their
//! messages carry the age and digest of the list, and the other routers fetch what changed from them
//! if it is newer and differs from their own. If instead each router read the store every 4 s, 48 s
//! would see 1,000 reads in place of 300, and a router that the store rejects would not learn of new
//! replicas.

use {
    super::documents::{
        self,
        Fetched, //
    },
    crate::{
        follow,
        model::{
            Replica,
            State, //
        },
        state::Shared, //
    },
    policy::{
        EntryChange,
        Era,
        Listed,
        ReplicaId,
        Revision,
        ServiceId,
        SoftwareVersion,
        Span,
        StartedAt,
        Update,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Arc,
            Mutex,
            PoisonError, //
        },
    },
};

/// Whole lists that are sent at a time, so that each arrives within its time limit. A peer that is
/// turned away asks another router, of which there are more with each list sent.
const MAX_TRANSFERS: usize = 4;

/// A router's list of replicas, as it is sent to a peer of an earlier version.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ReplicaListDocument {
    /// Time since it was read from the store.
    age: Span,
    replicas: Vec<Replica>,
    /// The era of the store that it was read in.
    #[serde(default)]
    era: Era,
}

/// What a peer needs to have this router's list. Services, zones and versions are written once and
/// entries refer to them by their place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct UpdateDocument {
    era: Era,
    complete: bool,
    revision: Option<Revision>,
    digest: u32,
    services: Vec<ServiceId>,
    zones: Vec<Zone>,
    versions: Vec<SoftwareVersion>,
    entries: Vec<PackedEntry>,
    gone: Vec<ReplicaId>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct PackedEntry {
    id: ReplicaId,
    started_at: Option<StartedAt>,
    service: u32,
    addr: SocketAddr,
    zone: u32,
    slots: u32,
    version: Option<u32>,
    leaving: bool,
    /// How much longer it is kept, if the list lacks it.
    kept: Option<Span>,
}

/// Whole lists that are being sent, and the last one that was encoded.
#[derive(Debug, Default)]
pub(crate) struct ListTransfers {
    running: Arc<AtomicUsize>,
    encoded: Mutex<Option<EncodedList>>,
}

#[derive(Debug)]
struct EncodedList {
    revision: Option<Revision>,
    generation: u64,
    bytes: Arc<Vec<u8>>,
}

/// A whole list that is being sent, until this is dropped.
#[derive(Debug)]
pub(super) struct Transfer(Arc<AtomicUsize>);

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ListTransfers {
    /// Begins to send a whole list, unless too many are being sent.
    fn begin(&self) -> Option<Transfer> {
        let transfer = Transfer(self.running.clone());
        let before = self.running.fetch_add(1, Ordering::Relaxed);
        (before < MAX_TRANSFERS).then_some(transfer)
    }
}

impl UpdateDocument {
    /// Packs an update.
    pub(super) fn pack(update: &Update<Arc<Replica>>, era: Era) -> UpdateDocument {
        let mut document = UpdateDocument {
            era,
            complete: update.complete,
            revision: update.revision,
            digest: update.digest,
            services: Vec::new(),
            zones: Vec::new(),
            versions: Vec::new(),
            entries: Vec::new(),
            gone: Vec::new(),
        };
        for change in &update.changes {
            match change {
                EntryChange::Listed(l) => document.push(l, None),
                EntryChange::Kept(l, left) => document.push(l, Some(*left)),
                EntryChange::Gone(id) => document.gone.push(id.clone()),
            }
        }
        document
    }

    fn push(&mut self, listed: &Listed<Arc<Replica>>, kept: Option<Span>) {
        let replica = &listed.value;
        let version = replica.version.as_ref();
        let entry = PackedEntry {
            id: listed.id.clone(),
            started_at: replica.started_at,
            service: place_of(&mut self.services, &replica.service),
            addr: replica.addr,
            zone: place_of(&mut self.zones, &replica.zone),
            slots: replica.slots,
            version: version.map(|v| place_of(&mut self.versions, v)),
            leaving: listed.draining,
            kept,
        };
        self.entries.push(entry);
    }

    /// Unpacks the update that was made `age` ago. Entries that refer to nothing are left out.
    pub(super) fn unpack(self, age: Span) -> (Update<Arc<Replica>>, Era) {
        let UpdateDocument {
            services,
            zones,
            versions,
            ..
        } = &self;
        let entries = self.entries.iter().filter_map(|entry| {
            let version = match entry.version {
                Some(place) => Some(versions.get(place as usize)?.clone()),
                None => None,
            };
            let replica = Replica {
                id: entry.id.clone(),
                started_at: entry.started_at,
                service: services.get(entry.service as usize)?.clone(),
                addr: entry.addr,
                zone: zones.get(entry.zone as usize)?.clone(),
                slots: entry.slots,
                state: match entry.leaving {
                    true => State::Draining,
                    false => State::Ready,
                },
                version,
                cold: None,
            };
            let listed = Listed {
                id: entry.id.clone(),
                key: replica.key(),
                value: Arc::new(replica),
                draining: entry.leaving,
            };
            Some(match entry.kept {
                Some(left) => EntryChange::Kept(listed, left),
                None => EntryChange::Listed(listed),
            })
        });
        let gone = self.gone.iter().cloned().map(EntryChange::Gone);
        let update = Update {
            complete: self.complete,
            changes: entries.chain(gone).collect(),
            revision: self.revision,
            digest: self.digest,
            age,
        };
        (update, self.era)
    }
}

/// Returns the place of a name in a table, which is added if it is not there.
fn place_of<T: Clone + Eq>(table: &mut Vec<T>, name: &T) -> u32 {
    let known = table.iter().position(|t| t == name);
    let place = known.unwrap_or_else(|| {
        table.push(name.clone());
        table.len() - 1
    });
    place as u32
}

/// Returns this router's list for a peer of an earlier version, if it has one.
pub(super) fn local_list(gw: &Shared) -> Option<ReplicaListDocument> {
    let now = gw.now();
    let tables = gw.tables();
    let age = tables.roster.age(now)?;
    let replicas = tables.roster.all().map(|(_, replica, draining)| Replica {
        state: match draining {
            true => State::Draining,
            false => State::Ready,
        },
        ..Replica::clone(replica)
    });
    Some(ReplicaListDocument {
        age,
        replicas: replicas.collect(),
        era: tables.roster.era(),
    })
}

/// What is sent to a peer that asks for changes of the list.
#[derive(Debug)]
pub(super) enum ListAnswer {
    /// The encoded age and the encoded document, and the transfer if it is a whole list.
    Update(Vec<u8>, Option<Transfer>),
    /// Too many whole lists are being sent.
    Busy,
    /// There is no list, or the peer's is newer.
    None,
}

/// Answers a peer that has the list as of a revision, or none.
pub(super) fn answer(
    gw: &Shared,
    revision: Option<Revision>,
) -> Result<ListAnswer, rmp_serde::encode::Error> {
    let now = gw.now();
    let tables = gw.tables();
    let Some(age) = tables.roster.age(now) else {
        return Ok(ListAnswer::None);
    };
    if revision.is_some() && revision > tables.roster.revision() {
        return Ok(ListAnswer::None);
    }
    let mut bytes = rmp_serde::to_vec(&age)?;
    if let Some(update) = revision.and_then(|r| tables.roster.changes_since(r, now)) {
        let document = UpdateDocument::pack(&update, tables.roster.era());
        drop(tables);
        rmp_serde::encode::write(&mut bytes, &document)?;
        return Ok(ListAnswer::Update(bytes, None));
    }
    drop(tables);
    let Some(transfer) = gw.transfers.begin() else {
        return Ok(ListAnswer::Busy);
    };
    bytes.extend_from_slice(&encode_whole(gw)?);
    Ok(ListAnswer::Update(bytes, Some(transfer)))
}

/// Returns the encoded whole list, which is encoded once for all peers until it changes.
fn encode_whole(gw: &Shared) -> Result<Arc<Vec<u8>>, rmp_serde::encode::Error> {
    let encoded = &gw.transfers.encoded;
    let mut encoded = encoded.lock().unwrap_or_else(PoisonError::into_inner);
    let (update, era, generation) = {
        let tables = gw.tables();
        let (revision, generation) = (tables.roster.revision(), tables.roster.generation());
        let known = encoded.as_ref();
        let known = known.filter(|e| e.revision == revision && e.generation == generation);
        if let Some(known) = known {
            return Ok(known.bytes.clone());
        }
        let update = tables.roster.whole_update(gw.now());
        (update, tables.roster.era(), generation)
    };
    let bytes = Arc::new(rmp_serde::to_vec(&UpdateDocument::pack(&update, era))?);
    *encoded = Some(EncodedList {
        revision: update.revision,
        generation,
        bytes: bytes.clone(),
    });
    Ok(bytes)
}

/// Fetches what a peer's list has that this router's lacks, and applies it.
pub(super) async fn fetch(gw: &Shared, addr: SocketAddr) {
    let revision = gw.tables().roster.revision();
    match documents::fetch_list_update(addr, revision).await {
        Fetched::Document((age, document)) => {
            let (update, era) = UpdateDocument::unpack(document, age);
            follow::apply_peer_update(gw, update, era, addr).await;
        }
        // Its build sends whole lists only.
        Fetched::Missing => {
            let list =
                documents::fetch_document::<ReplicaListDocument>(addr, documents::REPLICAS_PATH);
            if let Some(list) = list.await {
                follow::apply_peer_list(gw, list.replicas, list.era, list.age, addr).await;
            }
        }
        Fetched::Nothing => {}
    }
}

#[cfg(test)]
mod tests;
