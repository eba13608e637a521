//! Records of what began the streams.

use policy::{
    quota::WorkspaceKey,
    streams::{
        StreamKey,
        StreamOrigin,
        StreamRecord,
        StreamTable, //
    },
    Span,
    Time, //
};

/// Streams that one workspace may have on record, and those of all workspaces.
const WORKSPACE_MAX: u64 = 8_192;
const MAX: usize = 32_768;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".parse().unwrap(),
        version: version.parse().ok(),
    }
}

fn record(key: u64, workspace: u32, version: &str) -> StreamRecord {
    StreamRecord {
        key: StreamKey(key),
        workspace: Some(WorkspaceKey(workspace)),
        origin: origin(version),
        lasts: Span::secs(10),
    }
}

fn at(seconds: u64) -> Time {
    Time(0) + Span::secs(seconds)
}

fn version(streams: &StreamTable, key: u64, now: Time) -> Option<StreamOrigin> {
    streams.get(StreamKey(key), now).map(|known| known.origin)
}

#[test]
fn get_until_the_caller_gives_up() {
    let mut streams = StreamTable::default();
    streams.record_own(&record(1, 1, "v1"), at(0));
    assert_eq!(version(&streams, 1, at(11)), Some(origin("v1")));
    assert_eq!(version(&streams, 1, at(12)), None);
    streams.forget(at(12));
    assert!(streams.is_empty());
}

/// Guards against forgetting a stream that its caller has taken up again.
#[test]
fn get_after_another_attempt() {
    let mut streams = StreamTable::default();
    streams.record_own(&record(1, 1, "v1"), at(0));
    streams.record_own(&record(1, 1, "v1"), at(8));
    streams.record_peer(
        &StreamRecord {
            lasts: Span::ZERO,
            ..record(1, 1, "v1")
        },
        at(9),
    );
    assert_eq!(version(&streams, 1, at(19)), Some(origin("v1")));
    assert_eq!(streams.len(), 1);
}

/// Guards against a workspace whose streams displace those of all others.
#[test]
fn record_own_of_a_flood() {
    let mut streams = StreamTable::default();
    streams.record_own(&record(0, 2, "v1"), at(0));
    for key in 1..=3 * WORKSPACE_MAX {
        streams.record_own(&record(key, 1, "v1"), at(0));
    }
    assert_eq!(streams.len() as u64, WORKSPACE_MAX + 1);
    assert!(version(&streams, 0, at(0)).is_some());
    assert!(version(&streams, 3 * WORKSPACE_MAX, at(0)).is_some());
    assert!(version(&streams, 1, at(0)).is_none());
}

/// Guards against memory that grows with the number of streams.
#[test]
fn record_peer_of_many_workspaces() {
    let mut streams = StreamTable::default();
    for key in 0..2 * MAX as u64 {
        streams.record_peer(&record(key, key as u32 % 50, "v1"), at(0));
    }
    assert_eq!(streams.len(), MAX);
    assert!(version(&streams, 2 * MAX as u64 - 1, at(0)).is_some());
}

/// Guards against streams that began while there was one version, and that no other router knows
/// when there are two.
#[test]
fn take_untold_once() {
    let mut streams = StreamTable::default();
    streams.record_own(&record(1, 1, "v1"), at(0));
    streams.record_own(&record(2, 1, "v1"), at(0));
    streams.record_peer(&record(3, 1, "v1"), at(0));
    streams.mark_told(StreamKey(2));
    let other = |service: &policy::ServiceId| service.as_str() == "t";
    assert!(streams.take_untold(other, at(1)).is_empty());
    let untold = streams.take_untold(|_| true, at(1));
    let keys: Vec<StreamKey> = untold.iter().map(|r| r.key).collect();
    assert_eq!(keys, [StreamKey(1)]);
    // The slack of this router is passed on.
    assert_eq!(untold[0].lasts, Span::secs(11));
    assert!(streams.take_untold(|_| true, at(2)).is_empty());
}

#[test]
fn of_workspaces_and_ids() {
    let (one, two) = ("w1".parse().unwrap(), "w2".parse().unwrap());
    let key = StreamKey::of(Some(&one), "a");
    assert_eq!(key, StreamKey::of(Some(&one), "a"));
    assert_ne!(key, StreamKey::of(Some(&two), "a"));
    assert_ne!(key, StreamKey::of(None, "a"));
    assert_ne!(key, StreamKey::of(Some(&one), "b"));
}
