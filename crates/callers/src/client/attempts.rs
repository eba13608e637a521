//! The client: chooses routers and decides which requests may be retried.

use {
    super::{
        cache::Cache,
        exchange::{
            bare_request,
            build_request,
            AttemptResult,
            Exchange,
            OnChunk, //
        },
        pool::Pool,
        Answer,
        Call,
        ClientSettings, //
    },
    crate::{
        AddressList,
        Reason,
        Refused,
        WHERE_PATH, //
    },
    async_std::task,
    policy::{
        Outcome,
        ServiceId, //
    },
    std::{
        fmt::Write,
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Timeout of a request for addresses and tickets.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum pause before polling again for the result of a running request.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(100);

/// A client of a fleet of routers. Cheap to clone; clones share the cache and the connections.
#[derive(Debug, Clone)]
pub struct Client(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    settings: ClientSettings,
    cache: Cache,
    pool: Pool,
}

/// The state of a call across its attempts.
struct Progress {
    ends_at: Instant,
    ticket: Option<String>,
    /// How often the request was sent with this ticket.
    sends: u32,
    /// An answer was lost, so the request may have run.
    lost: bool,
    last: Answer,
}

impl Client {
    /// Creates a client.
    pub fn new(settings: ClientSettings) -> Client {
        Client(Arc::new(Inner {
            settings,
            cache: Cache::default(),
            pool: Pool::default(),
        }))
    }

    /// Returns the addresses to use for a service, from the cache unless they have expired.
    ///
    /// # Errors
    ///
    /// The last rejection, or `NoEndpoint` if no router could be reached.
    pub async fn addresses(&self, service: &ServiceId) -> Result<AddressList, Refused> {
        let cache = &self.0.cache;
        if let Some(answer) = cache.addresses(service) {
            return Ok(answer);
        }
        let mut last = Refused::new(Reason::NoEndpoint, "no router is known; give an address");
        let mut candidates = cache.last_addresses(service);
        candidates.extend(&self.0.settings.routers);
        for router in candidates {
            match self.fetch_addresses(service, router, 0).await {
                Ok(answer) if !answer.addresses.is_empty() => {
                    cache.store_addresses(service, &answer);
                    return Ok(answer);
                }
                Ok(_) => {}
                Err(refused) => last = refused,
            }
        }
        Err(last)
    }

    /// Calls a service and returns the complete answer.
    pub async fn call(&self, call: &Call) -> Answer {
        self.run(call, &mut None).await
    }

    /// Calls a service and passes each chunk of a streamed body to `on_chunk` as it arrives.
    /// After the first chunk the call is not retried.
    pub async fn call_streamed(
        &self,
        call: &Call,
        on_chunk: &mut (dyn FnMut(&[u8]) + Send),
    ) -> Answer {
        self.run(call, &mut Some(on_chunk)).await
    }

    async fn run(&self, call: &Call, on_chunk: &mut OnChunk<'_>) -> Answer {
        let route = match self.route(&call.service).await {
            Ok(route) => route,
            Err(refused) => return Answer::refused(refused),
        };
        let time_limit = call.deadline.unwrap_or(self.0.settings.timeout);
        let mut progress = Progress {
            ends_at: Instant::now() + time_limit,
            ticket: None,
            sends: 0,
            lost: false,
            last: Answer::lost(),
        };
        let max_attempts = self.0.settings.max_attempts;
        for (n, router) in route.iter().cycle().take(max_attempts).enumerate() {
            if n > 0 && Instant::now() >= progress.ends_at {
                break;
            }
            let mut ended = self.attempt(call, *router, &mut progress, on_chunk).await;
            while let Some(pause) = progress.poll_pause() {
                task::sleep(pause).await;
                ended = self.attempt(call, *router, &mut progress, on_chunk).await;
            }
            progress.last.attempts = n + 1;
            if ended {
                break;
            }
            self.0.cache.expire_addresses(&call.service);
        }
        progress.into_answer()
    }

    /// Sends the call to one router. Returns whether the call ended.
    async fn attempt(
        &self,
        call: &Call,
        router: SocketAddr,
        progress: &mut Progress,
        on_chunk: &mut OnChunk<'_>,
    ) -> bool {
        if call.at_most_once && progress.ticket.is_none() {
            match self.ticket(&call.service, router).await {
                Ok(ticket) => progress.ticket = Some(ticket),
                Err(refused) => {
                    progress.last = Answer::refused(refused);
                    return false;
                }
            }
        }
        let result = self.send(call, router, progress, on_chunk).await;
        let ended = progress.apply(result, router);
        progress.last.ticket.clone_from(&progress.ticket);
        if progress.orphaned() {
            // Other tickets of that incarnation of the router are orphaned too.
            self.0.cache.drop_tickets(&call.service, router);
        }
        // After a lost answer, `not-run` refers to the last attempt only, and the lost one may
        // have run: with a new ticket the request could run twice.
        if !ended && (!progress.lost || progress.covers_all_attempts()) {
            progress.ticket = None;
            progress.sends = 0;
            progress.lost = false;
        }
        ended
    }

    async fn send(
        &self,
        call: &Call,
        router: SocketAddr,
        progress: &Progress,
        on_chunk: &mut OnChunk<'_>,
    ) -> AttemptResult {
        let deadline = call.deadline.map(|_| progress.ends_at);
        let Some(http) = build_request(call, router, deadline, progress.ticket.as_deref()) else {
            let bad = "the method, path or a header can't be sent; use printable ASCII";
            return AttemptResult::Complete(Answer::refused(Refused::new(Reason::BadRequest, bad)));
        };
        let exchange = Exchange {
            pool: &self.0.pool,
            router,
            idle_timeout: self.0.settings.idle_timeout,
            ends_at: progress.ends_at,
        };
        exchange.run(http, on_chunk).await
    }

    /// Returns the addresses in the order of the attempts.
    async fn route(&self, service: &ServiceId) -> Result<Vec<SocketAddr>, Refused> {
        if self.0.settings.pinned {
            return Ok(self.0.settings.routers.clone());
        }
        let answer = self.addresses(service).await?;
        let weights: Vec<f64> = answer.addresses.iter().map(|a| a.weight.max(0.0)).collect();
        let mut pick = fastrand::f64() * weights.iter().sum::<f64>();
        let first = weights.iter().position(|w| {
            pick -= w;
            pick < 0.0
        });
        let mut route: Vec<_> = answer.addresses.iter().map(|a| a.address).collect();
        route[..=first.unwrap_or(0)].rotate_right(1);
        Ok(route)
    }

    async fn ticket(&self, service: &ServiceId, router: SocketAddr) -> Result<String, Refused> {
        let cache = &self.0.cache;
        if let Some(ticket) = cache.take_ticket(service, router) {
            return Ok(ticket);
        }
        let answer = self
            .fetch_addresses(service, router, self.0.settings.tickets)
            .await?;
        cache.store_tickets(service, router, &answer);
        cache.take_ticket(service, router).ok_or_else(|| {
            Refused::new(
                Reason::TicketNeeded,
                "the router gave no ticket; ask another one",
            )
        })
    }

    /// Fetches the address list and tickets from one router.
    ///
    /// # Errors
    ///
    /// The router's rejection, or `NoEndpoint` if it could not be reached.
    pub async fn fetch_addresses(
        &self,
        service: &ServiceId,
        router: SocketAddr,
        tickets: u32,
    ) -> Result<AddressList, Refused> {
        let unreachable = || {
            Refused::new(
                Reason::NoEndpoint,
                format!("no router answers at {router}; check the address"),
            )
        };
        let target = self.address_target(service, tickets);
        let http = bare_request("GET", router, &target).ok_or_else(unreachable)?;
        let exchange = Exchange {
            pool: &self.0.pool,
            router,
            idle_timeout: ADDRESS_TIMEOUT,
            ends_at: Instant::now() + ADDRESS_TIMEOUT,
        };
        let answer = match exchange.run(http, &mut None).await {
            AttemptResult::Complete(answer) => answer,
            _ => return Err(unreachable()),
        };
        match answer.refused {
            Some(refused) => Err(refused),
            None => serde_json::from_slice(&answer.body).map_err(|e| {
                Refused::new(
                    Reason::BadRequest,
                    format!("{router} is no router of the fleet ({e}); check the address"),
                )
            }),
        }
    }

    fn address_target(&self, service: &ServiceId, tickets: u32) -> String {
        let mut target = format!("{WHERE_PATH}?service={service}&tickets={tickets}");
        if let Some(zone) = &self.0.settings.zone {
            let _ = write!(target, "&zone={zone}");
        }
        if let Some(workspace) = &self.0.settings.workspace {
            let _ = write!(target, "&workspace={workspace}");
        }
        target
    }
}

impl Progress {
    /// Applies the result of an attempt. Returns whether the call ended.
    fn apply(&mut self, result: AttemptResult, router: SocketAddr) -> bool {
        if !matches!(result, AttemptResult::Unsent) {
            self.sends += 1;
        }
        match result {
            AttemptResult::Complete(answer) => {
                self.last = answer;
                self.settle_unused_ticket();
                !self.may_try_next()
            }
            AttemptResult::Aborted(answer) => {
                // Chunks were passed on already, and the chunks of two answers can't be combined.
                if answer.refused.is_none() {
                    self.last = Answer {
                        refused: Answer::lost().refused,
                        ..answer
                    };
                } else {
                    self.last = answer;
                }
                true
            }
            AttemptResult::Unsent => {
                self.last = Answer::unreachable(router);
                false
            }
            AttemptResult::Lost => {
                self.lost = true;
                self.last = Answer::lost();
                false
            }
        }
    }

    /// Changes the outcome to `not-run` if the orphaned ticket was never used before.
    ///
    /// When a router stops or restarts, its callers keep unused tickets, which only they can
    /// distinguish from used ones. Without this check, requests would be reported as "may have
    /// run" whenever routers are replaced. A ticket serves one request, so a request whose only
    /// send under the ticket was rejected as orphaned never ran.
    fn settle_unused_ticket(&mut self) {
        if self.orphaned() && self.ticket.is_some() && self.sends == 1 {
            self.last.outcome = Outcome::NotRun;
            if let Some(refused) = &mut self.last.refused {
                refused.outcome = Outcome::NotRun;
            }
        }
    }

    /// Returns whether the ticket was rejected because no router holds it any more.
    fn orphaned(&self) -> bool {
        let reason = self.last.refused.as_ref().map(|r| r.reason);
        reason == Some(Reason::TicketOrphaned)
    }

    /// Returns the pause before polling with the same ticket, if its request is still running.
    fn poll_pause(&self) -> Option<Duration> {
        let refused = self.last.refused.as_ref();
        let running = refused.filter(|r| r.reason == Reason::TicketRunning)?;
        let pause = Duration::from_millis(running.retry_ms.unwrap_or(0)).max(MIN_POLL_PAUSE);
        (Instant::now() + pause < self.ends_at).then_some(pause)
    }

    /// Returns the last answer, or a lost answer if the last one does not cover all attempts.
    fn into_answer(self) -> Answer {
        let is_final = self.last.outcome != Outcome::NotRun || self.covers_all_attempts();
        if !self.lost || is_final {
            return self.last;
        }
        Answer {
            router: self.last.router,
            ticket: self.ticket,
            attempts: self.last.attempts,
            ..Answer::lost()
        }
    }

    /// Returns whether the last outcome applies to the ticket, and so to all attempts with it.
    fn covers_all_attempts(&self) -> bool {
        let reason = self.last.refused.as_ref().map(|r| r.reason);
        matches!(reason, Some(Reason::TicketUsed | Reason::TicketExpired))
    }

    /// Returns whether another router may be tried after the last rejection.
    fn may_try_next(&self) -> bool {
        let elsewhere = matches!(
            self.last.refused.as_ref().map(|r| r.reason),
            Some(
                Reason::QueueFull
                    | Reason::TooManyConnections
                    | Reason::ShortOfMemory
                    | Reason::NoEndpoint
                    | Reason::Leaving
                    | Reason::NotReady
                    | Reason::TicketExpired
                    | Reason::TicketOrphaned
            )
        );
        elsewhere && self.last.outcome == Outcome::NotRun
    }
}
