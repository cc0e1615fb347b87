//! Lists rollouts for operators.

use std::sync::Arc;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, Outcomes, RouteHash, ServerGroup};
use super::record::Stage;
use super::versions::ServiceVersions;
use crate::context::EdgeContext;

/// The path on a daemon's metrics address that lists the rollouts.
pub const ROLLOUTS_PATH: &str = "/rollouts";

/// What one VM knows of a service's latest rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatusRow {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get the traffic.
    pub target: VersionName,
    /// The version in use, if it is known.
    pub in_use: Option<VersionName>,
    /// The stage; `None` while the order has no record.
    pub stage: Option<Stage>,
    /// How long this VM has known of the stage.
    pub stage_ms_ago: Option<Millis>,
    /// Why the rollout is in that stage, or why the target version has failed.
    pub cause: String,
    /// Time from the order until the rollout has to end.
    pub time_limit: Millis,
    /// The VM that wrote the record.
    pub written_by: Option<VmName>,
    /// Versions of the service that were rolled back.
    pub rolled_back: Vec<VersionName>,
    /// The outcomes by route, if this VM collects them.
    pub evidence: Vec<RouteEvidence>,
}

/// How requests of one route ended at both versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route's name; `None` if it has been removed.
    pub route: Option<Arc<str>>,
    /// Outcomes at the target version.
    pub target: Outcomes,
    /// Outcomes at the previous version.
    pub previous: Outcomes,
}

/// Builds the page of [`ROLLOUTS_PATH`].
pub(crate) fn page(cx: &EdgeContext) -> Response {
    match serde_json::to_vec(&rows(cx)) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn rows(cx: &EdgeContext) -> Vec<RolloutStatusRow> {
    let routing_state = cx.routing_state.borrow();
    let rollouts = routing_state.versions().rollouts();
    let mut rows: Vec<RolloutStatusRow> = rollouts
        .filter_map(|(service, versions)| row(cx, service, versions))
        .collect();
    rows.sort_by(|a, b| a.service.cmp(&b.service));
    rows
}

fn row(
    cx: &EdgeContext,
    service: &ServiceName,
    versions: &ServiceVersions,
) -> Option<RolloutStatusRow> {
    let order = versions.order();
    let record = match order {
        Some(_) => versions.current_record(),
        None => versions.record(),
    };
    let target = match (order, record) {
        (Some(received), _) => received.order.target.clone(),
        (None, Some(record)) => record.record.target.clone(),
        (None, None) => return None,
    };
    let (failure, evidence) = order
        .filter(|_| record.is_none_or(|record| !record.record.stage.is_final()))
        .map(|received| {
            cx.rollouts.with_state(service, received.revision, |state| {
                (state.failure.clone(), state.totals.of_fleet())
            })
        })
        .unwrap_or_default();
    let latest = versions.record().map(|record| &record.record);
    let cause = failure.map(|cause| cause.to_string());
    let recorded_cause = record.map(|record| record.record.cause.clone());
    let time_limit = order.map(|received| received.order.time_limit);
    Some(RolloutStatusRow {
        service: service.clone(),
        target,
        in_use: versions.established().cloned(),
        stage: record.map(|record| record.record.stage),
        stage_ms_ago: record.map(|record| record.stage_began.age(cx.now())),
        cause: cause.or(recorded_cause).unwrap_or_default(),
        time_limit: time_limit.unwrap_or_else(|| latest.map_or(Millis(0), |r| r.time_limit)),
        written_by: record.map(|record| record.record.by.clone()),
        rolled_back: latest.map_or_else(Vec::new, |record| record.rolled_back.clone()),
        evidence: by_route(cx, &evidence),
    })
}

fn by_route(cx: &EdgeContext, evidence: &Evidence) -> Vec<RouteEvidence> {
    let mut routes = std::collections::BTreeMap::<RouteHash, (Outcomes, Outcomes)>::new();
    for (kind, group, outcomes) in evidence.counts() {
        let (target, previous) = routes.entry(kind.route()).or_default();
        match group {
            ServerGroup::Target(_) => target.add(outcomes),
            ServerGroup::Previous => previous.add(outcomes),
        }
    }
    let routing_state = cx.routing_state.borrow();
    let name_of = |hash: RouteHash| {
        let mut routes = routing_state.catalog()?.routes();
        let route = routes.find(|route| RouteHash::of(&route.name) == hash)?;
        Some(Arc::clone(&route.name))
    };
    let rows = routes
        .into_iter()
        .map(|(route, (target, previous))| RouteEvidence {
            route: name_of(route),
            target,
            previous,
        });
    rows.collect()
}
