//! The client: what it keeps, which router is next, and what is sent again.

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
        Reason, //
        Refused,
        Response,
    },
    common::{
        soon,
        start, //
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

/// Starts a router that answers a request as given, and logs what it is asked.
async fn router(
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

/// Starts a router that only answers which addresses to use.
async fn guide(log: &Log, all: &[SocketAddr], keep_ms: u64) -> SocketAddr {
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

/// Starts a router that takes a request and breaks the connection, after some bytes.
async fn breaking(log: &Log, name: &'static str, bytes: &'static str) -> SocketAddr {
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

fn once() -> Call {
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

fn logged(log: &Log) -> Vec<String> {
    std::mem::take(&mut log.lock().unwrap())
}

fn why(answer: &Answer) -> Option<Reason> {
    answer.refused.as_ref().map(|r| r.reason)
}

#[test]
fn addresses_kept() {
    task::block_on(async {
        let log = Log::default();
        let a = router("a", &log, answered).await;
        let kept = client(guide(&log, &[a], 600_000).await);
        for _ in 0..3 {
            let answer = soon(kept.call(&call())).await;
            assert_eq!(answer.outcome, Outcome::Answered);
            assert_eq!((answer.status, answer.attempts), (Some(200), 1));
            assert_eq!(answer.body, b"done");
        }
        assert_eq!(logged(&log), ["guide", "a -", "a -", "a -"]);
        let fresh = client(guide(&log, &[a], 0).await);
        soon(fresh.call(&call())).await;
        // The last addresses are asked first, then those of the settings.
        soon(fresh.call(&call())).await;
        let asked = ["guide", "a -", "a where 0", "guide", "a -"];
        assert_eq!(logged(&log), asked);
    });
}

#[test]
fn refusal_followed() {
    task::block_on(async {
        let log = Log::default();
        let a = router("a", &log, leaving).await;
        let b = router("b", &log, answered).await;
        let answer = soon(client(guide(&log, &[a, b], 0).await).call(&call())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
        assert_eq!(logged(&log), ["guide", "a -", "b -"]);
    });
}

#[test]
fn refusal_final() {
    // What may have run, and what every router would refuse, goes to no other router.
    task::block_on(async {
        for reason in [
            Reason::AnswerLost,
            Reason::EndpointFailed,
            Reason::TicketOrphaned,
            Reason::UnknownProfile,
            Reason::Expired,
        ] {
            let log = Log::default();
            let a = router("a", &log, move |_| Refused::new(reason, "no").into()).await;
            let b = router("b", &log, answered).await;
            let answer = soon(client(guide(&log, &[a, b], 0).await).call(&call())).await;
            assert_eq!(why(&answer), Some(reason));
            assert_eq!(answer.outcome, reason.outcome());
            assert_eq!(logged(&log), ["guide", "a -"]);
        }
    });
}

#[test]
fn router_down() {
    task::block_on(async {
        let log = Log::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let down = listener.local_addr().unwrap();
        drop(listener);
        let b = router("b", &log, answered).await;
        let answer = soon(client(guide(&log, &[down, b], 0).await).call(&once())).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        let none = soon(client(down).call(&call())).await;
        assert_eq!(none.outcome, Outcome::NotRun);
        assert_eq!(why(&none), Some(Reason::NoEndpoint));
    });
}

#[test]
fn tickets_few() {
    // Tickets are asked for a few at a time, of the router that will run the request, and
    // each is used once.
    task::block_on(async {
        let log = Log::default();
        let a = router("a", &log, answered).await;
        let client = client(guide(&log, &[a], 600_000).await);
        for _ in 0..3 {
            soon(client.call(&once())).await;
        }
        let asked = [
            "guide",
            "a where 2",
            "a a.2.0",
            "a a.2.1",
            "a where 2",
            "a a.5.0",
        ];
        assert_eq!(logged(&log), asked);
    });
}

#[test]
fn ticket_renewed() {
    // A refusal that is surely not run ends its ticket; the next router gives one of its own.
    task::block_on(async {
        let log = Log::default();
        let a = router("a", &log, leaving).await;
        let b = router("b", &log, answered).await;
        let answer = soon(client(guide(&log, &[a, b], 0).await).call(&once())).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(answer.ticket.as_deref(), Some("b.4.0"));
        let asked = ["guide", "a where 2", "a a.2.0", "b where 2", "b b.4.0"];
        assert_eq!(logged(&log), asked);
    });
}

fn orphaned(_: &callers::Request) -> Response {
    Refused::new(Reason::TicketOrphaned, "nobody remembers").into()
}

// A registrar's renewal "may have run" whenever routers are replaced, and she reissues it by
// hand. Cause: her client kept tickets of a router that has restarted since, never used.
#[test]
fn ticket_orphaned_unused() {
    task::block_on(async {
        let log = Log::default();
        let a = router("a", &log, orphaned).await;
        let b = router("b", &log, answered).await;
        let client = client(guide(&log, &[a, b], 0).await);
        let answer = soon(client.call(&once())).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(answer.ticket.as_deref(), Some("b.4.0"));
        // The other ticket of that router is not tried.
        assert_eq!(soon(client.call(&once())).await.outcome, Outcome::Answered);
        assert!(!logged(&log).contains(&"a a.2.1".to_owned()));
    });
}

// The first try under a ticket was lost, then its router was gone: it may have run.
#[test]
fn ticket_orphaned_after_loss() {
    task::block_on(async {
        let log = Log::default();
        let a = breaking(&log, "a", "").await;
        let b = router("b", &log, orphaned).await;
        let answer = soon(client(guide(&log, &[a, b], 0).await).call(&once())).await;
        assert_eq!(answer.outcome, Outcome::MayHaveRun);
    });
}

#[test]
fn answer_lost() {
    // The router dies after it took a renewal. The caller asks another router under the same
    // ticket, so that it can't run twice.
    task::block_on(async {
        let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
        for bytes in ["", "HTTP/1.1 200 OK\r\ncont", short] {
            let log = Log::default();
            let a = breaking(&log, "a", bytes).await;
            let b = router("b", &log, answered).await;
            let answer = soon(client(guide(&log, &[a, b], 0).await).call(&once())).await;
            assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
            assert_eq!(answer.body, b"done");
            assert_eq!(logged(&log), ["guide", "a a.t", "b a.t"]);
        }
    });
}

#[test]
fn answer_lost_then_leaving() {
    // The first router dies after it ran a renewal; the second refuses as "not run" because it
    // is leaving. That speaks of its own try only. Taken for the whole, the caller would get a
    // new ticket and the renewal would run twice.
    task::block_on(async {
        let log = Log::default();
        let a = breaking(&log, "a", "").await;
        let b = router("b", &log, leaving).await;
        let client = Client::new(ClientSettings {
            max_attempts: 2,
            ..ClientSettings::new(vec![guide(&log, &[a, b], 0).await])
        });
        let answer = soon(client.call(&once())).await;
        assert_eq!(answer.outcome, Outcome::MayHaveRun);
        assert_eq!(answer.ticket.as_deref(), Some("a.t"));
        assert_eq!(logged(&log), ["guide", "a a.t", "b a.t"]);
    });
}

#[test]
fn answer_lost_then_settled() {
    // The second router learnt the ticket's outcome from the first: that settles all tries.
    task::block_on(async {
        let log = Log::default();
        let a = breaking(&log, "a", "").await;
        let used =
            Refused::new(Reason::TicketUsed, "its answer is gone").outcome(Outcome::Answered);
        let b = router("b", &log, move |_| used.clone().into()).await;
        let answer = soon(client(guide(&log, &[a, b], 0).await).call(&once())).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(why(&answer), Some(Reason::TicketUsed));
        assert_eq!(logged(&log), ["guide", "a a.t", "b a.t"]);
    });
}

#[test]
fn answer_lost_still_runs() {
    // The connection broke while a renewal runs. The other router says that it runs and when
    // to come back; the caller does, and gets the answer without a second run.
    task::block_on(async {
        let log = Log::default();
        let a = breaking(&log, "a", "").await;
        let asked = Arc::new(AtomicUsize::new(0));
        let b = router("b", &log, move |request| {
            match asked.fetch_add(1, Ordering::SeqCst) {
                0 | 1 => Refused::new(Reason::TicketRunning, "ask again")
                    .retry_after(Duration::from_millis(1))
                    .into(),
                _ => answered(request),
            }
        })
        .await;
        let answer = soon(client(guide(&log, &[a, b], 0).await).call(&once())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
        assert_eq!(logged(&log), ["guide", "a a.t", "b a.t", "b a.t", "b a.t"]);
    });
}

#[test]
fn connection_stale() {
    // A router was restarted and closed the kept connections. A call on one of them would be
    // lost; it goes on a new one.
    task::block_on(async {
        let log = Log::default();
        let idle = Limits {
            idle_timeout: Duration::from_millis(50),
            ..Limits::default()
        };
        let (server, a) = start(idle, common::echo).await;
        let client = client(guide(&log, &[a], 600_000).await);
        soon(client.call(&call())).await;
        soon(async {
            while server.connections() > 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
        })
        .await;
        let answer = soon(client.call(&call())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 1));
        assert_eq!(answer.body, b"hello");
    });
}

#[test]
fn connection_silent() {
    // Something between caller and router forgets the connection: nothing comes and nothing
    // ends. The caller asks again elsewhere while there is time left.
    task::block_on(async {
        let log = Log::default();
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let a = silent.local_addr().unwrap();
        let b = router("b", &log, answered).await;
        let client = Client::new(ClientSettings {
            idle_timeout: Duration::from_millis(300),
            ..ClientSettings::new(vec![guide(&log, &[a, b], 0).await])
        });
        let answer = soon(client.call(&call())).await;
        assert_eq!((answer.outcome, answer.attempts), (Outcome::Answered, 2));
    });
}

#[test]
fn stream_whole() {
    task::block_on(async {
        let log = Log::default();
        let a = router("a", &log, |_| pieces(&["a", "b"], Piece::End)).await;
        let client = client(guide(&log, &[a], 0).await);
        let mut seen = Vec::new();
        let mut take = |bytes: &[u8]| seen.extend_from_slice(bytes);
        let answer = soon(client.call_streamed(&call(), &mut take)).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(
            (seen.as_slice(), answer.body.as_slice()),
            (&b"ab"[..], &b"ab"[..])
        );
    });
}

#[test]
fn stream_cut() {
    // A stream is cut after its first piece was passed on. It is not asked for again: the
    // pieces of two answers can't be joined. Its last event tells what is known.
    task::block_on(async {
        let fail = || Piece::Fail(Refused::new(Reason::EndpointFailed, "out of memory"));
        for (part, reason, outcome) in [
            ("data: a\n\n", Reason::EndpointFailed, Outcome::Failed),
            ("data: a", Reason::AnswerLost, Outcome::MayHaveRun),
        ] {
            let log = Log::default();
            let a = router("a", &log, move |_| pieces(&[part], fail())).await;
            let b = router("b", &log, answered).await;
            let client = client(guide(&log, &[a, b], 0).await);
            let answer = soon(client.call_streamed(&call(), &mut |_| {})).await;
            assert_eq!((why(&answer), answer.outcome), (Some(reason), outcome));
            assert_eq!(logged(&log), ["guide", "a -"]);
        }
    });
}

#[test]
fn stream_end_pieces() {
    // The last line end of a stream arrives alone. The library's decoder would wait for it
    // without asking to be woken, and the call would hang though its answer is whole.
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
            ..ClientSettings::new(vec![guide(&Log::default(), &[a], 0).await])
        });
        // In a task of its own: the bound on waiting would wake the call up.
        let answer = soon(task::spawn(async move { client.call(&call()).await })).await;
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
