//! The state of one authenticated call.

use heatherknot_settings::{Change, Operator};
use heatherknot_store::commit::history::StoredChange;
use heatherknot_types::prelude::*;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use snafu::{OptionExt, ResultExt, ensure};

use crate::context::{CurrentSettings, OperatorContext};
use crate::error::{
    CallError, MissingKeySnafu, RangeTooLargeSnafu, StoreSnafu, UnreadableChangeSnafu,
};

/// The maximum number of changes that one call reads.
const MAX_CHANGES: usize = 4096;
/// The maximum size of the changes that one call reads, in bytes; bounds the daemon's memory use.
const MAX_CHANGE_BYTES: usize = 8 << 20;

/// An authenticated operator and the settings that the call works on.
pub struct Session {
    /// The daemon's callbacks.
    pub cx: OperatorContext,
    /// The settings in force when the call arrived or when they were last refreshed.
    pub settings: CurrentSettings,
    /// The authenticated operator.
    pub operator: Operator,
    secret: String,
}

impl Session {
    /// Authenticates the bearer token against the settings in force.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::MissingKey`] or [`CallError::AccessDenied`].
    pub fn open(cx: &OperatorContext, headers: &HeaderMap) -> Result<Session, CallError> {
        let secret = bearer_token(headers).context(MissingKeySnafu)?;
        let settings = (cx.current_settings)();
        let operator = Operator::authenticate(&settings.tree, cx.first_key.as_ref(), secret)?;
        Ok(Session {
            cx: cx.clone(),
            settings,
            operator,
            secret: secret.to_string(),
        })
    }

    /// Replaces the settings with newer ones and authenticates again, since the newer settings may
    /// have revoked the key.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::AccessDenied`].
    pub fn reauthenticate(&mut self, settings: CurrentSettings) -> Result<(), CallError> {
        let first_key = self.cx.first_key.as_ref();
        self.operator = Operator::authenticate(&settings.tree, first_key, &self.secret)?;
        self.settings = settings;
        Ok(())
    }

    /// Returns the branch that the operator's key is bound to.
    pub fn branch(&self) -> &str {
        &self.operator.key.branch
    }

    /// Reads every change after revision `after`, up to and including `to`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Store`], [`CallError::UnreadableChange`] or
    /// [`CallError::RangeTooLarge`].
    pub async fn read_changes(
        &self,
        after: Revision,
        to: Revision,
    ) -> Result<Vec<Change>, CallError> {
        let mut changes: Vec<Change> = Vec::new();
        let (mut at, mut bytes) = (after, 0);
        while at < to {
            let page = self.read_page(at).await?;
            let in_range = page.0.into_iter().filter(|stored| stored.revision <= to);
            for stored in in_range {
                bytes += stored.change.len();
                at = stored.revision;
                changes.push(parse_change(&stored)?);
            }
            let limit = MAX_CHANGES;
            ensure!(
                changes.len() <= limit && bytes <= MAX_CHANGE_BYTES,
                RangeTooLargeSnafu { limit }
            );
            if !page.1 {
                break;
            }
        }
        Ok(changes)
    }

    /// Reads one page of the changes after a revision, and returns whether more follow.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Store`].
    pub async fn read_page(&self, after: Revision) -> Result<(Vec<StoredChange>, bool), CallError> {
        let step = "read history";
        let page = (self.cx.history)(after)
            .await
            .context(StoreSnafu { step })?;
        let more = page.more && !page.changes.is_empty();
        Ok((page.changes, more))
    }
}

/// Parses a change from its stored form.
///
/// # Errors
///
/// Returns [`CallError::UnreadableChange`].
pub fn parse_change(stored: &StoredChange) -> Result<Change, CallError> {
    let revision = stored.revision;
    serde_json::from_slice(&stored.change).context(UnreadableChangeSnafu { revision })
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}
