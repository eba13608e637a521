//! Encoding and decoding of messages between routers.

use {
    super::{
        Datagram,
        HelloMessage,
        LoadMessage,
        MessageHeader,
        PeerMessage,
        SenderState,
        SpeedsMessage,
        StreamAnswer,
        StreamQuery,
        SummaryMessage, //
    },
    policy::{
        actives::RouterInfo,
        placement::{
            Load,
            ReplicaKey,
            SpeedReport, //
        },
        quarantine::{
            Quarantine,
            QuarantineUpdate,
            Suspect, //
        },
        quota::{
            UsageCounts,
            WorkspaceKey, //
        },
        streams::{
            Knowledge,
            KnownStream,
            StreamKey,
            StreamOrigin,
            StreamRecord, //
        },
        Era,
        EvacuationOrders,
        Incarnation,
        Revision,
        Span,
        Time, //
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

/// Encodes a message as one datagram and decodes it.
fn round_trip(message: PeerMessage) -> PeerMessage {
    let (Datagram(mut messages), error) = Datagram::decode(&encode(message));
    assert!(error.is_none() && messages.len() == 1, "{error:?}");
    messages.remove(0)
}

fn encode(message: PeerMessage) -> Vec<u8> {
    Datagram::from(message).encode().unwrap()
}

#[test]
fn loads_round_trip() {
    let message = PeerMessage::Loads(LoadMessage::new(header(7), &loads(3)));
    let PeerMessage::Loads(back) = round_trip(message) else {
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
    let bytes = encode(PeerMessage::Loads(LoadMessage::new(
        header(u32::MAX),
        &loads(12),
    )));
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
    let PeerMessage::Summary(back) = round_trip(message) else {
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
    let bytes = encode(message);
    assert!(
        bytes.len() <= crate::fleet::receiver::MAX_DATAGRAM_BYTES,
        "{}",
        bytes.len()
    );
}

fn hello() -> HelloMessage {
    let intro = RouterInfo {
        incarnation: Incarnation(u64::MAX),
        peers: "10.250.250.250:7400".parse().unwrap(),
        callers: "10.250.250.250:8783".parse().unwrap(),
        zone: "richmond-c".parse().unwrap(),
        processor: 0.12,
        ready: true,
    };
    HelloMessage {
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
    }
}

#[test]
fn hello_message_is_small() {
    // In a fleet of 370 an active router sends 100 hello messages per second. Most of its 21 KB/s
    // must remain for load messages to the other active routers.
    let bytes = encode(PeerMessage::Hello(Box::new(hello())));
    assert!(bytes.len() <= 140, "{}", bytes.len());
    let none = EvacuationOrders {
        revision: Revision {
            era: Era(9),
            number: u64::from(u32::MAX),
        },
        ..EvacuationOrders::default()
    };
    let more = encode(PeerMessage::Evacuations(none)).len();
    assert!(more <= 32, "{more}");
}

/// Guards against reports of many crashes that make a hello longer than a packet and a half.
#[test]
fn hello_message_with_crashes_is_bounded() {
    let mut quarantine = Quarantine::default();
    let empty = encode(PeerMessage::Hello(Box::new(hello()))).len();
    let at = |seconds| Time(0) + Span::secs(seconds);
    let report = |quarantine: &Quarantine, now| {
        let mut hello = hello();
        hello.quarantine = quarantine.full_update(now);
        encode(PeerMessage::Hello(Box::new(hello))).len() - empty
    };
    for n in 0..8 {
        let replica = ReplicaKey(u32::MAX - n);
        quarantine.ended(Suspect(u64::MAX), replica, Time(0), at(90 + u64::from(n)));
    }
    let one_held = report(&quarantine, at(110));
    assert!(one_held <= 256, "{one_held}");
    for n in 0..4_000 {
        let suspect = Suspect(u64::MAX - n % 1_000);
        quarantine.ended(suspect, ReplicaKey(n as u32), Time(0), at(112 + n / 1_000));
        quarantine.completed(vec![suspect], ReplicaKey(1), at(115), at(115));
    }
    quarantine.forget(at(115));
    let many = report(&quarantine, at(115));
    assert!(many <= 2_048, "{many}");
}

/// Guards against a router of an earlier version that reads nothing of a datagram which also has a
/// message that it doesn't know.
#[test]
fn decode_up_to_an_unknown_message() {
    let mut bytes = encode(PeerMessage::Hello(Box::new(hello())));
    bytes.extend(rmp_serde::to_vec(&("Later", 7)).unwrap());
    let (Datagram(messages), error) = Datagram::decode(&bytes);
    assert_eq!(messages, [PeerMessage::Hello(Box::new(hello()))]);
    assert!(error.is_some());
    let first: PeerMessage = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(first, messages[0]);
}

#[test]
fn evacuations_follow_a_hello() {
    let orders = EvacuationOrders {
        revision: Revision {
            era: Era(1),
            number: 40,
        },
        zones: ["hall-a".parse().unwrap()].into(),
    };
    let sent = Datagram(vec![
        PeerMessage::Hello(Box::new(hello())),
        PeerMessage::Evacuations(orders),
    ]);
    let (received, error) = Datagram::decode(&sent.encode().unwrap());
    assert!(error.is_none());
    assert_eq!(received, sent);
}

#[test]
fn leaving_replicas_follow_a_hello() {
    let keys: Vec<ReplicaKey> = (0..300).map(|n| ReplicaKey(u32::MAX - n)).collect();
    let sent = Datagram(vec![
        PeerMessage::Hello(Box::new(hello())),
        PeerMessage::LeavingReplicas(keys),
    ]);
    let bytes = sent.encode().unwrap();
    assert!(bytes.len() <= 2_048, "{}", bytes.len());
    let (received, error) = Datagram::decode(&bytes);
    assert!(error.is_none());
    assert_eq!(received, sent);
}

fn speeds(n: u32) -> PeerMessage {
    let report = |n| SpeedReport {
        replica: ReplicaKey(u32::MAX - n),
        speed: u16::MAX,
        samples: u8::MAX,
    };
    PeerMessage::ReplicaSpeeds(SpeedsMessage {
        from: u32::MAX,
        speeds: (0..n).map(report).collect(),
    })
}

#[test]
fn replica_speeds_are_small() {
    // A few bytes for each engine, so that the longest list takes a quarter of the receiver's buffer.
    let sent = Datagram(vec![PeerMessage::Hello(Box::new(hello())), speeds(300)]);
    let bytes = sent.encode().unwrap();
    assert!(bytes.len() <= 4 * 1024, "{}", bytes.len());
    assert_eq!(Datagram::decode(&bytes).0, sent);
}

/// Guards against speeds because of which a router of an earlier version loses the messages before
/// them.
#[test]
fn replica_speeds_keep_earlier_messages() {
    /// The messages before the speeds, as a router without that variant knows them.
    #[derive(Debug, PartialEq, serde::Deserialize)]
    enum Earlier {
        Hello(Box<HelloMessage>),
        LeavingReplicas(Vec<ReplicaKey>),
    }
    let leaving = vec![ReplicaKey(7)];
    let sent = Datagram(vec![
        PeerMessage::Hello(Box::new(hello())),
        PeerMessage::LeavingReplicas(leaving.clone()),
        speeds(3),
    ]);
    let bytes = sent.encode().unwrap();
    let mut rest = &bytes[..];
    let mut read = || rmp_serde::from_read::<_, Earlier>(&mut rest);
    assert_eq!(read().unwrap(), Earlier::Hello(Box::new(hello())));
    assert_eq!(read().unwrap(), Earlier::LeavingReplicas(leaving));
    assert!(read().is_err());
}

fn stream_record(key: u64) -> StreamRecord {
    StreamRecord {
        key: StreamKey(u64::MAX - key),
        workspace: Some(WorkspaceKey(u32::MAX)),
        origin: StreamOrigin {
            service: "drafting-llm".parse().unwrap(),
            version: "v1.2".parse().ok(),
        },
        lasts: Span::secs(15),
    }
}

#[test]
fn stream_records_are_small() {
    // With the headers of the packets, two for each of 70 streams a second take 13 KB/s.
    let one = PeerMessage::StreamRecords(vec![stream_record(0)]);
    let bytes = encode(one.clone());
    assert!(bytes.len() <= 64, "{}", bytes.len());
    assert_eq!(
        round_trip(one),
        PeerMessage::StreamRecords(vec![stream_record(0)])
    );
    let many = PeerMessage::StreamRecords((0..100).map(stream_record).collect());
    assert!(encode(many).len() <= 16 * 1024);
}

#[test]
fn stream_query_round_trip() {
    let query = PeerMessage::StreamQuery(StreamQuery {
        number: 7,
        key: StreamKey(u64::MAX),
        services: vec!["drafting-llm".parse().unwrap()],
    });
    assert_eq!(round_trip(query.clone()), query);
    let StreamRecord { origin, .. } = stream_record(0);
    let answer = PeerMessage::StreamAnswer(StreamAnswer {
        number: 7,
        key: StreamKey(u64::MAX),
        knowledge: Knowledge {
            record: Some(KnownStream {
                origin: origin.clone(),
                age: Span::millis(1_500),
            }),
            recent: vec![origin],
            known_for: Span::secs(600),
            list_age: None,
        },
    });
    assert_eq!(round_trip(answer.clone()), answer);
}

#[test]
fn decode_rejects_garbage() {
    for bytes in [&b""[..], b"GET / HTTP/1.1", &[0xc1; 40]] {
        let (Datagram(messages), error) = Datagram::decode(bytes);
        assert!(messages.is_empty() && error.is_some());
    }
}
