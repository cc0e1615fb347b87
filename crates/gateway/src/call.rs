//! Parsing of a request's headers into a [`Call`].

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

/// The request header with the number of the attempt, starting at 1. Callers that retry a
/// request set it too.
pub const ATTEMPT_HEADER: &str = "heatherknot-attempt";

/// The system's own request headers that are passed to the gateway; the server removes all
/// others.
pub const KEPT_HEADERS: &[&str] = &[
    SERVICE_HEADER,
    CLASS_HEADER,
    DEADLINE_HEADER,
    ATTEMPT_HEADER,
    HOP_HEADER,
];

/// The longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 512;

/// The metadata of a request, taken from its headers and the settings in force.
#[derive(Clone, Debug)]
pub struct Call {
    /// The requested service.
    pub service: ServiceName,
    /// The settings in force when the request arrived.
    pub plan: Arc<Plan>,
    /// The priority class of the request.
    pub class: Class,
    /// When the gateway gives up, on its own clock, in milliseconds.
    pub deadline: Millis,
    /// The number of the attempt as stated by the caller, starting at 1.
    pub attempt: u8,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// The ticket or the caller's own idempotency key; only set if the request must not run
    /// twice.
    pub key: Option<Arc<str>>,
    /// The hop header, if another daemon forwarded the request.
    pub hop: Option<Hop>,
}

impl Call {
    /// Parses a request's headers.
    ///
    /// # Errors
    ///
    /// Returns the response to a request whose headers are invalid, whose service does not exist
    /// or which has passed too many daemons.
    pub fn from_head(
        head: &RequestHead,
        plan: Arc<Plan>,
        hop: Option<Hop>,
        now: Millis,
        max_deadline: Millis,
    ) -> Result<Call, Refusal> {
        let headers = &head.headers;
        let name = header_text(headers, SERVICE_HEADER)?
            .ok_or_else(|| bad_request(format!("the header {SERVICE_HEADER} is missing")))?;
        let service = ServiceName::from(name);
        let Some(settings) = plan.services.get(&service) else {
            let detail = format!("no service `{service}` at {}", plan.revision);
            return Err(Refusal::not_run(Reason::NoService, detail));
        };
        let class = parse_class(headers)?.unwrap_or(settings.class);
        let time_limit = parse_number(headers, DEADLINE_HEADER)?.map(Millis);
        let time_limit = time_limit.unwrap_or(settings.deadline).min(max_deadline);
        let attempt = parse_number(headers, ATTEMPT_HEADER)?.unwrap_or(1);
        let at_most_once = !is_idempotent(head, settings);
        let key = match at_most_once {
            true => parse_idempotency_key(headers)?,
            false => None,
        };
        if hop.as_ref().is_some_and(|hop| hop.passed >= MAX_DAEMONS) {
            return Err(bad_request(
                "the request passed too many daemons".to_owned(),
            ));
        }
        Ok(Call {
            service,
            class,
            deadline: now + time_limit,
            attempt: attempt.clamp(1, u64::from(u8::MAX)) as u8,
            at_most_once,
            key,
            hop,
            plan,
        })
    }

    /// Returns the settings of the service.
    ///
    /// # Panics
    ///
    /// Panics if the service is not in the plan, which [`Call::from_head`] rules out.
    pub fn settings(&self) -> &ServicePlan {
        &self.plan.services[&self.service]
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Returns the incarnation to which the previous daemon forwarded the request as its owner,
    /// if it did.
    pub fn owner_incarnation(&self) -> Option<Incarnation> {
        match self.hop.as_ref().map(|hop| &hop.reason) {
            Some(HopReason::Owner(incarnation)) => Some(*incarnation),
            _ => None,
        }
    }
}

/// Returns whether running a request twice is harmless.
pub fn is_idempotent(head: &RequestHead, settings: &ServicePlan) -> bool {
    if head.method == Method::GET || head.method == Method::HEAD {
        return true;
    }
    let path = normalize_path(head.path());
    let matches = |pattern: &String| match pattern.split_once(' ') {
        Some((method, prefix)) => {
            head.method.as_str() == method && is_under(&path, prefix.trim_start())
        }
        None if pattern.starts_with('/') => is_under(&path, pattern),
        None => head.method.as_str() == pattern,
    };
    !settings.at_most_once.iter().any(matches)
}

/// Returns whether `path` lies under `prefix`, comparing whole segments.
fn is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Normalizes a path: decodes percent-encoding and removes empty segments.
///
/// A backend server may route differently spelled paths to the same handler. Without
/// normalization, such a path would not match an `at_most_once` pattern, and a request that must
/// not run twice would be retried.
fn normalize_path(path: &str) -> String {
    let decoded = percent_decode(path);
    let mut normalized = String::with_capacity(decoded.len());
    for segment in decoded.split('/').filter(|s| !s.is_empty()) {
        normalized.push('/');
        normalized.push_str(segment);
    }
    normalized
}

fn percent_decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut pos = 0;
    while pos < bytes.len() {
        let hex = path.get(pos + 1..pos + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte {
            Some(byte) if bytes[pos] == b'%' => {
                decoded.push(byte);
                pos += 3;
            }
            _ => {
                decoded.push(bytes[pos]);
                pos += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn parse_class(headers: &HeaderMap) -> Result<Option<Class>, Refusal> {
    let Some(text) = header_text(headers, CLASS_HEADER)? else {
        return Ok(None);
    };
    let class = Class::ALL.into_iter().find(|class| class.as_str() == text);
    match class {
        Some(class) => Ok(Some(class)),
        None => Err(bad_request(format!(
            "{CLASS_HEADER} is `{text}`, expected `interactive` or `bulk`"
        ))),
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = header_text(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_LEN {
        return Err(bad_request(format!(
            "{IDEMPOTENCY_HEADER} has {} bytes, expected 1 to {MAX_KEY_LEN}",
            text.len()
        )));
    }
    Ok(Some(Arc::from(text)))
}

fn parse_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_request(format!(
            "{name} is `{text}`, expected a whole number"
        ))),
    }
}

/// Returns the text of a header that may occur at most once.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!("the header {name} stands twice")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad_request(format!("the header {name} is not plain text"))),
    }
}

fn bad_request(detail: String) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
