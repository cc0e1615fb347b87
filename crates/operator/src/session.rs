//! One authenticated call.

use heatherknot_settings::{Change, Operator};
use heatherknot_store::commit::history::StoredChange;
use heatherknot_types::prelude::*;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use snafu::{OptionExt, ResultExt, ensure};

use crate::context::{CurrentSettings, OperatorContext};
use crate::error::{CallError, NoKeySnafu, StoreSnafu, TooFarSnafu, UnreadableChangeSnafu};

/// The most changes that one call reads.
const MAX_CHANGES: usize = 4096;
/// The most bytes of changes that one call reads, so that a daemon's memory stays bounded.
const MAX_BYTES: usize = 8 << 20;

/// The operator of one call and the settings that it sees.
pub struct Session {
    /// What the daemon gives.
    pub cx: OperatorContext,
    /// The settings in force when the call came, or when they were last refreshed.
    pub held: CurrentSettings,
    /// Who calls.
    pub operator: Operator,
    secret: String,
}

impl Session {
    /// Checks the operator's key against the settings in force.
    ///
    /// # Errors
    ///
    /// Gives [`CallError::NoKey`] or [`CallError::Refused`].
    pub fn open(cx: &OperatorContext, headers: &HeaderMap) -> Result<Session, CallError> {
        let secret = bearer(headers).context(NoKeySnafu)?;
        let held = (cx.current_settings)();
        let operator = Operator::authenticate(&held.tree, cx.first_key.as_ref(), secret)?;
        Ok(Session {
            cx: cx.clone(),
            held,
            operator,
            secret: secret.to_string(),
        })
    }

    /// Takes newer settings and checks the key again, which they may have taken away.
    ///
    /// # Errors
    ///
    /// Gives [`CallError::Refused`].
    pub fn renew(&mut self, held: CurrentSettings) -> Result<(), CallError> {
        let first = self.cx.first_key.as_ref();
        self.operator = Operator::authenticate(&held.tree, first, &self.secret)?;
        self.held = held;
        Ok(())
    }

    /// Gives the branch that the operator's key is bound to.
    pub fn branch(&self) -> &str {
        &self.operator.key.branch
    }

    /// Reads every change after one revision up to another.
    ///
    /// # Errors
    ///
    /// Gives [`CallError::Store`], [`CallError::UnreadableChange`] or [`CallError::TooFar`].
    pub async fn changes(&self, after: Revision, to: Revision) -> Result<Vec<Change>, CallError> {
        let mut changes: Vec<Change> = Vec::new();
        let (mut at, mut bytes) = (after, 0);
        while at < to {
            let page = self.page(at).await?;
            let wanted = page.0.into_iter().filter(|stored| stored.revision <= to);
            for stored in wanted {
                bytes += stored.change.len();
                at = stored.revision;
                changes.push(read_change(&stored)?);
            }
            let limit = MAX_CHANGES;
            ensure!(
                changes.len() <= limit && bytes <= MAX_BYTES,
                TooFarSnafu { limit }
            );
            if !page.1 {
                break;
            }
        }
        Ok(changes)
    }

    /// Reads one page of changes, and whether there are more.
    ///
    /// # Errors
    ///
    /// Gives [`CallError::Store`].
    pub async fn page(&self, after: Revision) -> Result<(Vec<StoredChange>, bool), CallError> {
        let step = "read history";
        let page = (self.cx.history)(after)
            .await
            .context(StoreSnafu { step })?;
        let more = page.more && !page.changes.is_empty();
        Ok((page.changes, more))
    }
}

/// Reads a change as the store holds it.
///
/// # Errors
///
/// Gives [`CallError::UnreadableChange`].
pub fn read_change(stored: &StoredChange) -> Result<Change, CallError> {
    let revision = stored.revision;
    serde_json::from_slice(&stored.change).context(UnreadableChangeSnafu { revision })
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}
