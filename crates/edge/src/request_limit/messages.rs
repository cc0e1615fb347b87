//! Messages between the VMs that send requests to a limited backend server and the one that issues
//! the permits.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::observed::Observation;
use crate::upstream::Upstream;

/// An observation as it is sent to another VM, whose clock differs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Report {
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    limit: Option<f64>,
    #[serde(rename = "s")]
    sent_ago: Millis,
    #[serde(rename = "r")]
    received_ago: Millis,
}

impl Report {
    fn of(upstream: &Upstream, now: Millis) -> Option<Self> {
        let state = upstream.request_limit.borrow();
        let observation = state.as_ref()?.observed.latest()?;
        Some(Self {
            limit: observation.limit,
            sent_ago: now.since(observation.sent_at),
            received_ago: now.since(observation.received_at),
        })
    }

    fn to_observation(self, now: Millis) -> Observation {
        Observation {
            limit: self.limit,
            sent_at: now - self.sent_ago,
            received_at: now - self.received_ago,
        }
    }
}

/// Reports what a VM knows of a server's limit, and asks for a permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The server.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// When its run started, if it reported that.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
    /// Whether the VM wants to send a request.
    #[serde(rename = "w")]
    pub wants_permit: bool,
    #[serde(rename = "o")]
    report: Report,
}

impl PermitRequest {
    /// Creates the message about a server; `None` if it has stated no limit.
    pub fn new(upstream: &Upstream, wants_permit: bool, now: Millis) -> Option<Self> {
        Some(Self {
            upstream: upstream.id.clone(),
            started_at: upstream.started_at,
            wants_permit,
            report: Report::of(upstream, now)?,
        })
    }

    /// Returns what the VM knows of the limit.
    pub fn observation(&self, now: Millis) -> Observation {
        self.report.to_observation(now)
    }
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// When to ask again; `None` if the permit is issued.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<Millis>,
    /// Number of further permits that the VM gets in advance.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub advance: u32,
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    report: Option<Report>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl PermitAnswer {
    /// Creates the answer about a server; `result` is the number of further permits, or the time
    /// after which the VM may ask again if it gets none.
    pub fn new(result: Result<u32, Millis>, upstream: &Upstream, now: Millis) -> Self {
        Self {
            wait: result.err(),
            advance: result.unwrap_or(0),
            report: Report::of(upstream, now),
        }
    }

    /// Creates the answer about a server that this VM doesn't know.
    pub fn unknown_server(wait: Millis) -> Self {
        Self {
            wait: Some(wait),
            advance: 0,
            report: None,
        }
    }

    /// Returns what the issuer knows of the limit.
    pub fn observation(&self, now: Millis) -> Option<Observation> {
        self.report.map(|report| report.to_observation(now))
    }
}
