//! The other listeners of a gateway.

use {
    super::{
        crowd::{
            Crowd,
            Script, //
        },
        router::{
            exchange,
            wait_until,
            Bounds,
            Router, //
        },
        serial,
    },
    std::time::Duration,
};

const READY: u16 = 7601;
const ADDRESSES: u16 = 7602;
const PEERS: u16 = 7603;
const METRICS: u16 = 7604;

const SMALL: Bounds = Bounds {
    memory_mb: 24,
    descriptors: 1_000,
};

/// Sends a script to a listener by many clients, and checks that the router still answers callers and
/// whoever asks that listener.
fn check_listener(port: u16, count: usize, head: &str, body: usize) {
    let _serial = serial();
    let router = Router::start(SMALL);
    let script = Script {
        head: head.as_bytes().to_vec(),
        piece: vec![b'u'; body],
        times: 1,
        pause: Duration::ZERO,
    };
    let crowd = Crowd::send(router.addr(port), count, &script);
    crowd.stay();
    router.wait_answered();
    wait_until("the listener answers", || {
        let question = b"GET /none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        exchange(router.addr(port), question).is_ok_and(|answer| answer.status == 404)
    });
    drop(crowd);
    router.wait_answered();
    router.check();
}

fn check_bodies(port: u16) {
    let head = "POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 64000\r\n\r\n";
    check_listener(port, 800, head, 60_000);
}

fn check_heads(port: u16) {
    check_listener(port, 1_200, "GET /none HTTP/1.1\r\nHost: ", 0);
}

/// Guards against bodies that nobody needs and that are kept.
#[test]
fn addresses_bodies_that_stop_short() {
    check_bodies(ADDRESSES);
}

/// Guards against any number of connections.
#[test]
fn addresses_heads_that_stop() {
    check_heads(ADDRESSES);
}

/// Guards against bodies that nobody needs and that are kept.
#[test]
fn ready_bodies_that_stop_short() {
    check_bodies(READY);
}

/// Guards against any number of connections.
#[test]
fn ready_heads_that_stop() {
    check_heads(READY);
}

/// Guards against bodies that nobody needs and that are kept.
#[test]
fn peers_bodies_that_stop_short() {
    check_bodies(PEERS);
}

/// Guards against any number of connections.
#[test]
fn peers_heads_that_stop() {
    check_heads(PEERS);
}

/// Guards against bodies that nobody needs and that are kept.
#[test]
fn metrics_bodies_that_stop_short() {
    check_bodies(METRICS);
}

/// Guards against any number of connections.
#[test]
fn metrics_heads_that_stop() {
    check_heads(METRICS);
}

/// Guards against long answers that are held for clients that read nothing.
#[test]
fn metrics_answers_that_nobody_reads() {
    let question = "GET /state HTTP/1.1\r\nHost: a\r\n\r\n".repeat(400);
    check_listener(METRICS, 200, &question, 0);
}
