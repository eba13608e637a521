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
            Headers,
            ReadError,
            ResponseEncoder,
            Writer, //
        },
        model::RouteKind,
        state::Shared,
        upstream::Reply, //
    },
    resources::Segments,
    std::io::{
        self,
        IoSlice, //
    },
};

/// Longest answer that is buffered, in bytes. If an attempt fails before its answer is complete,
/// the caller doesn't notice the retry; a longer answer is forwarded as it arrives and aborted if
/// it breaks off.
const BUFFER_LIMIT_BYTES: usize = 1 << 20;
/// Longest body that is written together with its head. A longer one is not copied.
const JOIN_MAX_BYTES: usize = 64 * 1024;

/// An answer read into memory.
#[derive(Debug)]
pub(super) struct BufferedReply {
    reply: Reply,
    body: Segments,
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

/// Reads an answer until it is complete, or until it is too long for the memory that may buffer it.
///
/// # Errors
///
/// The answer breaks off.
pub(super) async fn buffer_reply(
    gw: &Shared,
    permit: &SlotPermit,
    mut reply: Reply,
) -> Result<BufferedReply, ReadError> {
    let mut body = Segments::new(gw.limiter.charge(), 0);
    let mut complete = true;
    while let Some(part) = read_more(permit, &mut reply).await? {
        body.push(&part);
        let lacks_room = !reply.body.ended() && !gw.limiter.has_spare();
        if body.len() > BUFFER_LIMIT_BYTES || lacks_room {
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
    let stated = head.headers.get("content-length").map(str::to_owned);
    let headers = caller_headers(gw, head.headers, progress);
    let encoder = ResponseEncoder::new(&req.method, status);
    let bytes = encoder.encode_sized_head(&head.line, headers, body.len(), stated.as_deref());
    progress.start_answer(status);
    let written = write_answer(writer, encoder, bytes, &body).await;
    AttemptOutcome::Done(match written {
        Ok(()) => Delivery::Complete,
        Err(_) => Delivery::Aborted(AbortCause::Caller),
    })
}

/// Writes a complete answer, in one piece if it is short.
async fn write_answer(
    writer: &Writer,
    encoder: ResponseEncoder,
    mut bytes: Vec<u8>,
    body: &Segments,
) -> io::Result<()> {
    if !encoder.has_body() {
        return writer.write_all(&bytes).await;
    }
    if body.len() <= JOIN_MAX_BYTES {
        body.slices().for_each(|s| bytes.extend_from_slice(s));
        return writer.write_all(&bytes).await;
    }
    writer.write_all(&bytes).await?;
    drop(bytes);
    let mut slices: Vec<IoSlice<'_>> = body.io_slices().collect();
    writer.write_all_vectored(&mut slices).await
}

/// Reads more of an answer; none at its end.
async fn read_more(permit: &SlotPermit, reply: &mut Reply) -> Result<Option<Vec<u8>>, ReadError> {
    let part = reply.read_part().await?;
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
    prefix: Segments,
    writer: &Writer,
    progress: &mut RequestProgress,
) -> Delivery {
    let (encoder, mut bytes) = chunked_head(gw, req, &reply, progress);
    for slice in prefix.slices() {
        encoder.append_chunk(&mut bytes, slice);
        if writer.write_all(&bytes).await.is_err() {
            return Delivery::Aborted(AbortCause::Caller);
        }
        bytes.clear();
    }
    drop(prefix);
    loop {
        if writer.write_all(&bytes).await.is_err() {
            return Delivery::Aborted(AbortCause::Caller);
        }
        progress.record_forwarded();
        match read_more(permit, &mut reply).await {
            Ok(Some(part)) => {
                bytes.clear();
                encoder.append_chunk(&mut bytes, &part);
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
    bytes.clear();
    encoder.append_end(&mut bytes);
    match writer.write_all(&bytes).await {
        Ok(()) => Delivery::Complete,
        Err(_) => Delivery::Aborted(AbortCause::Caller),
    }
}

/// Records the start of an answer that is sent in chunks. Returns its encoder and its encoded head.
pub(super) fn chunked_head(
    gw: &Shared,
    req: &Request,
    reply: &Reply,
    progress: &mut RequestProgress,
) -> (ResponseEncoder, Vec<u8>) {
    let status = reply.head.status();
    progress.start_answer(status);
    let headers = caller_headers(gw, reply.head.headers.clone(), progress);
    let encoder = ResponseEncoder::new(&req.method, status);
    let bytes = encoder.encode_head(&reply.head.line, headers);
    (encoder, bytes)
}

/// Returns the headers of the caller's answer, without those that frame its body.
fn caller_headers(gw: &Shared, mut headers: Headers, progress: &mut RequestProgress) -> Headers {
    headers.strip_hop_by_hop();
    if gw.is_leaving() {
        headers.push("Connection", "close");
        progress.closes = true;
    }
    headers
}
