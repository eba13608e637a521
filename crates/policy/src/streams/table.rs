//! What began the streams that may be taken up again.

use {
    super::{
        StreamKey,
        StreamOrigin, //
    },
    crate::{
        quota::WorkspaceKey,
        ServiceId,
        Span,
        Time, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::{
        BTreeMap,
        HashMap, //
    },
};

/// Maximum number of records: 4 MB.
const MAX_RECORDS: usize = 32_768;
/// Maximum number of records of one workspace, so that none displaces those of all others.
const MAX_WORKSPACE_RECORDS: usize = MAX_RECORDS / 4;
/// How much longer than its caller waits a stream is remembered.
const SLACK: Span = Span::secs(2);
/// Longest time for which a stream is remembered.
const LASTS_MAX: Span = Span::secs(600);

/// What began a stream, as routers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// Its workspace, if it has one.
    pub workspace: Option<WorkspaceKey>,
    /// What began it.
    pub origin: StreamOrigin,
    /// How much longer its caller waits.
    pub lasts: Span,
}

/// What is known of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStream {
    /// What began it.
    pub origin: StreamOrigin,
    /// How long ago it was recorded.
    pub age: Span,
}

/// The streams that began at this router, and those that other routers told it of.
///
/// The oldest streams of a workspace yield to its newer ones, and those of the workspace with the
/// most streams to those of the others.
///
/// # Examples
///
/// ```
/// use policy::streams::{StreamKey, StreamOrigin, StreamRecord, StreamTable};
/// use policy::{Span, Time};
///
/// let record = StreamRecord {
///     key: StreamKey::of(None, "a"),
///     workspace: None,
///     origin: StreamOrigin { service: "drafting-llm".parse()?, version: None },
///     lasts: Span::secs(10),
/// };
/// let mut streams = StreamTable::default();
/// streams.record_own(&record, Time(0));
/// assert!(streams.get(record.key, Time(0) + Span::secs(10)).is_some());
/// assert!(streams.get(record.key, Time(0) + Span::secs(20)).is_none());
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct StreamTable {
    streams: HashMap<StreamKey, Stream>,
    /// The streams of each workspace in the order in which they were recorded.
    order: BTreeMap<(Option<WorkspaceKey>, u64), StreamKey>,
    counts: BTreeMap<Option<WorkspaceKey>, usize>,
    /// Number of the next record.
    next: u64,
}

#[derive(Debug, Clone)]
struct Stream {
    workspace: Option<WorkspaceKey>,
    origin: StreamOrigin,
    number: u64,
    recorded: Time,
    until: Time,
    /// Whether it began here and no other router was told of it.
    untold: bool,
}

impl StreamTable {
    /// Records what began a stream at this router.
    pub fn record_own(&mut self, record: &StreamRecord, now: Time) {
        self.record(record, true, now);
    }

    /// Records what began a stream, according to another router.
    pub fn record_peer(&mut self, record: &StreamRecord, now: Time) {
        self.record(record, false, now);
    }

    fn record(&mut self, record: &StreamRecord, own: bool, now: Time) {
        let before = self.remove(record.key);
        self.make_room(record.workspace);
        let until = now + (record.lasts + SLACK).min(LASTS_MAX);
        let untold = own || before.as_ref().is_some_and(|b| b.untold);
        let stream = Stream {
            workspace: record.workspace,
            origin: record.origin.clone(),
            number: self.next,
            recorded: now,
            until: before.map_or(until, |b| b.until.max(until)),
            untold,
        };
        self.next += 1;
        let place = (record.workspace, stream.number);
        self.order.insert(place, record.key);
        *self.counts.entry(record.workspace).or_default() += 1;
        self.streams.insert(record.key, stream);
    }

    /// Returns what is known of a stream.
    pub fn get(&self, key: StreamKey, now: Time) -> Option<KnownStream> {
        let stream = self.streams.get(&key).filter(|s| now < s.until)?;
        Some(KnownStream {
            origin: stream.origin.clone(),
            age: now.since(stream.recorded),
        })
    }

    /// Records that other routers were told of a stream.
    pub fn mark_told(&mut self, key: StreamKey) {
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.untold = false;
        }
    }

    /// Returns the streams of some services that began here and that no other router was told of, and
    /// marks them as told.
    pub fn take_untold(
        &mut self,
        wanted: impl Fn(&ServiceId) -> bool,
        now: Time,
    ) -> Vec<StreamRecord> {
        let streams = self.streams.iter_mut();
        let untold =
            streams.filter(|(_, s)| s.untold && now < s.until && wanted(&s.origin.service));
        let records = untold.map(|(key, stream)| {
            stream.untold = false;
            StreamRecord {
                key: *key,
                workspace: stream.workspace,
                origin: stream.origin.clone(),
                lasts: stream.until.since(now),
            }
        });
        records.collect()
    }

    /// Drops the streams that nobody takes up any more.
    pub fn forget(&mut self, now: Time) {
        let ended = self.streams.iter().filter(|(_, s)| now >= s.until);
        let ended: Vec<StreamKey> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            self.remove(key);
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn remove(&mut self, key: StreamKey) -> Option<Stream> {
        let stream = self.streams.remove(&key)?;
        self.order.remove(&(stream.workspace, stream.number));
        if let Some(count) = self.counts.get_mut(&stream.workspace) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&stream.workspace);
            }
        }
        Some(stream)
    }

    /// Drops the oldest stream of a workspace, if there is no room for one more.
    fn make_room(&mut self, workspace: Option<WorkspaceKey>) {
        let own = self.counts.get(&workspace).copied().unwrap_or(0);
        let from = if own >= MAX_WORKSPACE_RECORDS {
            Some(workspace)
        } else if self.streams.len() >= MAX_RECORDS {
            let most = self.counts.iter().max_by_key(|(_, count)| **count);
            most.map(|(workspace, _)| *workspace)
        } else {
            None
        };
        let oldest = from.and_then(|from| self.order.range((from, 0)..).next());
        if let Some(key) = oldest.map(|(_, key)| *key) {
            self.remove(key);
        }
    }
}
