//! The client: its cache, the choice of routers, and retries.

mod common;

use {
    async_std::{
        channel::bounded,
        net::TcpListener,
        task, //
    },
    callers::{
        Address,
        AddressList,
        Answer,
        Call,
        Client,
        ClientSettings,
        IncomingRequest,
        Limits,
        Piece,
        Reason,
        Refused,
        Response, //
    },
    common::{
        start,
        with_timeout, //
    },
    futures_lite::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    policy::Outcome,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
        time::Duration, //
    },
};

type Log = Arc<Mutex<Vec<String>>>;

/// Starts a router that responds with `answer`, and logs its requests.
async fn start_router(
    name: &'static str,
    log: &Log,
    answer: impl Fn(&callers::Request) -> Response + Send + Sync + Clone + 'static,
) -> SocketAddr {
    let log = log.clone();
    let (_server, address) = start(Limits::default(), move |ask| {
        let (answer, log) = (answer.clone(), log.clone());
        async move {
            let mut log = log.lock().unwrap();
            match ask {
                IncomingRequest::Request { request, .. } => {
                    let ticket = request.ticket.as_deref().unwrap_or("-");
                    log.push(format!("{name} {ticket}"));
                    answer(&request)
                }
                IncomingRequest::Addresses { query, .. } => {
                    log.push(format!("{name} where {}", query.tickets));
                    let n = log.len();
                    let tickets = (0..query.tickets).map(|i| format!("{name}.{n}.{i}"));
                    let tickets = tickets.collect();
                    (&addresses(&[], 0, tickets)).into()
                }
            }
        }
    })
    .await;
    address
}

fn addresses(all: &[SocketAddr], keep_ms: u64, tickets: Vec<String>) -> AddressList {
    let one = |(i, address): (usize, &SocketAddr)| Address {
        router: format!("r{i}").parse().unwrap(),
        address: *address,
        zone: "hall-a".parse().unwrap(),
        weight: if i == 0 { 1.0 } else { 0.0 },
    };
    AddressList {
        addresses: all.iter().enumerate().map(one).collect(),
        keep_ms,
        tickets,
        ticket_ms: 600_000,
    }
}

/// Starts a router that only returns address lists.
async fn start_address_router(log: &Log, all: &[SocketAddr], keep_ms: u64) -> SocketAddr {
    let answer = addresses(all, keep_ms, Vec::new());
    let log = log.clone();
    let (_server, address) = start(Limits::default(), move |_| {
        log.lock().unwrap().push("guide".to_owned());
        let response = Response::from(&answer);
        async move { response }
    })
    .await;
    address
}

/// Starts a router that closes the connection of each request after sending `bytes`.
async fn start_breaking_router(log: &Log, name: &'static str, bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = log.clone();
    task::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut head = vec![0; 8192];
            let n = socket.read(&mut head).await.unwrap();
            let head = String::from_utf8_lossy(&head[..n]).into_owned();
            if head.starts_with("GET /chervilwind/where") {
                let answer = addresses(&[], 0, vec![format!("{name}.t")]);
                let body = serde_json::to_string(&answer).unwrap();
                let text = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                socket.write_all(text.as_bytes()).await.unwrap();
                continue;
            }
            let ticket = head
                .lines()
                .find_map(|l| l.strip_prefix("chervilwind-ticket: "));
            let ticket = ticket.unwrap_or("-");
            log.lock().unwrap().push(format!("{name} {ticket}"));
            socket.write_all(bytes.as_bytes()).await.unwrap();
        }
    });
    address
}

fn client(guide: SocketAddr) -> Client {
    Client::new(ClientSettings {
        tickets: 2,
        ..ClientSettings::new(vec![guide])
    })
}

fn call() -> Call {
    Call::post(
        "desk".parse().unwrap(),
        "abbey".parse().unwrap(),
        "usual".parse().unwrap(),
        "/v1/x",
        b"hello".to_vec(),
    )
}

fn at_most_once_call() -> Call {
    Call {
        at_most_once: true,
        ..call()
    }
}

fn answered(_: &callers::Request) -> Response {
    Response::complete(200, Outcome::Answered, b"done".to_vec())
}

fn leaving(_: &callers::Request) -> Response {
    Refused::new(Reason::Leaving, "use another address").into()
}

fn take_log(log: &Log) -> Vec<String> {
    std::mem::take(&mut log.lock().unwrap())
}

fn reason_of(answer: &Answer) -> Option<Reason> {
    answer.refused.as_ref().map(|r| r.reason)
}

#[test]
fn addresses_are_cached() {
    task::block_on(async {
        let log = Log::default();
        let a = start_router("a", &log, answered).await;
        let cached = client(start_address_router(&log, &[a], 600_000).await);
        for _ in 0..3 {
            let answer = with_timeout(cached.call(&call())).await;
            assert_eq!(answer.outcome, Outcome::Answered);
            assert_eq!((answer.status, answer.attempts), (Some(200), 1));
            assert_eq!(answer.body, b"done");
        }
        assert_eq!(take_log(&log), ["guide", "a -", "a -", "a -"]);
        let uncached = client(start_address_router(&log, &[a], 0).await);
        with_timeout(uncached.call(&call())).await;
        // The cached addresses are tried first, then those of the settings.
        with_timeout(uncached.call(&call())).await;
        let expected = ["guide", "a -", "a where 0", "guide", "a -"];
        assert_eq!(take_log(&log), expected);
    });
}

#[test]
fn rejection_is_retried_elsewhere() {
    task::block_on(async {
        let log = Log::default();
        let a = start_router("a", &log, leaving).await;
        let b = start_router("b", &log, answered).await;
        let answer =
            with_timeout(client(start_address_router(&log, &[a, b], 0).await).call(&call())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
        assert_eq!(take_log(&log), ["guide", "a -", "b -"]);
    });
}

#[test]
fn final_rejection_is_not_retried() {
    // A request that may have run, or that every router would reject, is not sent to another one.
    task::block_on(async {
        for reason in [
            Reason::AnswerLost,
            Reason::EndpointFailed,
            Reason::TicketOrphaned,
            Reason::UnknownProfile,
            Reason::Expired,
        ] {
            let log = Log::default();
            let a = start_router("a", &log, move |_| Refused::new(reason, "no").into()).await;
            let b = start_router("b", &log, answered).await;
            let answer =
                with_timeout(client(start_address_router(&log, &[a, b], 0).await).call(&call()))
                    .await;
            assert_eq!(reason_of(&answer), Some(reason));
            assert_eq!(answer.outcome, reason.outcome());
            assert_eq!(take_log(&log), ["guide", "a -"]);
        }
    });
}

#[test]
fn unreachable_router_is_skipped() {
    task::block_on(async {
        let log = Log::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let down = listener.local_addr().unwrap();
        drop(listener);
        let b = start_router("b", &log, answered).await;
        let answer = with_timeout(
            client(start_address_router(&log, &[down, b], 0).await).call(&at_most_once_call()),
        )
        .await;
        assert_eq!(answer.outcome, Outcome::Answered);
        let none = with_timeout(client(down).call(&call())).await;
        assert_eq!(none.outcome, Outcome::NotRun);
        assert_eq!(reason_of(&none), Some(Reason::NoEndpoint));
    });
}

#[test]
fn tickets_are_fetched_in_batches() {
    // Tickets are fetched in batches from the router that will run the request, and each is
    // used once.
    task::block_on(async {
        let log = Log::default();
        let a = start_router("a", &log, answered).await;
        let client = client(start_address_router(&log, &[a], 600_000).await);
        for _ in 0..3 {
            with_timeout(client.call(&at_most_once_call())).await;
        }
        let expected = [
            "guide",
            "a where 2",
            "a a.2.0",
            "a a.2.1",
            "a where 2",
            "a a.5.0",
        ];
        assert_eq!(take_log(&log), expected);
    });
}

#[test]
fn ticket_replaced_after_rejection() {
    // After a `not-run` rejection the ticket is dropped, and the next router issues a new one.
    task::block_on(async {
        let log = Log::default();
        let a = start_router("a", &log, leaving).await;
        let b = start_router("b", &log, answered).await;
        let answer = with_timeout(
            client(start_address_router(&log, &[a, b], 0).await).call(&at_most_once_call()),
        )
        .await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(answer.ticket.as_deref(), Some("b.4.0"));
        let expected = ["guide", "a where 2", "a a.2.0", "b where 2", "b b.4.0"];
        assert_eq!(take_log(&log), expected);
    });
}

fn orphaned(_: &callers::Request) -> Response {
    Refused::new(Reason::TicketOrphaned, "nobody remembers").into()
}

// The client holds unused tickets of a router that has restarted. The request must not be
// reported as "may have run", which would require manual action whenever routers are replaced.
#[test]
fn ticket_orphaned_unused() {
    task::block_on(async {
        let log = Log::default();
        let a = start_router("a", &log, orphaned).await;
        let b = start_router("b", &log, answered).await;
        let client = client(start_address_router(&log, &[a, b], 0).await);
        let answer = with_timeout(client.call(&at_most_once_call())).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(answer.ticket.as_deref(), Some("b.4.0"));
        // The other ticket of that router is not used.
        assert_eq!(
            with_timeout(client.call(&at_most_once_call()))
                .await
                .outcome,
            Outcome::Answered
        );
        assert!(!take_log(&log).contains(&"a a.2.1".to_owned()));
    });
}

// The answer of the first attempt with the ticket was lost, and the ticket is orphaned: the
// request may have run.
#[test]
fn ticket_orphaned_after_loss() {
    task::block_on(async {
        let log = Log::default();
        let a = start_breaking_router(&log, "a", "").await;
        let b = start_router("b", &log, orphaned).await;
        let answer = with_timeout(
            client(start_address_router(&log, &[a, b], 0).await).call(&at_most_once_call()),
        )
        .await;
        assert_eq!(answer.outcome, Outcome::MayHaveRun);
    });
}

#[test]
fn answer_lost() {
    // A router closes the connection after it received a request. The client sends the request
    // to another router with the same ticket, so that it can't run twice.
    task::block_on(async {
        let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
        for bytes in ["", "HTTP/1.1 200 OK\r\ncont", short] {
            let log = Log::default();
            let a = start_breaking_router(&log, "a", bytes).await;
            let b = start_router("b", &log, answered).await;
            let answer = with_timeout(
                client(start_address_router(&log, &[a, b], 0).await).call(&at_most_once_call()),
            )
            .await;
            assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
            assert_eq!(answer.body, b"done");
            assert_eq!(take_log(&log), ["guide", "a a.t", "b a.t"]);
        }
    });
}

#[test]
fn answer_lost_then_leaving() {
    // The first router fails after it ran the request; the second one is leaving and rejects
    // with `not-run`, which refers to its own attempt only. If it were applied to the call, the
    // client would use a new ticket and the request could run twice.
    task::block_on(async {
        let log = Log::default();
        let a = start_breaking_router(&log, "a", "").await;
        let b = start_router("b", &log, leaving).await;
        let client = Client::new(ClientSettings {
            max_attempts: 2,
            ..ClientSettings::new(vec![start_address_router(&log, &[a, b], 0).await])
        });
        let answer = with_timeout(client.call(&at_most_once_call())).await;
        assert_eq!(answer.outcome, Outcome::MayHaveRun);
        assert_eq!(answer.ticket.as_deref(), Some("a.t"));
        assert_eq!(take_log(&log), ["guide", "a a.t", "b a.t"]);
    });
}

#[test]
fn answer_lost_then_outcome_known() {
    // The second router knows the outcome of the ticket, which covers all attempts.
    task::block_on(async {
        let log = Log::default();
        let a = start_breaking_router(&log, "a", "").await;
        let used =
            Refused::new(Reason::TicketUsed, "its answer is gone").outcome(Outcome::Answered);
        let b = start_router("b", &log, move |_| used.clone().into()).await;
        let answer = with_timeout(
            client(start_address_router(&log, &[a, b], 0).await).call(&at_most_once_call()),
        )
        .await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(reason_of(&answer), Some(Reason::TicketUsed));
        assert_eq!(take_log(&log), ["guide", "a a.t", "b a.t"]);
    });
}

#[test]
fn answer_lost_still_runs() {
    // The connection fails while the request runs. The other router responds that it is still
    // running and when to retry; the client polls and gets the answer without a second run.
    task::block_on(async {
        let log = Log::default();
        let a = start_breaking_router(&log, "a", "").await;
        let request_count = Arc::new(AtomicUsize::new(0));
        let b = start_router("b", &log, move |request| {
            match request_count.fetch_add(1, Ordering::SeqCst) {
                0 | 1 => Refused::new(Reason::TicketRunning, "ask again")
                    .retry_after(Duration::from_millis(1))
                    .into(),
                _ => answered(request),
            }
        })
        .await;
        let answer = with_timeout(
            client(start_address_router(&log, &[a, b], 0).await).call(&at_most_once_call()),
        )
        .await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
        assert_eq!(
            take_log(&log),
            ["guide", "a a.t", "b a.t", "b a.t", "b a.t"]
        );
    });
}

#[test]
fn connection_closed_by_router() {
    // A router has closed its idle connections. A call on one of them would be lost, so the
    // client opens a new one.
    task::block_on(async {
        let log = Log::default();
        let idle = Limits {
            idle_timeout: Duration::from_millis(50),
            ..Limits::default()
        };
        let (server, a) = start(idle, common::echo).await;
        let client = client(start_address_router(&log, &[a], 600_000).await);
        with_timeout(client.call(&call())).await;
        with_timeout(async {
            while server.connections() > 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
        })
        .await;
        let answer = with_timeout(client.call(&call())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 1));
        assert_eq!(answer.body, b"hello");
    });
}

#[test]
fn connection_silent() {
    // A device on the path has dropped the connection, so it delivers neither data nor an error.
    // The client tries another router before the deadline.
    task::block_on(async {
        let log = Log::default();
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let a = silent.local_addr().unwrap();
        let b = start_router("b", &log, answered).await;
        let client = Client::new(ClientSettings {
            idle_timeout: Duration::from_millis(300),
            ..ClientSettings::new(vec![start_address_router(&log, &[a, b], 0).await])
        });
        let answer = with_timeout(client.call(&call())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
    });
}

/// Guards against an answer that passes for complete although its end can be read in two ways, or that
/// is an interim one.
#[test]
fn answer_ambiguous_is_lost() {
    let answers = [
        "HTTP/1.1 200 OK\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\ncontent-length: +3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nodd",
        "HTTP/1.1 103 Odd\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 000 Odd\r\ncontent-length: 3\r\n\r\nodd",
    ];
    task::block_on(async {
        for bytes in answers {
            let log = Log::default();
            let a = start_breaking_router(&log, "a", bytes).await;
            let b = start_router("b", &log, answered).await;
            let client = client(start_address_router(&log, &[a, b], 0).await);
            let answer = with_timeout(client.call(&call())).await;
            assert_eq!(answer.outcome, Outcome::Answered, "{bytes:?}");
            assert_eq!(take_log(&log), ["guide", "a -", "b -"], "{bytes:?}");
        }
    });
}

#[test]
fn stream_complete() {
    task::block_on(async {
        let log = Log::default();
        let a = start_router("a", &log, |_| pieces(&["a", "b"], Piece::End)).await;
        let client = client(start_address_router(&log, &[a], 0).await);
        let mut seen = Vec::new();
        let mut take = |bytes: &[u8]| seen.extend_from_slice(bytes);
        let answer = with_timeout(client.call_streamed(&call(), &mut take)).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(
            (seen.as_slice(), answer.body.as_slice()),
            (&b"ab"[..], &b"ab"[..])
        );
    });
}

#[test]
fn stream_aborted() {
    // A stream is aborted after its first chunk was passed on. The call is not retried, because
    // the chunks of two answers can't be combined. The last event gives the outcome.
    task::block_on(async {
        let fail = || Piece::Fail(Refused::new(Reason::EndpointFailed, "out of memory"));
        for (part, reason, outcome) in [
            ("data: a\n\n", Reason::EndpointFailed, Outcome::Failed),
            ("data: a", Reason::AnswerLost, Outcome::MayHaveRun),
        ] {
            let log = Log::default();
            let a = start_router("a", &log, move |_| pieces(&[part], fail())).await;
            let b = start_router("b", &log, answered).await;
            let client = client(start_address_router(&log, &[a, b], 0).await);
            let answer = with_timeout(client.call_streamed(&call(), &mut |_| {})).await;
            assert_eq!(
                (reason_of(&answer), answer.outcome),
                (Some(reason), outcome)
            );
            assert_eq!(take_log(&log), ["guide", "a -"]);
        }
    });
}

#[test]
fn stream_end_in_several_reads() {
    // The last line end of a stream arrives alone. The library's decoder then returns Pending
    // without registering a waker, and the call would hang although its answer has arrived.
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let a = listener.local_addr().unwrap();
        task::spawn(async move {
            let (mut socket, _) = listener.accept().await.unwrap();
            let _ = socket.read(&mut [0; 8192]).await;
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            for piece in [head, "2\r\nok\r\n0\r\n", "\r", "\n"] {
                socket.write_all(piece.as_bytes()).await.unwrap();
                task::sleep(Duration::from_millis(20)).await;
            }
            let _ = socket.read(&mut [0; 1]).await;
        });
        let client = Client::new(ClientSettings {
            idle_timeout: Duration::from_secs(600),
            timeout: Duration::from_secs(600),
            ..ClientSettings::new(vec![start_address_router(&Log::default(), &[a], 0).await])
        });
        // Runs in a separate task, because the timeout would poll the call again.
        let answer = with_timeout(task::spawn(async move { client.call(&call()).await })).await;
        assert_eq!(answer.body, b"ok");
    });
}

fn pieces(data: &[&str], end: Piece) -> Response {
    let (send, receive) = bounded(8);
    for part in data {
        send.try_send(Piece::Data(part.as_bytes().to_vec()))
            .unwrap();
    }
    send.try_send(end).unwrap();
    Response::stream(200, receive).header("content-type", "text/event-stream")
}
