//! Shows what a router reports to operators.

use {
    super::{
        flags::{
            Dump,
            Profiles as ProfilesFlags,
            Status as StatusFlags, //
        },
        print::{
            line,
            table,
            time,
            yes, //
        },
    },
    crate::errors::Error,
    operators::{
        query,
        read_view,
        Profiles,
        Status, //
    },
};

/// Shows the profiles in force.
pub(crate) async fn profiles(flags: &ProfilesFlags) -> Result<(), Error> {
    let body = query(flags.router, "/profiles").await?;
    if flags.json {
        return line(body);
    }
    let view: Profiles = read_view(flags.router, &body)?;
    let header = [
        "profile",
        "share",
        "urgency",
        "idempotent",
        "weight",
        "deadline",
        "hint",
    ];
    let rows = view.profiles.iter().map(|p| {
        vec![
            p.name.to_string(),
            p.share.to_string(),
            p.urgency.to_string(),
            yes(p.idempotent),
            p.weight.to_string(),
            time(p.deadline),
            p.hint.to_string(),
        ]
    });
    line(format!("revision {}", view.revision))?;
    line(table(&header, 1, rows.collect()))
}

/// Shows how a router is doing.
pub(crate) async fn status(flags: &StatusFlags) -> Result<(), Error> {
    let body = query(flags.router, "/status").await?;
    if flags.json {
        return line(body);
    }
    let view: Status = read_view(flags.router, &body)?;
    line(summary(&view))?;
    line(members(&view))?;
    if !view.services.is_empty() {
        line(services(&view))?;
    }
    if !view.workspaces.is_empty() {
        line(workspaces(&view))?;
    }
    Ok(())
}

/// Prints all that a router knows.
pub(crate) async fn dump(flags: &Dump) -> Result<(), Error> {
    line(query(flags.router, "/dump").await?)
}

fn summary(view: &Status) -> String {
    let revision = match view.revision {
        0 => "no configuration".to_owned(),
        n => format!("revision {n} by {}", view.writer),
    };
    let platform = match view.platform {
        true => "platform reached",
        false => "platform not reached",
    };
    let seconds = view.uptime.as_secs();
    let rate = view.control as f64 / seconds.max(1.0);
    format!(
        "{} in {}: {}, {revision}, {platform}, up {seconds:.0}s, control {rate:.0} bytes/s",
        view.name, view.zone, view.state
    )
}

fn members(view: &Status) -> comfy_table::Table {
    let header = ["router", "zone", "state", "operators", "revision", "silent"];
    let rows = view.members.iter().map(|m| {
        vec![
            m.name.to_string(),
            m.zone.to_string(),
            m.state.to_string(),
            m.operators.map_or("-".to_owned(), |a| a.to_string()),
            m.revision.to_string(),
            m.silent.to_string(),
        ]
    });
    table(&header, 4, rows.collect())
}

fn services(view: &Status) -> comfy_table::Table {
    let header = [
        "service", "replicas", "limit", "lent", "running", "queued", "gap",
    ];
    let rows = view.services.iter().map(|s| {
        vec![
            s.name.to_string(),
            s.replicas.to_string(),
            s.limit.to_string(),
            s.lent.to_string(),
            s.running.to_string(),
            s.queued.to_string(),
            format!("{:.1}", s.gap),
        ]
    });
    table(&header, 1, rows.collect())
}

fn workspaces(view: &Status) -> comfy_table::Table {
    let header = [
        "workspace",
        "service",
        "queued",
        "running",
        "answered",
        "refused",
        "received",
    ];
    let rows = view.workspaces.iter().map(|w| {
        vec![
            w.name.to_string(),
            w.service.to_string(),
            w.queued.to_string(),
            w.running.to_string(),
            w.answered.to_string(),
            w.refused.to_string(),
            format!("{:.1}", w.received),
        ]
    });
    table(&header, 2, rows.collect())
}
