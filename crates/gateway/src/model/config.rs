//! The operators' configuration.

use {
    policy::{
        ServiceId,
        WorkspaceId, //
    },
    std::{
        collections::HashMap,
        sync::Arc,
        time::Duration, //
    },
    xxhash_rust::xxh3::xxh3_64, //
};

/// A whole configuration of one version.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Its version; a later one is higher.
    pub version: u64,
    /// The routes of each host in lower case, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Who holds which key; none where requests need no key.
    pub keys: Option<HashMap<String, WorkspaceId>>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// The shortest latency target among the streams that go to a service.
    shortest: HashMap<ServiceId, Duration>,
}

/// Where requests of a host and prefix go.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// What starts the paths that it takes; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time to an answer, or to a stream's first event, that is aimed at.
    pub latency_target: Duration,
    /// Services that share its requests, by weight.
    pub split: Vec<(ServiceId, u32)>,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// All of it.
    Idempotent,
    /// Nothing: it runs at most once.
    Single,
    /// It is answered by a stream of events.
    Stream {
        /// Whether another replica can go on behind a given event.
        resume: bool,
    },
}

/// A service that replicas offer.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// What is known of its engines; none for a plain service.
    pub engine: Option<Engine>,
}

/// What is known of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that one runs at once.
    pub slots: u32,
    /// Tokens that one has memory for.
    pub memory_tokens: u64,
    /// Whether one can copy cached parts of prompts from another.
    pub copies_cache: bool,
}

/// Bounds on what callers send, and what all workspaces share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// How long a kept connection may stay idle.
    pub idle_timeout: Duration,
    /// What all replicas generate and read together, in tokens a second; 0 if not known.
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
                let least = self
                    .shortest
                    .entry(service.clone())
                    .or_insert(route.latency_target);
                *least = route.latency_target.min(*least);
            }
        }
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Finds the route of a request: of the host's prefixes that begin the path, the longest.
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

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the shortest latency target among the streams that go to a service.
    ///
    /// Requests with a longer one share its engines, so they must not let a backlog stand
    /// that makes those with the shortest late.
    pub fn shortest_target(&self, service: &ServiceId) -> Option<Duration> {
        self.shortest.get(service).copied()
    }
}

impl Route {
    /// Chooses the service of a request by the weights, the same each time for one id.
    pub fn service(&self, id: &str) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = xxh3_64(id.as_bytes()) % total.max(1);
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(service);
            }
            at -= weight;
        }
        self.split.first().map(|(service, _)| service)
    }

    /// Tells whether a request that may have run can be sent again from the start.
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            RouteKind::Idempotent | RouteKind::Stream { resume: true }
        )
    }

    /// Tells whether it is answered by a stream.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }
}
