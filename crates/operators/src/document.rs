//! The operators' configuration, checked before it is written.

use {
    crate::{
        problem::CheckError,
        section::{
            parse,
            Section, //
        },
        source::Source,
        values::{
            choice,
            flag,
            integer,
            number,
            span, //
        },
    },
    policy::{
        ProfileName,
        ServiceId,
        Share,
        Slots,
        Span,
        Units,
        WorkspaceId, //
    },
    std::{
        collections::BTreeMap,
        str::FromStr, //
    },
    toml::de::DeValue, //
};

/// Largest queue that may be configured for a workspace at one router, in requests.
const MAX_QUEUED_REQUESTS: u64 = 100_000;
/// Largest number of slots that a new replica may be configured to start with.
const MAX_START_SLOTS: u64 = 10_000;
/// Queue of a workspace at one router if none is configured, in requests.
const DEFAULT_QUEUED_REQUESTS: u32 = 200;
/// Slots that a new replica starts with if none are configured.
const DEFAULT_START_SLOTS: u32 = 8;
/// Deadline of a request if neither the caller nor the profile sets one.
const DEFAULT_DEADLINE: Span = Span::secs(20);
/// Estimated cost of a request if its profile has no hint, in tokens.
const DEFAULT_HINT_TOKENS: f64 = 300.0;

/// The whole configuration of a fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Document {
    /// How the fleet allocates its capacity.
    pub policy: Policy,
    /// The services that endpoints offer.
    pub services: BTreeMap<ServiceId, Service>,
    /// The profiles, which set how classes of requests are treated.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// The workspaces that share the capacity.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
}

/// How the fleet allocates its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Policy {
    /// Which routers decide what runs next.
    pub mode: Mode,
}

/// Which routers decide what runs next. Only `Fleet` is meant for production.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// All routers together.
    #[default]
    Fleet,
    /// Every router by itself, as a baseline for measurements.
    Alone,
    /// Every router, each with a fixed part of the capacity, as a baseline for measurements.
    Static,
}

/// A service and how its capacity is shared.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The protocol of its endpoints.
    pub kind: Kind,
    /// The unit in which service is counted.
    pub unit: Unit,
    /// How far an urgent request may overtake those of a workspace that received less, in units.
    pub window: Units,
    /// How much credit an idle workspace may accumulate, in units.
    pub credit: Units,
    /// How many requests one workspace may queue at one router.
    pub queue: u32,
    /// Concurrent requests of a new replica until its limit is learnt.
    pub start: Slots,
}

/// The protocol of a service's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Streamed chat completions.
    Model,
    /// Any HTTP, forwarded unchanged.
    Plain,
}

/// The unit in which service is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Tokens.
    Tokens,
    /// Answered requests, weighted by their profile.
    Requests,
}

/// How a class of requests is treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Its share of the service relative to other profiles of the workspace.
    pub share: Share,
    /// From 0 to 9; higher goes first, within the service's window.
    pub urgency: u8,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Service counted for one answered request.
    pub weight: Units,
    /// Deadline of requests whose caller sets none.
    pub deadline: Span,
    /// Estimated cost of a request, in units.
    pub hint: Units,
}

/// A workspace, which gets a share of the capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its share of the service relative to other workspaces.
    pub share: Share,
    /// How many requests it may queue at one router, if that differs from the service's setting.
    pub queue: Option<u32>,
}

impl Document {
    /// Checks a document.
    ///
    /// # Errors
    ///
    /// All problems found, each with its line and remedy.
    ///
    /// # Examples
    ///
    /// ```
    /// use operators::{Document, Source};
    ///
    /// let text = "
    ///     [service.drafting-llm]
    ///     kind = 'model'
    ///     [profile.renewal]
    ///     share = 0
    ///     [workspace.bristol]
    /// ";
    /// let error = Document::parse(&Source::from_text("fleet.toml", text)).unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "fleet.toml:5: profile \"renewal\" has share 0; \
    ///      give a share above 0, or remove the profile"
    /// );
    /// ```
    pub fn parse(source: &Source) -> Result<Document, CheckError> {
        parse(source, "document", |root| {
            let document = read_document(root);
            report_missing(root);
            Some(document)
        })
    }

    /// Parses a part of a document, which need not have a service, profile or workspace.
    ///
    /// Also returns whether it has a policy.
    pub(crate) fn parse_part(source: &Source) -> Result<(Document, bool), CheckError> {
        parse(source, "document", |root| {
            let policy = root.place_of("policy").is_some();
            Some((read_document(root), policy))
        })
    }
}

fn read_document(root: &mut Section<'_>) -> Document {
    Document {
        policy: read_policy(root.section("policy")),
        services: read_named(root, "service", read_service),
        profiles: read_named(root, "profile", |s| Some(read_profile(s))),
        workspaces: read_named(root, "workspace", |s| Some(read_workspace(s))),
    }
}

fn report_missing(root: &Section<'_>) {
    let examples = [
        ("service", "[service.NAME]` with `kind = \"model\""),
        ("profile", "[profile.NAME]"),
        ("workspace", "[workspace.NAME]"),
    ];
    for (key, example) in examples {
        if root.place_of(key).is_none() {
            root.missing(key, example);
        }
    }
}

fn read_named<K, V>(
    root: &mut Section<'_>,
    key: &'static str,
    read: impl Fn(&mut Section<'_>) -> Option<V>,
) -> BTreeMap<K, V>
where
    K: FromStr<Err = policy::IdError> + Ord,
{
    let mut map = BTreeMap::new();
    for (name, mut section) in root.sections(key) {
        let id = name
            .parse()
            .map_err(|e: policy::IdError| section.wrong("can't be used", &e.to_string()));
        let value = read(&mut section);
        section.finish();
        if let (Ok(id), Some(value)) = (id, value) {
            map.insert(id, value);
        }
    }
    map
}

fn read_policy(mut s: Section<'_>) -> Policy {
    let modes = [
        ("fleet", Mode::Fleet),
        ("alone", Mode::Alone),
        ("static", Mode::Static),
    ];
    let mode = s.take_or("mode", Mode::Fleet, choice(&modes));
    s.finish();
    Policy { mode }
}

fn read_service(s: &mut Section<'_>) -> Option<Service> {
    let kinds = [("model", Kind::Model), ("plain", Kind::Plain)];
    let kind = s.need(
        "kind",
        "kind = \"model\"` or `kind = \"plain\"",
        choice(&kinds),
    );
    let units = [("tokens", Unit::Tokens), ("requests", Unit::Requests)];
    let usual = match kind {
        Some(Kind::Plain) => Unit::Requests,
        _ => Unit::Tokens,
    };
    let unit = s.take_or("unit", usual, choice(&units));
    let (window, credit) = match unit {
        Unit::Tokens => (200.0, 50.0),
        Unit::Requests => (2.0, 1.0),
    };
    let service = Service {
        kind: kind.unwrap_or(Kind::Model),
        unit,
        window: Units(s.take_or("window", window, number(0.0, false))),
        credit: Units(s.take_or("credit", credit, number(0.0, false))),
        queue: read_queue(s).unwrap_or(DEFAULT_QUEUED_REQUESTS),
        start: Slots(s.take_or(
            "start",
            DEFAULT_START_SLOTS.into(),
            integer(1..=MAX_START_SLOTS),
        ) as u32),
    };
    if service.kind == Kind::Plain && service.unit == Unit::Tokens {
        s.wrong_at(
            "unit",
            "is plain and counts tokens, which only a model's answers have",
            "write `unit = \"requests\"`, or `kind = \"model\"`",
        );
    }
    kind.map(|_| service)
}

fn read_profile(s: &mut Section<'_>) -> Profile {
    Profile {
        share: read_share(s, "profile"),
        urgency: s.take_or("urgency", 0, integer(0..=9)) as u8,
        idempotent: s.take_or("idempotent", false, flag),
        weight: Units(s.take_or("weight", 1.0, number(0.0, true))),
        deadline: s.take_or("deadline", DEFAULT_DEADLINE, span),
        hint: Units(s.take_or("hint", DEFAULT_HINT_TOKENS, number(0.0, true))),
    }
}

fn read_workspace(s: &mut Section<'_>) -> Workspace {
    Workspace {
        share: read_share(s, "workspace"),
        queue: read_queue(s),
    }
}

fn read_queue(s: &mut Section<'_>) -> Option<u32> {
    s.take("queue", integer(1..=MAX_QUEUED_REQUESTS))
        .map(|n| n as u32)
}

fn read_share(s: &mut Section<'_>, what: &str) -> Share {
    s.take_or("share", Share::ONE, |v| {
        let remedy = |e| match v {
            DeValue::Integer(_) | DeValue::Float(_) => {
                format!("give a share above 0, or remove the {what}")
            }
            _ => e,
        };
        number(0.0, true)(v)
            .map_err(remedy)
            .and_then(|n| Share::try_from(n).map_err(|e| e.to_string()))
    })
}
