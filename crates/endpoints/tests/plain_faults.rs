//! Plain calls under faults: what the outcome says, and how often the call ran.

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
        CompleteAnswer, //
        Options,
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

/// Makes a call that may not run twice, with one fault.
async fn once(service: &Handle, fault: Fault) -> CompleteAnswer {
    service.faults.order(fault, 1);
    let call = plain_call(service.addr, "a", false);
    client().call(call).collect().await
}

fn right(id: &str) -> Vec<u8> {
    answer("POST", "/records", format!("record {id}").as_bytes()).into_bytes()
}

#[test]
fn call_refused() {
    // An officer is told that a renewal did not run, and enters it again. The service had
    // just been stopped; nothing listens at its address. "Not run" must hold, and it does:
    // without a connection no byte of the request was written.
    block_on(async {
        let free = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = free.local_addr().expect("an address");
        drop(free);
        let whole = client().call(plain_call(addr, "a", false)).collect().await;
        assert_eq!(whole.end.outcome, Outcome::NotRun);
        assert!(matches!(whole.end.cause, Some(CallError::Connect(_))));
    });
}

#[test]
fn call_reset_unread() {
    // The service resets the connection before it reads the request, so it never ran. The
    // router can't tell: the bytes had left. Cause of a false "not run" would be to take a
    // reset before the first byte of the answer for a proof.
    block_on(async {
        let service = service().await;
        let whole = once(&service, Fault::ResetUnread).await;
        assert_eq!(whole.end.outcome, Outcome::MayHaveRun);
        assert_eq!(service.runs().get("a"), None);
    });
}

#[test]
fn call_reset_unanswered() {
    // A renewal is recorded, then the service's process dies before it answers. Taken for
    // "not run" it would be entered a second time.
    block_on(async {
        let service = service().await;
        let whole = once(&service, Fault::ResetUnanswered).await;
        assert_eq!(whole.end.outcome, Outcome::MayHaveRun);
        assert_eq!(service.runs()["a"], 1);
    });
}

#[test]
fn call_reset_answering() {
    // The head says 200, then the connection is reset, or the body stops short. The
    // library's decoder ends a body that is too short as if it were whole. Cause: it does
    // not compare the length that the head announced with what came.
    block_on(async {
        for fault in [Fault::ResetAfterHead, Fault::Cut { after: 5 }] {
            let service = service().await;
            let whole = once(&service, fault).await;
            assert_eq!(whole.end.outcome, Outcome::MayHaveRun, "{fault:?}");
            assert_eq!(whole.end.cause, Some(CallError::Truncated), "{fault:?}");
            assert_eq!(service.runs()["a"], 1);
        }
    });
}

#[test]
fn call_silent() {
    // The service takes the connection and never says a word, before or after it ran the
    // call, or in the middle of its answer. All look the same from here, so "may have run".
    block_on(async {
        let faults = [
            (Fault::Ignored, 0),
            (Fault::Silent, 1),
            (Fault::SilentAfter { after: 4 }, 1),
        ];
        for (fault, runs) in faults {
            let service = service().await;
            let whole = once(&service, fault).await;
            assert_eq!(whole.end.outcome, Outcome::MayHaveRun, "{fault:?}");
            assert!(matches!(whole.end.cause, Some(CallError::Silent(_))));
            assert_eq!(service.runs().get("a").copied().unwrap_or(0), runs);
        }
    });
}

#[test]
fn call_failed() {
    block_on(async {
        let service = service().await;
        let whole = once(&service, Fault::Fail).await;
        assert_eq!(whole.end.outcome, Outcome::Failed);
        assert_eq!((whole.status, whole.body), (500, b"failed\n".to_vec()));
    });
}

#[test]
fn call_leaving() {
    // A leaving service refuses a renewal and says so. The call goes to another service,
    // which is right only if this one is believed where it says that it did not take it.
    block_on(async {
        let service = service().await;
        service.leave(true);
        let call = plain_call(service.addr, "a", false);
        let whole = client().call(call).collect().await;
        assert_eq!(whole.end.outcome, Outcome::NotRun);
        assert!(whole.end.leaving);
        assert_eq!(service.runs().get("a"), None);
    });
}

#[test]
fn call_refused_again() {
    // A lookup was lost on a kept connection after the service ran it; tried again, the
    // service refuses it as "not run". That is true of the second try alone.
    block_on(async {
        let service = service().await;
        let client = client();
        client
            .call(plain_call(service.addr, "a", true))
            .collect()
            .await;
        service.faults.order(Fault::ResetUnanswered, 1);
        service.faults.order(Fault::Refuse, 1);
        let whole = client
            .call(plain_call(service.addr, "b", true))
            .collect()
            .await;
        assert_eq!(whole.end.outcome, Outcome::MayHaveRun);
        assert_eq!(service.runs()["b"], 1);
    });
}

#[test]
fn call_foreign_answer() {
    // A grocer's lookup shows the certificate of another producer. The service mixed up
    // two answers: each carries the id of the other's request, or none. Nothing of such an
    // answer is passed on, and its connection is closed.
    block_on(async {
        for fault in [Fault::WrongId, Fault::NoId] {
            let service = service().await;
            let client = client();
            service.faults.order(fault, 1);
            let whole = client
                .call(plain_call(service.addr, "a", true))
                .collect()
                .await;
            assert_eq!(whole.end.outcome, Outcome::MayHaveRun);
            assert_eq!((whole.status, whole.body.len()), (0, 0), "{fault:?}");
            let whole = client
                .call(plain_call(service.addr, "b", true))
                .collect()
                .await;
            assert_eq!(whole.body, right("b"));
            assert_eq!(service.connections(), 2);
        }
    });
}

#[test]
fn call_late_answer() {
    // A lookup is given up; its answer comes late. The next lookup to the same service
    // must not read it as its own. Cause would be a connection used again with an answer
    // still owed. Here the first call ends by its silence bound, the second goes at once.
    block_on(async {
        let service = service().await;
        let client = client();
        service.faults.order(Fault::Delay { ms: 800 }, 1);
        let mut late = plain_call(service.addr, "a", true);
        late.silence_timeout = Duration::from_millis(200);
        let first = client.call(late).collect().await;
        assert_eq!(first.end.outcome, Outcome::MayHaveRun);
        for id in ["b", "c"] {
            let whole = client
                .call(plain_call(service.addr, id, true))
                .collect()
                .await;
            assert_eq!(whole.body, right(id));
        }
    });
}

#[test]
fn call_unasked_answer() {
    // The service sends a second answer, for another id, right behind the first or a while
    // later. It stays in the kept connection, where the next call would read it as its
    // own, discard it for its id, and have to run again.
    block_on(async {
        for fault in [Fault::Twice, Fault::Stray { ms: 30 }] {
            let service = service().await;
            let client = client();
            service.faults.order(fault, 1);
            for id in ["a", "b", "c"] {
                let whole = client
                    .call(plain_call(service.addr, id, true))
                    .collect()
                    .await;
                assert_eq!(whole.end.outcome, Outcome::Answered);
                assert_eq!(whole.body, right(id));
                if matches!(fault, Fault::Stray { .. }) {
                    eventually("the stray answer is out", || service.strays() == 1).await;
                }
            }
            assert_eq!((service.runs()["b"], service.connections()), (1, 2));
        }
    });
}

#[test]
fn call_kept_silent() {
    // Lookups hang one after another although the service is well. Something between the
    // two ends lost track of the kept connections: what is written on them never arrives,
    // while a new one works. The call goes again over a new connection, and the other kept
    // ones are closed rather than tried in turn.
    block_on(async {
        let service = service().await;
        let client = client();
        service.faults.order(Fault::Delay { ms: 300 }, 2);
        let first = client.call(plain_call(service.addr, "a0", true));
        let second = client.call(plain_call(service.addr, "a1", true));
        first.collect().await;
        second.collect().await;
        let kept = service.connections();
        service.faults.order(Fault::Ignored, 1);
        let whole = client
            .call(plain_call(service.addr, "b", true))
            .collect()
            .await;
        assert_eq!(whole.end.outcome, Outcome::Answered);
        assert_eq!(whole.body, right("b"));
        assert_eq!((service.runs()["b"], service.connections()), (1, kept + 1));
        eventually("the others close", || service.open() == 1).await;
    });
}

#[test]
fn call_kept_reset() {
    // A lookup fails just after a quiet spell. The service closed the kept connection in
    // the moment in which the next call was written on it.
    block_on(async {
        let service = service().await;
        let client = client();
        client
            .call(plain_call(service.addr, "a", true))
            .collect()
            .await;
        service.faults.order(Fault::ResetUnread, 1);
        let whole = client
            .call(plain_call(service.addr, "b", true))
            .collect()
            .await;
        assert_eq!(whole.end.outcome, Outcome::Answered);
        assert_eq!((service.runs()["b"], service.connections()), (1, 2));
    });
}
