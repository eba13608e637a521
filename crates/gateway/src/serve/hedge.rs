//! A second replica for a stream whose replica is silent.

use {
    super::{
        admit::Request,
        ask::{
            failed,
            is_stream,
            judge,
            send, //
        },
        course::Course,
        place::{
            Place,
            Watch, //
        },
        seek::seek,
        silence::{
            patience,
            quiet, //
        },
        source::Source,
        step::{
            Step,
            TryError, //
        },
        trail::{
            note,
            note_silent, //
        },
    },
    crate::{
        model::RouteKind,
        state::Shared,
        upstream::{
            Reply,
            Sent, //
        },
    },
    futures_lite::{
        future::or,
        pin, //
    },
    std::{
        future::Future,
        sync::Arc, //
    },
};

/// What a try gave.
pub(super) enum Asked {
    /// The head of an answer.
    Reply(Place, Reply),
    /// The stream of another replica, as the one that was asked first is silent.
    Stream(Source),
}

/// What a replica sent, or the stream of another that went on first.
pub(super) enum Hedged<T> {
    Own(T),
    Other(Box<Source>),
}

/// Which of two replicas was first.
enum Race<T> {
    Own(Result<T, TryError>),
    Other(Box<Source>),
    /// The other one did not take the request, or broke off.
    OtherFailed,
    /// No other one may be tried.
    NoOther,
}

/// Sends a request to the replica of a place, and returns the head of an answer that counts.
///
/// # Errors
///
/// What came of the try, where it gave none.
pub(super) async fn ask(
    gw: &Arc<Shared>,
    req: &Request,
    place: Place,
    course: &mut Course,
    after: Option<u64>,
) -> Result<Asked, Step> {
    let sent = course.start(&place.replica.id);
    let call = send(gw, req, &place, after, &sent);
    let called = match req.route.kind {
        RouteKind::Stream { resume: true } => {
            hedge(gw, req, &place.watch(), course, after, call).await
        }
        _ => {
            let call = async { Ok(Hedged::Own(call.await?)) };
            or(call, patience(req, course.is_last(req))).await
        }
    };
    course.sends += u32::from(sent.any());
    course.sent = Arc::default();
    let called = match called {
        Ok(Hedged::Other(source)) => return Ok(Asked::Stream(*source)),
        Ok(Hedged::Own(reply)) => Ok(reply),
        Err(e) => Err(e),
    };
    let reply = judge(gw, req, &place, course, &sent, called).await?;
    Ok(Asked::Reply(place, reply))
}

/// Waits for what a replica is to send next, and once it is silent tries others meanwhile.
///
/// A replica is silent while it is stopped for a moment, and also where something on the way lost
/// track of the connection; nothing tells which. So it is left only when another has sent the
/// next event. What it sends before that goes on, and the other is left.
///
/// # Errors
///
/// Where what the replica sends breaks, and no other has the request.
pub(super) async fn hedge<T>(
    gw: &Arc<Shared>,
    req: &Request,
    watch: &Watch,
    course: &mut Course,
    after: Option<u64>,
    own: impl Future<Output = Result<T, TryError>>,
) -> Result<Hedged<T>, TryError> {
    pin!(own);
    let until_quiet = async {
        quiet(watch).await;
        None
    };
    if let Some(done) = or(async { Some(own.as_mut().await) }, until_quiet).await {
        return Ok(Hedged::Own(done?));
    }
    watch.unreachable();
    note_silent(req, watch, course);
    course.may_have_run = true;
    loop {
        let sent = Sent::default();
        let race = {
            // Boxed, so that connections without a silent replica don't hold its room.
            let mut other = Box::pin(other(gw, req, course, after, &sent));
            let first = or(async { Race::Own(own.as_mut().await) }, other.as_mut()).await;
            match first {
                Race::Own(Err(e)) if sent.any() => match other.await {
                    Race::Other(source) => Race::Other(source),
                    _ => Race::Own(Err(e)),
                },
                first => first,
            }
        };
        course.sends += u32::from(sent.any());
        let hedged = match race {
            Race::OtherFailed => continue,
            Race::Own(done) => Hedged::Own(done?),
            Race::Other(source) => Hedged::Other(source),
            Race::NoOther => Hedged::Own(own.await?),
        };
        course.cause.clear();
        let outcome = match &hedged {
            Hedged::Own(_) => "went-on",
            Hedged::Other(_) => "replaced",
        };
        metrics::counter!("chervilwind_silent_streams", "outcome" => outcome).increment(1);
        return Ok(hedged);
    }
}

/// Waits for a place at another replica, and for its next event.
async fn other<T>(
    gw: &Arc<Shared>,
    req: &Request,
    course: &mut Course,
    after: Option<u64>,
    sent: &Sent,
) -> Race<T> {
    let Ok(place) = seek(gw, req, course).await else {
        return Race::NoOther;
    };
    course.start(&place.replica.id);
    let called = send(gw, req, &place, after, sent).await;
    let reply = match judge(gw, req, &place, course, sent, called).await {
        Ok(reply) => reply,
        Err(_) => return Race::OtherFailed,
    };
    if !is_stream(req, &reply) {
        let status = reply.head.status();
        place.answered(status < 500);
        note(req, &place, course, "failed", &status.to_string());
        return Race::OtherFailed;
    }
    let mut source = Source::new(place, reply, after);
    while !source.ended() && !source.has_more() {
        if let Err(e) = source.read().await {
            failed(gw, req, &source.place, course, "broken", &e).await;
            return Race::OtherFailed;
        }
    }
    Race::Other(Box::new(source))
}
