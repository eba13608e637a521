//! Queries that get lost, and answers that are late, doubled or of others.

use {
    super::{
        exchange,
        Lookups,
        MAX_ANSWERS, //
    },
    crate::fleet::messages::{
        Datagram,
        PeerMessage,
        StreamAnswer,
        StreamQuery, //
    },
    async_std::{
        net::UdpSocket,
        task, //
    },
    policy::{
        streams::{
            Found,
            Knowledge,
            KnownStream,
            Lookup,
            StreamKey,
            StreamOrigin,
            Unknown, //
        },
        Span,
    },
    std::{
        net::SocketAddr,
        sync::Arc, //
    },
};

const KEY: StreamKey = StreamKey(7);

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "s".parse().unwrap(),
        version: "v1".parse().ok(),
    }
}

fn recorded() -> Knowledge {
    let record = KnownStream {
        origin: origin(),
        age: Span::secs(1),
    };
    Knowledge {
        record: Some(record),
        ..Knowledge::default()
    }
}

/// Answers to the query with this number of earlier ones.
type Script = fn(usize, StreamQuery) -> Vec<StreamAnswer>;

/// Starts another router that answers queries by a script.
async fn start_peer(script: Script) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    task::spawn(async move {
        let mut buf = vec![0; 2_048];
        for number in 0.. {
            let (n, from) = socket.recv_from(&mut buf).await.unwrap();
            let (Datagram(messages), _) = Datagram::decode(&buf[..n]);
            for message in messages {
                let PeerMessage::StreamQuery(query) = message else {
                    panic!("no query: {message:?}");
                };
                for answer in script(number, query) {
                    let answer: Datagram = PeerMessage::StreamAnswer(answer).into();
                    socket
                        .send_to(&answer.encode().unwrap(), from)
                        .await
                        .unwrap();
                }
            }
        }
    });
    addr
}

fn answer(query: &StreamQuery, knowledge: Knowledge) -> StreamAnswer {
    StreamAnswer {
        number: query.number,
        key: query.key,
        knowledge,
    }
}

/// Asks these routers for a stream of which this one knows nothing.
fn ask(scripts: &[Script]) -> Result<Found, Unknown> {
    task::block_on(async {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let lookups = Arc::new(Lookups::default());
        let mut sources = Vec::new();
        for script in scripts {
            sources.push(start_peer(*script).await);
        }
        let (receiver, answers) = (socket.clone(), lookups.clone());
        let receiving = task::spawn(async move {
            let mut buf = vec![0; 2_048];
            loop {
                let (n, from) = receiver.recv_from(&mut buf).await.unwrap();
                let (Datagram(messages), _) = Datagram::decode(&buf[..n]);
                for message in messages {
                    if let PeerMessage::StreamAnswer(answer) = message {
                        answers.receive(answer, from);
                    }
                }
            }
        });
        let lookup = Lookup::new(Knowledge::default(), sources.len(), 0, Span::secs(30));
        let pending = lookups.start(KEY);
        let query = StreamQuery {
            number: pending.number,
            key: KEY,
            services: vec!["s".parse().unwrap()],
        };
        let lookup = exchange(&socket, query, &pending, sources, lookup).await;
        drop(pending);
        assert!(lookups.lock().is_empty());
        receiving.cancel().await;
        lookup.finish()
    })
}

fn silent(_: usize, _: StreamQuery) -> Vec<StreamAnswer> {
    Vec::new()
}

fn knows(_: usize, query: StreamQuery) -> Vec<StreamAnswer> {
    vec![answer(&query, recorded())]
}

#[test]
fn exchange_with_a_silent_router() {
    assert_eq!(ask(&[silent, knows]).unwrap().origin, origin());
}

/// Knows of one version, for longer than any stream lasts.
fn knows_one_version(_: usize, query: StreamQuery) -> Vec<StreamAnswer> {
    let knowledge = Knowledge {
        record: None,
        recent: vec![origin()],
        known_for: Span::secs(60),
        list_age: Some(Span::secs(1)),
    };
    vec![answer(&query, knowledge)]
}

/// Guards against a guess of the routers on one side of a partition while those that were told of the
/// stream are on the other.
#[test]
fn exchange_with_most_routers_silent() {
    let found = ask(&[knows_one_version, silent, silent]);
    assert_eq!(found, Err(Unknown::OutOfContact));
    let found = ask(&[knows_one_version, knows_one_version, silent]);
    assert_eq!(found.unwrap().origin, origin());
}

/// Guards against giving a stream up because one datagram was lost.
#[test]
fn exchange_after_a_lost_query() {
    let found = ask(&[|number, query| match number {
        0 => Vec::new(),
        _ => vec![answer(&query, recorded())],
    }]);
    assert_eq!(found.unwrap().origin, origin());
}

#[test]
fn exchange_without_an_answer() {
    assert_eq!(ask(&[silent, silent]), Err(Unknown::Unreached));
}

/// Guards against taking the answer to another lookup for that to this one.
#[test]
fn exchange_with_foreign_answers() {
    let found = ask(&[|_, query| {
        let other_key = StreamAnswer {
            key: StreamKey(8),
            ..answer(&query, recorded())
        };
        let other_number = StreamAnswer {
            number: query.number + 1,
            ..answer(&query, recorded())
        };
        vec![other_key, other_number]
    }]);
    assert_eq!(found, Err(Unknown::Unreached));
}

/// Guards against counting a router twice whose answer is sent more than once.
#[test]
fn exchange_with_doubled_answers() {
    let doubled: Script = |_, query| vec![answer(&query, Knowledge::default()); MAX_ANSWERS * 2];
    let late: Script = |number, query| match number {
        0 => Vec::new(),
        _ => vec![answer(&query, recorded())],
    };
    assert_eq!(ask(&[doubled, late]).unwrap().origin, origin());
}
