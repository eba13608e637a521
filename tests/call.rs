//! `where` and `call`, against a server of the callers' interface.

use {
    async_std::{
        channel::bounded,
        net::TcpListener,
        task, //
    },
    callers::{
        Address,
        AddressList,
        IncomingRequest,
        Limits,
        Piece,
        Reason,
        Refused,
        Request,
        Response,
        Server, //
    },
    policy::Outcome,
    std::{
        net::SocketAddr,
        process::{
            Command,
            Output, //
        },
    },
};

/// What the model says, as the engines stream it, with a letter cut in two.
const EVENTS: [&[u8]; 4] = [
    b"data: {\"choices\":[{\"delta\":{\"content\":\"Gr\xc3",
    b"\xbc\xc3\x9fe\"}}]}\n\n",
    b"data: {\"choices\":[{\"delta\":{\"content\":\" dock\"}}]}\n\n",
    b"data: [DONE]\n\n",
];

/// Starts a router that answers by the path alone.
fn start() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(Limits::default(), move |ask| async move {
        match ask {
            IncomingRequest::Addresses { query, .. } => (&locate(address, query.tickets)).into(),
            IncomingRequest::Request { request, .. } => answer(&request),
        }
    });
    task::spawn(async move { server.serve(TcpListener::from(listener)).await });
    address
}

fn locate(address: SocketAddr, tickets: u32) -> AddressList {
    AddressList {
        addresses: vec![Address {
            router: "router-1".parse().unwrap(),
            address,
            zone: "hall-a".parse().unwrap(),
            weight: 8.0,
        }],
        keep_ms: 5_000,
        tickets: (0..tickets).map(|n| format!("router-1/1/{n}")).collect(),
        ticket_ms: 60_000,
    }
}

fn answer(request: &Request) -> Response {
    match request.target.as_str() {
        "/late" => Refused::new(Reason::Late, "allow more time").into(),
        "/lost" => Refused::new(Reason::AnswerLost, "look whether it ran").into(),
        "/failed" => Response::complete(500, Outcome::Failed, b"no ink".to_vec()),
        "/v1/chat/completions" => stream(),
        target => {
            let ticket = request.ticket.as_deref().unwrap_or("none");
            let body = format!("{} {target} ticket {ticket}", request.method);
            Response::complete(200, Outcome::Answered, body.into_bytes())
        }
    }
}

fn stream() -> Response {
    let (pieces, body) = bounded(1);
    task::spawn(async move {
        for event in EVENTS {
            let _ = pieces.send(Piece::Data(event.to_vec())).await;
        }
        let _ = pieces.send(Piece::End).await;
    });
    Response::stream(200, body).header("content-type", "text/event-stream")
}

fn chervilwind(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .args(args)
        .output()
        .unwrap()
}

fn call(more: &[&str]) -> (Option<i32>, String, String) {
    let router = start().to_string();
    let mut args = vec!["call", &router, "--service", "drafting-llm"];
    args.extend(["--workspace", "bristol", "--profile", "standard"]);
    args.extend(more);
    let output = chervilwind(&args);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn call_plain() {
    let (code, stdout, stderr) = call(&["--path", "/renewals/7"]);
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert_eq!(stdout, "GET /renewals/7 ticket none");
}

#[test]
fn call_once() {
    let (code, stdout, _) = call(&["--path", "/renewals/7", "--body", "x", "--once"]);
    assert_eq!(code, Some(0));
    assert_eq!(stdout, "POST /renewals/7 ticket router-1/1/0");
}

#[test]
fn call_prompt() {
    let (code, stdout, stderr) = call(&["--prompt", "Draft a notice"]);
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert_eq!(stdout, "Grüße dock\n");
}

/// Guards against a rejection on the standard output, where scripts expect an answer.
#[test]
fn call_not_run() {
    let (code, stdout, stderr) = call(&["--path", "/late"]);
    assert_eq!((code, stdout.as_str()), (Some(5), ""));
    assert_eq!(stderr, "  × not-run: allow more time\n");
}

#[test]
fn call_may_have_run() {
    let (code, stdout, stderr) = call(&["--path", "/lost"]);
    assert_eq!((code, stdout.as_str()), (Some(6), ""));
    assert_eq!(stderr, "  × may-have-run: look whether it ran\n");
}

#[test]
fn call_failed() {
    let (code, stdout, stderr) = call(&["--path", "/failed"]);
    assert_eq!((code, stdout.as_str()), (Some(1), "no ink"));
    assert_eq!(stderr, "  × failed: the endpoint failed\n");
}

#[test]
fn call_json() {
    let (code, stdout, _) = call(&["--path", "/late", "--json"]);
    assert_eq!(code, Some(5));
    let json: serde_json::Value = serde_json::from_str(&stdout).unwrap();
    assert_eq!(json["outcome"], "not-run");
    assert_eq!(json["refused"]["why"], "late");
}

#[test]
fn where_tickets() {
    let router = start().to_string();
    let args = ["where", &router, "--service", "a", "--tickets", "2"];
    let output = chervilwind(&args);
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    for text in [router.as_str(), "keep for 5s", "ticket router-1/1/1"] {
        assert!(stdout.contains(text), "no `{text}` in\n{stdout}");
    }
    let output = chervilwind(&[&args[..], &["--json"]].concat());
    let answer: AddressList = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(answer, locate(router.parse().unwrap(), 2));
}
