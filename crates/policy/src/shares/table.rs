//! The shares and queue limits of workspaces, by key.

use {
    super::Key,
    crate::{
        Share,
        WorkspaceShare, //
    },
    std::sync::Arc,
};

/// Shares and queue limits, sorted by key; cheap to clone, so that all services share one table.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShareTable(Arc<[(Key, Share, Option<usize>)]>);

impl ShareTable {
    pub(crate) fn of(list: &[WorkspaceShare]) -> ShareTable {
        let mut rows: Vec<_> = list
            .iter()
            .map(|s| (Key::of(&s.workspace), s.share, s.queue))
            .collect();
        rows.sort_by_key(|r| r.0);
        ShareTable(rows.into())
    }

    /// Returns the share of a workspace, which is 1 if none is set.
    pub(crate) fn get(&self, key: Key) -> Share {
        self.row(key).map_or(Share::ONE, |r| r.1)
    }

    /// Returns how many requests a workspace may queue, if it has its own limit.
    pub(crate) fn queue(&self, key: Key) -> Option<usize> {
        self.row(key).and_then(|r| r.2)
    }

    fn row(&self, key: Key) -> Option<&(Key, Share, Option<usize>)> {
        let at = self.0.binary_search_by_key(&key, |r| r.0).ok()?;
        self.0.get(at)
    }
}
