//! A stream that is passed on event by event.

use {
    super::{
        admit::Request,
        ask::failed,
        course::Course,
        hedge::{
            hedge,
            Hedged, //
        },
        plain::chunked_head,
        resume::resume,
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
    futures_lite::AsyncWriteExt,
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
    loop {
        let whole = source.take();
        if !whole.is_empty() {
            let mut out = begin(gw, &source, course);
            chunk(&mut out, &whole);
            if writer.write_all(&out).await.is_err() {
                return Step::End(Flow::Cut(Cut::Caller));
            }
            course.passed();
        }
        if source.ended() {
            break;
        }
        let after = source.last();
        match next(gw, req, &mut source, course).await {
            Ok(None) => {}
            Ok(Some(other)) => source = *other,
            Err(e) => {
                failed(gw, req, &source.place, course, "broken", &e).await;
                course.may_have_run = true;
                if !course.begun {
                    return Step::Lost;
                }
                drop(source);
                source = match Box::pin(resume(gw, req, course, after)).await {
                    Ok(source) => source,
                    Err(cut) => return Step::End(Flow::Cut(cut)),
                };
            }
        }
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

/// Waits for more of a stream, and returns that of another replica where it was first.
async fn next(
    gw: &Arc<Shared>,
    req: &Request,
    source: &mut Source,
    course: &mut Course,
) -> Result<Option<Box<Source>>, TryError> {
    if !req.route.repeatable() {
        source.read().await?;
        return Ok(None);
    }
    let (watch, after) = (source.place.watch(), source.last());
    match hedge(gw, req, &watch, course, after, source.read()).await? {
        Hedged::Own(()) => Ok(None),
        Hedged::Other(other) => Ok(Some(other)),
    }
}

/// Returns the head of the answer where the caller does not have it yet.
fn begin(gw: &Shared, source: &Source, course: &mut Course) -> Vec<u8> {
    if course.begun {
        return Vec::new();
    }
    chunked_head(gw, &source.reply, course)
}
