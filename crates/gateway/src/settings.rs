//! The settings of one instance.

use {
    crate::WarmupRate,
    miette::Diagnostic,
    policy::{
        placement::Tuning,
        warmup::ColdStart,
        Region,
        RouterId,
        Zone, //
    },
    resources::{
        unread_per_connection,
        Bytes,
        MemoryLimits, //
    },
    serde::Deserialize,
    std::{
        fs,
        net::SocketAddr,
        ops::RangeInclusive,
        path::Path,
        time::Duration, //
    },
    thiserror::Error, //
};

/// File descriptors reserved for replicas, peers, the store and files: 12 idle and 30 busy
/// connections to each of 12 replicas, and the same number again.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Unless it is set, the memory for clients is the instance's divided by this. What connections take
/// beside their requests and bytes that are not read yet take another part.
const CLIENTS_MEMORY_DIVISOR: u64 = 4;

/// Unless it is set, the part of the instance's memory that unread bytes of all callers may take.
const UNREAD_MEMORY_DIVISOR: u64 = 8;
/// Unread bytes of a connection that may be set. The operating system keeps at least 2 KiB.
const UNREAD_BYTES: RangeInclusive<u64> = 2_048..=65_536;

/// The settings of one instance, from a TOML file. Unknown keys are ignored.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: RouterId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region. Without it, requests that may run in some regions only are rejected.
    #[serde(default)]
    pub region: Option<Region>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The rest of the fleet.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: StoreSettings,
    /// Time limits and budgets that the operators set.
    pub bounds: Bounds,
    /// Resources of the instance.
    pub instance: Instance,
    /// Limits on all clients together.
    #[serde(default)]
    pub clients: Clients,
    /// Weights for the choice among replicas that differ from the defaults.
    #[serde(default)]
    pub placement: Tuning,
}

/// Addresses that an instance listens on.
#[derive(Debug, Clone, Deserialize)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the readiness check.
    pub ready: SocketAddr,
    /// For callers that ask which router to use.
    pub addresses: SocketAddr,
    /// For the other routers, over UDP and TCP.
    pub peers: SocketAddr,
    /// For metrics and the dump of its state.
    pub metrics: SocketAddr,
}

/// The rest of the fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fleet {
    /// Any addresses of a few other instances. Only their IP addresses are used, as all routers
    /// listen for peers on the same port.
    pub seeds: Vec<SocketAddr>,
    /// Time between two load messages to each peer, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[serde(rename = "beat-ms")]
    pub heartbeat_ms: u64,
    /// Minimum number of active routers, if the fleet has as many.
    #[serde(default = "default_min_active")]
    #[serde(rename = "active")]
    pub min_active: usize,
}

/// With 12 active routers, the failure of one interrupts a twelfth of all requests until its
/// callers use others. Active routers all send each other their loads, so twice as many routers
/// would send four times as many messages.
fn default_min_active() -> usize {
    12
}

/// Decisions don't account for requests that other routers sent in this time: three or four for
/// each engine at 420 requests per second over 12 engines. At 80 ms a router of 7 sends 23 KB/s,
/// where 21 are allowed; at 120 ms the share of due work that is served is about 0.01 lower.
fn default_heartbeat_ms() -> u64 {
    100
}

/// The platform's store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// Time limits and budgets. The names contain the units.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Allowed retries for each first attempt, across the fleet.
    pub retry_ratio: f64,
    /// Retries allowed in addition to that in each window, across the fleet.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window_s: f64,
    /// The window over which workspaces have fair shares.
    pub fair_window_s: f64,
    /// Requests that all routers together may send to a cold replica in any second, as a multiple of
    /// the rate that it stands. Without it, cold replicas get as many as others.
    #[serde(default)]
    pub cold_excess: Option<f64>,
    /// Requests allowed in addition to that.
    #[serde(default)]
    pub cold_slack: f64,
}

/// Resources of the instance.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Memory that the process may use.
    pub memory_mb: u64,
    /// File descriptors that the process may use.
    pub descriptors: u32,
    /// Processor time of the instance, in cores.
    #[serde(default = "default_processor")]
    pub processor: f32,
}

/// Without the setting an instance counts as one of the smallest.
fn default_processor() -> f32 {
    0.12
}

/// Limits on all clients together.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Clients {
    /// Memory for requests and buffered answers. A quarter of the instance's memory unless set.
    pub memory_mb: Option<u64>,
    /// About how many bytes each connection may send before they are read. Unless set, an eighth of
    /// the instance's memory for all of the callers' connections together.
    pub unread_bytes: Option<u64>,
}

/// Connections that clients may have open at the listeners beside the callers'.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MaxConnections {
    pub(crate) addresses: usize,
    pub(crate) peers: usize,
    pub(crate) ready: usize,
    pub(crate) metrics: usize,
}

/// Why settings were rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{0} can't be read: {1}")]
    #[diagnostic(help("give the path of the settings file, readable by this process"))]
    File(String, std::io::Error),
    /// A setting is missing or invalid.
    #[error("{0}: {1}")]
    #[diagnostic(help("give the setting that is named; deploy/settings.toml shows all of them"))]
    Wrong(String, String),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or a setting is missing or invalid; the error names it.
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| SettingsError::File(name.clone(), e))?;
        Settings::parse(&name, &text)
    }

    /// Checks the text of a settings file; `name` is that of the file, for errors.
    ///
    /// # Errors
    ///
    /// If a setting is missing or invalid; the error names it.
    ///
    /// # Examples
    ///
    /// ```
    /// let error = gateway::Settings::parse("a.toml", "zone = \"hall-a\"").unwrap_err();
    /// assert!(error.to_string().contains("missing field `name`"));
    /// ```
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let invalid = |e: String| SettingsError::Wrong(name.to_owned(), e);
        let settings: Settings = toml::from_str(text).map_err(|e| invalid(e.to_string()))?;
        settings.bounds.check().map_err(invalid)?;
        settings
            .clients
            .check(&settings.instance)
            .map_err(invalid)?;
        Ok(settings)
    }
}

impl Settings {
    /// Returns whether other instances contact this one first.
    pub(crate) fn is_seed(&self) -> bool {
        let local = self.listen.peers.ip();
        self.fleet.seeds.iter().any(|seed| seed.ip() == local)
    }

    /// Returns how much memory clients may take.
    pub(crate) fn memory_limits(&self) -> MemoryLimits {
        let memory = Bytes::mib(self.instance.memory_mb);
        let set = self.clients.memory_mb.map(Bytes::mib);
        MemoryLimits::of(set.unwrap_or(Bytes(memory.0 / CLIENTS_MEMORY_DIVISOR)))
    }

    /// Returns about how much each connection may send before it is read.
    pub(crate) fn unread_bytes(&self) -> Bytes {
        let all = Bytes::mib(self.instance.memory_mb).0 / UNREAD_MEMORY_DIVISOR;
        let each = unread_per_connection(Bytes(all), self.max_callers());
        self.clients.unread_bytes.map_or(each, Bytes)
    }

    /// Returns the maximum number of connections of callers.
    pub(crate) fn max_callers(&self) -> usize {
        let all = self.instance.descriptors as usize;
        all.saturating_sub(RESERVED_DESCRIPTORS).max(all / 2)
    }

    /// Returns the maximum number of connections of the listeners beside the callers'. More than half
    /// of the descriptors that callers leave remain for replicas, peers, the store and files.
    pub(crate) fn max_connections(&self) -> MaxConnections {
        let rest = (self.instance.descriptors as usize).saturating_sub(self.max_callers());
        MaxConnections {
            addresses: (rest / 6).max(1),
            peers: (rest / 8).max(1),
            ready: (rest / 24).max(1),
            metrics: (rest / 24).max(1),
        }
    }

    /// Returns the addresses on which the seeds listen for peers.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        let seeds = self.fleet.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .filter(|addr| *addr != self.listen.peers)
            .collect()
    }
}

impl Clients {
    fn check(&self, instance: &Instance) -> Result<(), String> {
        let most = instance.memory_mb;
        match self.memory_mb {
            Some(n) if n == 0 || n > most => Err(format!(
                "clients.memory-mb is {n}; give 1 to {most}, the instance's memory"
            )),
            _ => Ok(()),
        }?;
        match self.unread_bytes {
            Some(n) if !UNREAD_BYTES.contains(&n) => Err(format!(
                "clients.unread-bytes is {n}; give {} to {}",
                UNREAD_BYTES.start(),
                UNREAD_BYTES.end()
            )),
            _ => Ok(()),
        }
    }
}

impl Bounds {
    fn check(&self) -> Result<(), String> {
        let positive = [
            ("grace-s", self.grace_s),
            ("retry-window-s", self.retry_window_s),
            ("fair-window-s", self.fair_window_s),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(format!("bounds.{name} is {value}; give a number above 0"));
            }
        }
        let non_negative = [
            ("retry-ratio", self.retry_ratio),
            ("retry-slack", self.retry_slack),
            ("cold-excess", self.cold_excess.unwrap_or_default()),
            ("cold-slack", self.cold_slack),
        ];
        for (name, value) in non_negative {
            if !(value.is_finite() && value >= 0.0) {
                return Err(format!("bounds.{name} is {value}; give 0 or more"));
            }
        }
        Ok(())
    }

    /// Returns how replicas of a service start, if the number of requests to cold ones is limited.
    pub(crate) fn cold_start(&self, rate: Option<WarmupRate>) -> Option<ColdStart> {
        let (rate, excess) = (rate?, self.cold_excess?);
        Some(ColdStart {
            lasts: rate.lasts.into(),
            requests: (rate.requests * excess + self.cold_slack) as u32,
        })
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
