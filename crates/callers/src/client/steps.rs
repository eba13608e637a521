//! The client: which router next, and what may be sent again.

use {
    super::{
        exchange::{
            plain,
            request_of,
            Exchange,
            OnChunk,
            Tried, //
        },
        known::Known,
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

/// Time for a question which address to use.
const ASK_TIME: Duration = Duration::from_secs(3);
/// Least pause before asking again about a request that runs.
const RUNS_PAUSE: Duration = Duration::from_millis(100);

/// A client of a fleet of routers. Cheap to clone; clones share what is kept.
#[derive(Debug, Clone)]
pub struct Client(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    settings: ClientSettings,
    known: Known,
    pool: Pool,
}

/// How far a call has come.
struct Progress {
    until: Instant,
    ticket: Option<String>,
    /// How often it was sent under this ticket.
    sends: u32,
    /// An answer was lost, so it may have run.
    lost: bool,
    last: Answer,
}

impl Client {
    /// Makes a client.
    pub fn new(settings: ClientSettings) -> Client {
        Client(Arc::new(Inner {
            settings,
            known: Known::default(),
            pool: Pool::default(),
        }))
    }

    /// Returns the addresses to use for a service, asking only where the last answer is too old.
    ///
    /// # Errors
    ///
    /// The last refusal, or that no router could be reached.
    pub async fn addresses(&self, service: &ServiceId) -> Result<AddressList, Refused> {
        let known = &self.0.known;
        if let Some(answer) = known.answer(service) {
            return Ok(answer);
        }
        let mut last = Refused::new(Reason::NoEndpoint, "no router is known; give an address");
        let mut asked = known.stale(service);
        asked.extend(&self.0.settings.routers);
        for router in asked {
            match self.fetch_addresses(service, router, 0).await {
                Ok(answer) if !answer.addresses.is_empty() => {
                    known.keep(service, &answer);
                    return Ok(answer);
                }
                Ok(_) => {}
                Err(refused) => last = refused,
            }
        }
        Err(last)
    }

    /// Calls a service and returns the whole answer.
    pub async fn call(&self, call: &Call) -> Answer {
        self.run(call, &mut None).await
    }

    /// Calls a service. Each piece of a streamed body is passed to `on_chunk` as it comes; from
    /// the first one on, the call is not tried again.
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
        let time = call.deadline.unwrap_or(self.0.settings.timeout);
        let mut progress = Progress {
            until: Instant::now() + time,
            ticket: None,
            sends: 0,
            lost: false,
            last: Answer::lost(),
        };
        let max_attempts = self.0.settings.max_attempts;
        for (n, router) in route.iter().cycle().take(max_attempts).enumerate() {
            if n > 0 && Instant::now() >= progress.until {
                break;
            }
            let mut done = self.step(call, *router, &mut progress, on_chunk).await;
            while let Some(pause) = progress.runs_on() {
                task::sleep(pause).await;
                done = self.step(call, *router, &mut progress, on_chunk).await;
            }
            progress.last.attempts = n + 1;
            if done {
                break;
            }
            self.0.known.forget(&call.service);
        }
        progress.finish()
    }

    /// Tries one router. Returns whether the call ended.
    async fn step(
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
        let tried = self.try_once(call, router, progress, on_chunk).await;
        let ended = progress.take(tried, router);
        progress.last.ticket.clone_from(&progress.ticket);
        if progress.orphaned() {
            // The others of that router's start are worth as little.
            self.0.known.drop_tickets(&call.service, router);
        }
        // After a lost answer a `not-run` speaks of the last try only, not of the one before:
        // a new ticket could run the request twice.
        if !ended && (!progress.lost || progress.of_ticket()) {
            progress.ticket = None;
            progress.sends = 0;
            progress.lost = false;
        }
        ended
    }

    async fn try_once(
        &self,
        call: &Call,
        router: SocketAddr,
        progress: &Progress,
        on_chunk: &mut OnChunk<'_>,
    ) -> Tried {
        let deadline = call.deadline.map(|_| progress.until);
        let Some(http) = request_of(call, router, deadline, progress.ticket.as_deref()) else {
            let bad = "the method, path or a header can't be sent; use printable ASCII";
            return Tried::Whole(Answer::refused(Refused::new(Reason::BadRequest, bad)));
        };
        let exchange = Exchange {
            pool: &self.0.pool,
            router,
            idle_timeout: self.0.settings.idle_timeout,
            until: progress.until,
        };
        exchange.run(http, on_chunk).await
    }

    /// Returns the addresses in the order in which they are tried.
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
        let known = &self.0.known;
        if let Some(ticket) = known.ticket(service, router) {
            return Ok(ticket);
        }
        let answer = self
            .fetch_addresses(service, router, self.0.settings.tickets)
            .await?;
        known.keep_tickets(service, router, &answer);
        known.ticket(service, router).ok_or_else(|| {
            Refused::new(
                Reason::TicketNeeded,
                "the router gave no ticket; ask another one",
            )
        })
    }

    /// Asks one router which address to use, and for tickets.
    ///
    /// # Errors
    ///
    /// The router's refusal, or that it could not be reached.
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
        let target = self.question(service, tickets);
        let http = plain("GET", router, &target).ok_or_else(unreachable)?;
        let exchange = Exchange {
            pool: &self.0.pool,
            router,
            idle_timeout: ASK_TIME,
            until: Instant::now() + ASK_TIME,
        };
        let answer = match exchange.run(http, &mut None).await {
            Tried::Whole(answer) => answer,
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

    fn question(&self, service: &ServiceId, tickets: u32) -> String {
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
    /// Takes in what came of a try. Returns whether the call ended.
    fn take(&mut self, tried: Tried, router: SocketAddr) -> bool {
        if !matches!(tried, Tried::Unsent) {
            self.sends += 1;
        }
        match tried {
            Tried::Whole(answer) => {
                self.last = answer;
                self.settle_orphan();
                !self.follows()
            }
            Tried::Cut(answer) => {
                // Pieces were passed on already, so another answer can't be joined to them.
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
            Tried::Unsent => {
                self.last = Answer::unreachable(router);
                false
            }
            Tried::Lost => {
                self.lost = true;
                self.last = Answer::lost();
                false
            }
        }
    }

    /// Takes the ticket of a router that is gone for one that was never used, if it was.
    ///
    /// A router that ends or restarts leaves unused tickets with callers, and nobody can
    /// tell them from used ones but the caller. It would show as renewals that may have run
    /// whenever routers are replaced. A ticket serves one request, so what was sent under it
    /// for the first time, and not started, never ran.
    fn settle_orphan(&mut self) {
        if self.orphaned() && self.ticket.is_some() && self.sends == 1 {
            self.last.outcome = Outcome::NotRun;
            if let Some(refused) = &mut self.last.refused {
                refused.outcome = Outcome::NotRun;
            }
        }
    }

    /// Returns whether nobody remembers the ticket.
    fn orphaned(&self) -> bool {
        let reason = self.last.refused.as_ref().map(|r| r.reason);
        reason == Some(Reason::TicketOrphaned)
    }

    /// Returns when to ask again under the same ticket, where its request still runs.
    fn runs_on(&self) -> Option<Duration> {
        let refused = self.last.refused.as_ref();
        let running = refused.filter(|r| r.reason == Reason::TicketRunning)?;
        let pause = Duration::from_millis(running.retry_ms.unwrap_or(0)).max(RUNS_PAUSE);
        (Instant::now() + pause < self.until).then_some(pause)
    }

    /// Returns the last answer, unless it claims more than is known of all tries together.
    fn finish(self) -> Answer {
        let settled = self.last.outcome != Outcome::NotRun || self.of_ticket();
        if !self.lost || settled {
            return self.last;
        }
        Answer {
            router: self.last.router,
            ticket: self.ticket,
            attempts: self.last.attempts,
            ..Answer::lost()
        }
    }

    /// Returns whether the last outcome is that of the ticket, not of the last try only.
    fn of_ticket(&self) -> bool {
        let reason = self.last.refused.as_ref().map(|r| r.reason);
        matches!(reason, Some(Reason::TicketUsed | Reason::TicketExpired))
    }

    /// Returns whether the last refusal may be followed by a try at another router.
    fn follows(&self) -> bool {
        let elsewhere = matches!(
            self.last.refused.as_ref().map(|r| r.reason),
            Some(
                Reason::QueueFull
                    | Reason::TooManyConnections
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
