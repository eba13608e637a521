//! What routers tell each other all the time.

use {
    policy::{
        actives::RouterInfo,
        placement::{
            Load,
            ReplicaKey, //
        },
        quarantine::QuarantineUpdate,
        quota::{
            UsageCounts,
            WorkspaceKey, //
        },
        Era,
        RouterId,
        Span, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        cmp::Reverse,
        net::SocketAddr, //
    },
};

/// Tokens in one unit of a load that is still to be read: 0.6 ms of an engine's time.
const UNREAD_UNIT: u64 = 64;
/// Tokens in one unit of memory.
const MEMORY_UNIT: u64 = 1_024;
/// Most replicas in a summary. With [`MOST_COUNTS`] it keeps one within the receiver's buffer.
const MOST_LOADS: usize = 600;
/// Most workspaces in a summary.
const MOST_COUNTS: usize = 250;

/// A router's word on itself.
///
/// The newest replaces all before it, so a lost one is made good by the next, and they go as
/// datagrams: a connection that has gone silent would hold back every later one, and a stream
/// repeats what is old before it passes on what is new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// Its requests at each replica.
    Loads(Loads),
    /// The sum of all routers' requests, without those of the receiver.
    Summary(Summary),
    /// All that changes seldom; a few times a second.
    Hello(Box<Hello>),
}

/// What each word says, whatever else it says.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct About {
    /// Which start of which router says so.
    pub(crate) from: u32,
    /// Number of this word within that start; a later one is higher.
    pub(crate) number: u32,
    /// When the next one is to come, in milliseconds.
    next: u16,
    /// How long ago its list of replicas was made, in milliseconds.
    list_age: u16,
    /// Which list that is.
    pub(crate) list: u32,
    /// The version of the configuration it has in force, 0 without.
    pub(crate) config: u64,
    /// How long ago the store told it that this is the newest, in milliseconds.
    config_age: u16,
    /// The newest era of the store that it knows of.
    pub(crate) era: Era,
}

/// A router's requests at each replica; to active routers, many times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Loads {
    pub(crate) about: About,
    /// The router that is told takes callers, as far as this one knows.
    pub(crate) to_active: bool,
    /// The sender acts as an active router.
    pub(crate) from_active: bool,
    loads: Vec<PackedLoad>,
}

/// The requests and counts of all routers but the receiver; sent to routers that stand by and have
/// many requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Summary {
    pub(crate) about: About,
    /// Number of routers that share the retry budget.
    pub(crate) sharers: u16,
    loads: Vec<PackedLoad>,
    pub(crate) counts: Vec<(WorkspaceKey, UsageCounts)>,
}

/// The load of a replica, in about 15 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct PackedLoad {
    replica: ReplicaKey,
    running: u16,
    /// In units of [`UNREAD_UNIT`].
    unread: u16,
    /// In units of [`MEMORY_UNIT`].
    memory: u16,
}

/// Who a router is, and what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) about: About,
    pub(crate) name: RouterId,
    pub(crate) intro: RouterInfo,
    /// Requests a second that it takes.
    pub(crate) rate: f32,
    /// What workspaces asked of it over the window, and were given; to active routers.
    pub(crate) counts: Vec<(WorkspaceKey, UsageCounts)>,
    /// Replicas that left of late.
    pub(crate) left: Vec<ReplicaKey>,
    /// Requests under which replicas end.
    pub(crate) notes: QuarantineUpdate,
    /// Short names of active routers that are silent.
    pub(crate) silent: Vec<u32>,
    /// It knows few others, and asks for the addresses of more.
    pub(crate) asks: bool,
    /// Where some of its peers hear theirs; to routers that ask.
    pub(crate) known: Vec<SocketAddr>,
}

/// What the router that speaks knows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Facts {
    pub(crate) from: u32,
    pub(crate) number: u32,
    pub(crate) list_age: Option<Span>,
    pub(crate) list: u32,
    pub(crate) config: u64,
    /// How long ago the store told it that this is the newest; none where it does not watch.
    pub(crate) config_age: Option<Span>,
    pub(crate) era: Era,
}

/// Writes an age in milliseconds; none, and a minute or more, as the longest.
fn age(of: Option<Span>) -> u16 {
    of.map_or(u16::MAX, |a| a.as_millis().min(u64::from(u16::MAX)) as u16)
}

impl About {
    /// Makes what a word says whose next one comes after `next`.
    pub(crate) fn new(facts: &Facts, next: Span) -> About {
        About {
            from: facts.from,
            number: facts.number,
            next: age(Some(next)),
            list_age: age(facts.list_age),
            list: facts.list,
            config: facts.config,
            config_age: age(facts.config_age),
            era: facts.era,
        }
    }

    /// Returns the time until the next word.
    pub(crate) fn next(&self) -> Span {
        Span::millis(u64::from(self.next))
    }

    /// Returns how long ago its list of replicas was made; a minute or more is as good as never.
    pub(crate) fn list_age(&self) -> Span {
        Span::millis(u64::from(self.list_age))
    }

    /// Returns how long ago the store told it that its configuration is the newest; none where
    /// it does not watch.
    pub(crate) fn config_age(&self) -> Option<Span> {
        let age = self.config_age;
        (age < u16::MAX).then(|| Span::millis(u64::from(age)))
    }
}

impl PackedLoad {
    fn new(replica: ReplicaKey, load: Load) -> PackedLoad {
        let unit = |n: u64, unit: u64| u16::try_from(n.div_ceil(unit)).unwrap_or(u16::MAX);
        PackedLoad {
            replica,
            running: u16::try_from(load.running).unwrap_or(u16::MAX),
            unread: unit(load.unread, UNREAD_UNIT),
            memory: unit(load.memory, MEMORY_UNIT),
        }
    }

    fn unpack(self) -> (ReplicaKey, Load) {
        let load = Load {
            running: u32::from(self.running),
            unread: u64::from(self.unread) * UNREAD_UNIT,
            memory: u64::from(self.memory) * MEMORY_UNIT,
        };
        (self.replica, load)
    }
}

fn pack(loads: &[(ReplicaKey, Load)]) -> Vec<PackedLoad> {
    let loads = loads.iter();
    loads
        .map(|(key, load)| PackedLoad::new(*key, *load))
        .collect()
}

fn unpack(loads: &[PackedLoad]) -> Vec<(ReplicaKey, Load)> {
    loads.iter().map(|load| load.unpack()).collect()
}

impl Loads {
    pub(crate) fn new(about: About, loads: &[(ReplicaKey, Load)]) -> Loads {
        Loads {
            about,
            to_active: false,
            from_active: false,
            loads: pack(loads),
        }
    }

    pub(crate) fn loads(&self) -> Vec<(ReplicaKey, Load)> {
        unpack(&self.loads)
    }
}

impl Summary {
    /// Makes a summary that fits into one datagram: where there are too many replicas or workspaces,
    /// it holds the fullest replicas and the workspaces that ask for most.
    pub(crate) fn new(
        about: About,
        sharers: usize,
        mut loads: Vec<(ReplicaKey, Load)>,
        mut counts: Vec<(WorkspaceKey, UsageCounts)>,
    ) -> Summary {
        loads.sort_by_key(|(key, load)| (Reverse(load.running), *key));
        loads.truncate(MOST_LOADS);
        counts.sort_by(|(_, a), (_, b)| b.requested.total_cmp(&a.requested));
        counts.truncate(MOST_COUNTS);
        Summary {
            about,
            sharers: u16::try_from(sharers).unwrap_or(u16::MAX),
            loads: pack(&loads),
            counts,
        }
    }

    pub(crate) fn loads(&self) -> Vec<(ReplicaKey, Load)> {
        unpack(&self.loads)
    }
}

impl Word {
    /// Writes it as one datagram.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Word, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}

#[cfg(test)]
mod tests;
