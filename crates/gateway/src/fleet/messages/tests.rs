//! Encoding and decoding of messages between routers.

use {
    super::{
        HelloMessage,
        LoadMessage,
        MessageHeader,
        PeerMessage,
        SenderState,
        SummaryMessage, //
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

fn header(from: u32) -> MessageHeader {
    let state = SenderState {
        from,
        number: from.saturating_add(1),
        list_age: Some(Span::millis(250)),
        list_digest: from,
        config_version: u64::from(from).saturating_add(2),
        config_age: None,
        era: Era(u64::from(from)),
    };
    MessageHeader::new(&state, Span::millis(120))
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
fn loads_round_trip() {
    let message = PeerMessage::Loads(LoadMessage::new(header(7), &loads(3)));
    let PeerMessage::Loads(back) = PeerMessage::decode(&message.encode().unwrap()).unwrap() else {
        panic!("decoded as another message");
    };
    let header = back.header;
    assert_eq!(
        (header.from, header.number, header.config_version),
        (7, 8, 9)
    );
    assert_eq!(header.next(), Span::millis(120));
    assert_eq!(header.list_age(), Span::millis(250));
    assert_eq!(header.config_age(), None);
    for (key, load) in back.loads() {
        assert!(key.0 >= 0xa000_0000);
        assert_eq!(load.running, 12);
        assert!((30_000..30_064).contains(&load.unread));
        assert!((250_000..251_024).contains(&load.memory));
    }
}

#[test]
fn load_message_is_small() {
    // Routers send load messages to each other many times a second, and all messages of a router
    // together may take 21 KB/s.
    let bytes = PeerMessage::Loads(LoadMessage::new(header(u32::MAX), &loads(12)))
        .encode()
        .unwrap();
    assert!(bytes.len() <= 200, "{}", bytes.len());
}

fn counts(n: u32) -> Vec<(WorkspaceKey, UsageCounts)> {
    let usage = UsageCounts {
        requested: 1e7,
        served: 1e6,
        recent: 2e6,
    };
    (0..n)
        .map(|i| (WorkspaceKey(0xa000_0000 + i), usage))
        .collect()
}

#[test]
fn summary_round_trip() {
    let message = PeerMessage::Summary(SummaryMessage::new(header(7), 40, loads(3), counts(2)));
    let PeerMessage::Summary(back) = PeerMessage::decode(&message.encode().unwrap()).unwrap()
    else {
        panic!("decoded as another message");
    };
    assert_eq!((back.header.from, back.sharers), (7, 40));
    assert_eq!(back.loads().len(), 3);
    assert_eq!(back.counts, counts(2));
}

/// Guards against summaries of large fleets that are truncated by the receiver's buffer.
#[test]
fn summary_fits_a_datagram() {
    let message = PeerMessage::Summary(SummaryMessage::new(
        header(u32::MAX),
        usize::MAX,
        loads(12_000),
        counts(6_100),
    ));
    let bytes = message.encode().unwrap();
    assert!(
        bytes.len() <= crate::fleet::receiver::MAX_DATAGRAM_BYTES,
        "{}",
        bytes.len()
    );
}

#[test]
fn hello_message_is_small() {
    // In a fleet of 370 an active router sends 100 hello messages per second. Most of its 21 KB/s
    // must remain for load messages to the other active routers.
    let intro = RouterInfo {
        incarnation: Incarnation(u64::MAX),
        peers: "10.250.250.250:7400".parse().unwrap(),
        callers: "10.250.250.250:8783".parse().unwrap(),
        zone: "richmond-c".parse().unwrap(),
        processor: 0.12,
        ready: true,
    };
    let hello = HelloMessage {
        header: header(u32::MAX),
        name: "edge-richmond-c-100".parse().unwrap(),
        intro,
        rate: 1_234.5,
        counts: Vec::new(),
        departed: Vec::new(),
        quarantine: QuarantineUpdate::default(),
        silent: Vec::new(),
        wants_peers: false,
        known_peers: Vec::new(),
    };
    let bytes = PeerMessage::Hello(Box::new(hello)).encode().unwrap();
    assert!(bytes.len() <= 140, "{}", bytes.len());
}

#[test]
fn decode_rejects_garbage() {
    for bytes in [&b""[..], b"GET / HTTP/1.1", &[0xc1; 40]] {
        assert!(PeerMessage::decode(bytes).is_err());
    }
}
