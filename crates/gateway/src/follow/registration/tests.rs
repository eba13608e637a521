//! Entries that routers leave in the store for routers that start later.

use {
    super::{
        decode_entries,
        QuarantinedUntil,
        RegisteredRouter,
        RouterEntry, //
    },
    policy::{
        placement::ReplicaKey,
        quarantine::{
            Ended,
            Held,
            Quarantine,
            QuarantineUpdate,
            Suspect,
            HOLD_DURATION, //
        },
        Span,
        Time, //
    },
    serde::Serialize,
    std::net::SocketAddr,
};

const DIGEST: Suspect = Suspect(0xdead);
const REPLICA: ReplicaKey = ReplicaKey(7);
const WRITTEN_UNIX_MS: u64 = 1_800_000_000_000;

fn entry(left: Span) -> RouterEntry {
    let update = QuarantineUpdate {
        held: vec![Held {
            suspect: DIGEST,
            left,
        }],
        ended: vec![Ended {
            suspect: DIGEST,
            replica: REPLICA,
            age: Span::secs(100),
        }],
        ..QuarantineUpdate::default()
    };
    let addr = "10.1.0.3:7400".parse().unwrap();
    RouterEntry::new("r1".parse().unwrap(), addr, &update, WRITTEN_UNIX_MS)
}

#[test]
fn entry_keeps_quarantine_when_all_routers_end() {
    // All routers are killed at once while a request that ends replicas is quarantined. It arrives
    // again as soon as they are back, and only their entries still record its quarantine.
    let bytes = rmp_serde::to_vec_named(&entry(Span::secs(500))).unwrap();
    let read: RouterEntry = rmp_serde::from_slice(&bytes).unwrap();
    let update = read.quarantined_at(WRITTEN_UNIX_MS + 12_000);
    assert_eq!(
        update.ended,
        [Ended {
            suspect: DIGEST,
            replica: REPLICA,
            age: Span::secs(112)
        }]
    );
    let mut started = Quarantine::default();
    assert_eq!(started.apply_update(&update, Time(0)), [DIGEST]);
    assert_eq!(started.remaining(DIGEST, Time(0)), Some(Span::secs(488)));
}

#[test]
fn old_entry_no_longer_quarantines() {
    // An entry lives for as long as its lease is renewed. If it stored a remaining time instead of
    // an end, every router that starts would read it and quarantine the request for that time
    // again.
    let entry = entry(Span::secs(500));
    let later = entry.quarantined_at(WRITTEN_UNIX_MS + 500_000);
    assert_eq!(later, QuarantineUpdate::default());
    assert_eq!(
        entry.quarantined[0],
        QuarantinedUntil {
            suspect: DIGEST,
            unix_ms: WRITTEN_UNIX_MS + 500_000,
            ended: vec![REPLICA],
        }
    );
}

#[test]
fn entry_of_an_earlier_version() {
    // During a rolling upgrade, some routers write entries without the list of requests.
    #[derive(Serialize)]
    struct Earlier {
        name: String,
        peers: SocketAddr,
    }
    let earlier = Earlier {
        name: "r1".to_owned(),
        peers: "10.1.0.3:7400".parse().unwrap(),
    };
    let bytes = rmp_serde::to_vec_named(&earlier).unwrap();
    let read: RouterEntry = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(
        (read.peers, read.quarantined_at(WRITTEN_UNIX_MS)),
        (earlier.peers, QuarantineUpdate::default())
    );
}

/// Guards against a task that ends, or a quarantine without end, by a time that is out of range.
#[test]
fn entry_of_a_time_out_of_range() {
    let suspect = DIGEST;
    let ended = vec![REPLICA];
    let entry = RouterEntry {
        quarantined: vec![QuarantinedUntil {
            suspect,
            unix_ms: u64::MAX,
            ended,
        }],
        ..entry(Span::ZERO)
    };
    let update = entry.quarantined_at(WRITTEN_UNIX_MS);
    let mut started = Quarantine::default();
    assert_eq!(started.apply_update(&update, Time(0)), [DIGEST]);
    assert_eq!(started.remaining(DIGEST, Time(0)), Some(HOLD_DURATION));
}

/// Guards against a lookup that ends at an entry of another writer, or sends messages to addresses
/// that no router has.
#[test]
fn decode_entries_of_other_writers() {
    let sound = rmp_serde::to_vec_named(&entry(Span::secs(1))).unwrap();
    let at = |addr: &str| {
        let entry = RouterEntry {
            peers: addr.parse().unwrap(),
            ..entry(Span::ZERO)
        };
        rmp_serde::to_vec_named(&entry).unwrap()
    };
    let listed: Vec<RegisteredRouter> = [
        sound.clone(),
        Vec::new(),
        b"{}".to_vec(),
        vec![0x91; 100_000],
        vec![0xdf, 0xff, 0xff, 0xff, 0xff],
        sound[..sound.len() - 1].to_vec(),
        at("10.1.0.3:0"),
        at("0.0.0.0:7400"),
        at("239.1.2.3:7400"),
        at("255.255.255.255:7400"),
        sound,
    ]
    .into_iter()
    .map(|value| RegisteredRouter { value, lease: 7 })
    .collect();
    let decoded = decode_entries(&listed);
    let names: Vec<&str> = decoded.iter().map(|(e, _)| e.name.as_str()).collect();
    assert_eq!(names, ["r1", "r1"]);
}
