//! The process's metrics in the Prometheus text format.

use {
    crate::views::{
        MemberState,
        ServiceStatus,
        Status, //
    },
    metrics::{
        counter,
        describe_counter,
        describe_gauge,
        gauge, //
    },
    metrics_exporter_prometheus::{
        PrometheusBuilder,
        PrometheusHandle, //
    },
    std::sync::OnceLock, //
};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

const COUNTERS: [(&str, &str); 12] = [
    (
        "chervilwind_callers_answers",
        "Answers to callers, by HTTP status.",
    ),
    (
        "chervilwind_callers_turned_away",
        "Connections of callers beyond the limits.",
    ),
    (
        "chervilwind_callers_evicted",
        "Requests cut off as they arrived, for lack of memory.",
    ),
    (
        "chervilwind_router_requests",
        "Requests that ended, by outcome.",
    ),
    (
        "chervilwind_router_retries",
        "Requests that were sent to another endpoint.",
    ),
    (
        "chervilwind_endpoints_calls",
        "Calls to endpoints, by outcome.",
    ),
    (
        "chervilwind_endpoints_hang_ups",
        "Calls given up as the caller was gone.",
    ),
    (
        "chervilwind_endpoints_resumes",
        "Streams resumed on a new connection.",
    ),
    (
        "chervilwind_endpoints_foreign",
        "Answers dropped as they were another request's.",
    ),
    (
        "chervilwind_peers_bytes",
        "Bytes to and from other routers.",
    ),
    (
        "chervilwind_platform_calls",
        "Calls to the platform, by kind.",
    ),
    (
        "chervilwind_platform_failures",
        "Calls to the platform that failed, by kind.",
    ),
];

const GAUGES: [(&str, &str); 8] = [
    ("chervilwind_callers_connections", "Connections of callers."),
    (
        "chervilwind_config_revision",
        "Revision of the configuration in force.",
    ),
    ("chervilwind_router_members", "Routers known, by state."),
    (
        "chervilwind_router_limit",
        "Requests that a service's replicas may run, as learnt.",
    ),
    (
        "chervilwind_router_lent",
        "Requests that this router may run.",
    ),
    (
        "chervilwind_router_running",
        "Requests that this router runs.",
    ),
    (
        "chervilwind_router_queued",
        "Requests queued at this router.",
    ),
    (
        "chervilwind_router_gap",
        "Widest gap of normalised service between backlogged workspaces.",
    ),
];

/// Installs the recorder of metrics. A second call in the same process has no effect.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!(
                "config: another recorder takes this process's metrics; /metrics stays empty"
            );
        }
        describe();
        handle
    });
}

/// Returns the metrics in the text format.
///
/// # Examples
///
/// ```
/// operators::start_metrics();
/// metrics::counter!("chervilwind_example_count").increment(2);
/// assert!(operators::metrics_text().contains("chervilwind_example_count 2"));
/// ```
pub fn metrics_text() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}

/// Sets the gauges from a router's status. Workspaces are left out, as there may be thousands.
pub(crate) fn record(status: &Status) {
    counter!("chervilwind_peers_bytes").absolute(status.control);
    let states = [
        MemberState::Live,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Gone,
    ];
    for state in states {
        let members = status.members.iter().filter(|m| m.state == state);
        gauge!("chervilwind_router_members", "state" => state.to_string())
            .set(members.count() as f64);
    }
    status.services.iter().for_each(record_service);
}

fn record_service(service: &ServiceStatus) {
    let values = [
        ("chervilwind_router_limit", f64::from(service.limit)),
        ("chervilwind_router_lent", f64::from(service.lent)),
        ("chervilwind_router_running", f64::from(service.running)),
        ("chervilwind_router_queued", f64::from(service.queued)),
        ("chervilwind_router_gap", service.gap.0),
    ];
    for (name, value) in values {
        gauge!(name, "service" => service.name.to_string()).set(value);
    }
}

fn describe() {
    for (name, text) in COUNTERS {
        describe_counter!(name, text);
    }
    for (name, text) in GAUGES {
        describe_gauge!(name, text);
    }
}
