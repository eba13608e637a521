//! Another replica for a request that was sent before.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        step::{
            Cut,
            Refusal,
            Step, //
        },
    },
    crate::state::Shared,
    async_std::task,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// Pause before a replica is looked for again.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a replica turned the request away.
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// The pause before a request is sent again, doubled each time that a replica turns it away, as
/// each try is taken from the retry budget.
#[derive(Debug, Default)]
pub(super) struct Backoff(Option<Duration>);

impl Backoff {
    /// Notes what came of a try.
    pub(super) fn after(&mut self, step: &Step) {
        if matches!(step, Step::TurnedAway) {
            self.0 = Some(self.0.map_or(PAUSE, |pause| PAUSE_MAX.min(pause * 2)));
        }
    }

    /// Waits for as long as the tries before suggest.
    pub(super) async fn wait(&self) {
        if let Some(pause) = self.0 {
            task::sleep(pause).await;
        }
    }
}

/// Waits for a place at a replica that did not run the request, and for a retry of the budget.
///
/// # Errors
///
/// Why the request may not be sent to another.
pub(super) async fn seek(
    gw: &Arc<Shared>,
    req: &Request,
    course: &mut Course,
) -> Result<Place, Cut> {
    loop {
        course.may_run_again(req).map_err(Cut::NoRetry)?;
        if let Some(place) = find(gw, req, course)? {
            return Ok(place);
        }
        task::sleep(PAUSE).await;
    }
}

fn find(gw: &Arc<Shared>, req: &Request, course: &mut Course) -> Result<Option<Place>, Cut> {
    if !course.has_budget(gw, req) {
        course.cause = "the retry budget is spent".to_owned();
        return Ok(None);
    }
    match gw.place(req, &course.tried, course.claim()) {
        Ok(place) => Ok(course.take_retry(gw, req).then_some(place)),
        Err(refused) if refused.why == Refusal::Held => Err(Cut::Refused(refused.why)),
        Err(refused) => {
            course.cause = refused.why.text().to_owned();
            // Those that had no place or could not be reached a moment ago may take it now.
            course.forget_unrun();
            Ok(None)
        }
    }
}
