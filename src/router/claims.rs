//! Tickets: the right to start a request that may not be repeated.

use {
    super::{
        admitted::AdmittedRequest,
        completion::header_pairs,
        messages::{
            Answer,
            Question, //
        },
        progress::BufferedAnswer,
        state::{
            lock,
            Router, //
        }, //
    },
    callers::{
        Reason,
        Refused,
        Response, //
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

/// How long the holder of a ticket may take to answer a query.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of queries to a holder that gives no answer.
const HOLDER_ATTEMPTS: u32 = 2;
/// How many holders are followed for one ticket before it counts as orphaned.
const MAX_TRANSFERS: u32 = 8;
/// Retry delay for a caller whose ticket's holder may come back.
const HOLDER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry delay for a caller whose request is still running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The record of a request, for callers that use its ticket again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RecordedAnswer {
    /// Hash of the request, see [`AdmittedRequest::fingerprint`].
    #[serde(rename = "print")]
    fingerprint: u64,
    /// Its complete answer, unless there was none or it was too long.
    answer: Option<StoredAnswer>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl RecordedAnswer {
    /// Records an answer; status 0 marks one that was too long to buffer.
    pub(crate) fn new(buffered: &BufferedAnswer, fingerprint: u64) -> RecordedAnswer {
        let complete = buffered.status != 0;
        RecordedAnswer {
            fingerprint,
            answer: complete.then(|| StoredAnswer {
                status: buffered.status,
                headers: header_pairs(&buffered.headers),
                body: buffered.body.clone(),
            }),
        }
    }

    /// Records a request that has no answer.
    pub(crate) fn without_answer(fingerprint: u64) -> RecordedAnswer {
        RecordedAnswer {
            fingerprint,
            answer: None,
        }
    }
}

impl Router {
    /// Claims a request's ticket, with queries to other routers if needed.
    ///
    /// # Errors
    ///
    /// The response to the caller, if the request may not be started.
    pub(crate) async fn claim(&self, admitted: &AdmittedRequest) -> Result<Grant, Box<Response>> {
        let text = admitted.ticket.as_deref();
        let text = text.ok_or_else(|| reject(Reason::TicketNeeded, TICKET_NEEDED))?;
        let ticket: Ticket = text
            .parse()
            .map_err(|e| reject(Reason::BadHeader, &format!("{e}")))?;
        let now = self.now();
        let mut claim = lock(&self.tickets).claim(&ticket, now);
        for _ in 0..MAX_TRANSFERS {
            let transfer = match claim {
                Claim::Granted(grant) => return Ok(grant),
                Claim::AskHolder(transfer) => transfer,
                other => return Err(Box::new(claim_response(other, admitted.fingerprint()))),
            };
            let Some(reply) = self.query_holder(&transfer, admitted.deadline).await else {
                return Err(Box::new(self.unreachable_holder(&transfer)));
            };
            let now = self.now();
            claim = lock(&self.tickets).apply_reply(&ticket, reply, now);
        }
        Err(reject(Reason::TicketOrphaned, TICKET_ORPHANED))
    }

    async fn query_holder(
        &self,
        transfer: &TransferRequest,
        deadline: Instant,
    ) -> Option<TransferReply> {
        for _ in 0..HOLDER_ATTEMPTS {
            let timeout = HOLDER_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
            let addr = self.addr_of(&transfer.holder.router)?;
            let question = Question::Ticket(transfer.clone());
            match self.links.ask(addr, &question, timeout).await {
                Ok(Answer::Ticket(reply)) => return Some(reply),
                Ok(_) => return None,
                Err(e) => log::debug!("peers: {} about a ticket: {e}", transfer.holder.router),
            }
        }
        None
    }

    /// Returns the response to a caller whose ticket's holder gives no answer.
    ///
    /// A holder that is paused or disconnected may come back with its tickets, even after it
    /// was declared dead. One that left, or was restarted, never will.
    fn unreachable_holder(&self, transfer: &TransferRequest) -> Response {
        let refused = Refused::new(Reason::TicketOrphaned, TICKET_ORPHANED);
        let members = lock(&self.members);
        let member = members.get(&transfer.holder.router);
        let same = member.filter(|m| m.incarnation == transfer.holder.incarnation);
        match same.is_some_and(|m| m.state != State::Left) {
            true => refused.retry_after(HOLDER_RETRY_AFTER).into(),
            false => refused.into(),
        }
    }

    fn addr_of(&self, id: &RouterId) -> Option<SocketAddr> {
        let members = lock(&self.members);
        members.get(id).map(|m| m.addr)
    }

    /// Records how a granted request ended.
    pub(crate) fn record(&self, grant: &Grant, outcome: Outcome, recorded: RecordedAnswer) {
        let bytes = rmp_serde::to_vec(&recorded).ok();
        let bytes: Option<Arc<[u8]>> = bytes.map(Arc::from);
        let now = self.now();
        lock(&self.tickets).finish(grant, outcome, bytes, now);
    }

    /// Releases a ticket, since no byte of its request was written to an endpoint.
    pub(crate) fn release_ticket(&self, grant: &Grant) {
        let now = self.now();
        lock(&self.tickets).release(grant, now);
    }
}

const TICKET_NEEDED: &str = "a request of this profile may not be repeated and needs a ticket; \
    ask `/chervilwind/where` with `tickets=1` and send the ticket along";
const TICKET_ORPHANED: &str =
    "the router that holds the ticket can't be reached, so the request may \
    have run; look whether it did before you ask for a new ticket";

const TICKET_REUSED: &str = "this ticket was used for another request, and this one did not run; \
    ask for a ticket of its own";

fn reject(why: Reason, message: &str) -> Box<Response> {
    Box::new(Refused::new(why, message).into())
}

/// Returns the response to a caller whose request may not be started.
fn claim_response(claim: Claim, fingerprint: u64) -> Response {
    let refused = match claim {
        Claim::Done(record) => return recorded_response(record, fingerprint),
        Claim::Running => Refused::new(
            Reason::TicketRunning,
            "a request with this ticket runs; ask again with the same ticket for its answer",
        )
        .retry_after(RUNNING_RETRY_AFTER),
        Claim::Expired => Refused::new(
            Reason::TicketExpired,
            "the ticket expired unused; ask for a new one",
        ),
        Claim::Unknown | Claim::Granted(_) | Claim::AskHolder(_) => Refused::new(
            Reason::TicketOrphaned,
            "nobody remembers this ticket any more, so the request may have run; look \
             whether it did before you ask for a new one",
        ),
    };
    refused.into()
}

/// Returns the recorded answer or outcome of a request.
fn recorded_response(record: Record, fingerprint: u64) -> Response {
    let bytes = record.answer.as_ref();
    let recorded = bytes.and_then(|a| rmp_serde::from_slice::<RecordedAnswer>(&a.0).ok());
    // A caller that uses a ticket for a second request by mistake must not get the answer to
    // the first one, as it would believe that both were done.
    if recorded
        .as_ref()
        .is_some_and(|r| r.fingerprint != fingerprint)
    {
        return Refused::new(Reason::TicketUsed, TICKET_REUSED)
            .outcome(Outcome::NotRun)
            .into();
    }
    match recorded.and_then(|r| r.answer) {
        Some(stored) => {
            let mut response = Response::complete(stored.status, record.outcome, stored.body);
            response.headers = stored.headers;
            response
        }
        None => Refused::new(
            Reason::TicketUsed,
            format!(
                "the request with this ticket ended ({}), and its answer is not kept",
                record.outcome
            ),
        )
        .outcome(record.outcome)
        .into(),
    }
}
