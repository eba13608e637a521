//! A stream that is passed on event by event.

use {
    super::{
        admit::Request,
        ask::failed,
        course::Course,
        plain::chunked_head,
        resume::resume,
        silence::silence,
        source::Source,
        step::{
            Cut,
            Flow,
            Step,
            TryError, //
        },
    },
    crate::{
        http::{
            chunk,
            LAST_CHUNK, //
        },
        state::Shared,
    },
    async_std::net::TcpStream,
    futures_lite::{
        future::or,
        AsyncWriteExt, //
    },
    std::sync::Arc,
};

/// Passes on the whole events of a stream as they come, from one replica after the other.
///
/// The head goes with the first event: until then a try that breaks can be followed by
/// another unseen. Later the stream goes on at another replica, where the route allows it.
pub(super) async fn pass_stream(
    gw: &Arc<Shared>,
    req: &Request,
    mut source: Source,
    writer: &mut TcpStream,
    course: &mut Course,
) -> Step {
    while !source.ended() {
        if let Err(e) = next(req, &mut source, course).await {
            failed(gw, req, &source.place, course, "broken", &e).await;
            course.may_have_run = true;
            if !course.begun {
                return Step::Lost;
            }
            let after = source.last();
            drop(source);
            source = match resume(gw, req, course, after).await {
                Ok(source) => source,
                Err(cut) => return Step::End(Flow::Cut(cut)),
            };
        }
        let whole = source.take();
        if whole.is_empty() {
            continue;
        }
        let mut out = begin(gw, &source, course);
        chunk(&mut out, &whole);
        if writer.write_all(&out).await.is_err() {
            return Step::End(Flow::Cut(Cut::Caller));
        }
        course.passed();
    }
    let mut out = begin(gw, &source, course);
    out.extend_from_slice(LAST_CHUNK);
    let written = writer.write_all(&out).await;
    source.finish(gw);
    Step::End(match written {
        Ok(()) => Flow::Passed,
        Err(_) => Flow::Cut(Cut::Caller),
    })
}

/// Waits for more of the stream, or until the replica counts as silent.
async fn next(req: &Request, source: &mut Source, course: &Course) -> Result<(), TryError> {
    let watch = source.place.watch();
    or(source.read(), silence(req, &watch, course.is_last(req))).await
}

/// Returns the head of the answer where the caller does not have it yet.
fn begin(gw: &Shared, source: &Source, course: &mut Course) -> Vec<u8> {
    if course.begun {
        return Vec::new();
    }
    chunked_head(gw, &source.reply, course)
}
