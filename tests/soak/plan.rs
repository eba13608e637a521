//! What a soak runs: its processes, their load and their faults.

use std::time::Duration;

/// The processes and the load of a soak.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) routers: usize,
    /// Replicas of each service.
    pub(crate) services: &'static [Offer],
    /// Services of the route of streams, with their weights.
    pub(crate) split: &'static [(&'static str, u32)],
    /// Requests that a replica runs at once.
    pub(crate) slots: u32,
    /// Whether a replica rejects what is more than twice its slots.
    pub(crate) rejects: bool,
    pub(crate) callers: usize,
    pub(crate) streams: StreamShape,
    /// Attempts that a caller makes for a stream.
    pub(crate) attempts: u32,
    /// Whether replicas are replaced by others of other versions, and break streams.
    pub(crate) releases: bool,
    /// Whether a part of some prompts crashes replicas, which also crash by themselves.
    pub(crate) crashes: bool,
    /// Third octet of the addresses of the first seed.
    pub(crate) net: u64,
}

/// A service, and its number of replicas.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Offer {
    pub(crate) service: &'static str,
    pub(crate) replicas: usize,
    pub(crate) engine: bool,
}

/// The events of a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamShape {
    pub(crate) events: u64,
    pub(crate) interval: Duration,
    /// One in so many breaks off, if any.
    pub(crate) breaks: Option<u64>,
}

/// Replicas that leave, ask for pauses and fail.
pub(crate) const FAULTS: Plan = Plan {
    routers: 3,
    services: &[
        Offer {
            service: "llm",
            replicas: 5,
            engine: true,
        },
        Offer {
            service: "desk",
            replicas: 3,
            engine: false,
        },
    ],
    split: &[("llm", 1)],
    slots: 8,
    rejects: false,
    callers: 9,
    streams: StreamShape {
        events: 8,
        interval: Duration::from_millis(10),
        breaks: None,
    },
    attempts: 1,
    releases: false,
    crashes: false,
    net: 0,
};

/// Releases in both directions beside these faults, and callers that take streams up again.
pub(crate) const RELEASES: Plan = Plan {
    routers: 4,
    services: &[
        Offer {
            service: "llm",
            replicas: 6,
            engine: true,
        },
        Offer {
            service: "llm-b",
            replicas: 3,
            engine: true,
        },
        Offer {
            service: "desk",
            replicas: 2,
            engine: false,
        },
    ],
    split: &[("llm", 3), ("llm-b", 1)],
    slots: 3,
    rejects: true,
    callers: 20,
    streams: StreamShape {
        events: 24,
        interval: Duration::from_millis(15),
        breaks: Some(12),
    },
    attempts: 6,
    releases: true,
    crashes: false,
    net: 80,
};

/// Replicas that crash under one part of a prompt and by themselves, while routers are killed, stopped
/// and restarted.
pub(crate) const CRASHES: Plan = Plan {
    routers: 4,
    services: &[
        Offer {
            service: "llm",
            replicas: 8,
            engine: true,
        },
        Offer {
            service: "desk",
            replicas: 2,
            engine: false,
        },
    ],
    split: &[("llm", 1)],
    slots: 8,
    rejects: false,
    callers: 20,
    streams: StreamShape {
        events: 8,
        interval: Duration::from_millis(10),
        breaks: None,
    },
    attempts: 1,
    releases: false,
    crashes: true,
    net: 160,
};

impl Plan {
    pub(crate) fn replicas(&self) -> usize {
        self.services.iter().map(|s| s.replicas).sum()
    }

    /// Returns the service of each replica.
    pub(crate) fn replica_services(&self) -> impl Iterator<Item = &'static str> {
        let services = self.services.iter();
        services.flat_map(|s| std::iter::repeat_n(s.service, s.replicas))
    }

    /// Returns the names of the services that are engines, or plain.
    pub(crate) fn service_names(&self, engine: bool) -> Vec<&'static str> {
        let services = self.services.iter().filter(|s| s.engine == engine);
        services.map(|s| s.service).collect()
    }
}
