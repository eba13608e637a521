//! A second replica for a request whose replica is silent.

use {
    super::{
        admit::Request,
        course::Course,
        place::{
            Place,
            Watch, //
        },
        seek::{
            seek,
            Backoff, //
        },
        sending::Try,
        step::{
            Step,
            TryError, //
        },
        trail::note_silent,
    },
    crate::{
        state::Shared,
        upstream::Sent, //
    },
    futures_lite::{
        future::or,
        pin, //
    },
    std::{
        future::Future,
        pin::Pin,
        sync::Arc, //
    },
};

/// What another replica gives in place of a silent one, or what came of the try.
///
/// Boxed, so that requests without a silent replica don't hold its room.
pub(super) type Opening<'a, O> = Pin<Box<dyn Future<Output = Result<O, Step>> + Send + 'a>>;

/// How another replica is asked.
pub(super) type Open<O> = for<'a> fn(Try<'a>) -> Opening<'a, O>;

/// What a replica sent, or what another gave first.
pub(super) enum Hedged<T, O> {
    Own(T),
    Other(O),
}

/// A request that may be sent to a second replica.
pub(super) struct Hedge<'a> {
    gw: &'a Arc<Shared>,
    req: &'a Request,
    /// The first replica.
    pub(super) watch: Watch,
    /// The event behind which the second is to go on.
    after: Option<u64>,
}

/// Which of two replicas was first.
enum Race<T, O> {
    Own(Result<T, TryError>),
    Other(O),
    /// The other one gave nothing.
    OtherFailed(Step),
    /// No other one may be tried.
    NoOther,
}

impl<'a> Hedge<'a> {
    /// Prepares for a replica that may fall silent.
    pub(super) fn new(
        gw: &'a Arc<Shared>,
        req: &'a Request,
        place: &Place,
        after: Option<u64>,
    ) -> Hedge<'a> {
        Hedge {
            gw,
            req,
            watch: place.watch(),
            after,
        }
    }

    /// Waits for what a replica is to send next, and once it is silent tries others meanwhile.
    ///
    /// A replica is silent while it is stopped for a moment, and also where something on the way
    /// lost track of the connection; nothing tells which. So it is left only when another has
    /// sent what comes next. What it sends before that counts, and the other is left.
    ///
    /// # Errors
    ///
    /// Where what the replica sends breaks, and no other has the request.
    pub(super) async fn run<T, O>(
        &self,
        course: &mut Course,
        silent: impl Future<Output = ()>,
        own: impl Future<Output = Result<T, TryError>>,
        open: Open<O>,
    ) -> Result<Hedged<T, O>, TryError> {
        pin!(own);
        let silent = async {
            silent.await;
            None
        };
        if let Some(done) = or(async { Some(own.as_mut().await) }, silent).await {
            return Ok(Hedged::Own(done?));
        }
        if course.may_run_again(self.req).is_err() {
            return Ok(Hedged::Own(own.await?));
        }
        self.watch.unreachable();
        note_silent(self.req, &self.watch, course);
        course.may_have_run = true;
        let mut backoff = Backoff::default();
        loop {
            match self.race(course, own.as_mut(), open, &backoff).await {
                Race::Own(done) => return self.done(course, Hedged::Own(done?)),
                Race::Other(other) => return self.done(course, Hedged::Other(other)),
                Race::OtherFailed(step) => backoff.after(&step),
                Race::NoOther => return self.done(course, Hedged::Own(own.await?)),
            }
        }
    }

    async fn race<T, O>(
        &self,
        course: &mut Course,
        mut own: Pin<&mut impl Future<Output = Result<T, TryError>>>,
        open: Open<O>,
        backoff: &Backoff,
    ) -> Race<T, O> {
        let sent = Sent::default();
        let mut other = Box::pin(self.other(course, open, backoff, &sent));
        let first = or(async { Race::Own(own.as_mut().await) }, other.as_mut()).await;
        let race = match first {
            Race::Own(Err(e)) if sent.any() => match other.as_mut().await {
                Race::Other(other) => Race::Other(other),
                _ => Race::Own(Err(e)),
            },
            first => first,
        };
        drop(other);
        course.sends += u32::from(sent.any());
        race
    }

    /// Waits for a place at another replica, and for what that one gives.
    async fn other<T, O>(
        &self,
        course: &mut Course,
        open: Open<O>,
        backoff: &Backoff,
        sent: &Sent,
    ) -> Race<T, O> {
        backoff.wait().await;
        let Ok(place) = seek(self.gw, self.req, course).await else {
            return Race::NoOther;
        };
        course.start(&place.replica.id);
        let opening = open(Try {
            gw: self.gw,
            req: self.req,
            place,
            course,
            after: self.after,
            sent,
        });
        match opening.await {
            Ok(other) => Race::Other(other),
            Err(step) => Race::OtherFailed(step),
        }
    }

    fn done<T, O>(
        &self,
        course: &mut Course,
        hedged: Hedged<T, O>,
    ) -> Result<Hedged<T, O>, TryError> {
        course.cause.clear();
        let outcome = match &hedged {
            Hedged::Own(_) => "went-on",
            Hedged::Other(_) => "replaced",
        };
        metrics::counter!("chervilwind_silent_replicas", "outcome" => outcome).increment(1);
        Ok(hedged)
    }
}
