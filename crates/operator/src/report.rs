//! Calls that report the state of daemons and routing.

use std::net::IpAddr;
use std::time::Duration;

use heatherknot_settings::{Right, TreePath};
use heatherknot_types::prelude::*;
use snafu::{OptionExt, ensure};

use crate::api::{
    DaemonStatus, ExplainRequest, ExplainResponse, MAX_WAIT_MS, RevisionCount, StatusResponse,
    WaitRequest, WaitResponse, WhoAmIResponse,
};
use crate::error::{CallError, InvalidValueSnafu, NotFoundSnafu};
use crate::session::Session;

/// The interval at which a wait polls the daemons' status, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Reports which revision is in force on how many daemons. Only keys of the root see the names of
/// VMs and failure domains.
pub async fn status(session: &Session) -> Result<StatusResponse, CallError> {
    session.operator.require(Right::Read)?;
    let daemons = (session.cx.status)().await;
    let counts = count_by_revision(&daemons);
    Ok(StatusResponse {
        revision: session.settings.chain_point.revision,
        counts,
        daemons: if session.operator.key.covers("") {
            daemons
        } else {
            Vec::new()
        },
    })
}

fn count_by_revision(daemons: &[DaemonStatus]) -> Vec<RevisionCount> {
    let present = daemons.iter().filter(|daemon| daemon.is_present());
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
        InvalidValueSnafu {
            key: "timeout_ms",
            found: req.timeout_ms.to_string(),
            expected: "at most 20000"
        }
    );
    let last_poll = req.timeout_ms / POLL_INTERVAL_MS;
    for poll in 0..=last_poll {
        let counts = count_by_revision(&(session.cx.status)().await);
        let in_force = counts.iter().all(|count| count.revision >= req.revision);
        if in_force || poll == last_poll {
            return Ok(WaitResponse { in_force, counts });
        }
        monoio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    Ok(WaitResponse {
        in_force: false,
        counts: Vec::new(),
    })
}

/// Explains where callers of a service are routed.
pub async fn explain(session: &Session, req: ExplainRequest) -> Result<ExplainResponse, CallError> {
    let path = TreePath::parse(&req.service)?;
    session
        .operator
        .authorize_read(&session.settings.tree, &path)?;
    let address = req.client.split('/').next().unwrap_or("");
    ensure!(
        address.parse::<IpAddr>().is_ok(),
        InvalidValueSnafu {
            key: "client",
            found: req.client.clone(),
            expected: "an IP address or a block such as 192.0.2.0/24"
        }
    );
    let what = format!("service `{}`", req.service);
    let explanation = (session.cx.explain)(req).await;
    explanation.context(NotFoundSnafu { what })
}

/// Describes the operator's key.
pub fn whoami(session: &Session) -> WhoAmIResponse {
    WhoAmIResponse::from(&session.operator)
}
