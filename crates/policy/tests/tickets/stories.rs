//! Single failures, each with its story.

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

fn holder(name: &str, incarnation: u64) -> Holder {
    Holder {
        router: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn table(name: &str, incarnation: u64) -> Tickets {
    Tickets::new(holder(name, incarnation), RetentionLimits::default())
}

fn at(s: u64) -> Time {
    Time(0) + Span::secs(s)
}

fn ask(claim: Claim) -> TransferRequest {
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
fn asked_twice_by_two_routers() {
    // A caller's connection goes silent, so it sends its renewal again to two other routers.
    // Both ask the issuer at once. Were both told yes, the registry would hold it twice.
    let (mut a, mut b, mut c) = (table("a", 1), table("b", 1), table("c", 1));
    let t = a.issue(1, at(0)).remove(0);
    let from_b = ask(b.claim(&t, at(1)));
    let from_c = ask(c.claim(&t, at(1)));
    let to_b = a.answer_transfer(&from_b, at(1));
    let to_c = a.answer_transfer(&from_c, at(1));
    assert!(matches!(b.apply_reply(&t, to_b, at(1)), Claim::Granted(_)));
    let next = ask(c.apply_reply(&t, to_c, at(1)));
    assert_eq!(next.holder, holder("b", 1));
    let to_c = b.answer_transfer(&next, at(1));
    assert_eq!(c.apply_reply(&t, to_c, at(1)), Claim::Running);
}

#[test]
fn asked_again_after_the_reply_was_lost() {
    // The issuer gives the ticket away and its reply is lost. The asker must get the same yes
    // again, else nobody could run the request any more.
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    let t = a.issue(1, at(0)).remove(0);
    let question = ask(b.claim(&t, at(1)));
    let lost = a.answer_transfer(&question, at(1));
    assert_eq!(a.answer_transfer(&question, at(2)), lost);
    assert!(matches!(
        b.apply_reply(&t, lost.clone(), at(2)),
        Claim::Granted(_)
    ));
    assert_eq!(b.apply_reply(&t, lost, at(3)), Claim::Running);
}

#[test]
fn asked_for_a_ticket_whose_new_holder_never_heard_of_it() {
    // The reply to b is lost for good and the caller goes on to c. The issuer sends c to b,
    // which has never used the ticket and can pass it on.
    let (mut a, mut b, mut c) = (table("a", 1), table("b", 1), table("c", 1));
    let t = a.issue(1, at(0)).remove(0);
    let late = a.answer_transfer(&ask(b.claim(&t, at(1))), at(1));
    let to_c = a.answer_transfer(&ask(c.claim(&t, at(2))), at(2));
    let to_c = b.answer_transfer(&ask(c.apply_reply(&t, to_c, at(2))), at(2));
    assert!(matches!(c.apply_reply(&t, to_c, at(2)), Claim::Granted(_)));
    let question = ask(b.apply_reply(&t, late, at(3)));
    assert_eq!(
        question.holder,
        holder("c", 1),
        "the late yes to b must not count"
    );
}

#[test]
fn claim_after_the_issuer_restarted() {
    // The issuer is killed while the request runs and comes back empty. It can't know, so it
    // must not call the request "not run".
    let mut a = table("a", 1);
    let t = a.issue(1, at(0)).remove(0);
    assert!(matches!(a.claim(&t, at(0)), Claim::Granted(_)));
    let (mut again, mut b) = (table("a", 2), table("b", 1));
    assert_eq!(again.claim(&t, at(1)), Claim::Unknown);
    let reply = again.answer_transfer(&ask(b.claim(&t, at(1))), at(1));
    assert_eq!(b.apply_reply(&t, reply, at(1)), Claim::Unknown);
}

#[test]
fn answered_to_a_router_that_restarted_meanwhile() {
    // b asks, is killed and starts again; the yes to its first start arrives at the second.
    // The first may have used an earlier copy of it.
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    let t = a.issue(1, at(0)).remove(0);
    let reply = a.answer_transfer(&ask(b.claim(&t, at(1))), at(1));
    let mut again = table("b", 2);
    assert_eq!(again.apply_reply(&t, reply, at(2)), Claim::Unknown);
    let reply = a.answer_transfer(&ask(again.claim(&t, at(3))), at(3));
    assert_eq!(again.apply_reply(&t, reply, at(3)), Claim::Unknown);
}

#[test]
fn answered_late_when_the_use_is_forgotten() {
    // b runs the request and drops its record when the ticket is old. A doubled yes, held up
    // somewhere, arrives only then, while a frozen issuer still takes the ticket for young.
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    let t = a.issue(1, at(0)).remove(0);
    let yes = a.answer_transfer(&ask(b.claim(&t, at(1))), at(1));
    let Claim::Granted(grant) = b.apply_reply(&t, yes.clone(), at(1)) else {
        panic!("granted");
    };
    b.finish(&grant, Outcome::Answered, None, at(2));
    b.tick(at(3600));
    assert_eq!(b.counts().done, 0);
    assert_eq!(b.apply_reply(&t, yes, at(3600)), Claim::Unknown);
    assert_eq!(b.claim(&t, at(3600)), Claim::Unknown);
}

#[test]
fn unstarted_and_a_duplicate_at_the_same_time() {
    // Two copies of a request wait at one router. The first is refused before any byte went
    // out. Its ticket is free again for the second, but giving it back twice must not free it
    // from under the second, which then runs.
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
    // The issuer is stopped for longer than a ticket lives, and wakes up to a request with it.
    // "Not run" is true of an unused one, and must stay so, also for a thread that read the
    // clock a little earlier.
    let mut a = table("a", 1);
    let t = a.issue(1, at(0)).remove(0);
    assert_eq!(a.claim(&t, at(200)), Claim::Expired);
    assert_eq!(a.claim(&t, at(100)), Claim::Expired);
    let question = ask(table("b", 1).claim(&t, at(0)));
    assert_eq!(
        a.answer_transfer(&question, at(200)),
        TransferReply::Expired
    );
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
    let mut a = Tickets::new(holder("a", 1), limits);
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
