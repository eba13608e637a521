//! Finds another replica for a request that was sent before.

use {
    super::{
        admit::Request,
        outcome::{
            AbortCause,
            AttemptOutcome, //
        },
        permit::SlotPermit,
        progress::RequestProgress,
    },
    crate::state::Shared,
    async_std::task,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// Pause before the next search for a replica.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a replica rejected the request.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// Delay before the next attempt. It doubles with each rejection by a replica, as every attempt
/// takes a retry from the budget.
#[derive(Debug, Default)]
pub(super) struct Backoff(Option<Duration>);

impl Backoff {
    /// Takes the outcome of an attempt into account.
    pub(super) fn update(&mut self, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Rejected) {
            self.0 = Some(
                self.0
                    .map_or(SEARCH_PAUSE, |pause| BACKOFF_MAX.min(pause * 2)),
            );
        }
    }

    /// Waits for the current delay.
    pub(super) async fn wait(&self) {
        if let Some(pause) = self.0 {
            task::sleep(pause).await;
        }
    }
}

/// Waits for a slot on a replica that did not run the request, and for a retry from the budget.
///
/// # Errors
///
/// Why the request may not be sent to another replica.
pub(super) async fn acquire_other_slot(
    gw: &Arc<Shared>,
    req: &Request,
    progress: &mut RequestProgress,
) -> Result<SlotPermit, AbortCause> {
    loop {
        progress.check_rerun(req).map_err(AbortCause::NoRetry)?;
        if let Some(permit) = try_acquire(gw, req, progress)? {
            return Ok(permit);
        }
        task::sleep(SEARCH_PAUSE).await;
    }
}

fn try_acquire(
    gw: &Arc<Shared>,
    req: &Request,
    progress: &mut RequestProgress,
) -> Result<Option<SlotPermit>, AbortCause> {
    if !progress.has_budget(gw, req) {
        progress.cause = "the retry budget is spent".to_owned();
        return Ok(None);
    }
    match gw.acquire_slot(req, progress.selection()) {
        Ok(permit) => Ok(progress.take_retry(gw, req).then_some(permit)),
        Err(refused) if refused.refusal.is_final() => Err(AbortCause::Refused(refused.refusal)),
        Err(refused) => {
            progress.cause = refused.refusal.text().to_owned();
            // Replicas that were full or unreachable a moment ago may take the request now.
            progress.clear_not_run();
            Ok(None)
        }
    }
}
