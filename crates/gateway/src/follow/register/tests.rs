//! What routers that end leave to those that start.

use {
    super::{
        Entry,
        HeldUntil, //
    },
    policy::{
        quarantine::{
            Held,
            Quarantine,
            QuarantineUpdate,
            RequestDigest, //
        },
        Span,
        Time, //
    },
    serde::Serialize,
    std::net::SocketAddr,
};

const DEADLY: RequestDigest = RequestDigest(0xdead);
const WRITTEN: u64 = 1_800_000_000_000;

fn entry(left: Span) -> Entry {
    let held = Held {
        digest: DEADLY,
        left,
    };
    let addr = "10.1.0.3:7400".parse().unwrap();
    Entry::new("r1".parse().unwrap(), addr, &[held], WRITTEN)
}

#[test]
fn entry_outlives_all_routers() {
    // All routers are killed at once while a request is held back under which replicas ended. It
    // comes again as soon as they are back: without their entries nobody would know.
    let bytes = rmp_serde::to_vec_named(&entry(Span::secs(500))).unwrap();
    let read: Entry = rmp_serde::from_slice(&bytes).unwrap();
    let notes = QuarantineUpdate {
        held: read.held(WRITTEN + 12_000),
        ..QuarantineUpdate::default()
    };
    let mut started = Quarantine::default();
    assert_eq!(started.apply_update(&notes, Time(0)), [DEADLY]);
    assert_eq!(started.remaining(DEADLY, Time(0)), Some(Span::secs(488)));
}

#[test]
fn entry_that_is_old_holds_back_no_longer() {
    // An entry stands for as long as its lease is renewed. Read by each router that starts, it
    // would keep a request held back for good if it told only for how long.
    let entry = entry(Span::secs(500));
    assert_eq!(entry.held(WRITTEN + 500_000), []);
    assert_eq!(
        entry.held[0],
        HeldUntil {
            digest: DEADLY,
            unix_ms: WRITTEN + 500_000
        }
    );
}

#[test]
fn entry_of_an_earlier_version() {
    // While routers are replaced one after the other, some write entries without requests.
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
    let read: Entry = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(
        (read.peers, read.held(WRITTEN)),
        (earlier.peers, Vec::new())
    );
}
