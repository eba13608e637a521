//! Sends a request to the chosen replica, and hedges with another one if that stays silent.

use {
    super::{
        admit::Request,
        attempt::{
            is_stream,
            send,
            Attempt, //
        },
        hedge::{
            BackupAttempt,
            Hedge,
            Hedged, //
        },
        outcome::AttemptOutcome,
        permit::SlotPermit,
        plain::{
            buffer_reply,
            BufferedReply, //
        },
        progress::RequestProgress,
        silence::{
            wait_until_hedge_due,
            SilenceWatch, //
        },
        stream_source::{
            EventStream,
            StreamSource, //
        },
    },
    crate::{
        model::RouteKind,
        state::Shared,
        upstream::Reply, //
    },
    std::sync::Arc,
};

/// The start of an answer to an attempt.
pub(super) enum Dispatched {
    /// The head of an answer.
    Reply(SlotPermit, Reply),
    /// A stream whose head was received.
    Stream(StreamSource),
    /// A complete answer that is not a stream.
    Buffered(BufferedAnswer),
}

/// What a replica sent in reply to a request for a resumable stream.
pub(super) enum StreamReply {
    Source(StreamSource),
    /// The head of an answer that is not a stream.
    Reply(SlotPermit, Reply),
}

/// A buffered answer with the permit of the replica that sent it.
pub(super) struct BufferedAnswer {
    pub(super) permit: SlotPermit,
    pub(super) buffered: BufferedReply,
}

/// Sends a request to the permit's replica and returns an answer that can be forwarded.
///
/// # Errors
///
/// The outcome of the attempt if it gave no answer.
pub(super) async fn dispatch(
    gw: &Arc<Shared>,
    req: &Request,
    permit: SlotPermit,
    progress: &mut RequestProgress,
    after: Option<u64>,
) -> Result<Dispatched, AttemptOutcome> {
    match req.route.kind {
        RouteKind::Stream { resume: true } => {
            match dispatch_resumable(gw, req, permit, progress, after).await? {
                StreamReply::Source(source) => Ok(Dispatched::Stream(source)),
                StreamReply::Reply(permit, reply) => Ok(Dispatched::Reply(permit, reply)),
            }
        }
        RouteKind::Idempotent => dispatch_idempotent(gw, req, permit, progress).await,
        RouteKind::Stream { resume: false } | RouteKind::Single => {
            dispatch_once(gw, req, permit, progress, after).await
        }
    }
}

/// Requests a stream that can be resumed at another replica.
///
/// # Errors
///
/// The outcome of the attempt if it gave no answer.
pub(super) async fn dispatch_resumable(
    gw: &Arc<Shared>,
    req: &Request,
    permit: SlotPermit,
    progress: &mut RequestProgress,
    after: Option<u64>,
) -> Result<StreamReply, AttemptOutcome> {
    let sent = progress.start_attempt(&permit.replica.id);
    let attempt = send(gw, req, &permit, after, &sent);
    let hedge = Hedge::new(gw, req, &permit, after);
    let mut watch = SilenceWatch::new(permit.monitor());
    let first = hedge
        .run(progress, watch.silent(), attempt, open_stream)
        .await;
    progress.end_attempt(&sent);
    let called = match first {
        Ok(Hedged::Backup(source)) => return Ok(StreamReply::Source(source)),
        Ok(Hedged::Primary(reply)) => Ok(reply),
        Err(e) => Err(e),
    };
    let mut attempt = Attempt {
        gw,
        req,
        permit,
        progress,
        after,
        sent: &sent,
    };
    let reply = attempt.check_answer(called).await?;
    let permit = attempt.permit;
    Ok(match is_stream(req, &reply) {
        true => StreamReply::Source(StreamSource::new(gw, permit, reply, after)),
        false => StreamReply::Reply(permit, reply),
    })
}

async fn dispatch_idempotent(
    gw: &Arc<Shared>,
    req: &Request,
    permit: SlotPermit,
    progress: &mut RequestProgress,
) -> Result<Dispatched, AttemptOutcome> {
    let sent = progress.start_attempt(&permit.replica.id);
    let call = send(gw, req, &permit, None, &sent);
    let attempt = async { Ok(buffer_reply(gw, &permit, call.await?).await?) };
    let hedge = Hedge::new(gw, req, &permit, None);
    let first = hedge
        .run(progress, wait_until_hedge_due(req), attempt, open_buffered)
        .await;
    progress.end_attempt(&sent);
    let called = match first {
        Ok(Hedged::Backup(answer)) => return Ok(Dispatched::Buffered(answer)),
        Ok(Hedged::Primary(buffered)) => Ok(buffered),
        Err(e) => Err(e),
    };
    let mut attempt = Attempt {
        gw,
        req,
        permit,
        progress,
        after: None,
        sent: &sent,
    };
    let buffered = attempt.check_answer(called).await?;
    let permit = attempt.permit;
    Ok(Dispatched::Buffered(BufferedAnswer { permit, buffered }))
}

/// Sends a request that must not run twice. There is no hedging: the replica has until the
/// request's deadline.
async fn dispatch_once(
    gw: &Arc<Shared>,
    req: &Request,
    permit: SlotPermit,
    progress: &mut RequestProgress,
    after: Option<u64>,
) -> Result<Dispatched, AttemptOutcome> {
    let sent = progress.start_attempt(&permit.replica.id);
    let called = send(gw, req, &permit, after, &sent).await;
    progress.end_attempt(&sent);
    let mut attempt = Attempt {
        gw,
        req,
        permit,
        progress,
        after,
        sent: &sent,
    };
    let reply = attempt.check_answer(called).await?;
    Ok(Dispatched::Reply(attempt.permit, reply))
}

/// Opens the stream of a backup replica, and waits for its next event.
pub(super) fn open_stream(mut backup: Attempt<'_>) -> BackupAttempt<'_, StreamSource> {
    Box::pin(async move {
        let called = backup.send().await;
        let reply = backup.check_answer(called).await?;
        if !is_stream(backup.req, &reply) {
            return Err(backup.record_error(reply.head.status()));
        }
        let mut stream = EventStream::new(backup.gw, reply, backup.after);
        while !stream.ended() && !stream.has_pending() {
            if let Err(e) = stream.read(&mut backup.permit).await {
                return Err(backup.record_broken(&e).await);
            }
        }
        Ok(StreamSource::of_stream(backup.permit, stream))
    })
}

/// Receives the complete answer of a backup replica, unless it is an error.
fn open_buffered(mut backup: Attempt<'_>) -> BackupAttempt<'_, BufferedAnswer> {
    Box::pin(async move {
        let called = backup.send().await;
        let reply = backup.check_answer(called).await?;
        let status = reply.head.status();
        if status >= 500 {
            return Err(backup.record_error(status));
        }
        match buffer_reply(backup.gw, &backup.permit, reply).await {
            Ok(buffered) => Ok(BufferedAnswer {
                permit: backup.permit,
                buffered,
            }),
            Err(e) => Err(backup.record_broken(&e.into()).await),
        }
    })
}
