//! Changes the settings: builds a change from the newest tree, validates it and commits it to the
//! store.

use heatherknot_settings::audit::{AuditEntry, entry_for};
use heatherknot_settings::{
    Author, Change, Digest, Edit, Operator, SettingsError, Tree, TreePath, edit,
};
use heatherknot_store::commit::{CommandId, CommitOutcome, Proposal, Rejection};
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde_json::json;
use snafu::{OptionExt, ResultExt, ensure};

use crate::api::{Action, ChangeOutcome, ChangeRequest, ChangeResponse};
use crate::drain::{self, put_edit};
use crate::error::{
    CallError, InvalidValueSnafu, NotFoundSnafu, RevisionNotInForceSnafu, StoreSnafu,
};
use crate::session::Session;

/// The maximum number of commit attempts; each one after a conflict rebuilds the change from the
/// newer tree.
const MAX_COMMIT_ATTEMPTS: u32 = 8;

/// Returns the HTTP status of a response.
pub fn status(response: &ChangeResponse) -> StatusCode {
    match response.outcome {
        ChangeOutcome::Accepted | ChangeOutcome::Checked | ChangeOutcome::Unchanged => {
            StatusCode::OK
        }
        ChangeOutcome::NotAccepted if response.conflicts.is_empty() => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        ChangeOutcome::NotAccepted => StatusCode::CONFLICT,
        ChangeOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Builds, validates and commits a change.
///
/// # Errors
///
/// Returns a [`CallError`] if the request is invalid or not permitted, if the store can't be read,
/// or if this daemon can't apply the newest settings. The outcome of the commit itself is reported
/// in the response.
pub async fn change(
    session: &mut Session,
    req: &ChangeRequest,
) -> Result<ChangeResponse, CallError> {
    let command = command_id(&session.operator, req)?;
    // The response to an earlier run of the command may have been lost after the store accepted the
    // change. Rebuilt from the current tree, the change would be empty or conflict with itself.
    if !req.dry_run
        && let Some(revision) = find_accepted(session, &command).await?
    {
        return Ok(new_response(ChangeOutcome::Accepted, Some(revision)));
    }
    // The default base is taken before the refresh: this operator can't have seen changes that
    // this daemon had not received yet, so they have to be checked for conflicts.
    let base = req.base.unwrap_or(session.settings.chain_point.revision);
    if !req.dry_run {
        refresh(session).await?;
    }
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let Some(change) = build_change(session, req).await? else {
            let newest = session.settings.chain_point.revision;
            return Ok(new_response(ChangeOutcome::Unchanged, Some(newest)));
        };
        let conflicts = find_conflicts(session, base, &change.edits).await?;
        if !conflicts.is_empty() {
            return Ok(conflict_response(conflicts, change.edits));
        }
        if req.dry_run {
            let edits = change.edits;
            return Ok(ChangeResponse {
                edits,
                ..new_response(ChangeOutcome::Checked, None)
            });
        }
        let outcome = (session.cx.commit)(build_proposal(&command, &change)).await;
        match handle_outcome(session, outcome, change) {
            CommitStep::Done(response) => return Ok(*response),
            CommitStep::Retry(newest) => refresh_to(session, newest).await?,
        }
    }
    Ok(not_accepted_response(
        "other changes kept coming first".to_string(),
    ))
}

/// Returns the identifier of the command in the store. It is a hash over the key, the name and the
/// action, so that a name reused by another key or for another action is a different command.
fn command_id(operator: &Operator, req: &ChangeRequest) -> Result<CommandId, CallError> {
    let invalid = InvalidValueSnafu {
        key: "command",
        found: &req.command,
        expected: "1 to 64 letters, digits, `-` or `_`",
    };
    CommandId::parse(&req.command).context(invalid)?;
    let digest = Digest::of(&json!([operator.id, req.command, req.action]));
    CommandId::parse(&digest.to_string()).context(invalid)
}

async fn find_accepted(
    session: &Session,
    command: &CommandId,
) -> Result<Option<Revision>, CallError> {
    let found = (session.cx.find_command)(command.clone()).await;
    found.context(StoreSnafu {
        step: "look for the command",
    })
}

/// Builds the change from the session's tree; `None` if the tree already is as requested.
async fn build_change(session: &Session, req: &ChangeRequest) -> Result<Option<Change>, CallError> {
    let before = &session.settings.tree;
    let after = match &req.action {
        Action::Undo { revision } => undone_tree(session, *revision).await?,
        action => apply_action(before, &session.operator, action)?,
    };
    let edits = before.diff(&after);
    session.operator.authorize_change(before, &after, &edits)?;
    let author = Author {
        command: req.command.as_str().into(),
        who: session.operator.key.holder.clone(),
        key: session.operator.id.clone(),
        at_ms: (session.cx.wall_clock_ms)(),
    };
    match Change::between(session.settings.chain_point, before, &after, author) {
        Err(SettingsError::Unchanged) => Ok(None),
        result => Ok(Some(result?)),
    }
}

fn apply_action(before: &Tree, operator: &Operator, action: &Action) -> Result<Tree, CallError> {
    let edits = match action {
        Action::Set { path, value } => {
            let path = parse_path_in_branch(before, operator, path)?;
            vec![put_edit(before, &path, Some(value.clone()))]
        }
        Action::Unset { path } => {
            let path = parse_path_in_branch(before, operator, path)?;
            let what = format!("node `{path}`");
            before.get(&path).context(NotFoundSnafu { what })?;
            vec![put_edit(before, &path, None)]
        }
        Action::Drain { target, draining } => drain::edits(before, operator, target, *draining)?,
        Action::Undo { .. } => Vec::new(),
    };
    Ok(before.edited(&edits)?)
}

/// Parses a path and checks that it lies in the operator's branch, before an error can reveal
/// anything about nodes elsewhere.
fn parse_path_in_branch(
    tree: &Tree,
    operator: &Operator,
    path: &str,
) -> Result<TreePath, CallError> {
    let path = TreePath::parse(path)?;
    // `require_within` treats a key that is not in the tree as one of the root, which would keep
    // branch keys from adding one. `authorize_change` checks the edits of keys instead.
    let is_operator_key = path.segments().len() > 1 && path.to_string().starts_with("operators/");
    if !is_operator_key {
        operator.require_within(tree, &path)?;
    }
    Ok(path)
}

async fn undone_tree(session: &Session, revision: Revision) -> Result<Tree, CallError> {
    let what = format!("change {revision}");
    let not_found = NotFoundSnafu { what };
    let before = Revision(revision.0.saturating_sub(1));
    let changes = session.read_changes(before, revision).await?;
    let change = changes.first().filter(|change| change.revision == revision);
    let change = change.context(not_found.clone())?;
    let tree = &session.settings.tree;
    // A change with edits outside the key's branch is reported as not found, so that the key learns
    // nothing about it.
    let entry = entry_for(session.branch(), tree, change);
    let complete = entry.filter(|entry| entry.edits == change.edits);
    complete.context(not_found)?;
    Ok(change.reverted(tree)?)
}

async fn find_conflicts(
    session: &Session,
    base: Revision,
    edits: &[Edit],
) -> Result<Vec<AuditEntry>, CallError> {
    let current = session.settings.chain_point.revision;
    if base >= current {
        return Ok(Vec::new());
    }
    let mut conflicts = Vec::new();
    for change in session.read_changes(base, current).await? {
        if edit::overlap(edits, &change.edits)? {
            conflicts.extend(entry_for(session.branch(), &session.settings.tree, &change));
        }
    }
    Ok(conflicts)
}

fn build_proposal(command: &CommandId, change: &Change) -> Proposal {
    Proposal {
        command: command.clone(),
        base: Revision(change.revision.0 - 1),
        change: json!(change).to_string().into(),
        hash: change.hash.to_string().into(),
    }
}

/// How to proceed after a commit attempt.
enum CommitStep {
    /// Returns this response.
    Done(Box<ChangeResponse>),
    /// Another change was committed first; rebuilds this one from at least the given revision.
    Retry(Revision),
}

fn handle_outcome(session: &Session, outcome: CommitOutcome, change: Change) -> CommitStep {
    let key = session.operator.id.to_string();
    let response = match outcome {
        CommitOutcome::Accepted(revision) => {
            log::info!(key:% = key, revision = revision.0; "change accepted");
            // Updates this daemon's settings now instead of with the next watch message.
            monoio::spawn((session.cx.refresh)());
            ChangeResponse {
                edits: change.edits,
                ..new_response(ChangeOutcome::Accepted, Some(revision))
            }
        }
        CommitOutcome::NotAccepted(Rejection::Conflict { newest, .. }) => {
            return CommitStep::Retry(newest);
        }
        CommitOutcome::NotAccepted(Rejection::Withdrawn) => not_accepted_response(
            "the store's answer was lost, and the change was withdrawn before it took effect"
                .to_string(),
        ),
        CommitOutcome::NotAccepted(Rejection::Failed(error)) => {
            not_accepted_response(format!("commit: {error}"))
        }
        CommitOutcome::Unknown(error) => {
            log::warn!(key:% = key, error:% = error; "outcome of a change unknown");
            ChangeResponse {
                reason: Some(format!("commit: {error}")),
                ..new_response(ChangeOutcome::Unknown, None)
            }
        }
    };
    CommitStep::Done(Box::new(response))
}

/// Refreshes the settings after a conflict and checks that they reached the conflicting revision.
///
/// A daemon of an older release can't read settings of a newer schema and keeps the ones it has.
/// Every change built from those would conflict again, so the call fails instead of retrying.
async fn refresh_to(session: &mut Session, newest: Revision) -> Result<(), CallError> {
    refresh(session).await?;
    let current = session.settings.chain_point.revision;
    let requested = newest;
    ensure!(
        current >= newest,
        RevisionNotInForceSnafu { requested, current }
    );
    Ok(())
}

async fn refresh(session: &mut Session) -> Result<(), CallError> {
    let step = "read the newest settings";
    let newest = (session.cx.refresh)().await.context(StoreSnafu { step })?;
    session.reauthenticate(newest)
}

fn new_response(outcome: ChangeOutcome, revision: Option<Revision>) -> ChangeResponse {
    ChangeResponse {
        outcome,
        revision,
        edits: Vec::new(),
        reason: None,
        conflicts: Vec::new(),
    }
}

fn not_accepted_response(reason: String) -> ChangeResponse {
    ChangeResponse {
        reason: Some(reason),
        ..new_response(ChangeOutcome::NotAccepted, None)
    }
}

fn conflict_response(conflicts: Vec<AuditEntry>, edits: Vec<Edit>) -> ChangeResponse {
    ChangeResponse {
        edits,
        conflicts,
        ..not_accepted_response("others have changed the same settings since".to_string())
    }
}
