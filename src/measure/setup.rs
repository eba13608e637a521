//! The configuration of a measured fleet, and the settings files of its routers.

use {
    super::plan::Plan,
    std::{
        fmt::Write,
        net::SocketAddr,
        time::Duration, //
    },
};

/// The availability zones, over which routers and endpoints are spread.
pub(crate) const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// The model that callers ask for.
pub(crate) const MODEL: &str = "drafting-llm";
/// The plain service.
pub(crate) const PLAIN: &str = "broker-desk";
/// The only profile.
pub(crate) const PROFILE: &str = "standard";
/// Requests that one engine runs together at full speed.
pub(crate) const CAPACITY: u32 = 8;
/// Time to the first token of a request that runs alone.
const FIRST: Duration = Duration::from_millis(50);
/// Time between its tokens.
const GAP: Duration = Duration::from_millis(10);

/// The composition of a fleet.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    /// Who decides which request runs next: `fleet`, `alone` or `static`.
    pub(crate) mode: String,
    /// What counts as service: `tokens` or `requests`.
    pub(crate) unit: String,
    /// Number of routers.
    pub(crate) routers: usize,
    /// Number of replicas of the model.
    pub(crate) replicas: usize,
    /// Number of replicas of the plain service.
    pub(crate) plains: usize,
    /// Time to an engine's first token.
    pub(crate) first: Duration,
    /// Time between its tokens.
    pub(crate) gap: Duration,
    /// One-way delay between two zones, in microseconds.
    pub(crate) zone_delay: u32,
    /// The workspaces.
    pub(crate) plans: Vec<Plan>,
}

/// The addresses of one router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ports {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Setup {
    /// Returns a fleet of eight routers and ten replicas in three zones.
    pub(crate) fn new(mode: &str, plans: Vec<Plan>) -> Setup {
        Setup {
            mode: mode.to_owned(),
            unit: "tokens".to_owned(),
            routers: 8,
            replicas: 10,
            plains: 0,
            first: FIRST,
            gap: GAP,
            zone_delay: 1500,
            plans,
        }
    }

    /// Writes the operators' configuration.
    pub(crate) fn document(&self) -> String {
        let (window, credit) = match self.unit.as_str() {
            "requests" => (2, 1),
            _ => (200, 50),
        };
        let (mode, unit) = (&self.mode, &self.unit);
        let mut text = format!(
            "[policy]\nmode = \"{mode}\"\n\
             [service.{MODEL}]\nkind = \"model\"\nunit = \"{unit}\"\n\
             window = {window}\ncredit = {credit}\nqueue = 400\nstart = {CAPACITY}\n\
             [service.{PLAIN}]\nkind = \"plain\"\nunit = \"requests\"\n\
             window = 2\ncredit = 1\nqueue = 400\nstart = 64\n\
             [profile.{PROFILE}]\nidempotent = true\ndeadline = \"30s\"\nhint = 40\n"
        );
        for plan in &self.plans {
            let _ = write!(
                text,
                "[workspace.{}]\nshare = {:.1}\n",
                plan.name, plan.share
            );
        }
        text
    }

    /// Writes the settings of one router.
    pub(crate) fn settings(&self, i: usize, ports: Ports, platform: SocketAddr) -> String {
        format!(
            "name = \"{}\"\nzone = \"{}\"\n\
             [callers]\nlisten = \"{}\"\n[peers]\nlisten = \"{}\"\n[operators]\nlisten = \"{}\"\n\
             [fleet]\nzone-delay = \"{}us\"\n[platform]\naddress = \"{platform}\"\n",
            router_name(i),
            zone(i),
            ports.callers,
            ports.peers,
            ports.operators,
            self.zone_delay,
        )
    }
}

/// Names a router.
pub(crate) fn router_name(i: usize) -> String {
    format!("router-{}", i + 1)
}

/// Returns the zone of a router or a replica.
pub(crate) fn zone(i: usize) -> &'static str {
    ZONES[i % ZONES.len()]
}
