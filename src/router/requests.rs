//! A caller's request, from its arrival to its answer.

use {
    super::{
        running::Running,
        state::{
            lock,
            Router, //
        },
        work::Work, //
    },
    callers::{
        DisconnectSignal,
        IncomingRequest,
        Reason, //
        Refused,
        Request,
        Response,
    },
    operators::{
        Fleet,
        Kind,
        Profile,
        Service,
        UnknownName,
        Workspace, //
    },
    policy::{
        Job,
        Span, //
    },
    std::{
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// When to come back to a router that has no configuration yet.
const READY_AGAIN: Duration = Duration::from_millis(500);

/// Answers a caller.
pub(crate) async fn handle(router: Arc<Router>, ask: IncomingRequest) -> Response {
    match ask {
        IncomingRequest::Addresses { query, .. } => router.where_to(&query),
        IncomingRequest::Request {
            request,
            disconnect: gone,
        } => {
            let response = match admit(&router, *request) {
                Ok(work) => serve(router, work, gone).await,
                Err(refused) => refused.into(),
            };
            metrics::counter!("chervilwind_callers_answers", "status" => response.status.to_string())
                .increment(1);
            response
        }
    }
}

async fn serve(router: Arc<Router>, work: Work, gone: DisconnectSignal) -> Response {
    if work.idempotent {
        return Running::new(router, work, None).run(gone).await;
    }
    match router.claim(&work).await {
        Ok(grant) => Running::new(router, work, Some(grant)).run(gone).await,
        Err(response) => *response,
    }
}

/// Checks a request against the configuration in force.
fn admit(router: &Router, r: Request) -> Result<Work, Refused> {
    if router.is_leaving() {
        return Err(Refused::new(
            Reason::Leaving,
            "this router is shutting down; ask another which address to use",
        )
        .retry_after(Duration::ZERO));
    }
    let fleet = router.ready()?;
    let service = fleet.service(r.service.as_str()).map_err(unknown)?;
    let profile = fleet.profile(r.profile.as_str()).map_err(unknown)?;
    let workspace = fleet.workspace(r.workspace.as_str()).map_err(unknown)?;
    let left = r.deadline.unwrap_or(Duration::from(profile.deadline));
    let now = router.now();
    let expect = lock(&router.times).expect(&r.service, &r.profile, now);
    let job = Job {
        service: r.service.clone(),
        workspace: r.workspace.clone(),
        arrived: now,
        deadline: now + Span::from(left),
        urgency: profile.urgency,
        hint: service.hint(profile),
        share: profile.share,
        expected_run: expect,
        prefix: None,
    };
    Ok(work(r, job, service, profile, workspace, left))
}

impl Router {
    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// The refusal where there is none yet.
    pub(crate) fn ready(&self) -> Result<Arc<Fleet>, Refused> {
        let force = lock(&self.force);
        if force.head.ready() {
            return Ok(force.fleet.clone());
        }
        Err(Refused::new(
            Reason::NotReady,
            "this router has no configuration yet; ask another which address to use",
        )
        .retry_after(READY_AGAIN))
    }
}

fn work(
    r: Request,
    job: Job,
    service: &Service,
    profile: &Profile,
    _workspace: &Workspace,
    left: Duration,
) -> Work {
    Work {
        job,
        profile: r.profile,
        streamed: service.kind == Kind::Model,
        unit: service.unit,
        weight: profile.weight,
        idempotent: profile.idempotent,
        ticket: r.ticket,
        id: r.id,
        method: r.method,
        target: r.target,
        headers: r.headers,
        body: Arc::from(r.body),
        deadline: Instant::now() + left,
    }
}

fn unknown(e: UnknownName) -> Refused {
    let why = match &e {
        UnknownName::Service(_) => Reason::UnknownService,
        UnknownName::Profile(_) => Reason::UnknownProfile,
        UnknownName::Workspace(_) => Reason::UnknownWorkspace,
    };
    Refused::new(why, e.to_string())
}
