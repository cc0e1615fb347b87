//! Calls that read settings and their history.

use heatherknot_settings::audit::{AuditEntry, entry_for};
use heatherknot_settings::change::rewind;
use heatherknot_settings::{ChainPoint, Change, Digest, Edit, Right, TreePath, edit};
use heatherknot_types::prelude::*;
use serde_json::Value as Json;
use snafu::{OptionExt, ensure};

use crate::api::{
    AuditResponse, DiffRequest, DiffResponse, EffectiveResponse, GetResponse, HistoryEntry,
    HistoryRequest, HistoryResponse, PathRequest,
};
use crate::error::{CallError, NotFoundSnafu, NotYetSnafu};
use crate::session::{Session, read_change};

/// The changes that one call looks at where the request names no limit.
const DEFAULT_LIMIT: usize = 200;
/// The most changes that one call looks at.
const MAX_LIMIT: usize = 1000;

/// Gives the node at a path.
pub fn get(session: &Session, req: &PathRequest) -> Result<GetResponse, CallError> {
    let tree = &session.held.tree;
    let path = TreePath::parse(&req.path)?;
    session.operator.authorize_read(tree, &path)?;
    let what = format!("node `{path}`");
    Ok(GetResponse {
        revision: session.held.chain_point.revision,
        value: tree.get(&path).context(NotFoundSnafu { what })?,
    })
}

/// Gives the settings in force at a node, with the origin of each.
pub fn effective(session: &Session, req: &PathRequest) -> Result<EffectiveResponse, CallError> {
    let tree = &session.held.tree;
    let path = TreePath::parse(&req.path)?;
    session.operator.authorize_read(tree, &path)?;
    Ok(EffectiveResponse {
        revision: session.held.chain_point.revision,
        values: tree.effective(&path)?,
    })
}

/// Gives the difference between two revisions of one node.
pub async fn diff(session: &Session, req: &DiffRequest) -> Result<DiffResponse, CallError> {
    let tree = &session.held.tree;
    let path = TreePath::parse(&req.path)?;
    session.operator.authorize_read(tree, &path)?;
    let held = session.held.chain_point.revision;
    let to = req.to.unwrap_or(held);
    let asked = to.max(req.from);
    ensure!(asked <= held, NotYetSnafu { asked, held });
    let changes = session.changes(to.min(req.from), held).await?;
    let document = tree.document();
    let at = |revision: Revision| {
        let later = changes.iter().position(|change| change.revision > revision);
        rewind(&document, &changes[later.unwrap_or(changes.len())..])
    };
    let (before, after) = (at(req.from)?, at(to)?);
    Ok(DiffResponse {
        from: req.from,
        to,
        edits: node_diff(&path, &before, &after),
    })
}

fn node_diff(path: &TreePath, before: &Json, after: &Json) -> Vec<Edit> {
    let (old, new) = (edit::get(before, path), edit::get(after, path));
    let (Some(old), Some(new)) = (old, new) else {
        let whole = Edit {
            path: path.to_string(),
            before: old.cloned(),
            after: new.cloned(),
            dropped: None,
        };
        return if whole.before == whole.after {
            Vec::new()
        } else {
            vec![whole]
        };
    };
    edit::diff_at(path, old, new)
}

/// Gives the changes of the key's branch, without who made them.
pub async fn history(
    session: &Session,
    req: &HistoryRequest,
) -> Result<HistoryResponse, CallError> {
    session.operator.require(Right::Read)?;
    let looked = look(session, req).await?;
    let changes = looked.entries.into_iter().map(|entry| HistoryEntry {
        revision: entry.revision,
        at_ms: entry.at_ms,
        paths: entry.edits.into_iter().map(|edit| edit.path).collect(),
    });
    Ok(HistoryResponse {
        changes: changes.collect(),
        seen: looked.seen.revision,
        more: looked.more,
    })
}

/// Gives the audit trail of the key's branch and whether its chain holds.
pub async fn audit(session: &Session, req: &HistoryRequest) -> Result<AuditResponse, CallError> {
    session.operator.require(Right::Audit)?;
    let looked = look(session, req).await?;
    Ok(AuditResponse {
        entries: looked.entries,
        seen: looked.seen.revision,
        seen_hash: looked.seen.hash,
        more: looked.more,
        broken: looked.broken,
    })
}

/// What a walk along the history came to.
struct Looked {
    entries: Vec<AuditEntry>,
    seen: ChainPoint,
    more: bool,
    broken: Option<String>,
}

async fn look(session: &Session, req: &HistoryRequest) -> Result<Looked, CallError> {
    let limit = req.limit.unwrap_or(DEFAULT_LIMIT).clamp(1, MAX_LIMIT);
    let mut walk = Walk::new(req.after);
    let mut more = true;
    while more && walk.count < limit {
        let (page, further) = session.page(walk.seen.revision).await?;
        more = further;
        for stored in &page {
            if walk.count == limit {
                more = true;
                break;
            }
            walk.step(session, &read_change(stored)?);
        }
    }
    Ok(Looked {
        entries: walk.entries,
        seen: walk.seen,
        more,
        broken: walk.broken,
    })
}

struct Walk {
    entries: Vec<AuditEntry>,
    seen: ChainPoint,
    /// Whether the hash of the change before is known.
    chained: bool,
    count: usize,
    broken: Option<String>,
}

impl Walk {
    fn new(after: Revision) -> Walk {
        Walk {
            entries: Vec::new(),
            seen: ChainPoint {
                revision: after,
                hash: Digest::NONE,
            },
            chained: after == Revision::NONE,
            count: 0,
            broken: None,
        }
    }

    fn step(&mut self, session: &Session, change: &Change) {
        // The first change of a walk that starts in the middle is checked against itself only.
        let before = ChainPoint {
            revision: self.seen.revision,
            hash: if self.chained {
                self.seen.hash
            } else {
                change.previous
            },
        };
        if let (Err(error), None) = (change.verify(before), &self.broken) {
            self.broken = Some(error.to_string());
        }
        self.entries
            .extend(entry_for(session.branch(), &session.held.tree, change));
        self.seen = change.point();
        self.chained = true;
        self.count += 1;
    }
}
