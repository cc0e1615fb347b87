//! Operators' view of admission.

use std::collections::BTreeMap;

use heatherknot_http::Response;
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::control::UrgencyReport;
use super::fair_share::AccountUsage;
use super::urgency::Urgency;
use crate::context::EdgeContext;

/// Path of the admission on the metrics address.
pub const ADMISSION_PATH: &str = "/admission";

/// Number of accounts listed of each urgency.
const MAX_LISTED_ACCOUNTS: usize = 10;

/// Admission of one service at one VM in the last two seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceAdmission {
    /// The service.
    pub service: ServiceName,
    /// Its requests by urgency, the most urgent first.
    pub urgencies: Vec<UrgencyStatus>,
}

/// Requests of one urgency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UrgencyStatus {
    /// The urgency.
    pub urgency: Urgency,
    /// Requests that asked for a slot.
    pub asked: u64,
    /// Requests that were sent.
    pub admitted: u64,
    /// Requests rejected, by cause.
    pub rejected: BTreeMap<String, u64>,
    /// Requests rejected for lack of room in the last second. They hold back less urgent ones.
    pub pressure: u64,
    /// Whether more urgent requests hold these back.
    pub is_held_back: bool,
    /// Fair share of an account in milliseconds of slot time; missing while each gets what it asks
    /// for.
    pub share_ms: Option<f64>,
    /// The accounts that ask for most of those that ask for more than the fair share.
    pub over_share: Vec<AccountStatus>,
}

/// An account that asks for more than its fair share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// The account; missing for all requests without one.
    pub account: Option<AccountName>,
    /// Slot time that it asked for, in milliseconds.
    pub asked_ms: u64,
    /// Slot time that was rejected, in milliseconds.
    pub rejected_ms: u64,
}

/// Returns the admission of all services that had requests, sorted by name.
pub(crate) fn statuses(cx: &EdgeContext) -> Vec<ServiceAdmission> {
    let now = cx.now();
    let services = cx.services.borrow();
    let statuses = services.iter().map(|(service, state)| ServiceAdmission {
        service: service.clone(),
        urgencies: state
            .admission
            .report(now)
            .into_iter()
            .map(status_of)
            .collect(),
    });
    let with_requests = statuses.filter(|status| !status.urgencies.is_empty());
    let mut statuses: Vec<ServiceAdmission> = with_requests.collect();
    statuses.sort_by(|a, b| a.service.cmp(&b.service));
    statuses
}

fn status_of(report: UrgencyReport) -> UrgencyStatus {
    let rejected = report.rejected.into_iter();
    let over_share = report.over_share.iter().take(MAX_LISTED_ACCOUNTS);
    UrgencyStatus {
        urgency: report.urgency,
        asked: report.asked as u64,
        admitted: report.admitted as u64,
        rejected: rejected
            .map(|(cause, count)| (cause.text().to_owned(), count as u64))
            .collect(),
        pressure: report.pressure as u64,
        is_held_back: report.is_held_back,
        share_ms: report.share_ms,
        over_share: over_share.map(account_status).collect(),
    }
}

fn account_status(usage: &AccountUsage) -> AccountStatus {
    AccountStatus {
        account: usage.account.clone(),
        asked_ms: usage.asked_ms as u64,
        rejected_ms: (usage.asked_ms - usage.admitted_ms).max(0.0) as u64,
    }
}

/// Returns the page of the metrics address that lists the admission of all services.
pub(crate) fn page(cx: &EdgeContext) -> Response {
    match serde_json::to_vec(&statuses(cx)) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
