//! Writing a configuration to the platform.

use {
    super::{
        base_line::BaseLine,
        flags::Apply,
        print::line,
        targets::{
            platform_of,
            router_of, //
        },
        wait::wait_in_force, //
    },
    crate::errors::Error,
    kvstore::{
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
    operators::{
        query,
        read_view,
        Document,
        Member,
        Source, //
    },
    policy::Span,
    serde_json::json,
    std::{
        env,
        net::SocketAddr, //
    },
};

/// Default time limit of `--wait`.
const TIMEOUT: Span = Span::secs(30);
/// Name of the configuration's parts on the platform.
const PARTS: &str = "fleet";
/// The name by which the platform counts this program's calls.
const CLIENT: &str = "chervilwind-apply";

/// Checks a configuration, writes it, and waits where asked to.
pub(crate) async fn apply(flags: &Apply) -> Result<(), Error> {
    let source = Source::from_file(&flags.file)?;
    Document::parse(&source)?;
    let platform = platform_of(flags.platform, flags.settings.as_deref())?;
    let router = router_of(flags.router, flags.settings.as_deref())?;
    if flags.wait && router.is_none() {
        return Err(needs_router());
    }
    let kv = Kv::new(Options::new(platform, CLIENT));
    let before = store::read(&kv, &[]).await?;
    let floor = highest_known(router).await;
    let (copied, text) = BaseLine::split(source.text());
    let base = base(flags, copied.as_ref(), before.as_ref());
    let (revision, written) = match unchanged(before.as_ref(), text, floor) {
        Some(revision) => (revision, false),
        None => {
            let change = change(text, flags, base, floor);
            (store::apply(&kv, change).await?.revision, true)
        }
    };
    if flags.wait {
        let timeout = flags.timeout.unwrap_or(TIMEOUT);
        let router = router.ok_or_else(needs_router)?;
        wait_in_force(router, revision.0, timeout).await?;
    }
    report(flags, revision, written)
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
    let asked = query(router, "/members").await;
    let members = asked.and_then(|body| read_view::<Vec<Member>>(router, &body));
    match members {
        Ok(members) => {
            let revisions = members.iter().map(|m| m.revision);
            Revision(revisions.max().unwrap_or(0))
        }
        Err(error) => {
            log::warn!("config: {error}, going by the platform's revision alone");
            Revision::NONE
        }
    }
}

/// Returns the configuration that the file was made on, as far as that is known.
fn base(flags: &Apply, copied: Option<&BaseLine>, before: Option<&Config>) -> Base {
    match (flags.base, copied, before) {
        (Some(revision), _, _) => Base::from(Revision(revision)),
        (None, Some(copied), _) => copied.base(),
        (None, None, Some(before)) => before.base(),
        (None, None, None) => Base::default(),
    }
}

/// Returns the revision that has this text already, so that nothing need be written.
///
/// A command run again after its answer was lost then says that it is done, and not that
/// somebody else came first.
fn unchanged(before: Option<&Config>, text: &str, floor: Revision) -> Option<Revision> {
    let before = before?;
    let same = join(&before.parts) == text;
    (same && before.revision >= floor).then_some(before.revision)
}

fn change(text: &str, flags: &Apply, base: Base, floor: Revision) -> Change {
    let writer = flags.writer.clone().or_else(|| env::var("USER").ok());
    Change {
        base,
        parts: split(PARTS, text),
        writer: writer.unwrap_or_else(|| "operator".to_owned()),
        floor,
    }
}

fn report(flags: &Apply, revision: Revision, written: bool) -> Result<(), Error> {
    if flags.json {
        let json = json!({
            "revision": revision.0,
            "written": written,
            "in_force": flags.wait,
        });
        return line(json);
    }
    let what = match written {
        true => "is written",
        false => "has this text already",
    };
    let force = match flags.wait {
        true => ", and in force on every live router",
        false => "",
    };
    line(format!("revision {revision} {what}{force}"))
}
