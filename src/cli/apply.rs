//! Writing a configuration to the platform.

use {
    super::{
        flags::Apply,
        wait::wait_in_force, //
    },
    crate::{
        conf::Settings,
        errors::Error, //
    },
    operators::{
        ask,
        read_view,
        Document,
        Source,
        Status, //
    },
    platform::{
        store::{
            self,
            join,
            split,
            Base,
            Change,
            Config,
            Revision, //
        },
        Kv,
        Options, //
    },
    policy::Span,
    serde_json::json,
    std::{
        env,
        net::SocketAddr, //
    },
};

/// How long `--wait` waits where nothing is said.
const TIMEOUT: Span = Span::secs(30);
/// Name of the configuration's parts on the platform.
const PARTS: &str = "fleet";
/// The name by which the platform counts this program's calls.
const CLIENT: &str = "chervilwind-apply";

/// Where to write, and whom to ask.
struct Targets {
    platform: SocketAddr,
    router: Option<SocketAddr>,
}

/// Checks a configuration, writes it, and waits where asked to.
pub(crate) async fn apply(flags: &Apply) -> Result<(), Error> {
    let source = Source::from_file(&flags.file)?;
    Document::parse(&source)?;
    let targets = targets(flags)?;
    let kv = Kv::new(Options::new(targets.platform, CLIENT));
    let before = store::read(&kv, &[]).await?;
    let floor = highest_known(targets.router).await;
    let (revision, written) = match unchanged(before.as_ref(), &source, flags, floor) {
        Some(revision) => (revision, false),
        None => {
            let change = change(before.as_ref(), &source, flags, floor);
            (store::apply(&kv, change).await?.revision, true)
        }
    };
    if flags.wait {
        let timeout = flags.timeout.unwrap_or(TIMEOUT);
        let router = targets.router.ok_or_else(needs_router)?;
        wait_in_force(router, revision.0, timeout).await?;
    }
    report(flags, revision, written);
    Ok(())
}

fn targets(flags: &Apply) -> Result<Targets, Error> {
    let settings = match &flags.settings {
        Some(file) => Some(Settings::from_file(file)?),
        None => None,
    };
    let from = settings.as_ref();
    let platform = flags.platform.or(from.map(|s| s.platform));
    let router = flags.router.or(from.map(|s| s.operators.advertise));
    if flags.wait && router.is_none() {
        return Err(needs_router());
    }
    let platform = platform.ok_or_else(|| {
        Error::Usage(
            "the platform's address is not given".to_owned(),
            "give --platform ADDRESS, or --settings FILE of a router".to_owned(),
        )
    })?;
    Ok(Targets { platform, router })
}

fn needs_router() -> Error {
    Error::Usage(
        "--wait needs a router to ask".to_owned(),
        "give --router with the operators' address of any router, or --settings FILE".to_owned(),
    )
}

/// Returns the highest revision that a router knows of.
async fn highest_known(router: Option<SocketAddr>) -> Revision {
    let Some(router) = router else {
        return Revision::NONE;
    };
    let asked = ask(router, "/status").await;
    let status = asked.and_then(|body| read_view::<Status>(router, &body));
    match status {
        Ok(status) => {
            let members = status.members.iter().map(|m| m.revision);
            Revision(members.max().unwrap_or(0).max(status.revision))
        }
        Err(error) => {
            log::warn!("config: {error}, going by the platform's revision alone");
            Revision::NONE
        }
    }
}

/// Returns the revision that has this text already, so that nothing need be written.
fn unchanged(
    before: Option<&Config>,
    source: &Source,
    flags: &Apply,
    floor: Revision,
) -> Option<Revision> {
    let before = before?;
    let same = join(&before.parts) == source.text();
    let based = flags.base.is_none_or(|b| b == before.revision.0);
    (same && based && before.revision >= floor).then_some(before.revision)
}

fn change(before: Option<&Config>, source: &Source, flags: &Apply, floor: Revision) -> Change {
    let base = match (flags.base, before) {
        (Some(revision), _) => Base::from(Revision(revision)),
        (None, Some(before)) => before.base(),
        (None, None) => Base::default(),
    };
    let writer = flags.writer.clone().or_else(|| env::var("USER").ok());
    Change {
        base,
        parts: split(PARTS, source.text()),
        writer: writer.unwrap_or_else(|| "operator".to_owned()),
        floor,
    }
}

fn report(flags: &Apply, revision: Revision, written: bool) {
    if flags.json {
        let json = json!({
            "revision": revision.0,
            "written": written,
            "in_force": flags.wait,
        });
        println!("{json}");
        return;
    }
    let what = match written {
        true => "is written",
        false => "has this text already",
    };
    let force = match flags.wait {
        true => ", and in force on every live router",
        false => "",
    };
    println!("revision {revision} {what}{force}");
}
