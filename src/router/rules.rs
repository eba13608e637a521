//! Conversion of the configuration into rules of the dispatch.

use {
    operators::{
        Document,
        Mode,
        Unit, //
    },
    policy::{
        Rules,
        ServiceRules,
        WorkspaceShare, //
    },
    std::sync::Arc,
};

/// Converts a validated document into the rules of the dispatch.
pub(crate) fn rules(document: &Document) -> Rules {
    let shares: Vec<WorkspaceShare> = document
        .workspaces
        .iter()
        .map(|(id, w)| WorkspaceShare {
            workspace: id.clone(),
            share: w.share,
            queue: w.queue.map(|n| n as usize),
        })
        .collect();
    let shares = Arc::new(shares);
    let services = document.services.iter().map(|(id, s)| ServiceRules {
        service: id.clone(),
        unit: match s.unit {
            Unit::Tokens => policy::Unit::Tokens,
            Unit::Requests => policy::Unit::Requests,
        },
        window: s.window,
        credit: s.credit,
        queue: s.queue as usize,
        start: s.start,
        shares: shares.clone(),
    });
    Rules {
        mode: match document.policy.mode {
            Mode::Fleet => policy::Mode::Fleet,
            Mode::Alone => policy::Mode::Alone,
            Mode::Static => policy::Mode::Static,
        },
        services: services.collect(),
    }
}
