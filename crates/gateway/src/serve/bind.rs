//! Binds a request that takes a stream up again to the service and version that began the stream.

use {
    super::{
        admit::Request,
        local_answer::LocalAnswer, //
    },
    crate::{
        fleet::ask,
        state::Shared, //
    },
    async_std::task,
    policy::{
        streams::{
            Found,
            StreamOrigin,
            Unknown, //
        },
        ServiceId,
    },
    std::time::{
        Duration,
        Instant, //
    },
};

/// Retry delay if no router could be asked for a stream.
const UNREACHED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay if no router knows a stream, which hardly changes.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a list of replicas is awaited that is newer than the request; more than twice the interval
/// in which routers in contact with the store get one.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// A list counts as newer from this difference on, as reading it may have begun earlier.
const LIST_MARGIN: Duration = Duration::from_millis(100);
const LIST_POLL: Duration = Duration::from_millis(25);

/// Binds a request to what began the stream that it takes up again.
///
/// # Errors
///
/// The answer to the caller if that is not known, or if the route no longer leads there.
pub(super) async fn bind_resumed(gw: &Shared, mut req: Request) -> Result<Request, LocalAnswer> {
    if !req.goes_on() {
        return Ok(req);
    }
    let origin = look_up(gw, &req).await?;
    bind(gw, &mut req, origin)?;
    Ok(req)
}

/// Finds out what began the stream that the request takes up.
///
/// A caller may not name its stream. No router has a record then, and the stream goes on only if
/// nothing but the one version can have begun it.
async fn look_up(gw: &Shared, req: &Request) -> Result<StreamOrigin, LocalAnswer> {
    let key = req.stream_key();
    let services: Vec<ServiceId> = req.route.services().cloned().collect();
    let own = gw.stream_knowledge(key, &services);
    let mut lookup = ask(gw, key, &services, own).await;
    if lookup.finish() == Err(Unknown::OutOfContact) && wait_for_list(gw, req).await {
        lookup.confirm(gw.stream_knowledge(key, &services));
    }
    match lookup.finish() {
        Ok(found) => {
            log_found(req, &found);
            Ok(found.origin)
        }
        Err(Unknown::Unreached) => Err(reject(
            req,
            "unreached",
            "no router could be asked what began this stream",
            UNREACHED_RETRY_DELAY,
        )),
        Err(Unknown::OutOfContact) => Err(reject(
            req,
            "out-of-contact",
            "too many routers that may know what began this stream are out of contact",
            UNREACHED_RETRY_DELAY,
        )),
        Err(Unknown::NotRecorded) if req.resumes.is_none() => Err(reject(
            req,
            "unnamed",
            "another version may have begun this stream; name the attempt that brought the first event",
            UNKNOWN_RETRY_DELAY,
        )),
        Err(Unknown::NotRecorded) => Err(reject(
            req,
            "not-recorded",
            "no router knows what began this stream; start a new one",
            UNKNOWN_RETRY_DELAY,
        )),
    }
}

/// Waits for a list of replicas that was made after the request arrived. Returns whether there is one.
async fn wait_for_list(gw: &Shared, req: &Request) -> bool {
    let until = (req.arrived + LIST_TIMEOUT).min(req.until);
    loop {
        let age = gw.tables().roster.age(gw.now());
        if age.is_some_and(|age| Duration::from(age) + LIST_MARGIN < req.arrived.elapsed()) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        task::sleep(LIST_POLL).await;
    }
}

fn bind(gw: &Shared, req: &mut Request, origin: StreamOrigin) -> Result<(), LocalAnswer> {
    if origin.service != req.service {
        let current = gw.current_config();
        let leads = req.route.services().any(|s| *s == origin.service);
        let Some(current) = current.filter(|_| leads) else {
            return Err(reject(
                req,
                "rerouted",
                "its route no longer leads to the service that began this stream; start a new one",
                UNKNOWN_RETRY_DELAY,
            ));
        };
        req.set_service(gw, &current.config, origin.service.clone());
    }
    req.origin = Some(origin);
    Ok(())
}

fn reject(req: &Request, cause: &str, message: &'static str, retry_delay: Duration) -> LocalAnswer {
    count(cause);
    log::info!(
        "event=resume outcome=refused cause={cause} id={} resumes={} after={} service={}",
        req.id,
        req.resumes.as_deref().unwrap_or("-"),
        req.last_event.map_or(-1, |n| n as i64),
        req.service,
    );
    LocalAnswer::not_run(message, retry_delay)
}

fn log_found(req: &Request, found: &Found) {
    let Found {
        origin,
        source,
        age,
    } = found;
    count(&source.to_string());
    log::info!(
        "event=resume outcome=known id={} resumes={} after={} origin={origin} from={source} age={age}",
        req.id,
        req.first_attempt(),
        req.last_event.map_or(-1, |n| n as i64),
    );
}

fn count(result: &str) {
    metrics::counter!("chervilwind_stream_lookups", "result" => result.to_owned()).increment(1);
}
