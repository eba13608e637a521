//! The shares of workspaces, by key.

use {
    super::Key,
    crate::{
        Share,
        WorkspaceShare, //
    },
    std::sync::Arc,
};

/// Shares by key, in order; cheap to clone, so that all services hold one table.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShareTable(Arc<[(Key, Share)]>);

impl ShareTable {
    pub(crate) fn of(list: &[WorkspaceShare]) -> ShareTable {
        let mut rows: Vec<_> = list
            .iter()
            .map(|s| (Key::of(&s.workspace), s.share))
            .collect();
        rows.sort_by_key(|r| r.0);
        ShareTable(rows.into())
    }

    /// Returns the share of a workspace, which is 1 where none is set.
    pub(crate) fn get(&self, key: Key) -> Share {
        let at = self.0.binary_search_by_key(&key, |r| r.0);
        at.map_or(Share::ONE, |at| self.0[at].1)
    }
}
