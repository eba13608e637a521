//! The versions that were listed lately.

use policy::{
    placement::ReplicaKey,
    streams::{
        ListedVersion,
        StreamOrigin,
        VersionHistory, //
    },
    ServiceId,
    Span,
    Time, //
};

/// Longer than any stream of these tests.
const SPAN: Span = Span::secs(30);

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        version: version.parse().ok(),
    }
}

fn listed(key: u32, version: &str) -> ListedVersion {
    ListedVersion {
        key: ReplicaKey(key),
        origin: origin(version),
        draining: false,
    }
}

fn leaving(key: u32, version: &str) -> ListedVersion {
    ListedVersion {
        draining: true,
        ..listed(key, version)
    }
}

fn at(seconds: u64) -> Time {
    Time(0) + Span::secs(seconds)
}

#[test]
fn is_settled_after_the_longest_stream() {
    let mut history = VersionHistory::default();
    assert!(!history.is_settled(&service(), SPAN, at(0)));
    history.observe([listed(1, "v1")], at(0));
    assert!(!history.is_settled(&service(), SPAN, at(29)));
    assert!(history.is_settled(&service(), SPAN, at(30)));
}

/// Guards against taking a version for the only one while streams of an earlier one may go on.
#[test]
fn is_settled_after_a_release() {
    let mut history = VersionHistory::default();
    history.observe([listed(1, "v1")], at(0));
    history.observe([listed(1, "v1"), listed(2, "v2")], at(100));
    assert!(!history.is_settled(&service(), SPAN, at(100)));
    // No list is applied while nothing changes.
    assert!(!history.is_settled(&service(), SPAN, at(190)));
    history.observe([listed(2, "v2")], at(200));
    assert!(!history.is_settled(&service(), SPAN, at(229)));
    assert!(history.is_settled(&service(), SPAN, at(230)));
}

#[test]
fn is_settled_for_each_service() {
    let mut history = VersionHistory::default();
    let other = StreamOrigin {
        service: "t".parse().unwrap(),
        version: None,
    };
    let of_other = ListedVersion {
        origin: other.clone(),
        ..listed(3, "v1")
    };
    history.observe([listed(1, "v1"), listed(2, "v2"), of_other], at(0));
    assert!(!history.is_settled(&service(), SPAN, at(60)));
    assert!(history.is_settled(&other.service, SPAN, at(60)));
    assert_eq!(history.recent(&service(), SPAN, at(60)).len(), 2);
}

/// Guards against counting a replica without a version as one of a known version.
#[test]
fn recent_without_a_version() {
    let mut history = VersionHistory::default();
    history.observe([listed(1, "v1"), listed(2, "")], at(0));
    assert_eq!(history.recent(&service(), SPAN, at(1)).len(), 2);
}

#[test]
fn is_expected_after_a_crash() {
    let mut history = VersionHistory::default();
    history.observe([listed(1, "v1"), listed(2, "v2")], at(0));
    history.observe([listed(2, "v2")], at(10));
    assert!(history.is_expected(&origin("v1"), at(12)));
    assert!(!history.is_expected(&origin("v1"), at(13)));
}

#[test]
fn is_expected_after_an_announcement() {
    let mut history = VersionHistory::default();
    history.observe([leaving(1, "v1"), listed(2, "v2")], at(0));
    history.observe([listed(2, "v2")], at(10));
    assert!(!history.is_expected(&origin("v1"), at(10)));
}

/// Guards against giving up a stream of a version that another router has seen first.
#[test]
fn is_expected_before_it_is_listed() {
    let mut history = VersionHistory::default();
    history.observe([listed(1, "v1")], at(0));
    assert!(history.is_expected(&origin("v2"), at(1)));
}
