use {
    super::Shedder,
    crate::http::{
        Conn,
        Head,
        Listener,
        StartLine, //
    },
    async_std::task,
    policy::{
        Span,
        Time, //
    },
    std::{
        io::{
            ErrorKind,
            Read,
            Write, //
        },
        net::{
            SocketAddr,
            TcpStream, //
        },
        time::Duration, //
    },
};

/// Connections that wait in the accept queue.
const WAITING: usize = 60;
/// Time limit that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Connects and sends a request whose target is its number.
fn request(addr: SocketAddr, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    let head = format!("GET /{number} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Returns all that a caller receives until the connection is closed or reset.
fn receive(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(e) = stream.read_to_end(&mut bytes) {
        assert_eq!(e.kind(), ErrorKind::ConnectionReset, "after {bytes:?}");
    }
    String::from_utf8(bytes).unwrap()
}

/// Answers the connections that are kept with the target of their request.
async fn answer_kept(shedder: Shedder, listener: Listener) {
    loop {
        for stream in shedder.accept(&listener, || Time(0)).await.unwrap() {
            let mut conn = Conn::new(stream).unwrap();
            let head = conn.read_head(4096, Head::request).await.unwrap();
            let StartLine::Request { target, .. } = head.line else {
                panic!("no request");
            };
            conn.write(target.as_bytes()).await.unwrap();
            conn.close().await;
        }
    }
}

/// Guards against connections that are closed after something was written on them, and against
/// keeping those whose callers have waited longest.
#[test]
fn accept_while_tasks_run_late() {
    let shedder = Shedder::new(0.09).unwrap();
    shedder.record_delay(Span::millis(300), Time(0));
    let listener = Listener::bind(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = listener.address().unwrap();
    let callers: Vec<TcpStream> = (0..WAITING).map(|n| request(addr, n)).collect();
    task::spawn(answer_kept(shedder, listener));
    let answers: Vec<String> = callers.into_iter().map(receive).collect();
    let kept = answers.iter().filter(|a| !a.is_empty()).count();
    assert!((1..=WAITING / 2).contains(&kept), "{answers:?}");
    for (n, answer) in answers.iter().enumerate() {
        let expected = match n < WAITING - kept {
            true => String::new(),
            false => format!("/{n}"),
        };
        assert_eq!(*answer, expected);
    }
}

/// Guards against shedding at instances that have time enough, and in which nothing is to change.
#[test]
fn new_by_processor() {
    assert!([0.1, 0.12, 0.5]
        .map(Shedder::new)
        .iter()
        .all(Option::is_none));
}
