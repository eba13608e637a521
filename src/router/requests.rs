//! Requests of callers, from arrival to answer.

use {
    super::{
        admitted::AdmittedRequest,
        progress::RequestProgress,
        state::{
            lock,
            Router, //
        }, //
    },
    callers::{
        DisconnectSignal,
        IncomingRequest,
        Reason,
        Refused,
        Request,
        Response, //
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

/// Retry delay for callers while the router has no configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Handles a request of a caller and returns the response.
pub(crate) async fn handle(router: Arc<Router>, ask: IncomingRequest) -> Response {
    match ask {
        IncomingRequest::Addresses { query, .. } => router.address_response(&query),
        IncomingRequest::Request {
            request,
            disconnect: gone,
        } => {
            let response = match admit(&router, *request) {
                Ok(admitted) => serve(router, admitted, gone).await,
                Err(refused) => refused.into(),
            };
            metrics::counter!(
                "chervilwind_callers_answers",
                "status" => response.status.to_string()
            )
            .increment(1);
            response
        }
    }
}

async fn serve(router: Arc<Router>, admitted: AdmittedRequest, gone: DisconnectSignal) -> Response {
    if admitted.idempotent {
        return RequestProgress::new(router, admitted, None).run(gone).await;
    }
    match router.claim(&admitted).await {
        Ok(grant) => {
            RequestProgress::new(router, admitted, Some(grant))
                .run(gone)
                .await
        }
        Err(response) => *response,
    }
}

/// Checks a request against the configuration in force.
fn admit(router: &Router, r: Request) -> Result<AdmittedRequest, Refused> {
    if router.is_leaving() {
        return Err(Refused::new(
            Reason::Leaving,
            "this router is shutting down; ask another which address to use",
        )
        .retry_after(Duration::ZERO));
    }
    let fleet = router.ready()?;
    let service = fleet.service(r.service.as_str()).map_err(unknown_name)?;
    let profile = fleet.profile(r.profile.as_str()).map_err(unknown_name)?;
    let workspace = fleet
        .workspace(r.workspace.as_str())
        .map_err(unknown_name)?;
    let time_left = r.deadline.unwrap_or(Duration::from(profile.deadline));
    let now = router.now();
    let expected_run = lock(&router.run_times).estimate(&r.service, &r.profile, now);
    let job = Job {
        service: r.service.clone(),
        workspace: r.workspace.clone(),
        arrived: now,
        deadline: now + Span::from(time_left),
        urgency: profile.urgency,
        hint: service.hint(profile),
        share: profile.share,
        expected_run,
        prefix: None,
    };
    Ok(admitted_request(
        r, job, service, profile, workspace, time_left,
    ))
}

impl Router {
    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// The rejection, if there is none yet.
    pub(crate) fn ready(&self) -> Result<Arc<Fleet>, Refused> {
        let current = lock(&self.current_config);
        if current.head.ready() {
            return Ok(current.fleet.clone());
        }
        Err(Refused::new(
            Reason::NotReady,
            "this router has no configuration yet; ask another which address to use",
        )
        .retry_after(NOT_READY_RETRY_AFTER))
    }
}

fn admitted_request(
    r: Request,
    job: Job,
    service: &Service,
    profile: &Profile,
    _workspace: &Workspace,
    time_left: Duration,
) -> AdmittedRequest {
    AdmittedRequest {
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
        deadline: Instant::now() + time_left,
    }
}

fn unknown_name(e: UnknownName) -> Refused {
    let why = match &e {
        UnknownName::Service(_) => Reason::UnknownService,
        UnknownName::Profile(_) => Reason::UnknownProfile,
        UnknownName::Workspace(_) => Reason::UnknownWorkspace,
    };
    Refused::new(why, e.to_string())
}
