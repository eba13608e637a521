//! Messages that routers send each other periodically, as UDP datagrams.

use {
    policy::{
        actives::RouterInfo,
        placement::{
            Load,
            ReplicaKey,
            SpeedReport, //
        },
        quarantine::QuarantineUpdate,
        quota::{
            UsageCounts,
            WorkspaceKey, //
        },
        streams::{
            Knowledge,
            StreamKey,
            StreamRecord, //
        },
        warmup::ColdReplica,
        Era,
        EvacuationOrders,
        RouterId,
        ServiceId,
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

/// Prompt tokens still to be read are sent in units of this many: 0.6 ms of an engine's time.
const UNREAD_TOKENS_PER_UNIT: u64 = 64;
/// Memory is sent in units of this many tokens.
const MEMORY_TOKENS_PER_UNIT: u64 = 1_024;
/// Together with [`MAX_SUMMARY_WORKSPACES`], keeps a summary within the receiver's buffer.
const MAX_SUMMARY_REPLICAS: usize = 600;
const MAX_SUMMARY_WORKSPACES: usize = 250;

/// A message in which a router reports its own state.
///
/// Each message replaces all earlier ones of its kind, so the next one makes up for a lost one.
/// That is why they are datagrams: a dead TCP connection would hold back all later messages, and
/// TCP retransmits outdated data before it delivers new data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The sender's requests at each replica.
    Loads(LoadMessage),
    /// The requests of all routers but the receiver, summed up.
    Summary(SummaryMessage),
    /// Everything that changes rarely; sent a few times a second.
    Hello(Box<HelloMessage>),
    /// The zones to evacuate; follows a hello in the same datagram.
    Evacuations(EvacuationOrders),
    /// Replicas that the sender has seen to be cold; follows a hello in the same datagram.
    ColdReplicas(Vec<ColdReplica>),
    /// Replicas that recently announced that they are leaving, to the sender or to a peer; follows a
    /// hello in the same datagram.
    LeavingReplicas(Vec<ReplicaKey>),
    /// What began some streams.
    StreamRecords(Vec<StreamRecord>),
    /// Asks what began a stream.
    StreamQuery(StreamQuery),
    /// Answers a query.
    StreamAnswer(StreamAnswer),
    /// How fast engines read prompts; last in the datagram of a hello to active routers.
    ReplicaSpeeds(SpeedsMessage),
}

/// The question what began a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StreamQuery {
    /// Number of the lookup at the sender.
    pub(crate) number: u32,
    pub(crate) key: StreamKey,
    /// The services that may have begun it.
    pub(crate) services: Vec<ServiceId>,
}

/// What a router knows of a stream that another one asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StreamAnswer {
    /// Number and stream of the query.
    pub(crate) number: u32,
    pub(crate) key: StreamKey,
    pub(crate) knowledge: Knowledge,
}

/// Speeds that a router measured since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct SpeedsMessage {
    /// Short name of the sender's current start.
    pub(crate) from: u32,
    pub(crate) speeds: Vec<SpeedReport>,
}

/// Fields that all messages have in common.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct MessageHeader {
    /// Short name of the sender's current start.
    pub(crate) from: u32,
    /// Sequence number within that start.
    pub(crate) number: u32,
    /// Time until the next message, in milliseconds.
    next: u16,
    /// Age of the sender's list of replicas, in milliseconds.
    list_age: u16,
    /// Digest of that list.
    #[serde(rename = "list")]
    pub(crate) list_digest: u32,
    /// Version of the configuration that the sender uses, 0 if it has none.
    #[serde(rename = "config")]
    pub(crate) config_version: u64,
    /// Time since the store confirmed that this version is the newest, in milliseconds.
    config_age: u16,
    /// The newest era of the store that the sender knows of.
    pub(crate) era: Era,
}

/// A router's requests at each replica; sent to active routers many times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    #[serde(rename = "about")]
    pub(crate) header: MessageHeader,
    /// The receiver is an active router, as far as the sender knows.
    pub(crate) to_active: bool,
    /// The sender acts as an active router.
    pub(crate) from_active: bool,
    loads: Vec<PackedLoad>,
}

/// The requests and counts of all routers but the receiver; sent to standbys with many requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct SummaryMessage {
    #[serde(rename = "about")]
    pub(crate) header: MessageHeader,
    /// Number of routers that share the retry budget.
    pub(crate) sharers: u16,
    loads: Vec<PackedLoad>,
    pub(crate) counts: Vec<(WorkspaceKey, UsageCounts)>,
}

/// The load of a replica, packed into about 15 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct PackedLoad {
    replica: ReplicaKey,
    running: u16,
    /// In units of [`UNREAD_TOKENS_PER_UNIT`].
    unread: u16,
    /// In units of [`MEMORY_TOKENS_PER_UNIT`].
    memory: u16,
}

/// The sender's identity and what it knows of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct HelloMessage {
    #[serde(rename = "about")]
    pub(crate) header: MessageHeader,
    pub(crate) name: RouterId,
    pub(crate) intro: RouterInfo,
    /// Requests that the sender receives per second.
    pub(crate) rate: f32,
    /// What each workspace requested and was granted over the window; sent to active routers.
    pub(crate) counts: Vec<(WorkspaceKey, UsageCounts)>,
    /// Replicas that departed recently.
    #[serde(rename = "left")]
    pub(crate) departed: Vec<ReplicaKey>,
    /// Quarantine state of requests under which replicas end.
    #[serde(rename = "notes")]
    pub(crate) quarantine: QuarantineUpdate,
    /// Short names of active routers that are silent.
    pub(crate) silent: Vec<u32>,
    /// The sender knows few peers and asks for addresses of more.
    #[serde(rename = "asks")]
    pub(crate) wants_peers: bool,
    /// Addresses of some of the sender's peers; sent to routers that ask for them.
    #[serde(rename = "known")]
    pub(crate) known_peers: Vec<SocketAddr>,
}

/// The sender's state, from which message headers are made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SenderState {
    pub(crate) from: u32,
    pub(crate) number: u32,
    pub(crate) list_age: Option<Span>,
    pub(crate) list_digest: u32,
    pub(crate) config_version: u64,
    /// Time since the store confirmed that this version is the newest; none if the sender does not
    /// watch it.
    pub(crate) config_age: Option<Span>,
    pub(crate) era: Era,
}

/// Encodes an age in milliseconds. None, and ages beyond 65 seconds, become the largest value.
fn encode_age(age: Option<Span>) -> u16 {
    age.map_or(u16::MAX, |a| a.as_millis().min(u64::from(u16::MAX)) as u16)
}

impl MessageHeader {
    /// Makes the header of a message whose successor is sent after `next`.
    pub(crate) fn new(state: &SenderState, next: Span) -> MessageHeader {
        MessageHeader {
            from: state.from,
            number: state.number,
            next: encode_age(Some(next)),
            list_age: encode_age(state.list_age),
            list_digest: state.list_digest,
            config_version: state.config_version,
            config_age: encode_age(state.config_age),
            era: state.era,
        }
    }

    /// Returns the time until the sender's next message.
    pub(crate) fn next(&self) -> Span {
        Span::millis(u64::from(self.next))
    }

    /// Returns whether the sender has a list of replicas that is not minutes old.
    pub(crate) fn has_list(&self) -> bool {
        self.list_age < u16::MAX
    }

    /// Returns the age of the sender's list of replicas, at most 65 seconds.
    pub(crate) fn list_age(&self) -> Span {
        Span::millis(u64::from(self.list_age))
    }

    /// Returns the time since the store confirmed that the sender's configuration is the newest;
    /// none if the sender does not watch it.
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
            unread: unit(load.unread, UNREAD_TOKENS_PER_UNIT),
            memory: unit(load.memory, MEMORY_TOKENS_PER_UNIT),
        }
    }

    fn unpack(self) -> (ReplicaKey, Load) {
        let load = Load {
            running: u32::from(self.running),
            unread: u64::from(self.unread) * UNREAD_TOKENS_PER_UNIT,
            memory: u64::from(self.memory) * MEMORY_TOKENS_PER_UNIT,
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

impl LoadMessage {
    pub(crate) fn new(header: MessageHeader, loads: &[(ReplicaKey, Load)]) -> LoadMessage {
        LoadMessage {
            header,
            to_active: false,
            from_active: false,
            loads: pack(loads),
        }
    }

    pub(crate) fn loads(&self) -> Vec<(ReplicaKey, Load)> {
        unpack(&self.loads)
    }
}

impl SummaryMessage {
    /// Makes a summary that fits into one datagram. If there are too many replicas or workspaces,
    /// it keeps the replicas with the most requests and the workspaces that request the most.
    pub(crate) fn new(
        header: MessageHeader,
        sharers: usize,
        mut loads: Vec<(ReplicaKey, Load)>,
        mut counts: Vec<(WorkspaceKey, UsageCounts)>,
    ) -> SummaryMessage {
        loads.sort_by_key(|(key, load)| (Reverse(load.running), *key));
        loads.truncate(MAX_SUMMARY_REPLICAS);
        counts.sort_by(|(_, a), (_, b)| b.requested.total_cmp(&a.requested));
        counts.truncate(MAX_SUMMARY_WORKSPACES);
        SummaryMessage {
            header,
            sharers: u16::try_from(sharers).unwrap_or(u16::MAX),
            loads: pack(&loads),
            counts,
        }
    }

    pub(crate) fn loads(&self) -> Vec<(ReplicaKey, Load)> {
        unpack(&self.loads)
    }
}

/// Messages that are sent as one datagram, one after the other.
///
/// A router of an earlier version reads those that it knows, up to the first that it doesn't.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Datagram(pub(crate) Vec<PeerMessage>);

impl Datagram {
    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut bytes = Vec::new();
        for message in &self.0 {
            rmp_serde::encode::write(&mut bytes, message)?;
        }
        Ok(bytes)
    }

    /// Decodes the messages up to the first one that is not understood, and returns its error too.
    pub(crate) fn decode(mut bytes: &[u8]) -> (Datagram, Option<rmp_serde::decode::Error>) {
        let mut messages = Vec::new();
        loop {
            match rmp_serde::from_read(&mut bytes) {
                Ok(message) => messages.push(message),
                Err(e) => return (Datagram(messages), Some(e)),
            }
            if bytes.is_empty() {
                return (Datagram(messages), None);
            }
        }
    }
}

impl From<PeerMessage> for Datagram {
    fn from(message: PeerMessage) -> Datagram {
        Datagram(vec![message])
    }
}

#[cfg(test)]
mod tests;
