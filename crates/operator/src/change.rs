//! Changes of the settings: made from the newest tree, checked, and accepted by the store.

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
use crate::drain::{self, put};
use crate::error::{CallError, NotFoundSnafu, NotYetSnafu, StoreSnafu, ValueSnafu};
use crate::session::Session;

/// How often a change that lost a race is made again from the newer tree.
const MAX_RACES: u32 = 8;

/// Gives the HTTP status of an answer.
pub fn status(answer: &ChangeResponse) -> StatusCode {
    match answer.outcome {
        ChangeOutcome::Accepted | ChangeOutcome::Checked | ChangeOutcome::Unchanged => {
            StatusCode::OK
        }
        ChangeOutcome::NotAccepted if answer.conflicts.is_empty() => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        ChangeOutcome::NotAccepted => StatusCode::CONFLICT,
        ChangeOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Makes, checks and commits a change.
///
/// # Errors
///
/// Gives a [`CallError`] where the change was not accepted and can't be; the outcomes that the
/// store decides are in the answer.
pub async fn change(
    session: &mut Session,
    req: &ChangeRequest,
) -> Result<ChangeResponse, CallError> {
    let command = command_id(&session.operator, req)?;
    // The answer to an earlier run may have been lost after the store accepted the change. Made
    // again from today's tree, the change would be empty or conflict with itself.
    if !req.dry_run
        && let Some(revision) = find(session, &command).await?
    {
        return Ok(answer(ChangeOutcome::Accepted, Some(revision)));
    }
    // A change by another operator that this daemon hasn't heard of yet is one that this
    // operator can't have seen, so it counts as made since.
    let base = req.base.unwrap_or(session.held.chain_point.revision);
    if !req.dry_run {
        refresh(session).await?;
    }
    for _ in 0..MAX_RACES {
        let Some(made) = make(session, req).await? else {
            let newest = session.held.chain_point.revision;
            return Ok(answer(ChangeOutcome::Unchanged, Some(newest)));
        };
        let conflicts = conflicts(session, base, &made.edits).await?;
        if !conflicts.is_empty() {
            return Ok(conflict(conflicts, made.edits));
        }
        if req.dry_run {
            let edits = made.edits;
            return Ok(ChangeResponse {
                edits,
                ..answer(ChangeOutcome::Checked, None)
            });
        }
        let outcome = (session.cx.commit)(proposal(&command, &made)).await;
        match settled(session, outcome, made) {
            Settled::Answer(answer) => return Ok(*answer),
            Settled::Raced(newest) => catch_up(session, newest).await?,
        }
    }
    Ok(not_accepted("other changes kept coming first".to_string()))
}

/// Gives the identifier by which the store knows the command: one key's command can't be taken
/// for another's, nor for another change under the same name.
fn command_id(operator: &Operator, req: &ChangeRequest) -> Result<CommandId, CallError> {
    let invalid = ValueSnafu {
        key: "command",
        found: &req.command,
        expected: "1 to 64 letters, digits, `-` or `_`",
    };
    CommandId::parse(&req.command).context(invalid)?;
    let digest = Digest::of(&json!([operator.id, req.command, req.action]));
    CommandId::parse(&digest.to_string()).context(invalid)
}

async fn find(session: &Session, command: &CommandId) -> Result<Option<Revision>, CallError> {
    let found = (session.cx.find_command)(command.clone()).await;
    found.context(StoreSnafu {
        step: "look for the command",
    })
}

/// Makes the change from the tree held; none where that already is as asked.
async fn make(session: &Session, req: &ChangeRequest) -> Result<Option<Change>, CallError> {
    let before = &session.held.tree;
    let after = match &req.action {
        Action::Undo { revision } => undo(session, *revision).await?,
        action => edited(before, &session.operator, action)?,
    };
    let edits = before.diff(&after);
    session.operator.authorize_change(before, &after, &edits)?;
    let author = Author {
        command: req.command.as_str().into(),
        who: session.operator.key.holder.clone(),
        key: session.operator.id.clone(),
        at_ms: (session.cx.wall_clock_ms)(),
    };
    match Change::between(session.held.chain_point, before, &after, author) {
        Err(SettingsError::Unchanged) => Ok(None),
        made => Ok(Some(made?)),
    }
}

fn edited(before: &Tree, operator: &Operator, action: &Action) -> Result<Tree, CallError> {
    let edits = match action {
        Action::Set { path, value } => {
            let path = within(before, operator, path)?;
            vec![put(before, &path, Some(value.clone()))]
        }
        Action::Unset { path } => {
            let path = within(before, operator, path)?;
            let what = format!("node `{path}`");
            before.get(&path).context(NotFoundSnafu { what })?;
            vec![put(before, &path, None)]
        }
        Action::Drain { target, draining } => drain::edits(before, operator, target, *draining)?,
        Action::Undo { .. } => Vec::new(),
    };
    Ok(before.edited(&edits)?)
}

/// Reads a path, which must lie in the operator's branch before anything is told about it.
fn within(tree: &Tree, operator: &Operator, path: &str) -> Result<TreePath, CallError> {
    let path = TreePath::parse(path)?;
    let is_new_key = path.segments().len() > 1 && path.to_string().starts_with("operators/");
    if !is_new_key {
        operator.require_within(tree, &path)?;
    }
    Ok(path)
}

async fn undo(session: &Session, revision: Revision) -> Result<Tree, CallError> {
    let what = format!("change {revision}");
    let missing = NotFoundSnafu { what };
    let before = Revision(revision.0.saturating_sub(1));
    let changes = session.changes(before, revision).await?;
    let change = changes.first().filter(|change| change.revision == revision);
    let change = change.context(missing.clone())?;
    let tree = &session.held.tree;
    // A change that reaches beyond the branch is one that this key must not even hear of.
    let entry = entry_for(session.branch(), tree, change);
    let whole = entry.filter(|entry| entry.edits == change.edits);
    whole.context(missing)?;
    Ok(change.reverted(tree)?)
}

async fn conflicts(
    session: &Session,
    base: Revision,
    ours: &[Edit],
) -> Result<Vec<AuditEntry>, CallError> {
    let held = session.held.chain_point.revision;
    if base >= held {
        return Ok(Vec::new());
    }
    let mut conflicts = Vec::new();
    for change in session.changes(base, held).await? {
        if edit::overlap(ours, &change.edits)? {
            conflicts.extend(entry_for(session.branch(), &session.held.tree, &change));
        }
    }
    Ok(conflicts)
}

fn proposal(command: &CommandId, change: &Change) -> Proposal {
    Proposal {
        command: command.clone(),
        base: Revision(change.revision.0 - 1),
        change: json!(change).to_string().into(),
        hash: change.hash.to_string().into(),
    }
}

/// What the store's outcome comes to.
enum Settled {
    /// The answer.
    Answer(Box<ChangeResponse>),
    /// Another change came first; this one is to be made again from the given revision.
    Raced(Revision),
}

fn settled(session: &Session, outcome: CommitOutcome, change: Change) -> Settled {
    let key = session.operator.id.to_string();
    let answer = match outcome {
        CommitOutcome::Accepted(revision) => {
            log::info!(key:% = key, revision = revision.0; "change accepted");
            // The daemon's own copy follows at once instead of with the next watch message.
            monoio::spawn((session.cx.refresh)());
            ChangeResponse {
                edits: change.edits,
                ..answer(ChangeOutcome::Accepted, Some(revision))
            }
        }
        CommitOutcome::NotAccepted(Rejection::Conflict { newest, .. }) => {
            return Settled::Raced(newest);
        }
        CommitOutcome::NotAccepted(Rejection::Withdrawn) => not_accepted(
            "the store's answer was lost, and the change was withdrawn before it took effect"
                .to_string(),
        ),
        CommitOutcome::NotAccepted(Rejection::Failed(error)) => {
            not_accepted(format!("commit: {error}"))
        }
        CommitOutcome::Unknown(error) => {
            log::warn!(key:% = key, error:% = error; "outcome of a change unknown");
            ChangeResponse {
                reason: Some(format!("commit: {error}")),
                ..answer(ChangeOutcome::Unknown, None)
            }
        }
    };
    Settled::Answer(Box::new(answer))
}

/// Takes the settings that a change lost its race to.
///
/// A daemon of an older release can't read newer settings and holds on to what it has; every
/// change made from that would lose again, so the operator is told to ask another daemon.
async fn catch_up(session: &mut Session, newest: Revision) -> Result<(), CallError> {
    refresh(session).await?;
    let held = session.held.chain_point.revision;
    let asked = newest;
    ensure!(held >= newest, NotYetSnafu { asked, held });
    Ok(())
}

async fn refresh(session: &mut Session) -> Result<(), CallError> {
    let step = "read the newest settings";
    let held = (session.cx.refresh)().await.context(StoreSnafu { step })?;
    session.renew(held)
}

fn answer(outcome: ChangeOutcome, revision: Option<Revision>) -> ChangeResponse {
    ChangeResponse {
        outcome,
        revision,
        edits: Vec::new(),
        reason: None,
        conflicts: Vec::new(),
    }
}

fn not_accepted(reason: String) -> ChangeResponse {
    ChangeResponse {
        reason: Some(reason),
        ..answer(ChangeOutcome::NotAccepted, None)
    }
}

fn conflict(conflicts: Vec<AuditEntry>, edits: Vec<Edit>) -> ChangeResponse {
    ChangeResponse {
        edits,
        conflicts,
        ..not_accepted("others have changed the same settings since".to_string())
    }
}
