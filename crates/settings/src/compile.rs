//! Compilation of a validated tree into the plan that daemons read.

use std::collections::BTreeMap;

use heatherknot_types::plan::{AccountPlan, Plan, ServicePlan};
use heatherknot_types::prelude::*;

use crate::field::Value;
use crate::inherit::{AccountNode, InheritanceChain, account_nodes};
use crate::model::{Model, Quota, Service};
use crate::table::Key;

/// Compiles the plan of one revision.
pub fn plan(model: &Model, revision: Revision) -> Plan {
    let nodes = account_nodes(model);
    let mut services = BTreeMap::new();
    for node in &nodes {
        for (name, service) in &node.account.services {
            let (chain, _) = node.service(name, service);
            let name = service_name(&node.name, name);
            services.insert(name, self::service_plan(node, &chain, service));
        }
    }
    Plan {
        revision,
        regions: model.platform.regions.clone(),
        domains: model.platform.domains.clone(),
        links: model.platform.links.clone(),
        places: model.platform.places.clone(),
        accounts: account_plans(model, &nodes),
        services,
    }
}

/// Returns the service name qualified by its account, which is unique in the deployment.
pub fn service_name(account: &AccountName, service: &str) -> ServiceName {
    ServiceName::from(format!("{account}:{service}"))
}

fn service_plan(
    node: &AccountNode<'_>,
    chain: &InheritanceChain<'_>,
    service: &Service,
) -> ServicePlan {
    ServicePlan {
        account: node.name.clone(),
        account_share_permille: node.own_share(),
        class: class(chain),
        deadline: Millis(chain.number(Key::Deadline)),
        max_body: chain.number(Key::MaxBody),
        queue_len: chain.number(Key::QueueLen),
        retry_permille: chain.number(Key::Retry),
        lookup_ttl: Millis(chain.number(Key::LookupTtl)),
        latency_weight_permille: chain.number(Key::LatencyWeight),
        growth_permille: chain.number(Key::Growth),
        at_most_once: at_most_once_routes(chain),
        upstreams: service.upstreams.clone(),
    }
}

fn class(chain: &InheritanceChain<'_>) -> Class {
    match chain.resolve(Key::Class).0 {
        Value::Text(word) if &*word == Class::Bulk.as_str() => Class::Bulk,
        _ => Class::Interactive,
    }
}

fn at_most_once_routes(chain: &InheritanceChain<'_>) -> Vec<String> {
    match chain.resolve(Key::AtMostOnce).0 {
        Value::List(items) => items.iter().map(|item| item.to_string()).collect(),
        _ => Vec::new(),
    }
}

fn account_plans(model: &Model, nodes: &[AccountNode<'_>]) -> BTreeMap<AccountName, AccountPlan> {
    let with_services = nodes
        .iter()
        .filter(|node| !node.account.services.is_empty());
    let plans = with_services.map(|node| {
        let quota = model.platform.quotas.get(&node.quota_owner);
        let plan = AccountPlan {
            share_permille: node.own_share(),
            guaranteed_permille: quota.map_or(0, |quota| guaranteed_permille(quota, node)),
        };
        (node.name.clone(), plan)
    });
    plans.collect()
}

/// Returns the account's portion of the guarantee of its branch. The result doesn't depend on the
/// branch's other accounts, because their settings must not affect this account.
fn guaranteed_permille(quota: &Quota, node: &AccountNode<'_>) -> u16 {
    let part = u32::from(quota.guaranteed_permille) * u32::from(node.own_share());
    u16::try_from(part / u32::from(quota.share_permille.max(1))).unwrap_or(0)
}
