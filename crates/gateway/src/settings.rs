//! The settings of one instance.

use {
    miette::Diagnostic,
    policy::{
        placement::Tuning,
        RouterId,
        Zone, //
    },
    serde::Deserialize,
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        time::Duration, //
    },
    thiserror::Error, //
};

/// The settings of one instance, from a TOML file. Keys that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Its name, unique in the fleet.
    pub name: RouterId,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it listens.
    pub listen: Listen,
    /// The rest of the fleet.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: StoreSettings,
    /// What the users allow.
    pub bounds: Bounds,
    /// What the instance has.
    pub instance: Instance,
    /// How the choice among engines is weighed, where not as usual.
    #[serde(default)]
    pub placement: Tuning,
}

/// Where an instance listens.
#[derive(Debug, Clone, Deserialize)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the question whether it is ready.
    pub ready: SocketAddr,
    /// For callers who ask which address to use.
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
    /// Any addresses of a few other instances. Only their IP addresses count: routers all
    /// listen for each other at the same port.
    pub seeds: Vec<SocketAddr>,
    /// Time between two words on this router's load to each peer, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[serde(rename = "beat-ms")]
    pub heartbeat_ms: u64,
    /// Least number of routers that take callers, where there are as many.
    #[serde(default = "default_min_active")]
    #[serde(rename = "active")]
    pub min_active: usize,
}

/// Least number of routers that take callers: with one goes a twelfth of what is served, until its
/// callers have gone elsewhere. Each tells each other its loads, so that with twice as many there are
/// four times as many words.
fn default_min_active() -> usize {
    12
}

/// Requests that others sent in this time are not counted in a decision: three or four for
/// each engine at 420 requests a second over 12 engines. Words every 80 ms take 23 KB/s of a
/// router of 7, where 21 are allowed; at 120 ms about 0.01 less of what is owed was served.
fn default_heartbeat_ms() -> u64 {
    100
}

/// The platform's store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// What the users allow, in the unit of each name.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bounds {
    /// From SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Retries for each first try, over the fleet.
    pub retry_ratio: f64,
    /// Retries that are allowed besides in each window, over the fleet.
    pub retry_slack: f64,
    /// The length of that window.
    pub retry_window_s: f64,
    /// The window over which workspaces have fair shares.
    pub fair_window_s: f64,
}

/// What the instance has.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Memory that the process may use.
    pub memory_mb: u64,
    /// File descriptors that the process may use.
    pub descriptors: u32,
    /// Processor time that it has, in cores.
    #[serde(default = "default_processor")]
    pub processor: f32,
}

/// An instance that does not know what it has counts as one of the smallest.
fn default_processor() -> f32 {
    0.12
}

/// Why settings were not accepted.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{0} can't be read: {1}")]
    #[diagnostic(help("give the path of the settings file, readable by this process"))]
    File(String, std::io::Error),
    /// Something is missing or wrong in it.
    #[error("{0}: {1}")]
    #[diagnostic(help("give the setting that is named; deploy/settings.toml shows all of them"))]
    Wrong(String, String),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When it can't be read, or names the setting that is missing or wrong.
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| SettingsError::File(name.clone(), e))?;
        Settings::parse(&name, &text)
    }

    /// Checks the text of a settings file; `name` is that of the file, for errors.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing or wrong.
    ///
    /// # Examples
    ///
    /// ```
    /// let error = gateway::Settings::parse("a.toml", "zone = \"hall-a\"").unwrap_err();
    /// assert!(error.to_string().contains("missing field `name`"));
    /// ```
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let wrong = |e: String| SettingsError::Wrong(name.to_owned(), e);
        let settings: Settings = toml::from_str(text).map_err(|e| wrong(e.to_string()))?;
        settings.bounds.check().map_err(wrong)?;
        Ok(settings)
    }
}

impl Settings {
    /// Returns where the instances that the settings name hear their peers.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        let named = self.fleet.seeds.iter();
        named
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .filter(|addr| *addr != self.listen.peers)
            .collect()
    }
}

impl Bounds {
    fn check(&self) -> Result<(), String> {
        let above = [
            ("grace-s", self.grace_s),
            ("retry-window-s", self.retry_window_s),
            ("fair-window-s", self.fair_window_s),
        ];
        for (name, value) in above {
            if !(value.is_finite() && value > 0.0) {
                return Err(format!("bounds.{name} is {value}; give a number above 0"));
            }
        }
        let least = [
            ("retry-ratio", self.retry_ratio),
            ("retry-slack", self.retry_slack),
        ];
        for (name, value) in least {
            if !(value.is_finite() && value >= 0.0) {
                return Err(format!("bounds.{name} is {value}; give 0 or more"));
            }
        }
        Ok(())
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
