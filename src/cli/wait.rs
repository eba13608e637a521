//! Waiting until a configuration is in force everywhere.

use {
    crate::errors::Error,
    async_std::{
        future::timeout,
        task, //
    },
    operators::{
        ask,
        read_view,
        AskError,
        MemberState,
        Status, //
    },
    policy::{
        RouterId,
        Span, //
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::Duration, //
    },
};

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(200);

/// Returns when every live router has the revision, or a later one, in force.
///
/// `router` names the others. A router whose heartbeat is late counts as live, as it may be
/// cut off from that one router only.
///
/// # Errors
///
/// After the time given, with the routers that don't have it yet.
pub(crate) async fn wait_in_force(
    router: SocketAddr,
    revision: u64,
    time: Span,
) -> Result<(), Error> {
    let mut missing = format!("{router}: not asked yet");
    let rounds = async {
        loop {
            match round(router, revision).await {
                Ok(left) if left.is_empty() => return,
                Ok(left) => missing = left.join(", "),
                Err(error) => missing = error.to_string(),
            }
            task::sleep(PAUSE).await;
        }
    };
    let waited = timeout(time.into(), rounds).await;
    waited.map_err(|_| Error::NotInForce(revision, missing))
}

/// Asks every router once and returns those that don't have the revision.
async fn round(router: SocketAddr, revision: u64) -> Result<Vec<String>, AskError> {
    let first = status(router).await?;
    let mut seen = BTreeSet::from([first.name.clone()]);
    let mut left = Vec::new();
    if first.revision < revision {
        left.push(first.name.to_string());
    }
    let mut asked = Vec::new();
    for member in first.members {
        let live = matches!(member.state, MemberState::Live | MemberState::Suspect);
        if !live || !seen.insert(member.name.clone()) {
            continue;
        }
        match member.operators {
            Some(address) => asked.push((member.name, task::spawn(status(address)))),
            None if member.revision < revision => left.push(member.name.to_string()),
            None => {}
        }
    }
    for (name, answer) in asked {
        if !has(&name, answer.await, revision) {
            left.push(name.to_string());
        }
    }
    Ok(left)
}

async fn status(router: SocketAddr) -> Result<Status, AskError> {
    let body = ask(router, "/status").await?;
    read_view(router, &body)
}

/// Says whether that router has the revision; another one behind its address doesn't count.
fn has(name: &RouterId, answer: Result<Status, AskError>, revision: u64) -> bool {
    answer.is_ok_and(|s| s.name == *name && s.revision >= revision)
}
