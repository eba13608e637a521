//! Forwards streams event by event.

use {
    super::{
        admit::Request,
        attempt::record_failure,
        dispatch::open_stream,
        hedge::{
            Hedge,
            Hedged, //
        },
        outcome::{
            AbortCause,
            AttemptError,
            AttemptOutcome,
            Delivery, //
        },
        plain::chunked_head,
        progress::RequestProgress,
        request_log::{
            log_resumed,
            ResumeCause, //
        },
        resume::resume,
        stream_source::StreamSource,
    },
    crate::{
        http::{
            ResponseEncoder,
            Writer, //
        },
        state::Shared,
    },
    std::sync::Arc,
};

/// Forwards the complete events of a stream as they arrive, from one replica after the other.
///
/// The head is sent together with the first event: if an attempt fails before that, the caller
/// doesn't notice the retry. After that, the stream is resumed at another replica if its route
/// allows it.
pub(super) async fn forward_stream(
    gw: &Arc<Shared>,
    req: &Request,
    mut source: StreamSource,
    writer: &Writer,
    progress: &mut RequestProgress,
) -> AttemptOutcome {
    let mut encoder = None;
    loop {
        let events = source.stream.take_pending();
        if source.stream.ended() {
            return finish_stream(gw, req, source, encoder, &events, writer, progress).await;
        }
        if !events.is_empty() {
            let (started, mut out) = start_answer(gw, req, &source, encoder, progress).await;
            started.append_chunk(&mut out, &events);
            encoder = Some(started);
            if writer.write_all(&out).await.is_err() {
                return AttemptOutcome::Done(Delivery::Aborted(AbortCause::Caller));
            }
            progress.record_forwarded();
        }
        let after = source.stream.last_event();
        match read_next(gw, req, &mut source, progress).await {
            Ok(None) => {}
            Ok(Some(backup)) => {
                if progress.answer_started {
                    log_resumed(req, &backup.permit, progress, ResumeCause::Silent);
                }
                source = backup;
            }
            Err(e) => {
                record_failure(gw, req, &source.permit, progress, "broken", &e).await;
                progress.may_have_run = true;
                if !progress.answer_started {
                    return AttemptOutcome::Lost;
                }
                drop(source);
                source = match Box::pin(resume(gw, req, progress, after)).await {
                    Ok(source) => {
                        log_resumed(req, &source.permit, progress, ResumeCause::Broken);
                        source
                    }
                    Err(cause) => return AttemptOutcome::Done(Delivery::Aborted(cause)),
                };
            }
        }
    }
}

/// Forwards the last events of a stream together with its end.
async fn finish_stream(
    gw: &Shared,
    req: &Request,
    source: StreamSource,
    encoder: Option<ResponseEncoder>,
    events: &[u8],
    writer: &Writer,
    progress: &mut RequestProgress,
) -> AttemptOutcome {
    let (encoder, mut out) = start_answer(gw, req, &source, encoder, progress).await;
    encoder.append_chunk(&mut out, events);
    encoder.append_end(&mut out);
    let written = writer.write_all(&out).await;
    progress.record_forwarded();
    source.finish(gw);
    AttemptOutcome::Done(match written {
        Ok(()) => Delivery::Complete,
        Err(_) => Delivery::Aborted(AbortCause::Caller),
    })
}

/// Waits for more of the stream. Returns the stream of a backup replica if that was faster.
async fn read_next(
    gw: &Arc<Shared>,
    req: &Request,
    source: &mut StreamSource,
    progress: &mut RequestProgress,
) -> Result<Option<StreamSource>, AttemptError> {
    if !req.route.is_repeatable() {
        source.read().await?;
        return Ok(None);
    }
    let hedge = Hedge::new(gw, req, &source.permit, source.stream.last_event());
    let StreamSource {
        permit,
        stream,
        watch,
    } = source;
    let next = stream.read(permit);
    match hedge
        .run(progress, watch.silent(), next, open_stream)
        .await?
    {
        Hedged::Primary(()) => Ok(None),
        Hedged::Backup(backup) => Ok(Some(backup)),
    }
}

/// Returns the encoder of the answer, and its head if it was not sent yet, and records what began the
/// stream.
async fn start_answer(
    gw: &Shared,
    req: &Request,
    source: &StreamSource,
    encoder: Option<ResponseEncoder>,
    progress: &mut RequestProgress,
) -> (ResponseEncoder, Vec<u8>) {
    if let Some(encoder) = encoder {
        return (encoder, Vec::new());
    }
    if req.last_event.is_some() {
        log_resumed(req, &source.permit, progress, ResumeCause::Caller);
    }
    let origin = || source.permit.replica.origin();
    let origin = progress.origin.get_or_insert_with(origin);
    if req.route.is_resumable() {
        let record = req.stream_record(origin.clone());
        gw.record_stream(record).await;
    }
    chunked_head(gw, req, &source.stream.reply, progress)
}
