//! Serves a request, with retries until a replica answers it.

use {
    super::{
        admit::Request,
        attempt::{
            is_stream,
            record_failure, //
        },
        dispatch::{
            dispatch,
            BufferedAnswer,
            Dispatched, //
        },
        next_replica::Backoff,
        outcome::{
            AttemptOutcome,
            Delivery, //
        },
        permit::SlotPermit,
        plain::{
            buffer_reply,
            forward_plain, //
        },
        progress::{
            record_request,
            RequestProgress, //
        },
        stream::forward_stream,
        stream_source::StreamSource, //
    },
    crate::{
        http::Writer,
        state::Shared, //
    },
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// Retry delay for callers whose request no replica answered.
const NO_ANSWER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Serves a request and writes the replica's answer to the caller.
///
/// An answer that the gateway generates itself is returned for the caller of this function to
/// write.
pub(crate) async fn serve(
    gw: &Arc<Shared>,
    req: &Request,
    writer: &Writer,
    progress: &mut RequestProgress,
) -> Delivery {
    record_request(gw, req);
    let mut backoff = Backoff::default();
    loop {
        let permit = match gw.acquire_slot(req, progress.selection()) {
            Ok(mut permit) => {
                progress.inputs = std::mem::take(&mut permit.inputs);
                permit
            }
            Err(refused) => {
                progress.inputs = refused.inputs;
                return Delivery::Local(
                    progress.give_up(refused.refusal.text(), refused.retry_delay),
                );
            }
        };
        let retry = match attempt(gw, req, permit, writer, progress).await {
            AttemptOutcome::Done(delivery) => return delivery,
            AttemptOutcome::Retry => Ok(()),
            AttemptOutcome::Unreached => progress.check_unreached_retry(req.until),
            AttemptOutcome::Rejected => {
                backoff.update(&AttemptOutcome::Rejected);
                progress.take_resend(gw, req, true)
            }
            AttemptOutcome::Lost => progress.take_resend(gw, req, false),
        };
        if retry.is_err() {
            let origin = progress.origin.as_ref();
            let retry_delay = gw.retry_delay(req, origin, NO_ANSWER_RETRY_DELAY);
            return Delivery::Local(progress.give_up("no replica answered it", retry_delay));
        }
        metrics::counter!("chervilwind_retries").increment(1);
        if progress.resumed {
            // Its caller would lose what it has, and only a few replicas may be of its version.
            backoff.wait().await;
            progress.clear_not_run();
        }
    }
}

/// Makes one attempt at a request for which nothing was forwarded to the caller yet.
async fn attempt(
    gw: &Arc<Shared>,
    req: &Request,
    permit: SlotPermit,
    writer: &Writer,
    progress: &mut RequestProgress,
) -> AttemptOutcome {
    let (permit, reply) = match dispatch(gw, req, permit, progress, req.last_event).await {
        Ok(Dispatched::Reply(permit, reply)) => (permit, reply),
        Ok(Dispatched::Stream(source)) => {
            return forward_stream(gw, req, source, writer, progress).await
        }
        Ok(Dispatched::Buffered(BufferedAnswer { permit, buffered })) => {
            return forward_plain(gw, req, &permit, buffered, writer, progress).await;
        }
        Err(outcome) => return outcome,
    };
    if is_stream(req, &reply) {
        let source = StreamSource::new(gw, permit, reply, req.last_event);
        return forward_stream(gw, req, source, writer, progress).await;
    }
    match buffer_reply(gw, &permit, reply).await {
        Ok(buffered) => forward_plain(gw, req, &permit, buffered, writer, progress).await,
        Err(e) => {
            record_failure(gw, req, &permit, progress, "broken", &e.into()).await;
            progress.may_have_run = true;
            AttemptOutcome::Lost
        }
    }
}
