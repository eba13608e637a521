//! Requests that still run when a router has to end.

use super::{
    http::Message,
    router::{
        exchange,
        head,
        wait_until,
        Bounds,
        Router,
        Unfinished, //
    },
    serial,
};
use std::{
    io,
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

const BOUNDS: Bounds = Bounds {
    memory_mb: 100,
    descriptors: 4_000,
};
const GRACE_S: u64 = 3;
/// Requests at once; fewer than the slots of the replica.
const REQUESTS: usize = 20;
/// Longer than the requests of a test take to reach the replica.
const ARRIVAL: Duration = Duration::from_millis(500);

/// Sends requests that the replica doesn't answer in the grace period.
fn send_all(router: &Router, route: &str) -> Vec<JoinHandle<io::Result<Message>>> {
    let target = format!("GET /{route}/{}", Unfinished::Head.path());
    let requests = (0..REQUESTS).map(|_| {
        let (addr, request) = (router.callers(), head(&target, &[]));
        thread::spawn(move || exchange(addr, &request))
    });
    requests.collect()
}

/// Returns the statuses of answers, 0 where there was none.
fn statuses(requests: Vec<JoinHandle<io::Result<Message>>>) -> Vec<u16> {
    let answers = requests.into_iter().map(|r| r.join().unwrap());
    answers.map(|a| a.map_or(0, |a| a.status)).collect()
}

/// Guards against a process that ends with requests that it has neither answered nor refused.
#[test]
fn requests_at_the_end_of_a_stop() {
    let _serial = serial();
    for route in ["single", "again", "stream"] {
        let router = Router::start_with_grace(BOUNDS, GRACE_S);
        let before = send_all(&router, route);
        thread::sleep(ARRIVAL);
        router.terminate();
        let during = send_all(&router, route);
        wait_until("the router rejects requests", || {
            router.ask().is_ok_and(|status| status == 503)
        });
        let late = send_all(&router, route);
        assert_eq!(statuses(late), [503; REQUESTS], "{route}, late");
        assert_eq!(statuses(before), [504; REQUESTS], "{route}, before");
        assert_eq!(statuses(during), [504; REQUESTS], "{route}, during");
        assert!(router.wait_ended(), "{route}");
    }
}
