//! Calls that read the settings and their history.

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
use crate::error::{CallError, NotFoundSnafu, RevisionNotInForceSnafu};
use crate::session::{Session, parse_change};

/// The maximum number of changes that one call scans if the request sets no limit.
const DEFAULT_LIMIT: usize = 200;
/// The largest limit that a request can set.
const MAX_LIMIT: usize = 1000;

/// Returns the node at a path.
pub fn get(session: &Session, req: &PathRequest) -> Result<GetResponse, CallError> {
    let tree = &session.settings.tree;
    let path = TreePath::parse(&req.path)?;
    session.operator.authorize_read(tree, &path)?;
    let what = format!("node `{path}`");
    Ok(GetResponse {
        revision: session.settings.chain_point.revision,
        value: tree.get(&path).context(NotFoundSnafu { what })?,
    })
}

/// Returns the settings in force at a node, with the origin of each.
pub fn effective(session: &Session, req: &PathRequest) -> Result<EffectiveResponse, CallError> {
    let tree = &session.settings.tree;
    let path = TreePath::parse(&req.path)?;
    session.operator.authorize_read(tree, &path)?;
    Ok(EffectiveResponse {
        revision: session.settings.chain_point.revision,
        values: tree.effective(&path)?,
    })
}

/// Returns the difference between two revisions of one node.
pub async fn diff(session: &Session, req: &DiffRequest) -> Result<DiffResponse, CallError> {
    let tree = &session.settings.tree;
    let path = TreePath::parse(&req.path)?;
    session.operator.authorize_read(tree, &path)?;
    let current = session.settings.chain_point.revision;
    let to = req.to.unwrap_or(current);
    let requested = to.max(req.from);
    ensure!(
        requested <= current,
        RevisionNotInForceSnafu { requested, current }
    );
    let changes = session.read_changes(to.min(req.from), current).await?;
    let document = tree.document();
    let at = |revision: Revision| {
        let first_later = changes.iter().position(|change| change.revision > revision);
        rewind(&document, &changes[first_later.unwrap_or(changes.len())..])
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
        let replacement = Edit {
            path: path.to_string(),
            before: old.cloned(),
            after: new.cloned(),
            dropped: None,
        };
        return if replacement.before == replacement.after {
            Vec::new()
        } else {
            vec![replacement]
        };
    };
    edit::diff_at(path, old, new)
}

/// Returns the changes of the key's branch, without their authors.
pub async fn history(
    session: &Session,
    req: &HistoryRequest,
) -> Result<HistoryResponse, CallError> {
    session.operator.require(Right::Read)?;
    let scan = scan_history(session, req).await?;
    let changes = scan.entries.into_iter().map(|entry| HistoryEntry {
        revision: entry.revision,
        at_ms: entry.at_ms,
        paths: entry.edits.into_iter().map(|edit| edit.path).collect(),
    });
    Ok(HistoryResponse {
        changes: changes.collect(),
        seen: scan.last_seen.revision,
        more: scan.more,
    })
}

/// Returns the audit trail of the key's branch and the first error in its hash chain.
pub async fn audit(session: &Session, req: &HistoryRequest) -> Result<AuditResponse, CallError> {
    session.operator.require(Right::Audit)?;
    let scan = scan_history(session, req).await?;
    Ok(AuditResponse {
        entries: scan.entries,
        seen: scan.last_seen.revision,
        seen_hash: scan.last_seen.hash,
        more: scan.more,
        broken: scan.chain_error,
    })
}

/// The result of scanning part of the history.
struct ScanResult {
    entries: Vec<AuditEntry>,
    last_seen: ChainPoint,
    more: bool,
    chain_error: Option<String>,
}

async fn scan_history(session: &Session, req: &HistoryRequest) -> Result<ScanResult, CallError> {
    let limit = req.limit.unwrap_or(DEFAULT_LIMIT).clamp(1, MAX_LIMIT);
    let mut scan = HistoryScan::new(req.after);
    let mut more = true;
    while more && scan.scanned < limit {
        let (page, more_follow) = session.read_page(scan.last_seen.revision).await?;
        more = more_follow;
        for stored in &page {
            if scan.scanned == limit {
                more = true;
                break;
            }
            scan.visit(session, &parse_change(stored)?);
        }
    }
    Ok(ScanResult {
        entries: scan.entries,
        last_seen: scan.last_seen,
        more,
        chain_error: scan.chain_error,
    })
}

struct HistoryScan {
    entries: Vec<AuditEntry>,
    last_seen: ChainPoint,
    /// Whether the hash of the previous change is known.
    previous_hash_known: bool,
    scanned: usize,
    chain_error: Option<String>,
}

impl HistoryScan {
    fn new(after: Revision) -> HistoryScan {
        HistoryScan {
            entries: Vec::new(),
            last_seen: ChainPoint {
                revision: after,
                hash: Digest::NONE,
            },
            previous_hash_known: after == Revision::NONE,
            scanned: 0,
            chain_error: None,
        }
    }

    fn visit(&mut self, session: &Session, change: &Change) {
        // A scan that starts after the first revision does not know the hash of the previous
        // change, so it takes the one that its first change names.
        let before = ChainPoint {
            revision: self.last_seen.revision,
            hash: if self.previous_hash_known {
                self.last_seen.hash
            } else {
                change.previous
            },
        };
        if let (Err(error), None) = (change.verify(before), &self.chain_error) {
            self.chain_error = Some(error.to_string());
        }
        self.entries
            .extend(entry_for(session.branch(), &session.settings.tree, change));
        self.last_seen = change.point();
        self.previous_hash_known = true;
        self.scanned += 1;
    }
}
