//! Tickets: the right to start a request that may not be repeated.

use {
    super::{
        messages::{
            Answer,
            Question, //
        },
        running::Held,
        state::{
            lock,
            Router, //
        },
        told::pairs,
        work::Work, //
    },
    callers::{
        Refused,
        Response,
        Why, //
    },
    policy::{
        members::State,
        tickets::{
            Claim,
            Grant,
            Record,
            Ticket,
            TransferReply,
            TransferRequest, //
        },
        Outcome,
        RouterId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How long the holder of a ticket may take to answer.
const ASK: Duration = Duration::from_millis(1500);
/// How often a holder that gave no answer is asked again.
const TRIES: u32 = 2;
/// How often a ticket may have changed hands before its trail is given up.
const HOPS: u32 = 8;
/// When a caller should ask again whose ticket's holder may come back.
const HOLDER_BACK: Duration = Duration::from_secs(2);
/// When a caller should ask again about a request that runs.
const AGAIN: Duration = Duration::from_millis(500);

/// What is recorded of a request for those who ask again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Recorded {
    /// Hash of the request, see [`Work::print`].
    print: u64,
    /// Its whole answer, unless there was none or it was too long.
    answer: Option<Whole>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Whole {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Recorded {
    /// Records an answer; one whose status is 0 was too long to be held.
    pub(crate) fn new(held: &Held, print: u64) -> Recorded {
        let whole = held.status != 0;
        Recorded {
            print,
            answer: whole.then(|| Whole {
                status: held.status,
                headers: pairs(&held.headers),
                body: held.body.clone(),
            }),
        }
    }

    /// Records a request that has no answer.
    pub(crate) fn without(print: u64) -> Recorded {
        Recorded {
            print,
            answer: None,
        }
    }
}

impl Router {
    /// Claims a request's ticket, asking other routers where needed.
    ///
    /// # Errors
    ///
    /// What the caller is told instead.
    pub(crate) async fn claim(&self, work: &Work) -> Result<Grant, Box<Response>> {
        let text = work.ticket.as_deref();
        let text = text.ok_or_else(|| refuse(Why::TicketNeeded, NEEDED))?;
        let ticket: Ticket = text
            .parse()
            .map_err(|e| refuse(Why::BadHeader, &format!("{e}")))?;
        let now = self.now();
        let mut claim = lock(&self.tickets).claim(&ticket, now);
        for _ in 0..HOPS {
            let ask = match claim {
                Claim::Granted(grant) => return Ok(grant),
                Claim::AskHolder(ask) => ask,
                other => return Err(Box::new(told(other, work.print()))),
            };
            let Some(reply) = self.ask_holder(&ask, work.deadline).await else {
                return Err(Box::new(self.silent_holder(&ask)));
            };
            let now = self.now();
            claim = lock(&self.tickets).apply_reply(&ticket, reply, now);
        }
        Err(refuse(Why::TicketOrphaned, ORPHANED))
    }

    async fn ask_holder(&self, ask: &TransferRequest, deadline: Instant) -> Option<TransferReply> {
        for _ in 0..TRIES {
            let bound = ASK.min(deadline.saturating_duration_since(Instant::now()));
            let addr = self.addr_of(&ask.holder.router)?;
            let question = Question::Ticket(ask.clone());
            match self.links.ask(addr, &question, bound).await {
                Ok(Answer::Ticket(reply)) => return Some(reply),
                Ok(_) => return None,
                Err(e) => log::debug!("peers: {} about a ticket: {e}", ask.holder.router),
            }
        }
        None
    }

    /// What a caller is told whose ticket's holder gives no answer.
    ///
    /// A holder that is paused or cut off may come back and know, also after it was taken for
    /// dead; one that left, or was started again, never will.
    fn silent_holder(&self, ask: &TransferRequest) -> Response {
        let refused = Refused::new(Why::TicketOrphaned, ORPHANED);
        let members = lock(&self.members);
        let holder = members.get(&ask.holder.router);
        let same = holder.filter(|m| m.incarnation == ask.holder.incarnation);
        match same.is_some_and(|m| m.state != State::Left) {
            true => refused.retry_after(HOLDER_BACK).into(),
            false => refused.into(),
        }
    }

    fn addr_of(&self, id: &RouterId) -> Option<SocketAddr> {
        let members = lock(&self.members);
        members.get(id).map(|m| m.addr)
    }

    /// Records how a granted request ended.
    pub(crate) fn record(&self, grant: &Grant, outcome: Outcome, recorded: Recorded) {
        let bytes = rmp_serde::to_vec(&recorded).ok();
        let bytes: Option<Arc<[u8]>> = bytes.map(Arc::from);
        let now = self.now();
        lock(&self.tickets).finish(grant, outcome, bytes, now);
    }

    /// Gives a ticket back: no byte of its request was written to an endpoint.
    pub(crate) fn unstarted(&self, grant: &Grant) {
        let now = self.now();
        lock(&self.tickets).release(grant, now);
    }
}

const NEEDED: &str = "a request of this profile may not be repeated and needs a ticket; \
    ask `/chervilwind/where` with `tickets=1` and send the ticket along";
const ORPHANED: &str = "the router that holds the ticket can't be reached, so the request may \
    have run; look whether it did before you ask for a new ticket";

const ANOTHER: &str = "this ticket was used for another request, and this one did not run; \
    ask for a ticket of its own";

fn refuse(why: Why, message: &str) -> Box<Response> {
    Box::new(Refused::new(why, message).into())
}

/// What a caller is told whose request may not be started.
fn told(claim: Claim, print: u64) -> Response {
    let refused = match claim {
        Claim::Done(record) => return again(record, print),
        Claim::Running => Refused::new(
            Why::TicketRunning,
            "a request with this ticket runs; ask again with the same ticket for its answer",
        )
        .retry_after(AGAIN),
        Claim::Expired => Refused::new(
            Why::TicketExpired,
            "the ticket expired unused; ask for a new one",
        ),
        Claim::Unknown | Claim::Granted(_) | Claim::AskHolder(_) => Refused::new(
            Why::TicketOrphaned,
            "nobody remembers this ticket any more, so the request may have run; look \
             whether it did before you ask for a new one",
        ),
    };
    refused.into()
}

/// Gives the recorded outcome of a request again.
fn again(record: Record, print: u64) -> Response {
    let bytes = record.answer.as_ref();
    let recorded = bytes.and_then(|a| rmp_serde::from_slice::<Recorded>(&a.0).ok());
    // A caller that uses a ticket for a second request by mistake would get the answer to
    // the first, and believe that both were done.
    if recorded.as_ref().is_some_and(|r| r.print != print) {
        return Refused::new(Why::TicketUsed, ANOTHER)
            .outcome(Outcome::NotRun)
            .into();
    }
    match recorded.and_then(|r| r.answer) {
        Some(whole) => {
            let mut response = Response::whole(whole.status, record.outcome, whole.body);
            response.headers = whole.headers;
            response
        }
        None => Refused::new(
            Why::TicketUsed,
            format!(
                "the request with this ticket ended ({}), and its answer is not kept",
                record.outcome
            ),
        )
        .outcome(record.outcome)
        .into(),
    }
}
