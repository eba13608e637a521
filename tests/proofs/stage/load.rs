//! Callers that go on sending requests while something happens.

use {
    super::{
        calls::{
            draft,
            record,
            send,
            tickets,
            Loss,
            Work, //
        },
        wait::wait_for,
        Fleet, //
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
                AtomicU32,
                Ordering, //
            },
            Arc,
        },
        time::Duration,
    },
};

/// Callers at work.
#[derive(Debug)]
pub(crate) struct Load {
    end: Arc<AtomicBool>,
    answered: Arc<AtomicU32>,
    callers: Vec<JoinHandle<Seen>>,
}

/// What callers saw.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) answered: u32,
    /// Refusals as not run, after which the caller went elsewhere.
    pub(crate) refused: u32,
    /// Tries that ended without an answer after the request was sent.
    pub(crate) cut: Vec<Loss>,
    /// Answers that were not whole or not right, and refusals that are no call to go on.
    pub(crate) wrong: Vec<String>,
}

impl Load {
    /// Begins with a number of callers.
    pub(crate) fn begin(fleet: &Fleet, callers: u32) -> Load {
        let end = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU32::new(0));
        let callers =
            (0..callers).map(|n| caller(fleet.client(), n, end.clone(), answered.clone()));
        Load {
            callers: callers.collect(),
            answered,
            end,
        }
    }

    /// Returns how many requests were answered so far.
    pub(crate) fn answered(&self) -> u32 {
        self.answered.load(Ordering::SeqCst)
    }

    /// Waits until this many more requests are answered.
    pub(crate) fn wait_answered(&self, more: u32) {
        let enough = self.answered() + more;
        wait_for("enough requests are answered", || {
            (self.answered() >= enough).then_some(())
        });
    }

    /// Lets each caller end its last request, and returns what they saw.
    pub(crate) fn end(self) -> Seen {
        self.end.store(true, Ordering::SeqCst);
        let mut all = Seen::default();
        for seen in self.callers.into_iter().map(task::block_on) {
            assert!(seen.answered > 0, "a caller got no answer at all: {seen:?}");
            all.answered += seen.answered;
            all.refused += seen.refused;
            all.cut.extend(seen.cut);
            all.wrong.extend(seen.wrong);
        }
        all
    }
}

/// Sends one request after another until told to end.
fn caller(
    client: Client,
    n: u32,
    end: Arc<AtomicBool>,
    answered: Arc<AtomicU32>,
) -> JoinHandle<Seen> {
    task::spawn(async move {
        let mut seen = Seen::default();
        let mut number = n * 10_000;
        while seen.answered == 0 || !end.load(Ordering::SeqCst) {
            number += 1;
            let work = match n % 3 {
                0 => record("claim", number),
                1 => draft("renewal", number, 40),
                _ => draft("standard", number, 80),
            };
            let before = seen.answered;
            match n % 2 {
                0 => one(&client, &work, &mut seen).await,
                _ => kept(&client, &work, &mut seen).await,
            }
            answered.fetch_add(seen.answered - before, Ordering::SeqCst);
        }
        seen
    })
}

/// Sends one request until it is over, as a caller by docs/CALLERS.md does.
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

/// Sends one request until it is answered, on connections that the client keeps.
async fn kept(client: &Client, work: &Work, seen: &mut Seen) {
    loop {
        let answer = client.call(&work.call).await;
        match answer.outcome {
            Outcome::Answered if work.is_right(&answer.body) => seen.answered += 1,
            Outcome::NotRun => continue,
            _ => seen.wrong.push(format!("{answer:?}")),
        }
        return;
    }
}

/// Tries one address; returns whether the request is over.
async fn try_at(router: SocketAddr, work: &Work, seen: &mut Seen) -> bool {
    let mut ticket = None;
    if work.call.at_most_once {
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
        Ok(reply) if reply.outcome == Outcome::NotRun => {
            seen.refused += 1;
            false
        }
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
