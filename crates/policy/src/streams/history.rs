//! Which software versions of each service were listed lately.

use {
    super::StreamOrigin,
    crate::{
        placement::{
            ReplicaKey,
            ReplicaMap, //
        },
        ServiceId,
        Span,
        Time, //
    },
    std::collections::BTreeMap, //
};

/// How long a version is remembered after it was last listed.
const RETENTION: Span = Span::secs(600);
/// How long a replica that vanished without having announced that it leaves may take to be back.
const RETURN_SPAN: Span = Span::secs(3);

/// The versions of each service, as this router has known them since it first had a list.
///
/// # Examples
///
/// ```
/// use policy::{placement::ReplicaKey, streams::{ListedVersion, StreamOrigin, VersionHistory}};
/// use policy::{Span, Time};
///
/// let origin = |version: &str| StreamOrigin {
///     service: "drafting-llm".parse().unwrap(),
///     version: version.parse().ok(),
/// };
/// let listed = |key, version| ListedVersion {
///     key: ReplicaKey(key),
///     origin: origin(version),
///     draining: false,
/// };
/// let span = Span::secs(30);
/// let mut history = VersionHistory::default();
/// history.observe([listed(1, "v1")], Time(0));
/// let later = Time(0) + Span::secs(60);
/// history.observe([listed(1, "v1"), listed(2, "v2")], later);
/// assert_eq!(history.recent(&origin("v1").service, span, later).len(), 2);
/// assert!(!history.is_settled(&origin("v1").service, span, later));
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    /// When the first list was observed.
    since: Option<Time>,
    versions: BTreeMap<StreamOrigin, Seen>,
    /// The listed replicas.
    replicas: ReplicaMap<ListedVersion>,
}

/// A replica in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVersion {
    /// The key of its incarnation.
    pub key: ReplicaKey,
    /// Its service and version.
    pub origin: StreamOrigin,
    /// Whether it is leaving.
    pub draining: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    /// Listed replicas of it.
    count: usize,
    /// When it was last listed, if it no longer is.
    listed: Time,
    /// When one of its replicas last vanished without having announced that it leaves.
    lost: Option<Time>,
}

impl VersionHistory {
    /// Records the replicas of a complete list.
    pub fn observe(&mut self, list: impl IntoIterator<Item = ListedVersion>, now: Time) {
        let list: ReplicaMap<ListedVersion> = list.into_iter().map(|l| (l.key, l)).collect();
        let before = self.replicas.keys();
        let ended = before.filter(|key| !list.contains_key(key));
        let ended: Vec<ReplicaKey> = ended.copied().collect();
        for listed in list.into_values() {
            self.listed(listed, now);
        }
        for key in ended {
            self.removed(key, false, now);
        }
        self.finish(now);
    }

    /// Records a replica that is listed.
    pub fn listed(&mut self, listed: ListedVersion, now: Time) {
        let known = self.versions.entry(listed.origin.clone()).or_default();
        known.count += 1;
        if let Some(before) = self.replicas.insert(listed.key, listed) {
            self.leave(&before.origin, now);
        }
    }

    /// Records a replica that is no longer listed. `draining` tells whether it was known to leave.
    pub fn removed(&mut self, key: ReplicaKey, draining: bool, now: Time) {
        let Some(listed) = self.replicas.remove(&key) else {
            return;
        };
        self.leave(&listed.origin, now);
        let seen = self.versions.get_mut(&listed.origin);
        if let Some(seen) = seen.filter(|_| !draining && !listed.draining) {
            seen.lost = Some(now);
        }
    }

    fn leave(&mut self, origin: &StreamOrigin, now: Time) {
        if let Some(seen) = self.versions.get_mut(origin) {
            seen.count -= 1;
            seen.listed = now;
        }
    }

    /// Finishes the records of one list, or of changes of it.
    pub fn finish(&mut self, now: Time) {
        self.since.get_or_insert(now);
        self.versions
            .retain(|_, seen| seen.count > 0 || now.since(seen.listed) < RETENTION);
    }

    /// Returns for how long this router has known the versions.
    pub fn known_for(&self, now: Time) -> Span {
        self.since.map_or(Span::ZERO, |since| now.since(since))
    }

    /// Returns the versions of a service that were listed within the last `span`.
    pub fn recent(&self, service: &ServiceId, span: Span, now: Time) -> Vec<StreamOrigin> {
        self.listed_since(service, span, now).cloned().collect()
    }

    fn listed_since<'a>(
        &'a self,
        service: &'a ServiceId,
        span: Span,
        now: Time,
    ) -> impl Iterator<Item = &'a StreamOrigin> {
        let own = self.versions.iter().filter(|(o, _)| o.service == *service);
        let recent = own.filter(move |(_, seen)| seen.count > 0 || now.since(seen.listed) < span);
        recent.map(|(origin, _)| origin)
    }

    /// Returns whether a service is known to have had at most one version in the last `span`.
    pub fn is_settled(&self, service: &ServiceId, span: Span, now: Time) -> bool {
        self.known_for(now) >= span && self.listed_since(service, span, now).nth(1).is_none()
    }

    /// Returns whether a replica of this version is expected though none is listed: one has vanished
    /// without an announcement, or the version is so new that no list had it yet.
    pub fn is_expected(&self, origin: &StreamOrigin, now: Time) -> bool {
        let Some(seen) = self.versions.get(origin) else {
            return true;
        };
        seen.lost.is_some_and(|at| now.since(at) < RETURN_SPAN)
    }
}
