//! One test for each kind of failure.

use {
    policy::{
        tickets::{
            Answer,
            Claim,
            Holder,
            Record,
            RetentionLimits,
            Ticket,
            TicketError,
            Tickets,
            TransferReply,
            TransferRequest, //
        },
        Incarnation,
        Outcome,
        Span,
        Time, //
    },
    std::sync::Arc, //
};

fn make_holder(name: &str, incarnation: u64) -> Holder {
    Holder {
        router: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn table(name: &str, incarnation: u64) -> Tickets {
    Tickets::new(make_holder(name, incarnation), RetentionLimits::default())
}

fn at(s: u64) -> Time {
    Time(0) + Span::secs(s)
}

fn transfer_request(claim: Claim) -> TransferRequest {
    match claim {
        Claim::AskHolder(request) => request,
        other => panic!("{other:?}"),
    }
}

#[test]
fn ticket_text_round_trip() {
    let t: Ticket = "hall-a.1/1f/42".parse().unwrap();
    assert_eq!(t.to_string().parse(), Ok(t.clone()));
    assert_eq!(
        rmp_serde::from_slice::<Ticket>(&rmp_serde::to_vec(&t).unwrap()).unwrap(),
        t
    );
    assert!(matches!(
        "a/1".parse::<Ticket>(),
        Err(TicketError::Shape(_))
    ));
    assert!(matches!(
        "a/1/2/3".parse::<Ticket>(),
        Err(TicketError::Shape(_))
    ));
    assert!(matches!(
        "a b/1/2".parse::<Ticket>(),
        Err(TicketError::Router(_))
    ));
    assert!(matches!(
        "a/x/2".parse::<Ticket>(),
        Err(TicketError::Number(_))
    ));
}

#[test]
fn transfer_requested_by_two_routers() {
    // A caller's connection goes silent, and it retries a renewal at two other routers. Both ask
    // the issuer at once. If both got the ticket, the renewal would be registered twice.
    let (mut a, mut b, mut c) = (table("a", 1), table("b", 1), table("c", 1));
    let t = a.issue(1, at(0)).remove(0);
    let from_b = transfer_request(b.claim(&t, at(1)));
    let from_c = transfer_request(c.claim(&t, at(1)));
    let to_b = a.answer_transfer(&from_b, at(1));
    let to_c = a.answer_transfer(&from_c, at(1));
    assert!(matches!(b.apply_reply(&t, to_b, at(1)), Claim::Granted(_)));
    let next = transfer_request(c.apply_reply(&t, to_c, at(1)));
    assert_eq!(next.holder, make_holder("b", 1));
    let to_c = b.answer_transfer(&next, at(1));
    assert_eq!(c.apply_reply(&t, to_c, at(1)), Claim::Running);
}

#[test]
fn transfer_requested_again_after_lost_reply() {
    // The issuer transfers the ticket and its reply is lost. The requester must get the same
    // reply again, or no router could run the request any more.
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    let t = a.issue(1, at(0)).remove(0);
    let request = transfer_request(b.claim(&t, at(1)));
    let lost_reply = a.answer_transfer(&request, at(1));
    assert_eq!(a.answer_transfer(&request, at(2)), lost_reply);
    assert!(matches!(
        b.apply_reply(&t, lost_reply.clone(), at(2)),
        Claim::Granted(_)
    ));
    assert_eq!(b.apply_reply(&t, lost_reply, at(3)), Claim::Running);
}

#[test]
fn transfer_from_a_holder_that_missed_the_reply() {
    // The reply to b is delayed and the caller retries at c. The issuer redirects c to b, which
    // has never used the ticket and can transfer it.
    let (mut a, mut b, mut c) = (table("a", 1), table("b", 1), table("c", 1));
    let t = a.issue(1, at(0)).remove(0);
    let late_reply = a.answer_transfer(&transfer_request(b.claim(&t, at(1))), at(1));
    let to_c = a.answer_transfer(&transfer_request(c.claim(&t, at(2))), at(2));
    let to_c = b.answer_transfer(&transfer_request(c.apply_reply(&t, to_c, at(2))), at(2));
    assert!(matches!(c.apply_reply(&t, to_c, at(2)), Claim::Granted(_)));
    let request = transfer_request(b.apply_reply(&t, late_reply, at(3)));
    assert_eq!(
        request.holder,
        make_holder("c", 1),
        "the delayed reply to b must not count"
    );
}

#[test]
fn claim_after_the_issuer_restarted() {
    // The issuer is killed while the request runs and restarts without any state. As it can't
    // know whether the request ran, it must not report it as not run.
    let mut a = table("a", 1);
    let t = a.issue(1, at(0)).remove(0);
    assert!(matches!(a.claim(&t, at(0)), Claim::Granted(_)));
    let (mut restarted, mut b) = (table("a", 2), table("b", 1));
    assert_eq!(restarted.claim(&t, at(1)), Claim::Unknown);
    let reply = restarted.answer_transfer(&transfer_request(b.claim(&t, at(1))), at(1));
    assert_eq!(b.apply_reply(&t, reply, at(1)), Claim::Unknown);
}

#[test]
fn reply_to_an_earlier_incarnation() {
    // b asks for the ticket, is killed and restarts; the reply to its first incarnation arrives
    // at the second. The first one may have used an earlier copy of the reply.
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    let t = a.issue(1, at(0)).remove(0);
    let reply = a.answer_transfer(&transfer_request(b.claim(&t, at(1))), at(1));
    let mut restarted = table("b", 2);
    assert_eq!(restarted.apply_reply(&t, reply, at(2)), Claim::Unknown);
    let reply = a.answer_transfer(&transfer_request(restarted.claim(&t, at(3))), at(3));
    assert_eq!(restarted.apply_reply(&t, reply, at(3)), Claim::Unknown);
}

#[test]
fn delayed_reply_after_the_entry_was_removed() {
    // b runs the request and removes its entry when the ticket has expired. A duplicate of the
    // reply is delayed and arrives only then, while the ticket is still valid for a frozen
    // issuer.
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    let t = a.issue(1, at(0)).remove(0);
    let reply = a.answer_transfer(&transfer_request(b.claim(&t, at(1))), at(1));
    let Claim::Granted(grant) = b.apply_reply(&t, reply.clone(), at(1)) else {
        panic!("granted");
    };
    b.finish(&grant, Outcome::Answered, None, at(2));
    b.tick(at(3600));
    assert_eq!(b.counts().done, 0);
    assert_eq!(b.apply_reply(&t, reply, at(3600)), Claim::Unknown);
    assert_eq!(b.claim(&t, at(3600)), Claim::Unknown);
}

#[test]
fn release_with_a_concurrent_duplicate() {
    // Two copies of a request wait at one router. The first is rejected before any byte is
    // written. Its ticket is released and granted to the second; a repeated release by the first
    // must not release the grant of the second, which is running.
    let mut a = table("a", 1);
    let t = a.issue(1, at(0)).remove(0);
    let Claim::Granted(first) = a.claim(&t, at(1)) else {
        panic!("granted");
    };
    assert_eq!(a.claim(&t, at(1)), Claim::Running);
    a.release(&first, at(2));
    let Claim::Granted(second) = a.claim(&t, at(3)) else {
        panic!("granted again");
    };
    a.release(&first, at(4));
    a.finish(&first, Outcome::Failed, None, at(4));
    assert_eq!(a.claim(&t, at(5)), Claim::Running);
    a.finish(&second, Outcome::Answered, None, at(6));
    let record = Record {
        outcome: Outcome::Answered,
        answer: None,
    };
    assert_eq!(a.claim(&t, at(7)), Claim::Done(record));
}

#[test]
fn claim_of_an_expired_ticket() {
    // The issuer is stopped for longer than a ticket is valid, and gets a request with it when it
    // resumes. An unused ticket has not run, and must stay expired, also for a thread that read
    // the clock slightly earlier.
    let mut a = table("a", 1);
    let t = a.issue(1, at(0)).remove(0);
    assert_eq!(a.claim(&t, at(200)), Claim::Expired);
    assert_eq!(a.claim(&t, at(100)), Claim::Expired);
    let request = transfer_request(table("b", 1).claim(&t, at(0)));
    assert_eq!(a.answer_transfer(&request, at(200)), TransferReply::Expired);
    a.tick(at(3600));
    assert_eq!(a.claim(&t, at(3600)), Claim::Unknown);
}

#[test]
fn finish_with_an_answer_that_comes_late() {
    let mut a = table("a", 1);
    let t = a.issue(1, at(0)).remove(0);
    let Claim::Granted(grant) = a.claim(&t, at(1)) else {
        panic!("granted");
    };
    a.finish(&grant, Outcome::MayHaveRun, None, at(2));
    a.finish(&grant, Outcome::Answered, Some(Arc::from(*b"yes")), at(3));
    a.finish(&grant, Outcome::Failed, None, at(4));
    let record = Record {
        outcome: Outcome::Answered,
        answer: Some(Answer(Arc::from(*b"yes"))),
    };
    assert_eq!(a.claim(&t, at(5)), Claim::Done(record.clone()));
    let bytes = rmp_serde::to_vec(&TransferReply::Done(record.clone())).unwrap();
    assert_eq!(
        rmp_serde::from_slice::<TransferReply>(&bytes).unwrap(),
        TransferReply::Done(record)
    );
}

#[test]
fn finish_keeps_the_outcome_when_answers_are_too_many() {
    let limits = RetentionLimits {
        answer_bytes: 4000,
        ..RetentionLimits::default()
    };
    let mut a = Tickets::new(make_holder("a", 1), limits);
    let all = a.issue(10, at(0));
    for t in &all {
        let Claim::Granted(grant) = a.claim(t, at(1)) else {
            panic!("granted");
        };
        a.finish(
            &grant,
            Outcome::Answered,
            Some(Arc::from([0u8; 1000])),
            at(1),
        );
    }
    let kept = all.iter().map(|t| match a.claim(t, at(2)) {
        Claim::Done(r) => r.answer.is_some(),
        other => panic!("{other:?}"),
    });
    let kept: Vec<bool> = kept.collect();
    assert_eq!(kept, [[false; 6].as_slice(), [true; 4].as_slice()].concat());
    assert_eq!(a.counts().bytes, 4000);
}

#[test]
fn issue_costs_little_until_used() {
    let mut a = table("a", 1);
    let mut last = None;
    for s in 0..600 {
        last = a.issue(100, at(s)).pop();
        a.tick(at(s));
    }
    assert_eq!(a.counts().issued, 60_000);
    assert_eq!(a.counts().held + a.counts().done, 0);
    assert!(matches!(
        a.claim(&last.unwrap(), at(600)),
        Claim::Granted(_)
    ));
}
