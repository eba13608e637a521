//! Requests that wait until an engine has room.
//!
//! Waiting requests try again in rounds, one after the other. A round follows each event that may
//! give an engine room, so that the tasks of those that wait needn't poll.

use {
    super::{
        admit::Request,
        choose::{
            Refused,
            Rejection,
            Selection, //
        },
        outcome::Refusal,
        permit::SlotPermit,
        progress::RequestProgress, //
    },
    crate::{
        model::RouteKind,
        state::{
            Shared,
            Tables, //
        },
    },
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        future::timeout,
        task, //
    },
    policy::{
        placement::Bound,
        waiting::{
            may_wait,
            Place,
            Priority,
            Queue,
            Rank,
            Timing,
            WaiterKey, //
        },
        AnswerState,
        Span,
        Time, //
    },
    std::{
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Shortest time between two rounds. An instance may have 0.09 cores, and each round costs up to
/// four placement decisions.
const ROUND_PAUSE: Duration = Duration::from_millis(10);
/// Longest time from the end of that pause to the next round, 25 ms after the last one.
const ROUND_WAIT_MAX: Duration = Duration::from_millis(15);
/// How long a round waits for one request to try.
const TURN_MAX: Duration = Duration::from_millis(25);
/// Longest retry delay of a request that is rejected because others wait.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// A request's turn to try again, which is over when this is dropped.
type Turn = Sender<()>;

/// The requests that wait, with the channels that tell them of their turns.
pub(crate) type WaitingQueue = Queue<Sender<Turn>>;

/// A waiting request's place, which is free again when this is dropped.
struct Waiter<'a> {
    gw: &'a Shared,
    key: WaiterKey,
    turns: Receiver<Turn>,
    latest_start: Time,
    /// Label of the metric for how the wait ends.
    outcome: &'static str,
}

/// Chooses a replica for a request and takes one of its slots, and waits for room if the request
/// may wait.
///
/// # Errors
///
/// Why the request is rejected, and when a retry is likely to succeed.
pub(super) async fn acquire_or_wait(
    gw: &Arc<Shared>,
    req: &Request,
    progress: &mut RequestProgress,
) -> Result<SlotPermit, Refused> {
    if !is_patient(req) || !is_new(req, &progress.selection()) {
        return gw.acquire_slot(req, progress.selection());
    }
    let first = gw.try_slot(req, progress.selection());
    progress.demand_counted = true;
    let ended = match first {
        Ok(permit) => return Ok(permit),
        Err(refused) => match Waiter::join(gw, req, &refused) {
            Some(waiter) => {
                progress.wait_began = Some(Instant::now());
                let ended = waiter.wait(gw, req, progress, refused).await;
                progress.wait_took = Some(progress.waited());
                ended
            }
            None => Err(refused),
        },
    };
    if let Err(refused) = &ended {
        gw.record_rejected(req, refused);
    }
    ended
}

/// Returns whether the request is of a kind that may wait.
///
/// One that runs at most once is not cancelled when its caller disconnects, so it would be sent
/// to a replica later.
fn is_patient(req: &Request) -> bool {
    let placed = req.prompt.is_some() && req.service_info.engine.is_some();
    placed && req.route.kind != RouteKind::Single && req.tolerant
}

/// Returns whether nothing of the request was sent, and it continues no stream.
fn is_new(req: &Request, selection: &Selection<'_>) -> bool {
    let started = selection.answer != AnswerState::NotStarted;
    selection.tried.is_empty() && !started && req.last_event.is_none()
}

/// Returns the place that a rejected request asks for.
fn place(gw: &Shared, req: &Request, rejection: &Rejection, now: Time) -> Place {
    let left = req.until.saturating_duration_since(Instant::now());
    let timing = Timing {
        arrived: now - Span::from(req.arrived.elapsed()),
        target: req.route.latency_target.into(),
        deadline: now + Span::from(left),
        reading: rejection.reading,
    };
    let rank = Rank {
        over_share: rejection.usage.share >= gw.settings.placement.over_from,
        send_by: timing.send_by(),
        priority: Priority::default(),
    };
    Place {
        rank,
        latest_start: timing.latest_start(),
        gave_way: rejection.gave_way,
    }
}

impl Tables {
    /// Rejects a new request that would take the room of those that wait: one beyond its
    /// workspace's max-min share, or one that comes after others in the order whose round is due.
    pub(super) fn refuse_before_waiting(
        &self,
        gw: &Shared,
        req: &Request,
        selection: &Selection<'_>,
        rejection: Rejection,
        now: Time,
    ) -> Option<Refused> {
        let waiting = self.waiting.waiting(&req.service);
        if waiting == 0 || selection.demand_counted || !is_new(req, selection) {
            return None;
        }
        let beyond = rejection.usage.max_min_ratio > 1.0;
        let gives_way = || {
            let place = place(gw, req, &rejection, now);
            is_patient(req) && self.waiting.gives_way(&req.service, place, now)
        };
        if !beyond && !gives_way() {
            return None;
        }
        let least = Duration::from_secs_f64(gw.settings.placement.retry_ms / 1e3);
        let expected = Duration::from(self.waiting.expected_wait(&req.service, now));
        Some(Refused {
            refusal: Refusal::Full,
            retry_delay: expected.clamp(least, RETRY_MAX.max(least)),
            inputs: format!("bound=queue waiting={waiting}"),
            rejection: Some(Rejection {
                bound: Bound::Slots,
                gave_way: !beyond,
                ..rejection
            }),
        })
    }
}

impl Shared {
    /// Records that an engine may have room, and wakes those that wait for it.
    pub(crate) fn record_room(&self, tables: &mut Tables) {
        if tables.waiting.record_room() {
            self.wake_waiting();
        }
    }

    fn wake_waiting(&self) {
        // The channel is full if a round is due already.
        let _ = self.room.try_send(());
    }
}

impl<'a> Waiter<'a> {
    /// Takes a place in the queue, if waiting may help the rejected request.
    fn join(gw: &'a Shared, req: &Request, refused: &Refused) -> Option<Waiter<'a>> {
        let rejection = refused.rejection.filter(Rejection::may_wait)?;
        let now = gw.now();
        let place = place(gw, req, &rejection, now);
        let (handle, turns) = bounded(1);
        let joined = gw.tables().waiting.join(&req.service, place, handle, now);
        let Ok(key) = joined else {
            count_wait("full");
            return None;
        };
        metrics::gauge!("chervilwind_waiting").increment(1.0);
        gw.wake_waiting();
        Some(Waiter {
            gw,
            key,
            turns,
            latest_start: place.latest_start,
            outcome: "left",
        })
    }

    /// Tries again whenever it is the request's turn, until its latest start.
    async fn wait(
        mut self,
        gw: &Arc<Shared>,
        req: &Request,
        progress: &mut RequestProgress,
        mut refused: Refused,
    ) -> Result<SlotPermit, Refused> {
        while let Some(_turn) = self.next_turn().await {
            match gw.try_slot(req, progress.selection()) {
                Ok(permit) => {
                    self.outcome = "admitted";
                    return Ok(permit);
                }
                Err(again) => refused = again,
            }
            if !refused.rejection.as_ref().is_some_and(Rejection::may_wait) {
                break;
            }
        }
        self.outcome = "expired";
        Err(refused)
    }

    /// Returns the request's next turn, or none if it may wait no longer.
    async fn next_turn(&self) -> Option<Turn> {
        let left = self.latest_start.since(self.gw.now());
        let turn = timeout(left.into(), self.turns.recv()).await.ok()?.ok()?;
        let in_time = self.gw.now() <= self.latest_start;
        let rejecting = self.gw.rejecting.load(Ordering::Relaxed);
        (in_time && !rejecting).then_some(turn)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let now = self.gw.now();
        let mut tables = self.gw.tables();
        match self.outcome {
            "admitted" => tables.waiting.admit(self.key, now),
            _ => tables.waiting.leave(self.key),
        }
        drop(tables);
        metrics::gauge!("chervilwind_waiting").decrement(1.0);
        count_wait(self.outcome);
    }
}

impl Rejection {
    /// Returns whether the request may wait for room.
    fn may_wait(&self) -> bool {
        may_wait(self.bound, self.usage)
    }
}

fn count_wait(outcome: &'static str) {
    metrics::counter!("chervilwind_waits", "outcome" => outcome).increment(1);
}

/// Runs rounds of tries for as long as the process runs.
pub(crate) async fn run_rounds(gw: Arc<Shared>) {
    loop {
        let waits = !gw.tables().waiting.is_empty();
        match waits {
            true => drop(timeout(ROUND_WAIT_MAX, gw.room_changed.recv()).await),
            false => drop(gw.room_changed.recv().await),
        }
        run_round(&gw).await;
        task::sleep(ROUND_PAUSE).await;
    }
}

async fn run_round(gw: &Shared) {
    if gw.rejecting.load(Ordering::Relaxed) {
        let handles = gw.tables().waiting.handles();
        for handle in handles {
            let _ = handle.try_send(bounded(1).0);
        }
        return;
    }
    let round = gw.tables().waiting.begin_round();
    for handle in &round.turns {
        let (turn, over) = bounded(1);
        if handle.try_send(turn).is_ok() {
            // Fails when the turn is over.
            let _ = timeout(TURN_MAX, over.recv()).await;
        }
    }
    gw.tables().waiting.end_round(&round);
}
