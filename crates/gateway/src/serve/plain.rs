//! An answer that is no stream.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        silence::patience,
        step::{
            Cut,
            Flow,
            NoRetry,
            Step,
            TryError, //
        },
        trail::note, //
    },
    crate::{
        http::{
            chunk,
            Headers,
            ReadError,
            LAST_CHUNK, //
        },
        model::RouteKind,
        state::Shared,
        upstream::Reply, //
    },
    async_std::net::TcpStream,
    futures_lite::{
        future::or,
        AsyncWriteExt, //
    },
};

/// Longest answer that is held until it is whole, in bytes. Until then a try that breaks can
/// be followed by another unseen; a longer one is cut where it breaks.
const WHOLE_MAX: usize = 1 << 20;

/// Passes on an answer that is no stream.
pub(super) async fn pass_plain(
    gw: &Shared,
    req: &Request,
    place: &Place,
    mut reply: Reply,
    writer: &mut TcpStream,
    course: &mut Course,
) -> Result<Step, TryError> {
    let status = reply.head.status();
    let held = hold(&mut reply);
    let (body, whole) = match req.route.kind {
        RouteKind::Idempotent => {
            let patience = patience(req, course.is_last(req));
            or(async { Ok(held.await?) }, patience).await?
        }
        _ => held.await?,
    };
    if !whole {
        return Ok(Step::End(
            pass_long(gw, place, reply, body, writer, course).await,
        ));
    }
    place.answered(status < 500);
    let head = reply.head.clone();
    reply.recycle(&gw.pool, &place.replica);
    if status >= 500 && req.route.kind == RouteKind::Idempotent {
        // It failed there; another replica may do better while there is time.
        if course.may_send(gw, req, false).is_ok() {
            note(req, place, course, "failed", &status.to_string());
            course.may_have_run = true;
            return Ok(Step::Again);
        }
    }
    let length = match req.method.as_str() {
        "HEAD" => head.headers.get("content-length").map(str::to_owned),
        _ => Some(body.len().to_string()),
    };
    let mut bytes = head.line.head(&passed(gw, head.headers, length));
    bytes.extend_from_slice(&body);
    course.begin(status);
    Ok(Step::End(match writer.write_all(&bytes).await {
        Ok(()) => Flow::Passed,
        Err(_) => Flow::Cut(Cut::Caller),
    }))
}

/// Reads an answer until it is whole, or too long to be held; tells which.
async fn hold(reply: &mut Reply) -> Result<(Vec<u8>, bool), ReadError> {
    let mut held = Vec::new();
    while let Some(piece) = reply.body.piece(&mut reply.conn).await? {
        held.extend_from_slice(&piece);
        if held.len() > WHOLE_MAX {
            return Ok((held, false));
        }
    }
    Ok((held, true))
}

/// Passes on a long answer while it comes.
async fn pass_long(
    gw: &Shared,
    place: &Place,
    mut reply: Reply,
    held: Vec<u8>,
    writer: &mut TcpStream,
    course: &mut Course,
) -> Flow {
    let mut bytes = chunked_head(gw, &reply, course);
    chunk(&mut bytes, &held);
    drop(held);
    loop {
        if writer.write_all(&bytes).await.is_err() {
            return Flow::Cut(Cut::Caller);
        }
        course.passed();
        match reply.body.piece(&mut reply.conn).await {
            Ok(Some(piece)) => {
                bytes.clear();
                chunk(&mut bytes, &piece);
            }
            Ok(None) => break,
            Err(e) => {
                course.cause = e.to_string();
                place.broken();
                return Flow::Cut(Cut::NoRetry(NoRetry::MayHaveRun));
            }
        }
    }
    place.answered(reply.head.status() < 500);
    reply.recycle(&gw.pool, &place.replica);
    match writer.write_all(LAST_CHUNK).await {
        Ok(()) => Flow::Passed,
        Err(_) => Flow::Cut(Cut::Caller),
    }
}

/// Begins the caller's answer, and returns the head of one that comes in chunks.
pub(super) fn chunked_head(gw: &Shared, reply: &Reply, course: &mut Course) -> Vec<u8> {
    course.begin(reply.head.status());
    let mut headers = passed(gw, reply.head.headers.clone(), None);
    headers.push("Transfer-Encoding", "chunked");
    reply.head.line.head(&headers)
}

/// Returns the headers that the caller gets.
fn passed(gw: &Shared, mut headers: Headers, length: Option<String>) -> Headers {
    headers.strip();
    if let Some(length) = length {
        headers.push("Content-Length", length);
    }
    if gw.is_leaving() {
        headers.push("Connection", "close");
    }
    headers
}
