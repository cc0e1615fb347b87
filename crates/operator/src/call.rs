//! The calls of the operator API, named by the last segment of the path.

use http::Method;

use crate::api::PATH_PREFIX;
use crate::error::{CallError, UnknownCallSnafu};

/// A call of the operator API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Returns the node at a path.
    Get,
    /// Returns the settings in force at a node.
    Effective,
    /// Changes the settings.
    Change,
    /// Returns the difference between two revisions.
    Diff,
    /// Lists the changes of the key's branch.
    History,
    /// Returns the audit trail of the key's branch.
    Audit,
    /// Reports the revision in force on each daemon.
    Status,
    /// Waits until a revision is in force on every daemon.
    Wait,
    /// Explains how a caller is routed.
    Explain,
    /// Describes the operator's key.
    WhoAmI,
}

impl Call {
    const ALL: [Call; 10] = [
        Call::Get,
        Call::Effective,
        Call::Change,
        Call::Diff,
        Call::History,
        Call::Audit,
        Call::Status,
        Call::Wait,
        Call::Explain,
        Call::WhoAmI,
    ];

    /// Returns the name of the call, which is the last segment of its path.
    pub fn as_str(self) -> &'static str {
        match self {
            Call::Get => "get",
            Call::Effective => "effective",
            Call::Change => "change",
            Call::Diff => "diff",
            Call::History => "history",
            Call::Audit => "audit",
            Call::Status => "status",
            Call::Wait => "wait",
            Call::Explain => "explain",
            Call::WhoAmI => "whoami",
        }
    }

    /// Returns the call for a method and path.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::UnknownCall`].
    pub fn find(method: &Method, path: &str) -> Result<Call, CallError> {
        let name = path
            .strip_prefix(PATH_PREFIX)
            .filter(|_| method == Method::POST);
        let mut calls = Call::ALL.into_iter();
        let found = calls.find(|call| Some(call.as_str()) == name);
        found.ok_or_else(|| {
            let names: Vec<&str> = Call::ALL.iter().map(|call| call.as_str()).collect();
            let calls = names.join(", ");
            UnknownCallSnafu { calls }.build()
        })
    }
}
