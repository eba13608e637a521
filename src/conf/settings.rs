//! The settings of one router.

use {
    super::{
        limits::{
            default_limits,
            read_limits, //
        },
        listen::{
            Address,
            ListenError,
            Listeners, //
        },
    },
    callers::Limits,
    log::LevelFilter,
    miette::Diagnostic,
    operators::{
        choice,
        parse,
        span,
        text,
        CheckError,
        FileError,
        Section,
        Source, //
    },
    peers::PeerLimits,
    policy::{
        RouterId,
        Span,
        Zone, //
    },
    std::{
        net::SocketAddr,
        path::Path,
        time::Duration, //
    },
    thiserror::Error,
    toml::de::DeValue, //
};

const ADDRESS: &str = "an IP address and a port, in quotes, such as `\"10.0.0.7:7400\"`";
const LEVELS: [(&str, LevelFilter); 6] = [
    ("off", LevelFilter::Off),
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

/// The settings of one router.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name, unique in the fleet.
    pub name: RouterId,
    /// The availability zone it stands in.
    pub zone: Zone,
    /// The region of that zone.
    pub region: String,
    /// Which log lines are written.
    pub log: LevelFilter,
    /// Takes requests.
    pub callers: Address,
    /// Takes the other routers' connections.
    pub peers: Address,
    /// Addresses of other routers, asked where the platform's list can't be had.
    pub seeds: Vec<SocketAddr>,
    /// Held back before each message to a router in another zone; only for measuring.
    pub zone_delay: Duration,
    /// Takes the operators' questions.
    pub operators: Address,
    /// Where the platform's key-value service answers.
    pub platform: SocketAddr,
    /// What callers may ask.
    pub limits: Limits,
    /// What connections of peers may take.
    pub peer_limits: PeerLimits,
}

/// Why settings were not accepted.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] FileError),
    /// Something is wrong in it.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Check(#[from] CheckError),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When it can't be read, or with every problem found in it.
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let source = Source::from_file(path)?;
        Ok(Settings::parse(&source)?)
    }

    /// Checks settings.
    ///
    /// # Errors
    ///
    /// Every problem that was found, each with its line and remedy.
    ///
    /// # Examples
    ///
    /// ```
    /// use chervilwind::{Settings, DEFAULT_SETTINGS};
    /// use operators::Source;
    ///
    /// let source = Source::from_text("chervilwind.toml", DEFAULT_SETTINGS);
    /// let settings = Settings::parse(&source).unwrap();
    /// assert_eq!(settings.callers.listen.port(), 7400);
    /// ```
    pub fn parse(source: &Source) -> Result<Settings, CheckError> {
        parse(source, "settings file", |root| read(root, source))
    }

    /// Returns settings for loopback addresses with any free ports, for tests and the demo.
    pub fn loopback(name: RouterId, zone: Zone, platform: SocketAddr) -> Settings {
        Settings {
            name,
            zone,
            region: "local".to_owned(),
            log: LevelFilter::Warn,
            callers: Address::loopback(),
            peers: Address::loopback(),
            seeds: Vec::new(),
            zone_delay: Duration::ZERO,
            operators: Address::loopback(),
            platform,
            limits: default_limits(),
            peer_limits: PeerLimits::default(),
        }
    }

    /// Listens at all three addresses, or at none.
    ///
    /// Ports that were given for port 0 are put in place.
    ///
    /// # Errors
    ///
    /// Names the setting whose address can't be had.
    pub fn bind(&mut self) -> Result<Listeners, ListenError> {
        let unread = self.limits.unread_per_connection();
        let unread_of_peers = self.peer_limits.unread_per_connection();
        Ok(Listeners {
            callers: self.callers.bind("callers.listen", unread)?,
            peers: self.peers.bind("peers.listen", unread_of_peers)?,
            operators: self.operators.bind("operators.listen", unread)?,
        })
    }
}

fn read(root: &mut Section<'_>, source: &Source) -> Option<Settings> {
    let name = "letters, digits and `-_.:`, in quotes";
    let id = root.need("name", "name = \"router-1\"", text(name));
    let zone = root.need("zone", "zone = \"hall-a\"", text(name));
    let region = root.take_or("region", "local".to_owned(), text("a name in quotes"));
    let log = root.take_or("log", LevelFilter::Warn, choice(&LEVELS));
    let mut seen = Vec::new();
    let callers = read_address(root, "callers", source, &mut seen);
    let peers = read_address(root, "peers", source, &mut seen);
    let operators = read_address(root, "operators", source, &mut seen);
    let mut fleet = root.section("fleet");
    let seeds = fleet.take_or("seeds", Vec::new(), addresses);
    let zone_delay = fleet.take_or("zone-delay", Span::ZERO, span);
    fleet.finish();
    let mut section = root.section("platform");
    let example = "[platform]` with `address = \"10.0.0.2:7000\"";
    let platform = section.need("address", example, text(ADDRESS));
    section.finish();
    let (limits, peer_limits) = read_limits(root.section("limits"));
    Some(Settings {
        name: id?,
        zone: zone?,
        region,
        log,
        callers: callers?,
        peers: peers?,
        seeds,
        zone_delay: zone_delay.into(),
        operators: operators?,
        platform: platform?,
        limits,
        peer_limits,
    })
}

/// Reads a list of addresses.
fn addresses(value: &DeValue<'_>) -> Result<Vec<SocketAddr>, String> {
    let remedy = "give a list such as `[\"10.0.0.8:7401\"]`".to_owned();
    let list = value.as_array().ok_or(remedy.clone())?;
    let parsed = list.iter().map(|v| {
        let text = v.get_ref().as_str()?;
        text.parse().ok()
    });
    parsed.collect::<Option<Vec<SocketAddr>>>().ok_or(remedy)
}

fn read_address(
    root: &mut Section<'_>,
    key: &'static str,
    source: &Source,
    seen: &mut Vec<SocketAddr>,
) -> Option<Address> {
    let mut s = root.section(key);
    let example = format!("[{key}]` with `listen = \"10.0.0.7:7400\"");
    let listen: Option<SocketAddr> = s.need("listen", &example, text(ADDRESS));
    let advertise = s.take("advertise", text(ADDRESS));
    s.finish();
    let listen = listen?;
    let advertise: SocketAddr = advertise.unwrap_or(listen);
    if advertise.ip().is_unspecified() {
        s.wrong_at(
            "listen",
            &format!("tells others to connect to {advertise}, which is no address of one instance"),
            "add `advertise` with the address that others reach this instance at",
        );
    }
    if listen.port() != 0 && seen.contains(&listen) {
        s.wrong_at(
            "listen",
            &format!("listens at {listen}, which another part uses"),
            "give each of [callers], [peers] and [operators] its own port",
        );
    }
    seen.push(listen);
    let line = s.line_of("listen").unwrap_or_default();
    Some(Address {
        listen,
        advertise,
        place: format!("{}:{line}: ", source.name()),
    })
}
