//! Answering a look-up from the decisions and the known VMs.

use std::net::IpAddr;

use heatherknot_steering::lookup::LookupAnswer as Decided;
use heatherknot_types::prelude::*;
use snafu::Snafu;

use super::answer::{LookupAnswer, LookupEntry};
use super::order::{block_bytes, block_of, order};
use crate::context::DaemonContext;

/// How long an answer may be kept that rests on no decision.
const UNDECIDED_TTL: Millis = Millis(1_000);

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct LookupRequest {
    /// The service, as `account-path:service`.
    pub service: ServiceName,
    /// The address whose block decides: the caller's, or the one that a resolver names.
    pub caller: IpAddr,
}

/// Why a look-up was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LookupError {
    /// A part of the query can't be used.
    #[snafu(display("look-up: {key}: found {found}, expected {expected}"))]
    BadRequest {
        /// The part.
        key: &'static str,
        /// What was found.
        found: String,
        /// What would be accepted.
        expected: &'static str,
    },
    /// Look-ups are `GET` requests.
    #[snafu(display("look-up: only GET is accepted"))]
    BadMethod,
    /// This daemon has no settings yet.
    #[snafu(display("look-up: waiting for settings from the platform's store or from a peer"))]
    NoSettings,
    /// The settings in force have no such service.
    #[snafu(display("look-up: {service} is not a service at {revision}"))]
    UnknownService {
        /// The service asked for.
        service: ServiceName,
        /// The settings in force.
        revision: Revision,
    },
    /// No entry VM may be named.
    #[snafu(display("look-up: no entry VM is known that takes requests of {service}"))]
    NoPlace {
        /// The service asked for.
        service: ServiceName,
    },
}

/// Answers a look-up. It needs nothing but what this daemon holds, so it works while the
/// store, the other failure domains or most VMs are away.
///
/// # Errors
///
/// Fails without settings, for an unknown service, and where every VM that could be named is
/// leaving.
pub fn look_up(cx: &DaemonContext, asked: &LookupRequest) -> Result<LookupAnswer, LookupError> {
    let service = check_service(cx, &asked.service)?;
    let revision = cx.holder.borrow().revision();
    let block = block_of(asked.caller);
    let decided = cx
        .steering
        .borrow_mut()
        .on_lookup(&service, &block_bytes(block), cx.clock.now());
    // While nothing is decided, as just after a start, or no place is believed to take more,
    // callers are sent to this domain all the same: belief may be wrong, and the entry VM
    // admits or refuses each request by itself, so no cap rests on this.
    let (domains, ttl_ms) = match decided {
        Some(decided) => (domains_of(&decided), decided.ttl),
        None => (vec![cx.cfg.domain.clone()], UNDECIDED_TTL),
    };
    let directory = cx.directory.borrow();
    let ordered = order(&directory, &domains, &service, block);
    let entries: Vec<LookupEntry> = ordered.into_iter().map(LookupEntry::of).collect();
    if entries.is_empty() {
        return Err(LookupError::NoPlace { service });
    }
    Ok(LookupAnswer {
        service,
        revision,
        ttl_ms,
        entries,
    })
}

/// Gives the failure domains of the decided places, each once.
fn domains_of(decided: &Decided) -> Vec<DomainName> {
    let mut domains: Vec<DomainName> = Vec::with_capacity(decided.choices.len());
    for choice in &decided.choices {
        if !domains.contains(&choice.domain) {
            domains.push(choice.domain.clone());
        }
    }
    domains
}

/// Gives the service asked for, if the settings in force have it.
///
/// # Errors
///
/// Fails without settings and for an unknown service.
pub fn check_service(
    cx: &DaemonContext,
    service: &ServiceName,
) -> Result<ServiceName, LookupError> {
    let revision = cx.holder.borrow().revision();
    if revision == Revision::NONE {
        return Err(LookupError::NoSettings);
    }
    let service = service.clone();
    if !cx.steering.borrow().plan().services.contains_key(&service) {
        return Err(LookupError::UnknownService { service, revision });
    }
    Ok(service)
}
