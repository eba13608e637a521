//! Answers of replicas that stop midway, in numbers.

use super::{
    crowd::{
        Crowd,
        Script, //
    },
    router::{
        head,
        Bounds,
        Router,
        Unfinished, //
    },
    serial,
};
use std::time::Duration;

const BOUNDS: Bounds = Bounds {
    memory_mb: 24,
    descriptors: 1_000,
};

/// Routes of each kind; on the last one, events are read.
const ROUTES: [&str; 3] = ["single", "again", "stream"];

/// Checks a router that has many requests on a route to which replicas don't finish their answers.
fn check_unfinished(route: &str, answer: Unfinished) {
    let router = Router::start(BOUNDS);
    let script = Script {
        head: head(&format!("GET /{route}/{}", answer.path()), &[]),
        piece: Vec::new(),
        times: 0,
        pause: Duration::ZERO,
    };
    let crowd = Crowd::send(router.callers(), 300, &script);
    crowd.stay();
    drop(crowd);
    println!("{answer:?} {route}");
    router.wait_answered();
    router.check();
}

/// Guards against bodies that replicas don't finish and that take more memory than the process has.
#[test]
fn bodies_that_replicas_stop_midway() {
    let _serial = serial();
    for route in ROUTES {
        check_unfinished(route, Unfinished::Body);
    }
}

/// Guards against the same for other parts of answers.
#[test]
fn answers_that_replicas_stop_midway() {
    let _serial = serial();
    for answer in Unfinished::ALL {
        check_unfinished("stream", answer);
    }
}
