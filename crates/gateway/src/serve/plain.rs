//! An answer that is no stream.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        step::{
            Cut,
            Flow,
            NoRetry,
            Step, //
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
    futures_lite::AsyncWriteExt,
};

/// Longest answer that is held until it is whole, in bytes. Until then a try that breaks can
/// be followed by another unseen; a longer one is cut where it breaks.
const WHOLE_MAX: usize = 1 << 20;

/// An answer that is held until it is whole.
#[derive(Debug)]
pub(super) struct Held {
    reply: Reply,
    body: Vec<u8>,
    /// Nothing of it is left to be read.
    whole: bool,
}

impl AsRef<Reply> for Held {
    fn as_ref(&self) -> &Reply {
        &self.reply
    }
}

impl From<Held> for Reply {
    fn from(held: Held) -> Reply {
        held.reply
    }
}

/// Reads an answer until it is whole, or too long to be held.
pub(super) async fn hold(mut reply: Reply) -> Result<Held, ReadError> {
    let mut body = Vec::new();
    let mut whole = true;
    while let Some(piece) = reply.body.piece(&mut reply.conn).await? {
        body.extend_from_slice(&piece);
        if body.len() > WHOLE_MAX {
            whole = false;
            break;
        }
    }
    Ok(Held { reply, body, whole })
}

/// Passes on an answer that is no stream.
pub(super) async fn pass_plain(
    gw: &Shared,
    req: &Request,
    place: &Place,
    held: Held,
    writer: &mut TcpStream,
    course: &mut Course,
) -> Step {
    let Held { reply, body, whole } = held;
    let status = reply.head.status();
    if !whole {
        return Step::End(pass_long(gw, place, reply, body, writer, course).await);
    }
    place.answered(status < 500);
    let head = reply.head.clone();
    reply.recycle(&gw.pool, &place.replica);
    if status >= 500 && req.route.kind == RouteKind::Idempotent {
        // It failed there; another replica may do better while there is time.
        if course.may_send(gw, req, false).is_ok() {
            note(req, place, course, "failed", &status.to_string());
            course.may_have_run = true;
            return Step::Again;
        }
    }
    let length = match req.method.as_str() {
        "HEAD" => head.headers.get("content-length").map(str::to_owned),
        _ => Some(body.len().to_string()),
    };
    let mut bytes = head.line.head(&passed(gw, head.headers, length, course));
    bytes.extend_from_slice(&body);
    course.begin(status);
    Step::End(match writer.write_all(&bytes).await {
        Ok(()) => Flow::Passed,
        Err(_) => Flow::Cut(Cut::Caller),
    })
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
    let mut headers = passed(gw, reply.head.headers.clone(), None, course);
    headers.push("Transfer-Encoding", "chunked");
    reply.head.line.head(&headers)
}

/// Returns the headers that the caller gets.
fn passed(
    gw: &Shared,
    mut headers: Headers,
    length: Option<String>,
    course: &mut Course,
) -> Headers {
    headers.strip();
    if let Some(length) = length {
        headers.push("Content-Length", length);
    }
    if gw.is_leaving() {
        headers.push("Connection", "close");
        course.closes = true;
    }
    headers
}
