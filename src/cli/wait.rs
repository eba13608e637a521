//! Waiting until a configuration is in force everywhere.

use {
    crate::errors::Error,
    async_std::{
        future::timeout,
        task, //
    },
    operators::{
        query,
        read_view,
        InForce,
        Member,
        MemberState, //
        QueryError,
    },
    policy::{
        Incarnation,
        RouterId,
        Span, //
    },
    serde::de::DeserializeOwned,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::Duration, //
    },
};

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(200);

/// A wait for a revision to be in force everywhere.
struct Wait {
    /// The router that names the others.
    router: SocketAddr,
    revision: u64,
    /// The routers that have it. None goes back, so that they aren't asked again.
    done: BTreeSet<(RouterId, Incarnation)>,
}

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
    let mut wait = Wait {
        router,
        revision,
        done: BTreeSet::new(),
    };
    let rounds = async {
        loop {
            match wait.round().await {
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

impl Wait {
    /// Asks the routers that are not done and returns those that don't have the revision.
    async fn round(&mut self) -> Result<Vec<String>, QueryError> {
        let first = in_force(self.router).await?;
        let members: Vec<Member> = view(self.router, "/members").await?;
        let mut left = Vec::new();
        if first.revision < self.revision {
            left.push(first.name.to_string());
        }
        let mut asked = Vec::new();
        for member in members {
            let live = matches!(member.state, MemberState::Live | MemberState::Suspect);
            let id = (member.name, member.incarnation);
            if !live || id.0 == first.name || self.done.contains(&id) {
                continue;
            }
            match member.operators {
                Some(address) => asked.push((id, task::spawn(in_force(address)))),
                None if member.revision < self.revision => left.push(id.0.to_string()),
                None => {}
            }
        }
        for (id, answer) in asked {
            if self.has(&id.0, answer.await) {
                self.done.insert(id);
            } else {
                left.push(id.0.to_string());
            }
        }
        Ok(left)
    }

    /// Whether that router has the revision; another one behind its address doesn't count.
    fn has(&self, name: &RouterId, answer: Result<InForce, QueryError>) -> bool {
        answer.is_ok_and(|a| a.name == *name && a.revision >= self.revision)
    }
}

async fn in_force(router: SocketAddr) -> Result<InForce, QueryError> {
    view(router, "/revision").await
}

async fn view<T: DeserializeOwned>(router: SocketAddr, path: &str) -> Result<T, QueryError> {
    let body = query(router, path).await?;
    read_view(router, &body)
}
