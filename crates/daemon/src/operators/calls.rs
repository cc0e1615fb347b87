//! What the operators' calls need of this daemon.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use heatherknot_operator::api::{ExplainRequest, ExplainResponse, ExplainStep};
use heatherknot_operator::{CurrentSettings, OperatorContext};
use heatherknot_steering::explain::{Explanation, Limit, PlaceExplanation};
use heatherknot_store::commit::head::read_head;
use heatherknot_store::commit::maintenance::{self, MaintenanceConfig};
use heatherknot_store::commit::{
    CommitOutcome, Proposal, ResolvePolicy, commit, find_command, history,
};
use heatherknot_store::error::StoreError;
use heatherknot_types::prelude::*;

use crate::context::DaemonContext;
use crate::lookup::order::{block_bytes, block_of};
use crate::operators::fleet;
use crate::ports::settings::store_port;

/// Makes the functions that the operators' calls use.
pub fn context(cx: &Rc<DaemonContext>) -> OperatorContext {
    let of = |cx: &Rc<DaemonContext>| Rc::clone(cx);
    let (a, b, c, d, e, f, g) = (of(cx), of(cx), of(cx), of(cx), of(cx), of(cx), of(cx));
    OperatorContext {
        current_settings: Rc::new(move || held(&a)),
        refresh: Rc::new(move || {
            let cx = Rc::clone(&b);
            Box::pin(async move { refresh(&cx).await })
        }),
        commit: Rc::new(move |proposal| {
            let cx = Rc::clone(&c);
            Box::pin(async move { commit_change(cx, proposal).await })
        }),
        find_command: Rc::new(move |id| {
            let store = d.store.clone();
            Box::pin(async move { find_command(&store, &id).await })
        }),
        history: Rc::new(move |after| {
            let store = e.store.clone();
            Box::pin(async move { history::audit_after(&store, after).await })
        }),
        status: Rc::new(move || Box::pin(fleet::status(Rc::clone(&f)))),
        explain: Rc::new(move |req| Box::pin(std::future::ready(explain(&g, &req)))),
        first_key: cx
            .cfg
            .first_operator
            .as_ref()
            .and_then(|first| first.key().ok()),
        wall_clock_ms: Rc::new(wall_clock_ms),
    }
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn held(cx: &DaemonContext) -> CurrentSettings {
    let holder = cx.holder.borrow();
    CurrentSettings {
        chain_point: holder.at(),
        tree: Rc::clone(holder.tree()),
    }
}

/// Brings the newest accepted settings in force: a change made from older ones would lose the
/// race for certain.
async fn refresh(cx: &DaemonContext) -> Result<CurrentSettings, StoreError> {
    let newest = read_head(&cx.store).await?.head.revision;
    while cx.holder.borrow().revision() < newest {
        let held = cx.holder.borrow().revision();
        let next = (store_port(&cx.store).next)(held).await;
        let delivered = next.and_then(|delivery| cx.relay.deliver(delivery));
        if let Err(error) = delivered {
            log::error!(step = "refresh", error = error.as_str(); "keeping the settings in force");
            break;
        }
    }
    Ok(held(cx))
}

async fn commit_change(cx: Rc<DaemonContext>, proposal: Proposal) -> CommitOutcome {
    let outcome = commit(&cx.store, &proposal, &ResolvePolicy::default()).await;
    if let CommitOutcome::Accepted(revision) = &outcome {
        log::info!(revision:% = revision, command:% = proposal.command; "change accepted");
        // The domain hears of it from here; the watchers' own watch does the rest.
        if let Err(error) = refresh(&cx).await {
            log::warn!(step = "refresh", error:% = error; "the watch will bring the change");
        }
        monoio::spawn(keep_small(Rc::clone(&cx)));
    }
    outcome
}

/// Keeps what the store holds of the settings small. Where it fails, the next change does it.
async fn keep_small(cx: Rc<DaemonContext>) {
    let whole = cx.holder.borrow().snapshot();
    if let Err(error) = maintenance::run(&cx.store, &whole, &MaintenanceConfig::default()).await {
        log::warn!(step = "upkeep of the settings", error:% = error; "left to the next change");
    }
}

fn explain(cx: &DaemonContext, req: &ExplainRequest) -> Option<ExplainResponse> {
    let service = ServiceName::from(req.service.as_str());
    let explained = cx.steering.borrow().explain(&service, cx.clock.now())?;
    let block = client_block(&req.client)?;
    let places = cx
        .steering
        .borrow()
        .ranked_places(&service, &block_bytes(block));
    Some(ExplainResponse {
        revision: explained.revision,
        places,
        steps: steps(&explained),
    })
}

/// Reads an address, or the address of a block written with its length, as `192.0.2.0/24`.
fn client_block(text: &str) -> Option<IpAddr> {
    let address = text.split_once('/').map_or(text, |(address, _)| address);
    Some(block_of(address.parse().ok()?))
}

fn steps(explained: &Explanation) -> Vec<ExplainStep> {
    let latency = explained.latency_weight_permille;
    let whole = ExplainStep {
        subject: format!("service {} at {}", explained.service, explained.vm),
        fact: format!(
            "{:.1} requests a second here; latency weighs {latency} of 1000; {} of 1000 find no room",
            explained.demand, explained.unplaced_permille
        ),
        limit: None,
        age_ms: None,
    };
    [whole]
        .into_iter()
        .chain(explained.places.iter().map(place_step))
        .collect()
}

fn place_step(place: &PlaceExplanation) -> ExplainStep {
    ExplainStep {
        subject: format!("place {}", place.place),
        fact: format!(
            "gets {} of 1000; {} away; {} of 1000 full; health {} of 1000",
            place.permille, place.delay, place.full_permille, place.health
        ),
        limit: Some(format!(
            "{} a second by {}",
            place.limit,
            limit_words(place.limited_by)
        )),
        age_ms: place.report_age.map(|age| age.0),
    }
}

fn limit_words(limit: Limit) -> &'static str {
    match limit {
        Limit::PlaceCap => "the place's cap",
        Limit::RegionCap => "the region's cap",
        Limit::Grant => "the grant held",
        Limit::NoGrant => "no grant being held",
        Limit::Growth => "the growth allowed onto cold caches",
        Limit::Health => "its health",
        Limit::Drain => "its drain",
        Limit::NoUpstream => "no backend server there taking work",
    }
}
