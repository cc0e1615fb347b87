//! What callers ask of a daemon: look-ups, and requests to services.

use std::net::IpAddr;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_http::{Handler, Request, Response};
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::header::{CACHE_CONTROL, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::context::DaemonContext;
use crate::lookup::answer::LOOKUP_PATH;
use crate::lookup::respond::{LookupError, LookupRequest, check_service, look_up};

/// Seconds after which a refused look-up may be repeated.
const RETRY_AFTER_SECS: HeaderValue = HeaderValue::from_static("1");

/// Makes the handler of the daemon's address for callers.
pub fn handler(cx: &Rc<DaemonContext>) -> Handler {
    let cx = Rc::clone(cx);
    Rc::new(move |req| -> LocalBoxFuture<'static, Response> {
        let own = match req.head.path() {
            LOOKUP_PATH => Some(answer_lookup(&cx, &req)),
            TICKET_PATH => Some(answer_ticket(&cx, &req)),
            _ => None,
        };
        if let Some(response) = own {
            return Box::pin(std::future::ready(response));
        }
        let gateway = Rc::clone(&cx.gateway);
        Box::pin(async move { gateway.handle(req).await })
    })
}

/// The path at which an entry VM gives tickets for non-idempotent requests to itself.
pub const TICKET_PATH: &str = "/heatherknot/v1/ticket";

/// A ticket: the value of the idempotency key of one request to the VM that gave it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The VM that runs the request.
    pub vm: VmName,
    /// The value of the idempotency key.
    pub ticket: String,
}

fn answer_ticket(cx: &DaemonContext, req: &Request) -> Response {
    let asked = parse_lookup(req).and_then(|asked| check_service(cx, &asked.service));
    match asked {
        Ok(service) => {
            let ticket = cx.gateway.new_ticket(&service);
            let answer = TicketAnswer {
                vm: cx.me.vm.clone(),
                ticket,
            };
            let body = serde_json::to_vec(&answer).expect("an answer always serialises");
            Response::json(StatusCode::OK, body)
        }
        Err(error) => refuse_lookup(&error),
    }
}

/// A refusal as callers read it.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
}

fn answer_lookup(cx: &DaemonContext, req: &Request) -> Response {
    let asked = parse_lookup(req).and_then(|asked| look_up(cx, &asked));
    match asked {
        Ok(answer) => {
            cx.metrics.lookups.inc();
            let max_age = format!("max-age={}", answer.ttl_ms.0 / 1000);
            let body = serde_json::to_vec(&answer).expect("an answer always serialises");
            let response = Response::json(StatusCode::OK, body);
            match HeaderValue::try_from(max_age) {
                Ok(value) => response.with_header(CACHE_CONTROL, value),
                Err(_) => response,
            }
        }
        Err(error) => {
            cx.metrics.lookups_refused.inc();
            refuse_lookup(&error)
        }
    }
}

fn refuse_lookup(error: &LookupError) -> Response {
    let status = match error {
        LookupError::BadRequest { .. } => StatusCode::BAD_REQUEST,
        LookupError::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
        LookupError::UnknownService { .. } => StatusCode::NOT_FOUND,
        LookupError::NoSettings | LookupError::NoPlace { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    let text = error.to_string();
    let body = serde_json::to_vec(&RefusalBody { error: &text }).expect("text always serialises");
    let outcome = HeaderValue::from_static(Outcome::NotRun.as_str());
    let response =
        Response::json(status, body).with_header(HeaderName::from_static(OUTCOME_HEADER), outcome);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return response.with_header(RETRY_AFTER, RETRY_AFTER_SECS);
    }
    response
}

fn parse_lookup(req: &Request) -> Result<LookupRequest, LookupError> {
    if req.head.method != Method::GET {
        return Err(LookupError::BadMethod);
    }
    let bad = |key, found: &str, expected| LookupError::BadRequest {
        key,
        found: found.to_owned(),
        expected,
    };
    let mut service = None;
    let mut caller = req.peer.ip();
    for pair in req
        .head
        .uri
        .query()
        .unwrap_or("")
        .split('&')
        .filter(|p| !p.is_empty())
    {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        match key {
            "service" => service = Some(ServiceName::from(value)),
            "block" => {
                let parsed = value.parse::<IpAddr>();
                caller = parsed.map_err(|_| bad("block", value, "an IP address"))?;
            }
            _ => return Err(bad("query", key, "service or block")),
        }
    }
    let service = service.ok_or_else(|| bad("service", "nothing", "account-path:service"))?;
    Ok(LookupRequest { service, caller })
}
