//! The calls of the interface, by the last part of their path.

use http::Method;

use crate::api::PATH_PREFIX;
use crate::error::{CallError, NoSuchCallSnafu};

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The node at a path.
    Get,
    /// The settings in force at a node.
    Effective,
    /// A change.
    Change,
    /// The difference between two revisions.
    Diff,
    /// The changes of the branch.
    History,
    /// The audit trail of the branch.
    Audit,
    /// Which revision is in force where.
    Status,
    /// A wait until a revision is in force.
    Wait,
    /// Why a caller goes where it goes.
    Explain,
    /// Who the operator is.
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

    /// Gives the last part of the path.
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

    /// Finds the call of a request.
    ///
    /// # Errors
    ///
    /// Gives [`CallError::NoSuchCall`].
    pub fn find(method: &Method, path: &str) -> Result<Call, CallError> {
        let name = path
            .strip_prefix(PATH_PREFIX)
            .filter(|_| method == Method::POST);
        let mut calls = Call::ALL.into_iter();
        let found = calls.find(|call| Some(call.as_str()) == name);
        found.ok_or_else(|| {
            let names: Vec<&str> = Call::ALL.iter().map(|call| call.as_str()).collect();
            let calls = names.join(", ");
            NoSuchCallSnafu { calls }.build()
        })
    }
}
