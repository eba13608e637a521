//! Words between routers, as bytes.

use {
    super::{
        About,
        Facts,
        Hello,
        Loads,
        Summary,
        Word, //
    },
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
        Incarnation,
        Span, //
    },
};

fn about(from: u32) -> About {
    let facts = Facts {
        from,
        number: from.saturating_add(1),
        list_age: Some(Span::millis(250)),
        list: from,
        config: u64::from(from).saturating_add(2),
        config_age: None,
        era: Era(u64::from(from)),
    };
    About::new(&facts, Span::millis(120))
}

fn loads(n: u32) -> Vec<(ReplicaKey, Load)> {
    let load = Load {
        running: 12,
        unread: 30_000,
        memory: 250_000,
    };
    (0..n)
        .map(|i| (ReplicaKey(0xa000_0000 + i), load))
        .collect()
}

#[test]
fn loads_there_and_back() {
    let word = Word::Loads(Loads::new(about(7), &loads(3)));
    let Word::Loads(back) = Word::decode(&word.encode().unwrap()).unwrap() else {
        panic!("another word");
    };
    let said = back.about;
    assert_eq!((said.from, said.number, said.config), (7, 8, 9));
    assert_eq!(said.next(), Span::millis(120));
    assert_eq!(said.list_age(), Span::millis(250));
    assert_eq!(said.config_age(), None);
    for (key, load) in back.loads() {
        assert!(key.0 >= 0xa000_0000);
        assert_eq!(load.running, 12);
        assert!((30_000..30_064).contains(&load.unread));
        assert!((250_000..251_024).contains(&load.memory));
    }
}

#[test]
fn loads_stay_small() {
    // Each router sends them to each other many times a second; 21 KB/s is what all that
    // routers say to each other may take.
    let bytes = Word::Loads(Loads::new(about(u32::MAX), &loads(12)))
        .encode()
        .unwrap();
    assert!(bytes.len() <= 200, "{}", bytes.len());
}

fn counts(n: u32) -> Vec<(WorkspaceKey, UsageCounts)> {
    let asked = UsageCounts {
        requested: 1e7,
        served: 1e6,
        recent: 2e6,
    };
    (0..n)
        .map(|i| (WorkspaceKey(0xa000_0000 + i), asked))
        .collect()
}

#[test]
fn summary_there_and_back() {
    let word = Word::Summary(Summary::new(about(7), 40, loads(3), counts(2)));
    let Word::Summary(back) = Word::decode(&word.encode().unwrap()).unwrap() else {
        panic!("another word");
    };
    assert_eq!((back.about.from, back.sharers), (7, 40));
    assert_eq!(back.loads().len(), 3);
    assert_eq!(back.counts, counts(2));
}

/// Guards against summaries of large fleets that are cut off by the receiver's buffer.
#[test]
fn summary_fits_a_datagram() {
    let word = Word::Summary(Summary::new(
        about(u32::MAX),
        usize::MAX,
        loads(12_000),
        counts(6_100),
    ));
    let bytes = word.encode().unwrap();
    assert!(bytes.len() <= crate::fleet::hear::MAX, "{}", bytes.len());
}

#[test]
fn hello_stays_small() {
    // An active router of 370 tells 100 others a second that it is there, which is to leave most of
    // 21 KB/s for what it tells the other active ones.
    let intro = RouterInfo {
        incarnation: Incarnation(u64::MAX),
        peers: "10.250.250.250:7400".parse().unwrap(),
        callers: "10.250.250.250:8783".parse().unwrap(),
        zone: "richmond-c".parse().unwrap(),
        processor: 0.12,
        ready: true,
    };
    let hello = Hello {
        about: about(u32::MAX),
        name: "edge-richmond-c-100".parse().unwrap(),
        intro,
        rate: 1_234.5,
        counts: Vec::new(),
        left: Vec::new(),
        notes: QuarantineUpdate::default(),
        silent: Vec::new(),
        asks: false,
        known: Vec::new(),
    };
    let bytes = Word::Hello(Box::new(hello)).encode().unwrap();
    assert!(bytes.len() <= 140, "{}", bytes.len());
}

#[test]
fn garbage_is_no_word() {
    for bytes in [&b""[..], b"GET / HTTP/1.1", &[0xc1; 40]] {
        assert!(Word::decode(bytes).is_err());
    }
}
