//! Answers that are not streams.

use {
    super::{
        admit::Request,
        attempt::record_failure,
        outcome::{
            AbortCause,
            AttemptOutcome,
            Delivery,
            NoRetry, //
        },
        permit::SlotPermit,
        progress::RequestProgress,
        request_log::log_attempt, //
    },
    crate::{
        http::{
            write_chunk,
            Headers,
            ReadError,
            Writer,
            LAST_CHUNK, //
        },
        model::RouteKind,
        state::Shared,
        upstream::Reply, //
    },
};

/// Longest answer that is buffered, in bytes. If an attempt fails before its answer is complete,
/// the caller doesn't notice the retry; a longer answer is forwarded as it arrives and aborted if
/// it breaks off.
const BUFFER_LIMIT_BYTES: usize = 1 << 20;

/// An answer read into memory.
#[derive(Debug)]
pub(super) struct BufferedReply {
    reply: Reply,
    body: Vec<u8>,
    /// Whether the body was read to its end.
    complete: bool,
}

impl AsRef<Reply> for BufferedReply {
    fn as_ref(&self) -> &Reply {
        &self.reply
    }
}

impl From<BufferedReply> for Reply {
    fn from(buffered: BufferedReply) -> Reply {
        buffered.reply
    }
}

/// Reads an answer until it is complete, or too long to be buffered.
///
/// # Errors
///
/// The answer breaks off.
pub(super) async fn buffer_reply(
    permit: &SlotPermit,
    mut reply: Reply,
) -> Result<BufferedReply, ReadError> {
    let mut body = Vec::new();
    let mut complete = true;
    while let Some(part) = read_more(permit, &mut reply).await? {
        body.extend_from_slice(&part);
        if body.len() > BUFFER_LIMIT_BYTES {
            complete = false;
            break;
        }
    }
    Ok(BufferedReply {
        reply,
        body,
        complete,
    })
}

/// Forwards an answer that is not a stream.
pub(super) async fn forward_plain(
    gw: &Shared,
    req: &Request,
    permit: &SlotPermit,
    buffered: BufferedReply,
    writer: &Writer,
    progress: &mut RequestProgress,
) -> AttemptOutcome {
    let BufferedReply {
        reply,
        body,
        complete,
    } = buffered;
    let status = reply.head.status();
    if !complete {
        return AttemptOutcome::Done(
            forward_long(gw, req, permit, reply, body, writer, progress).await,
        );
    }
    permit.record_answer(status < 500);
    let head = reply.head.clone();
    reply.recycle(&gw.pool, &permit.replica);
    if status >= 500 && req.route.kind == RouteKind::Idempotent {
        // Another replica may succeed while there is time.
        if progress.take_resend(gw, req, false).is_ok() {
            log_attempt(req, permit, progress, "failed", &status.to_string());
            progress.may_have_run = true;
            return AttemptOutcome::Retry;
        }
    }
    let length = match req.method.as_str() {
        "HEAD" => head.headers.get("content-length").map(str::to_owned),
        _ => Some(body.len().to_string()),
    };
    let mut bytes = head
        .line
        .encode_head(&caller_headers(gw, head.headers, length, progress));
    bytes.extend_from_slice(&body);
    progress.start_answer(status);
    AttemptOutcome::Done(match writer.write_all(&bytes).await {
        Ok(()) => Delivery::Complete,
        Err(_) => Delivery::Aborted(AbortCause::Caller),
    })
}

/// Reads more of an answer; none at its end.
async fn read_more(permit: &SlotPermit, reply: &mut Reply) -> Result<Option<Vec<u8>>, ReadError> {
    let part = reply.body.read_part(&mut reply.conn).await?;
    if part.is_none() {
        permit.check_complete(reply).await?;
    }
    Ok(part)
}

/// Forwards a long answer as it arrives.
async fn forward_long(
    gw: &Shared,
    req: &Request,
    permit: &SlotPermit,
    mut reply: Reply,
    prefix: Vec<u8>,
    writer: &Writer,
    progress: &mut RequestProgress,
) -> Delivery {
    let mut bytes = chunked_head(gw, &reply, progress);
    write_chunk(&mut bytes, &prefix);
    drop(prefix);
    loop {
        if writer.write_all(&bytes).await.is_err() {
            return Delivery::Aborted(AbortCause::Caller);
        }
        progress.record_forwarded();
        match read_more(permit, &mut reply).await {
            Ok(Some(part)) => {
                bytes.clear();
                write_chunk(&mut bytes, &part);
            }
            Ok(None) => break,
            Err(e) => {
                record_failure(gw, req, permit, progress, "broken", &e.into()).await;
                return Delivery::Aborted(AbortCause::NoRetry(NoRetry::MayHaveRun));
            }
        }
    }
    permit.record_answer(reply.head.status() < 500);
    reply.recycle(&gw.pool, &permit.replica);
    match writer.write_all(LAST_CHUNK).await {
        Ok(()) => Delivery::Complete,
        Err(_) => Delivery::Aborted(AbortCause::Caller),
    }
}

/// Records the start of the answer, and returns the head of one with a chunked body.
pub(super) fn chunked_head(gw: &Shared, reply: &Reply, progress: &mut RequestProgress) -> Vec<u8> {
    progress.start_answer(reply.head.status());
    let mut headers = caller_headers(gw, reply.head.headers.clone(), None, progress);
    headers.push("Transfer-Encoding", "chunked");
    reply.head.line.encode_head(&headers)
}

/// Returns the headers of the caller's answer.
fn caller_headers(
    gw: &Shared,
    mut headers: Headers,
    length: Option<String>,
    progress: &mut RequestProgress,
) -> Headers {
    headers.strip_hop_by_hop();
    if let Some(length) = length {
        headers.push("Content-Length", length);
    }
    if gw.is_leaving() {
        headers.push("Connection", "close");
        progress.closes = true;
    }
    headers
}
