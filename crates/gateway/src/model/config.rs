//! The operators' configuration.

use {
    crate::http::HeaderText,
    policy::{
        Region,
        ServiceId,
        WorkspaceId, //
    },
    std::{
        collections::HashMap,
        fmt,
        sync::Arc,
        time::Duration, //
    },
    xxhash_rust::xxh3::xxh3_64, //
};

/// A caller that comes back has another timeout for the rest of its stream.
const STREAM_TIMEOUTS: u32 = 2;
const STREAM_SPAN_MIN: Duration = Duration::from_secs(10);

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes by host name in lower case, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// The workspace of each key; none if requests need no key.
    pub keys: Option<HashMap<String, WorkspaceId>>,
    /// The regions in which requests of a workspace may run; any if it is not listed.
    pub regions: HashMap<WorkspaceId, Vec<Region>>,
    /// The operators' names of workspaces whose ids differ from them; none if no header can carry
    /// the name to a replica.
    pub display_names: HashMap<WorkspaceId, Option<HeaderText>>,
    /// The entries that this router can't use. They don't keep the rest out of force.
    pub unusable: Vec<UnusableEntry>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// The shortest_targets latency target among the streams that go to a service.
    shortest_targets: HashMap<ServiceId, Duration>,
    /// The longest timeout among the streams that may be resumed.
    longest_stream: Duration,
}

/// An entry of a configuration that this router can't use, or only a part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// What it describes.
    pub kind: EntryKind,
    /// The beginning of its text, or its name.
    pub text: String,
    /// Why it can't be used.
    pub cause: String,
}

/// The kinds of entries in a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryKind {
    /// A route, whose requests are rejected as not run.
    Route,
    /// A service, which is taken for a plain one.
    Service,
    /// A workspace, whose requests are rejected as not run.
    Workspace,
    /// The limits, for which the defaults apply.
    Limits,
}

/// A route of requests with a certain host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route, for log lines.
    pub name: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// Services that the requests are split among, with their weights.
    pub split: Vec<(ServiceId, u32)>,
    /// Maximum number of replicas that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// The regions in which requests may run; any if there are none.
    pub regions: Vec<Region>,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may be repeated.
    Idempotent,
    /// It runs at most once.
    Single,
    /// It is answered with a stream of events.
    Stream {
        /// Whether another replica can resume the stream after a given event.
        resume: bool,
    },
}

/// A service that replicas offer.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Properties of its engines; none for a plain service.
    pub engine: Option<Engine>,
    /// How its replicas behave after they started; none if they take any number of requests at once.
    pub warmup: Option<WarmupRate>,
}

/// What the replicas of a service stand while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupRate {
    /// How long a replica is cold after it started.
    pub lasts: Duration,
    /// Requests per second that a cold replica stands.
    pub requests: f64,
}

/// Properties of a service's inference engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine has memory for.
    pub memory_tokens: u64,
    /// Whether an engine can copy cached parts of prompts from another.
    pub copies_cache: bool,
}

/// Limits on callers' requests, and the capacity that all workspaces share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// Tokens per second that all replicas together read and generate; 0 if unknown.
    pub capacity: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            capacity: 0.0,
        }
    }
}

impl Config {
    /// Adds a route of a host.
    pub fn add_route(&mut self, host: &str, route: Route) {
        if route.is_stream() {
            for (service, _) in &route.split {
                let shortest = self
                    .shortest_targets
                    .entry(service.clone())
                    .or_insert(route.latency_target);
                *shortest = route.latency_target.min(*shortest);
            }
        }
        if route.is_resumable() {
            self.longest_stream = self.longest_stream.max(route.timeout);
        }
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Finds the route of a request: the one of its host with the longest prefix of its path.
    ///
    /// # Examples
    ///
    /// ```
    /// let config = gateway::Config::default();
    /// assert!(config.route("a.example:80", "/b/c?d").is_none());
    /// ```
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = target.split('?').next().unwrap_or_default();
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns whether requests of a route and a workspace may run in a region, or in an unknown one.
    pub fn allows_region(
        &self,
        route: &Route,
        workspace: Option<&WorkspaceId>,
        region: Option<&Region>,
    ) -> bool {
        let of_workspace = workspace.and_then(|w| self.regions.get(w));
        let allows = |regions: &Vec<Region>| {
            regions.is_empty() || region.is_some_and(|r| regions.contains(r))
        };
        allows(&route.regions) && of_workspace.is_none_or(allows)
    }

    /// Returns the name of a workspace as replicas are told it; none if no header can carry it.
    pub fn display_name<'a>(&'a self, workspace: &'a WorkspaceId) -> Option<&'a str> {
        match self.display_names.get(workspace) {
            None => Some(workspace.as_str()),
            Some(name) => name.as_ref().map(HeaderText::as_str),
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the shortest_targets latency target among the streams that go to a service.
    ///
    /// Requests with a longer target share the engines, and must not keep up a backlog that delays
    /// those with the shortest_targets beyond their target.
    pub fn shortest_target(&self, service: &ServiceId) -> Option<Duration> {
        self.shortest_targets.get(service).copied()
    }
}

impl Config {
    /// Returns a time that is longer than a stream may last with all attempts of its caller.
    pub fn stream_span(&self) -> Duration {
        (self.longest_stream * STREAM_TIMEOUTS).max(STREAM_SPAN_MIN)
    }
}

impl Route {
    /// Returns the services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let weighted = self.split.iter().filter(|(_, weight)| *weight > 0);
        weighted.map(|(service, _)| service)
    }

    /// Chooses a service according to the weights. A request id always gets the same service.
    pub fn service(&self, id: &str) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut point = xxh3_64(id.as_bytes()) % total.max(1);
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        self.split.first().map(|(service, _)| service)
    }

    /// Returns whether a request that may have run can be repeated from the start.
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            RouteKind::Idempotent | RouteKind::Stream { resume: true }
        )
    }

    /// Returns whether requests are answered with streams that may go on at another replica.
    pub fn is_resumable(&self) -> bool {
        self.kind == RouteKind::Stream { resume: true }
    }

    /// Returns whether requests are answered with streams.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            EntryKind::Route => "route",
            EntryKind::Service => "service",
            EntryKind::Workspace => "workspace",
            EntryKind::Limits => "limits",
        })
    }
}
