//! A stream that is passed on event by event.

use {
    super::{
        admit::Request,
        ask::open_stream,
        course::Course,
        hedge::{
            Hedge,
            Hedged, //
        },
        plain::chunked_head,
        resume::resume,
        sending::failed,
        silence::quiet,
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
        let whole = source.stream.take();
        if !whole.is_empty() {
            let mut out = begin(gw, &source, course);
            chunk(&mut out, &whole);
            if writer.write_all(&out).await.is_err() {
                return Step::End(Flow::Cut(Cut::Caller));
            }
            course.passed();
        }
        if source.stream.ended() {
            break;
        }
        let after = source.stream.last();
        match next(gw, req, &mut source, course).await {
            Ok(None) => {}
            Ok(Some(other)) => source = other,
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
) -> Result<Option<Source>, TryError> {
    if !req.route.is_repeatable() {
        source.read().await?;
        return Ok(None);
    }
    let hedge = Hedge::new(gw, req, &source.place, source.stream.last());
    let silent = quiet(&hedge.watch);
    match hedge
        .run(course, silent, source.read(), open_stream)
        .await?
    {
        Hedged::Own(()) => Ok(None),
        Hedged::Other(other) => Ok(Some(other)),
    }
}

/// Returns the head of the answer where the caller does not have it yet.
fn begin(gw: &Shared, source: &Source, course: &mut Course) -> Vec<u8> {
    if course.begun {
        return Vec::new();
    }
    chunked_head(gw, &source.stream.reply, course)
}
