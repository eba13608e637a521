//! One try of a request at one replica.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        step::{
            Step,
            TryError, //
        },
        trail::note, //
    },
    crate::{
        state::Shared,
        upstream::{
            call,
            has_ended,
            Outgoing,
            Reply,
            Sent, //
        },
    },
};

/// One try of a request at one replica.
pub(super) struct Try<'a> {
    pub(super) gw: &'a Shared,
    pub(super) req: &'a Request,
    pub(super) place: Place,
    pub(super) course: &'a mut Course,
    /// The event behind which a stream is to go on.
    pub(super) after: Option<u64>,
    /// How far it gets.
    pub(super) sent: &'a Sent,
}

/// Sends a request to the replica of a place, from behind an event on, and reads the head of an
/// answer.
///
/// # Errors
///
/// `sent` tells whether the replica may have got it.
pub(super) async fn send(
    gw: &Shared,
    req: &Request,
    place: &Place,
    after: Option<u64>,
    sent: &Sent,
) -> Result<Reply, TryError> {
    let out = Outgoing {
        id: &req.id,
        method: &req.method,
        target: &req.target,
        headers: &req.headers,
        workspace: req.workspace.as_ref().map(|w| w.as_str()),
        last_event: after,
        source: place.source,
        body: &req.body,
        until: req.until,
        kind: req.route.kind,
    };
    Ok(call(&gw.pool, &gw.dialect, &place.replica, &out, sent).await?)
}

impl Try<'_> {
    /// Sends the request and reads the head of an answer.
    pub(super) async fn send(&self) -> Result<Reply, TryError> {
        send(self.gw, self.req, &self.place, self.after, self.sent).await
    }

    /// Returns an answer that counts, and notes what became of the try where it gave none.
    ///
    /// # Errors
    ///
    /// What came of the try.
    pub(super) async fn judge<R>(&mut self, called: Result<R, TryError>) -> Result<R, Step>
    where
        R: AsRef<Reply> + Into<Reply>,
    {
        let answer = match called {
            Ok(answer) => answer,
            Err(e) => return Err(self.lost(&e).await),
        };
        let reply = answer.as_ref();
        if reply.not_run(&self.gw.dialect) {
            let status = reply.head.status().to_string();
            self.note("turned-away", &status);
            answer.into().recycle(&self.gw.pool, &self.place.replica);
            self.course.did_not_run(&self.place.replica.id);
            return Err(Step::TurnedAway);
        }
        if !reply.signed(&self.gw.dialect) {
            return Err(self.broken(&TryError::Unsigned).await);
        }
        Ok(answer)
    }

    async fn lost(&mut self, e: &TryError) -> Step {
        self.failed("lost", e).await;
        if self.sent.any() {
            self.course.may_have_run = true;
            return Step::Lost;
        }
        self.course.did_not_run(&self.place.replica.id);
        Step::Unreached
    }

    /// Notes that the replica broke off its answer, or sent one that can't be used.
    pub(super) async fn broken(&mut self, e: &TryError) -> Step {
        self.failed("broken", e).await;
        self.course.may_have_run = true;
        Step::Lost
    }

    /// Notes an answer of the replica that another replica may better.
    pub(super) fn answered_badly(&mut self, status: u16) -> Step {
        self.place.answered(status < 500);
        self.note("failed", &status.to_string());
        self.course.may_have_run = true;
        Step::Lost
    }

    async fn failed(&mut self, outcome: &str, e: &TryError) {
        failed(self.gw, self.req, &self.place, self.course, outcome, e).await;
    }

    fn note(&mut self, outcome: &str, cause: &str) {
        note(self.req, &self.place, self.course, outcome, cause);
    }
}

/// Notes why a try gave no answer, and what that says of the replica.
pub(super) async fn failed(
    gw: &Shared,
    req: &Request,
    place: &Place,
    course: &mut Course,
    outcome: &str,
    e: &TryError,
) {
    e.note(place);
    note(req, place, course, outcome, &e.to_string());
    if e.lost_connection() && place.is_early() && has_ended(&place.replica, &gw.pool).await {
        place.ended();
    }
}

/// Tells whether an answer is a stream of events, as its request asked for.
pub(super) fn is_stream(req: &Request, reply: &Reply) -> bool {
    let kind = reply.head.headers.get("content-type").unwrap_or_default();
    let good = (200..300).contains(&reply.head.status());
    req.route.is_stream() && good && kind.starts_with("text/event-stream")
}
