//! A caller's request as the gateway understands it.

use std::sync::Arc;

use heatherknot_http::RequestHead;
use heatherknot_types::outcome::{
    CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, SERVICE_HEADER,
};
use heatherknot_types::plan::{Plan, ServicePlan};
use heatherknot_types::prelude::*;
use http::{HeaderMap, Method};

use crate::answer::{Reason, Refusal};
use crate::hop::{HOP_HEADER, Hop, HopReason, MAX_DAEMONS};

/// The request header that holds the number of the attempt, from 1. A caller that sends a
/// request again states it too.
pub const ATTEMPT_HEADER: &str = "heatherknot-attempt";

/// The system's own request headers that reach the gateway; others are removed before.
pub const KEPT_HEADERS: &[&str] = &[
    SERVICE_HEADER,
    CLASS_HEADER,
    DEADLINE_HEADER,
    ATTEMPT_HEADER,
    HOP_HEADER,
];

/// The longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 512;

/// A request and what its headers and the settings in force say of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The settings in force when the request came.
    pub plan: Arc<Plan>,
    /// How urgent it is.
    pub class: Class,
    /// When the gateway gives up, on its own clock.
    pub deadline: Millis,
    /// The attempt that the caller states, from 1.
    pub attempt: u8,
    /// Whether it must not run twice.
    pub at_most_once: bool,
    /// The ticket or the caller's own key, where the request must not run twice.
    pub key: Option<Arc<str>>,
    /// What the daemon before says, where there is one.
    pub hop: Option<Hop>,
}

impl Call {
    /// Reads a request's headers.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that can't be understood.
    pub fn of_head(
        head: &RequestHead,
        plan: Arc<Plan>,
        hop: Option<Hop>,
        now: Millis,
        max_deadline: Millis,
    ) -> Result<Call, Refusal> {
        let headers = &head.headers;
        let name = text_of(headers, SERVICE_HEADER)?
            .ok_or_else(|| bad(format!("the header {SERVICE_HEADER} is missing")))?;
        let service = ServiceName::from(name);
        let Some(settings) = plan.services.get(&service) else {
            let detail = format!("no service `{service}` at {}", plan.revision);
            return Err(Refusal::not_run(Reason::NoService, detail));
        };
        let class = class_of(headers)?.unwrap_or(settings.class);
        let span = number_of(headers, DEADLINE_HEADER)?.map(Millis);
        let span = span.unwrap_or(settings.deadline).min(max_deadline);
        let attempt = number_of(headers, ATTEMPT_HEADER)?.unwrap_or(1);
        let at_most_once = !is_idempotent(head, settings);
        let key = match at_most_once {
            true => key_of(headers)?,
            false => None,
        };
        if hop.as_ref().is_some_and(|hop| hop.passed >= MAX_DAEMONS) {
            return Err(bad("the request passed too many daemons".to_owned()));
        }
        Ok(Call {
            service,
            class,
            deadline: now + span,
            attempt: attempt.clamp(1, u64::from(u8::MAX)) as u8,
            at_most_once,
            key,
            hop,
            plan,
        })
    }

    /// Gives the settings of the service.
    ///
    /// # Panics
    ///
    /// Panics where the service is not in the plan, which [`Call::of_head`] rules out.
    pub fn settings(&self) -> &ServicePlan {
        &self.plan.services[&self.service]
    }

    /// Gives the time left.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Says whether the daemon before handed the request to this one as its owner.
    pub fn owner_incarnation(&self) -> Option<Incarnation> {
        match self.hop.as_ref().map(|hop| &hop.reason) {
            Some(HopReason::Owner(incarnation)) => Some(*incarnation),
            _ => None,
        }
    }
}

/// Says whether a request may run twice without harm.
pub fn is_idempotent(head: &RequestHead, settings: &ServicePlan) -> bool {
    if head.method == Method::GET || head.method == Method::HEAD {
        return true;
    }
    let path = normal_path(head.path());
    let matches = |route: &String| match route.split_once(' ') {
        Some((method, prefix)) => {
            head.method.as_str() == method && is_under(&path, prefix.trim_start())
        }
        None if route.starts_with('/') => is_under(&path, route),
        None => head.method.as_str() == route,
    };
    !settings.at_most_once.iter().any(matches)
}

/// Says whether a path lies under a prefix, by whole segments.
fn is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Undoes the spellings with which a backend server would still find the same route. A request
/// that escaped a pattern by its spelling would be retried although it must not run twice.
fn normal_path(path: &str) -> String {
    let decoded = percent_decoded(path);
    let mut normal = String::with_capacity(decoded.len());
    for segment in decoded.split('/').filter(|s| !s.is_empty()) {
        normal.push('/');
        normal.push_str(segment);
    }
    normal
}

fn percent_decoded(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = path.get(at + 1..at + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte {
            Some(byte) if bytes[at] == b'%' => {
                decoded.push(byte);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn class_of(headers: &HeaderMap) -> Result<Option<Class>, Refusal> {
    let Some(text) = text_of(headers, CLASS_HEADER)? else {
        return Ok(None);
    };
    let class = Class::ALL.into_iter().find(|class| class.as_str() == text);
    match class {
        Some(class) => Ok(Some(class)),
        None => Err(bad(format!(
            "{CLASS_HEADER} is `{text}`, expected `interactive` or `bulk`"
        ))),
    }
}

fn key_of(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = text_of(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_LEN {
        return Err(bad(format!(
            "{IDEMPOTENCY_HEADER} has {} bytes, expected 1 to {MAX_KEY_LEN}",
            text.len()
        )));
    }
    Ok(Some(Arc::from(text)))
}

fn number_of(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = text_of(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad(format!("{name} is `{text}`, expected a whole number"))),
    }
}

/// Gives the text of a header that may stand once.
fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(format!("the header {name} stands twice")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad(format!("the header {name} is not plain text"))),
    }
}

fn bad(detail: String) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
