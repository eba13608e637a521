//! Hedging: tries a backup replica while the first one is silent.

use {
    super::{
        admit::Request,
        attempt::Attempt,
        next_replica::{
            acquire_other_slot,
            Backoff, //
        },
        outcome::{
            AttemptError,
            AttemptOutcome, //
        },
        permit::{
            SilenceMonitor,
            SlotPermit, //
        },
        progress::RequestProgress,
        request_log::log_silent,
    },
    crate::{
        state::Shared,
        upstream::SendMarker, //
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

/// The attempt at a backup replica: its answer, or the outcome if there is none.
///
/// Boxed to keep the future of a request small if it is not hedged.
pub(super) type BackupAttempt<'a, O> =
    Pin<Box<dyn Future<Output = Result<O, AttemptOutcome>> + Send + 'a>>;

/// Starts the attempt at a backup replica.
pub(super) type StartBackup<O> = for<'a> fn(Attempt<'a>) -> BackupAttempt<'a, O>;

/// The answer that arrived first.
pub(super) enum Hedged<T, O> {
    Primary(T),
    Backup(O),
}

/// A request that may be hedged.
pub(super) struct Hedge<'a> {
    gw: &'a Arc<Shared>,
    req: &'a Request,
    /// Watches the first replica.
    monitor: SilenceMonitor,
    /// The event after which the backup resumes a stream.
    after: Option<u64>,
}

/// Result of the race between the first replica and a backup.
enum Race<T, O> {
    Primary(Result<T, AttemptError>),
    Backup(O),
    /// The backup gave no answer.
    BackupFailed(AttemptOutcome),
    /// No backup may be tried.
    NoBackup,
}

impl<'a> Hedge<'a> {
    /// Prepares hedging for a request sent to the permit's replica.
    pub(super) fn new(
        gw: &'a Arc<Shared>,
        req: &'a Request,
        permit: &SlotPermit,
        after: Option<u64>,
    ) -> Hedge<'a> {
        Hedge {
            gw,
            req,
            monitor: permit.monitor(),
            after,
        }
    }

    /// Waits for the replica's next output, and once it is silent tries backups at the same time.
    ///
    /// A replica is silent while it is paused for a moment, but also if the connection was lost on
    /// the way; the two look the same. So the replica is abandoned only once a backup has sent what
    /// comes next. If the replica sends it first, the backup is abandoned instead.
    ///
    /// # Errors
    ///
    /// The replica's output breaks off, and no backup has the request.
    pub(super) async fn run<T, O>(
        &self,
        progress: &mut RequestProgress,
        silence: impl Future<Output = ()>,
        primary: impl Future<Output = Result<T, AttemptError>>,
        start_backup: StartBackup<O>,
    ) -> Result<Hedged<T, O>, AttemptError> {
        pin!(primary);
        let silence = async {
            silence.await;
            None
        };
        if let Some(done) = or(async { Some(primary.as_mut().await) }, silence).await {
            return Ok(Hedged::Primary(done?));
        }
        if progress.check_rerun(self.req).is_err() {
            return Ok(Hedged::Primary(primary.await?));
        }
        self.monitor.record_unreachable();
        log_silent(self.req, &self.monitor, progress);
        progress.may_have_run = true;
        let mut backoff = Backoff::default();
        loop {
            match self
                .race(progress, primary.as_mut(), start_backup, &backoff)
                .await
            {
                Race::Primary(done) => return self.finish(progress, Hedged::Primary(done?)),
                Race::Backup(backup) => return self.finish(progress, Hedged::Backup(backup)),
                Race::BackupFailed(outcome) => backoff.update(&outcome),
                Race::NoBackup => return self.finish(progress, Hedged::Primary(primary.await?)),
            }
        }
    }

    async fn race<T, O>(
        &self,
        progress: &mut RequestProgress,
        mut primary: Pin<&mut impl Future<Output = Result<T, AttemptError>>>,
        start_backup: StartBackup<O>,
        backoff: &Backoff,
    ) -> Race<T, O> {
        let sent = SendMarker::default();
        let mut backup = Box::pin(self.try_backup(progress, start_backup, backoff, &sent));
        let first = or(
            async { Race::Primary(primary.as_mut().await) },
            backup.as_mut(),
        )
        .await;
        let race = match first {
            Race::Primary(Err(e)) if sent.started() => match backup.as_mut().await {
                Race::Backup(backup) => Race::Backup(backup),
                _ => Race::Primary(Err(e)),
            },
            first => first,
        };
        drop(backup);
        progress.sends += u32::from(sent.started());
        race
    }

    /// Waits for a slot at a backup replica, and for its answer.
    async fn try_backup<T, O>(
        &self,
        progress: &mut RequestProgress,
        start_backup: StartBackup<O>,
        backoff: &Backoff,
        sent: &SendMarker,
    ) -> Race<T, O> {
        backoff.wait().await;
        let Ok(permit) = acquire_other_slot(self.gw, self.req, progress).await else {
            return Race::NoBackup;
        };
        progress.start_attempt(&permit.replica.id);
        let backup_attempt = start_backup(Attempt {
            gw: self.gw,
            req: self.req,
            permit,
            progress,
            after: self.after,
            sent,
        });
        match backup_attempt.await {
            Ok(backup) => Race::Backup(backup),
            Err(outcome) => Race::BackupFailed(outcome),
        }
    }

    fn finish<T, O>(
        &self,
        progress: &mut RequestProgress,
        hedged: Hedged<T, O>,
    ) -> Result<Hedged<T, O>, AttemptError> {
        progress.cause.clear();
        let outcome = match &hedged {
            Hedged::Primary(_) => "went-on",
            Hedged::Backup(_) => "replaced",
        };
        metrics::counter!("chervilwind_silent_replicas", "outcome" => outcome).increment(1);
        Ok(hedged)
    }
}
