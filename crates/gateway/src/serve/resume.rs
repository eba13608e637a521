//! Resumes streams at another replica.

use {
    super::{
        admit::Request,
        dispatch::{
            dispatch_resumable,
            StreamReply, //
        },
        next_replica::{
            acquire_other_slot,
            Backoff, //
        },
        outcome::AbortCause,
        progress::RequestProgress,
        request_log::log_attempt,
        stream_source::StreamSource,
    },
    crate::state::Shared,
    std::sync::Arc,
};

/// Resumes a stream after an event, at the first replica that takes it.
///
/// The caller already has a part of the answer, and slots are freed all the time, so the request
/// waits for one until its deadline. The number of waiting requests is limited by the limit of
/// callers' connections.
///
/// # Errors
///
/// Why the stream can't be resumed.
pub(super) async fn resume(
    gw: &Arc<Shared>,
    req: &Request,
    progress: &mut RequestProgress,
    after: Option<u64>,
) -> Result<StreamSource, AbortCause> {
    let mut backoff = Backoff::default();
    loop {
        backoff.wait().await;
        let permit = acquire_other_slot(gw, req, progress).await?;
        match dispatch_resumable(gw, req, permit, progress, after).await {
            Ok(StreamReply::Source(source)) => {
                progress.cause.clear();
                return Ok(source);
            }
            Ok(StreamReply::Reply(permit, reply)) => {
                let status = reply.head.status();
                permit.record_answer(status < 500);
                log_attempt(req, &permit, progress, "failed", &status.to_string());
            }
            Err(outcome) => backoff.update(&outcome),
        }
    }
}
