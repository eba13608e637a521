//! Plain calls under faults: the reported outcome, and how often the call ran.

mod common;

use {
    async_std::task::block_on,
    common::{
        eventually,
        plain_call,
        service, //
    },
    endpoints::{
        CallError,
        Client,
        CompleteAnswer,
        Options, //
    },
    policy::Outcome,
    standins::{
        plain::{
            answer,
            Handle, //
        },
        Fault, //
    },
    std::{
        net::TcpListener,
        time::Duration, //
    },
};

fn client() -> Client {
    Client::new(Options::default())
}

/// Makes a call that is not idempotent, with one fault.
async fn call_with_fault(service: &Handle, fault: Fault) -> CompleteAnswer {
    service.faults.order(fault, 1);
    let call = plain_call(service.addr, "a", false);
    client().call(call).read_all().await
}

fn expected_body(id: &str) -> Vec<u8> {
    answer("POST", "/records", format!("record {id}").as_bytes()).into_bytes()
}

#[test]
fn call_connection_refused() {
    // Guards against a wrong outcome when nothing listens at the address: no byte of the
    // request was written, so "not run" must hold and be reported.
    block_on(async {
        let free = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = free.local_addr().expect("an address");
        drop(free);
        let received = client().call(plain_call(addr, "a", false)).read_all().await;
        assert_eq!(received.end.outcome, Outcome::NotRun);
        assert!(matches!(received.end.cause, Some(CallError::Connect(_))));
    });
}

#[test]
fn call_reset_unread() {
    // Guards against a false "not run": the service resets the connection before it reads the
    // request, so the call never ran. The client cannot know, as the bytes were sent; a reset
    // before the first byte of the answer proves nothing.
    block_on(async {
        let service = service().await;
        let received = call_with_fault(&service, Fault::ResetUnread).await;
        assert_eq!(received.end.outcome, Outcome::MayHaveRun);
        assert_eq!(service.runs().get("a"), None);
    });
}

#[test]
fn call_reset_unanswered() {
    // Guards against a false "not run", after which the call would be repeated: the service
    // runs the call, then its process dies before it answers.
    block_on(async {
        let service = service().await;
        let received = call_with_fault(&service, Fault::ResetUnanswered).await;
        assert_eq!(received.end.outcome, Outcome::MayHaveRun);
        assert_eq!(service.runs()["a"], 1);
    });
}

#[test]
fn call_reset_answering() {
    // Guards against a truncated body taken for a complete one: after the head with status 200
    // the connection is reset, or the body ends early. The library's decoder does not compare
    // the announced length with the bytes received.
    block_on(async {
        for fault in [Fault::ResetAfterHead, Fault::Cut { after: 5 }] {
            let service = service().await;
            let received = call_with_fault(&service, fault).await;
            assert_eq!(received.end.outcome, Outcome::MayHaveRun, "{fault:?}");
            assert_eq!(received.end.cause, Some(CallError::Truncated), "{fault:?}");
            assert_eq!(service.runs()["a"], 1);
        }
    });
}

#[test]
fn call_silent() {
    // Guards against claiming more than is known of a silent service. It accepts the connection
    // and sends nothing, before or after it ran the call, or stops within its answer. The
    // client cannot tell these apart, so all are "may have run".
    block_on(async {
        let faults = [
            (Fault::Ignored, 0),
            (Fault::Silent, 1),
            (Fault::SilentAfter { after: 4 }, 1),
        ];
        for (fault, runs) in faults {
            let service = service().await;
            let received = call_with_fault(&service, fault).await;
            assert_eq!(received.end.outcome, Outcome::MayHaveRun, "{fault:?}");
            assert!(matches!(received.end.cause, Some(CallError::Silent(_))));
            assert_eq!(service.runs().get("a").copied().unwrap_or(0), runs);
        }
    });
}

#[test]
fn call_failed() {
    block_on(async {
        let service = service().await;
        let received = call_with_fault(&service, Fault::Fail).await;
        assert_eq!(received.end.outcome, Outcome::Failed);
        assert_eq!(
            (received.status, received.body),
            (500, b"failed\n".to_vec())
        );
    });
}

#[test]
fn call_leaving() {
    // Guards against losing a call that a leaving service rejects: the call can go to another
    // service only if the rejection is reported as "not run".
    block_on(async {
        let service = service().await;
        service.leave(true);
        let call = plain_call(service.addr, "a", false);
        let received = client().call(call).read_all().await;
        assert_eq!(received.end.outcome, Outcome::NotRun);
        assert!(received.end.leaving);
        assert_eq!(service.runs().get("a"), None);
    });
}

#[test]
fn call_rejected_on_retry() {
    // Guards against a false "not run" after a retry: the service runs the call, its answer is
    // lost on a pooled connection, and the retry is rejected. That rejection holds for the
    // second attempt only.
    block_on(async {
        let service = service().await;
        let client = client();
        client
            .call(plain_call(service.addr, "a", true))
            .read_all()
            .await;
        service.faults.order(Fault::ResetUnanswered, 1);
        service.faults.order(Fault::Refuse, 1);
        let received = client
            .call(plain_call(service.addr, "b", true))
            .read_all()
            .await;
        assert_eq!(received.end.outcome, Outcome::MayHaveRun);
        assert_eq!(service.runs()["b"], 1);
    });
}

#[test]
fn call_answer_with_wrong_id() {
    // Guards against forwarding the answer to another call: the service mixes up answers, so
    // that one carries the id of another call, or none. None of it may be forwarded, and its
    // connection must be closed.
    block_on(async {
        for fault in [Fault::WrongId, Fault::NoId] {
            let service = service().await;
            let client = client();
            service.faults.order(fault, 1);
            let received = client
                .call(plain_call(service.addr, "a", true))
                .read_all()
                .await;
            assert_eq!(received.end.outcome, Outcome::MayHaveRun);
            assert_eq!((received.status, received.body.len()), (0, 0), "{fault:?}");
            let received = client
                .call(plain_call(service.addr, "b", true))
                .read_all()
                .await;
            assert_eq!(received.body, expected_body("b"));
            assert_eq!(service.connections(), 2);
        }
    });
}

#[test]
fn call_late_answer() {
    // Guards against reusing a connection whose answer is still pending: the first call ends by
    // its silence timeout, and the next must not read the late answer as its own.
    block_on(async {
        let service = service().await;
        let client = client();
        service.faults.order(Fault::Delay { ms: 800 }, 1);
        let mut late = plain_call(service.addr, "a", true);
        late.silence_timeout = Duration::from_millis(200);
        let first = client.call(late).read_all().await;
        assert_eq!(first.end.outcome, Outcome::MayHaveRun);
        for id in ["b", "c"] {
            let received = client
                .call(plain_call(service.addr, id, true))
                .read_all()
                .await;
            assert_eq!(received.body, expected_body(id));
        }
    });
}

#[test]
fn call_unsolicited_answer() {
    // Guards against reusing a connection with unread bytes: the service sends a second answer,
    // for another id, right behind the first or later. The next call would read it, reject it
    // for its id, and have to run again.
    block_on(async {
        for fault in [Fault::Twice, Fault::Stray { ms: 30 }] {
            let service = service().await;
            let client = client();
            service.faults.order(fault, 1);
            for id in ["a", "b", "c"] {
                let received = client
                    .call(plain_call(service.addr, id, true))
                    .read_all()
                    .await;
                assert_eq!(received.end.outcome, Outcome::Answered);
                assert_eq!(received.body, expected_body(id));
                if matches!(fault, Fault::Stray { .. }) {
                    eventually("the stray answer is out", || service.strays() == 1).await;
                }
            }
            assert_eq!((service.runs()["b"], service.connections()), (1, 2));
        }
    });
}

#[test]
fn call_pooled_connection_silent() {
    // Guards against calls that hang one after another on pooled connections that were silently
    // dropped in between, while new connections work. The call must be retried over a new
    // connection, and the other pooled ones closed rather than tried in turn.
    block_on(async {
        let service = service().await;
        let client = client();
        service.faults.order(Fault::Delay { ms: 300 }, 2);
        let first = client.call(plain_call(service.addr, "a0", true));
        let second = client.call(plain_call(service.addr, "a1", true));
        first.read_all().await;
        second.read_all().await;
        let kept = service.connections();
        service.faults.order(Fault::Ignored, 1);
        let received = client
            .call(plain_call(service.addr, "b", true))
            .read_all()
            .await;
        assert_eq!(received.end.outcome, Outcome::Answered);
        assert_eq!(received.body, expected_body("b"));
        assert_eq!((service.runs()["b"], service.connections()), (1, kept + 1));
        eventually("the others close", || service.open() == 1).await;
    });
}

#[test]
fn call_pooled_connection_reset() {
    // Guards against a failed call after an idle period: the service closes the pooled
    // connection just as the next call is written to it.
    block_on(async {
        let service = service().await;
        let client = client();
        client
            .call(plain_call(service.addr, "a", true))
            .read_all()
            .await;
        service.faults.order(Fault::ResetUnread, 1);
        let received = client
            .call(plain_call(service.addr, "b", true))
            .read_all()
            .await;
        assert_eq!(received.end.outcome, Outcome::Answered);
        assert_eq!((service.runs()["b"], service.connections()), (1, 2));
    });
}
