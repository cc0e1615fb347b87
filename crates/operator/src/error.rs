//! The error of an operator call and its HTTP status.

use heatherknot_http::BodyError;
use heatherknot_settings::{Denied, SettingsError};
use heatherknot_store::error::StoreError;
use heatherknot_types::prelude::*;
use http::StatusCode;
use snafu::Snafu;

/// The error of an operator call. A call that returns one has not changed any settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The method and path match no call.
    #[snafu(display("no such call; expected POST /v1/<call> with one of {calls}"))]
    UnknownCall {
        /// The names of all calls, separated by commas.
        calls: String,
    },
    /// The request has no bearer token.
    #[snafu(display("no operator's key: expected the header `authorization: Bearer <key>`"))]
    MissingKey,
    /// The key is unknown or lacks the permission.
    #[snafu(display("{source}"), context(false))]
    AccessDenied {
        /// The cause.
        source: Denied,
    },
    /// Reading the request body failed.
    #[snafu(display("read request: {source}"))]
    ReadBody {
        /// The cause.
        source: BodyError,
    },
    /// The body is not valid JSON for this call.
    #[snafu(display("read request of `{call}`: {source}"))]
    MalformedBody {
        /// The name of the call.
        call: &'static str,
        /// The parse error, with line and column.
        source: serde_json::Error,
    },
    /// A value in the request is invalid.
    #[snafu(display("key `{key}`: found `{found}`, expected {expected}"))]
    InvalidValue {
        /// The JSON key of the value.
        key: &'static str,
        /// The value found.
        found: String,
        /// The values allowed.
        expected: &'static str,
    },
    /// The settings rejected the request.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// The requested object does not exist in the key's branch.
    #[snafu(display("no {what} in the branch of the key"))]
    NotFound {
        /// A description of the object.
        what: String,
    },
    /// A call to the store failed.
    #[snafu(display("{step}: {source}"))]
    Store {
        /// The operation that needed the store.
        step: &'static str,
        /// The error from the store.
        source: StoreError,
    },
    /// A change in the store can't be parsed.
    #[snafu(display("read history: {revision}: {source}"))]
    UnreadableChange {
        /// The revision of the change.
        revision: Revision,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The range of revisions holds more changes or bytes than one call may read.
    #[snafu(display("read history: the range holds more than {limit} changes or too many bytes"))]
    RangeTooLarge {
        /// The maximum number of changes.
        limit: usize,
    },
    /// The requested revision is newer than the one in force on this daemon.
    #[snafu(display("{requested} is not in force here; the newest here is {current}"))]
    RevisionNotInForce {
        /// The requested revision.
        requested: Revision,
        /// The revision in force.
        current: Revision,
    },
}

impl CallError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::UnknownCall { .. } | CallError::NotFound { .. } => StatusCode::NOT_FOUND,
            CallError::MissingKey => StatusCode::UNAUTHORIZED,
            CallError::AccessDenied { source } => match source {
                Denied::UnknownKey => StatusCode::UNAUTHORIZED,
                _ => StatusCode::FORBIDDEN,
            },
            CallError::ReadBody { source } => source.status(),
            CallError::MalformedBody { .. } | CallError::InvalidValue { .. } => {
                StatusCode::BAD_REQUEST
            }
            CallError::Settings { source } => match source {
                SettingsError::Missing { .. } => StatusCode::NOT_FOUND,
                SettingsError::Conflict { .. }
                | SettingsError::Dropped { .. }
                | SettingsError::Unchanged => StatusCode::CONFLICT,
                SettingsError::Path { .. } => StatusCode::BAD_REQUEST,
                _ => StatusCode::UNPROCESSABLE_ENTITY,
            },
            CallError::Store { .. } | CallError::RevisionNotInForce { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            CallError::UnreadableChange { .. } => StatusCode::INTERNAL_SERVER_ERROR,
            CallError::RangeTooLarge { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}
