//! Routers that end, one after another, under load.

use {
    crate::stage::{
        draft,
        record,
        send,
        tickets,
        Fleet,
        Loss,
        Plan,
        Signal,
        Work, //
    },
    async_std::task::{
        self,
        JoinHandle, //
    },
    callers::Client,
    policy::Outcome,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc,
        },
        time::Duration,
    },
};

/// Requests that are under way at any time.
const AT_ONCE: u32 = 24;

/// What a caller saw.
#[derive(Debug, Default)]
struct Seen {
    answered: u32,
    /// Tries that ended without an answer after the request was sent.
    cut: Vec<Loss>,
    /// Answers that were not whole or not right, and refusals that are no call to go on.
    wrong: Vec<String>,
}

// A broker's draft breaks off in the middle, or a claim gets no answer, whenever routers
// are replaced. Cause: a process that ends closes the connections that it has.
#[test]
fn restart_one_by_one() {
    let mut fleet = Fleet::start(Plan {
        gap: Duration::from_millis(15),
        work: Duration::from_millis(100),
        ..Plan::default()
    });
    let end = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..AT_ONCE)
        .map(|n| caller(fleet.client(), n, end.clone()))
        .collect();
    for n in 0..fleet.routers.len() {
        fleet.routers[n].signal(Signal::Term);
        assert!(fleet.routers[n].ended(), "a router did not end well");
        fleet.routers[n].start();
        fleet.wait_ready();
    }
    end.store(true, Ordering::SeqCst);
    for seen in load.into_iter().map(task::block_on) {
        assert!(seen.cut.is_empty() && seen.wrong.is_empty(), "{seen:?}");
        assert!(seen.answered > 0);
    }
    assert!(fleet.runs().values().all(|n| *n == 1));
}

/// Sends one request after another until told to end.
fn caller(client: Client, n: u32, end: Arc<AtomicBool>) -> JoinHandle<Seen> {
    task::spawn(async move {
        let mut seen = Seen::default();
        let mut number = n * 10_000;
        while !end.load(Ordering::SeqCst) {
            number += 1;
            let work = match n % 3 {
                0 => record("claim", number),
                1 => draft("renewal", number, 40),
                _ => draft("standard", number, 80),
            };
            one(&client, &work, &mut seen).await;
        }
        seen
    })
}

/// Sends one request until it is answered, as a caller by docs/CALLERS.md does.
async fn one(client: &Client, work: &Work, seen: &mut Seen) {
    loop {
        let Ok(answer) = client.addresses(&work.call.service).await else {
            task::sleep(Duration::from_millis(100)).await;
            continue;
        };
        for address in answer.addresses {
            if try_at(address.address, work, seen).await {
                return;
            }
        }
    }
}

/// Tries one address; returns whether the request is over.
async fn try_at(router: SocketAddr, work: &Work, seen: &mut Seen) -> bool {
    let mut ticket = None;
    if work.call.once {
        let some = tickets(router, work.call.service.as_str(), 1).await;
        ticket = some.unwrap_or_default().pop();
        if ticket.is_none() {
            return false;
        }
    }
    match send(router, work, ticket.as_deref()).await {
        Ok(reply) if reply.outcome == Outcome::Answered && work.is_right(&reply.body) => {
            seen.answered += 1;
            true
        }
        Ok(reply) if reply.outcome == Outcome::NotRun => false,
        Ok(reply) => {
            seen.wrong.push(format!("{reply:?}"));
            true
        }
        Err(Loss::Unsent) => false,
        Err(loss) => {
            seen.cut.push(loss);
            true
        }
    }
}
