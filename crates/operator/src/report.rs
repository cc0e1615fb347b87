//! Calls that report what the daemons do.

use std::net::IpAddr;
use std::time::Duration;

use heatherknot_settings::{Right, TreePath};
use heatherknot_types::prelude::*;
use snafu::{OptionExt, ensure};

use crate::api::{
    DaemonStatus, ExplainRequest, ExplainResponse, MAX_WAIT_MS, RevisionCount, StatusResponse,
    WaitRequest, WaitResponse, WhoAmIResponse,
};
use crate::error::{CallError, NotFoundSnafu, ValueSnafu};
use crate::session::Session;

/// The pause between two looks at the daemons.
const LOOK_MS: u64 = 100;

/// Gives which revision is in force where. Names of VMs and failure domains are for keys of
/// the root; other keys get the counts.
pub async fn status(session: &Session) -> Result<StatusResponse, CallError> {
    session.operator.require(Right::Read)?;
    let daemons = (session.cx.status)().await;
    let counts = counts(&daemons);
    Ok(StatusResponse {
        revision: session.held.chain_point.revision,
        counts,
        daemons: if session.operator.key.covers("") {
            daemons
        } else {
            Vec::new()
        },
    })
}

fn counts(daemons: &[DaemonStatus]) -> Vec<RevisionCount> {
    let present = daemons.iter().filter(|daemon| daemon.counts());
    let mut revisions: Vec<Revision> = present.map(|daemon| daemon.revision).collect();
    revisions.sort_by(|a, b| b.cmp(a));
    let runs = revisions.chunk_by(|a, b| a == b);
    runs.map(|run| RevisionCount {
        revision: run[0],
        daemons: run.len(),
    })
    .collect()
}

/// Waits until a revision is in force on every daemon that isn't gone.
pub async fn wait(session: &Session, req: &WaitRequest) -> Result<WaitResponse, CallError> {
    session.operator.require(Right::Read)?;
    ensure!(
        req.timeout_ms <= MAX_WAIT_MS,
        ValueSnafu {
            key: "timeout_ms",
            found: req.timeout_ms.to_string(),
            expected: "at most 20000"
        }
    );
    let looks = req.timeout_ms / LOOK_MS;
    for look in 0..=looks {
        let counts = counts(&(session.cx.status)().await);
        let in_force = counts.iter().all(|count| count.revision >= req.revision);
        if in_force || look == looks {
            return Ok(WaitResponse { in_force, counts });
        }
        monoio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    Ok(WaitResponse {
        in_force: false,
        counts: Vec::new(),
    })
}

/// Explains where callers of a service go.
pub async fn explain(session: &Session, req: ExplainRequest) -> Result<ExplainResponse, CallError> {
    let path = TreePath::parse(&req.service)?;
    session.operator.authorize_read(&session.held.tree, &path)?;
    let address = req.client.split('/').next().unwrap_or("");
    ensure!(
        address.parse::<IpAddr>().is_ok(),
        ValueSnafu {
            key: "client",
            found: req.client.clone(),
            expected: "an IP address or a block such as 192.0.2.0/24"
        }
    );
    let what = format!("service `{}`", req.service);
    let explained = (session.cx.explain)(req).await;
    explained.context(NotFoundSnafu { what })
}

/// Says who the operator is.
pub fn whoami(session: &Session) -> WhoAmIResponse {
    WhoAmIResponse::from(&session.operator)
}
