//! Validation of references and limits across the whole tree.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use heatherknot_types::plan::{Cap, UpstreamPlan};
use heatherknot_types::prelude::*;

use crate::field::Value;
use crate::inherit::{AccountNode, InheritanceChain, account_nodes};
use crate::model::{Model, Overrides, Platform, Service};
use crate::operator_key::Right;
use crate::reader::{Reader, join};
use crate::shares;
use crate::table::Key;

/// Checks the rules that involve more than one value.
pub fn check_model(reader: &mut Reader, model: &Model) {
    let nodes = account_nodes(model);
    let names: BTreeSet<&str> = nodes.iter().map(|node| node.name.as_str()).collect();
    check_platform(reader, &model.platform);
    check_quotas(reader, &model.platform, &names);
    check_operators(reader, model, &names);
    check_limits(reader, &model.platform, "defaults", &model.defaults);
    for node in &nodes {
        check_account(reader, &model.platform, node);
    }
    shares::check(reader, &model.platform, &nodes);
}

fn check_platform(reader: &mut Reader, platform: &Platform) {
    for (name, domain) in &platform.domains {
        if !platform.regions.contains_key(&domain.region) {
            let path = join("platform/domains", name.as_str());
            report_unknown_name(
                reader,
                &path,
                "region",
                domain.region.as_str(),
                "platform/regions",
            );
        }
    }
    for link in &platform.links {
        let path = join("platform/links", link.from.as_str());
        for end in [&link.from, &link.to] {
            if !platform.regions.contains_key(end) {
                report_unknown_name(
                    reader,
                    &path,
                    link.to.as_str(),
                    end.as_str(),
                    "platform/regions",
                );
            }
        }
        if link.from == link.to {
            let found = "a link from the region to itself".to_string();
            reader.add_fault(&path, link.to.as_str(), found, "another region");
        }
    }
    for name in platform.places.keys() {
        check_place(reader, platform, name);
    }
}

fn check_place(reader: &mut Reader, platform: &Platform, name: &PlaceName) {
    let path = join("platform/places", name.as_str());
    let place = &platform.places[name];
    let Some(domain) = platform.domains.get(&place.domain) else {
        return report_unknown_name(
            reader,
            &path,
            "domain",
            place.domain.as_str(),
            "platform/domains",
        );
    };
    if let Some(region) = platform.regions.get(&domain.region) {
        check_cap(reader, &path, place.cap, region.cap, domain.region.as_str());
    }
}

fn check_cap(reader: &mut Reader, path: &str, cap: Cap, above: Cap, region: &str) {
    let parts = [
        ("per_second", cap.per_second, above.per_second),
        ("in_flight", cap.in_flight, above.in_flight),
    ];
    for (key, part, whole) in parts {
        if part > whole {
            let expected = format!("at most {whole}, the cap of region {region}");
            reader.add_fault(path, key, format!("the number {part}"), expected);
        }
    }
}

fn report_unknown_name(reader: &mut Reader, path: &str, key: &str, name: &str, table: &str) {
    let expected = format!("a name in {table}");
    reader.add_fault(path, key, format!("the text \"{name}\""), expected);
}

fn check_quotas(reader: &mut Reader, platform: &Platform, accounts: &BTreeSet<&str>) {
    for (account, quota) in &platform.quotas {
        let key = account.as_str().replace('/', ".");
        if !accounts.contains(account.as_str()) {
            report_unknown_name(
                reader,
                "platform/quotas",
                &key,
                account.as_str(),
                "the accounts",
            );
        }
        if quota.guaranteed_permille > quota.share_permille {
            let found = format!("the number {}", quota.guaranteed_permille);
            let expected = format!("at most {}, the quota's share", quota.share_permille);
            let path = join("platform/quotas", &key);
            reader.add_fault(&path, "guaranteed_permille", found, expected);
        }
        let known = |place: &&PlaceName| platform.places.contains_key(*place);
        for place in quota.places.iter().filter(|place| !known(place)) {
            let path = join("platform/quotas", &key);
            report_unknown_name(reader, &path, "places", place.as_str(), "platform/places");
        }
    }
}

fn check_operators(reader: &mut Reader, model: &Model, accounts: &BTreeSet<&str>) {
    for (id, key) in &model.operators {
        let path = join("operators", id);
        if !key.branch.is_empty() && !accounts.contains(&*key.branch) {
            report_unknown_name(reader, &path, "branch", &key.branch, "the accounts");
        }
        if !key.branch.is_empty() && key.has(Right::Platform) {
            let found = format!("platform for branch \"{}\"", key.branch);
            reader.add_fault(&path, "rights", found, "platform for the root alone");
        }
    }
}

fn check_limits(reader: &mut Reader, platform: &Platform, path: &str, values: &Overrides) {
    for (key, value) in values {
        let (Value::Number(number), Some(limit)) = (value, platform.limits.get(key)) else {
            continue;
        };
        if number > limit {
            let expected = format!("at most {limit}, the platform's limit");
            reader.add_fault(
                path,
                key.field().key,
                format!("the number {number}"),
                expected,
            );
        }
    }
}

fn check_account(reader: &mut Reader, platform: &Platform, node: &AccountNode<'_>) {
    let path = join(&node.path, "defaults");
    check_limits(reader, platform, &path, &node.account.defaults);
    if node.account.defaults.contains_key(&Key::AccountShare) {
        check_share(reader, &path, &node.parent_chain, node.share());
    }
    for (name, service) in &node.account.services {
        let (_, path) = node.service(name, service);
        check_limits(reader, platform, &path, &service.overrides);
        check_upstreams(reader, platform, node, &path, service);
    }
}

fn check_share(reader: &mut Reader, path: &str, above: &InheritanceChain<'_>, share: u16) {
    let ceiling: u16 = above.number(Key::AccountShare);
    if share > ceiling {
        let expected = format!("at most {ceiling}, the value inherited");
        let key = Key::AccountShare.field().key;
        reader.add_fault(path, key, format!("the number {share}"), expected);
    }
}

/// A validation error of one key of an upstream. A tree has tens of thousands of upstreams, so the
/// path of an upstream is formatted only if there is an error to report.
struct UpstreamFault {
    key: &'static str,
    found: String,
    expected: String,
}

fn check_upstreams(
    reader: &mut Reader,
    platform: &Platform,
    node: &AccountNode<'_>,
    path: &str,
    service: &Service,
) {
    let mut seen: BTreeMap<SocketAddr, &UpstreamName> = BTreeMap::new();
    let mut faults = Vec::new();
    for upstream in &service.upstreams {
        if let Some(other) = seen.insert(upstream.address, &upstream.name) {
            faults.push(UpstreamFault {
                key: "address",
                found: upstream.address.to_string(),
                expected: format!("another address than that of upstream {other}"),
            });
        }
        self::check_upstream(&mut faults, platform, upstream);
        check_granted_quota(&mut faults, platform, node, upstream);
        for fault in faults.drain(..) {
            let path = join(&join(path, "upstreams"), upstream.name.as_str());
            reader.add_fault(&path, fault.key, fault.found, fault.expected);
        }
    }
}

fn check_upstream(faults: &mut Vec<UpstreamFault>, platform: &Platform, upstream: &UpstreamPlan) {
    if upstream.connections < upstream.slots {
        faults.push(UpstreamFault {
            key: "connections",
            found: format!("the number {}", upstream.connections),
            expected: format!("at least {}, the slots", upstream.slots),
        });
    }
    let Some(place) = platform.places.get(&upstream.place) else {
        faults.push(UpstreamFault {
            key: "place",
            found: format!("the text \"{}\"", upstream.place),
            expected: "a name in platform/places".to_string(),
        });
        return;
    };
    let cap = place.cap.in_flight;
    if u32::from(upstream.slots) > cap {
        faults.push(UpstreamFault {
            key: "slots",
            found: format!("the number {}", upstream.slots),
            expected: format!("at most {cap}, the cap of place {}", upstream.place),
        });
    }
}

// Without this check an account could list another account's backend server, or a server of the
// platform, as its own upstream and make the entry VMs send requests to it.
fn check_granted_quota(
    faults: &mut Vec<UpstreamFault>,
    platform: &Platform,
    node: &AccountNode<'_>,
    upstream: &UpstreamPlan,
) {
    let quota = platform.quotas.get(&node.quota_owner);
    let networks = quota.map_or(&[][..], |quota| &quota.networks);
    let (ip, place) = (upstream.address.ip(), &upstream.place);
    if !networks.iter().any(|network| network.contains(ip)) {
        faults.push(UpstreamFault {
            key: "address",
            found: format!("the text \"{}\"", upstream.address),
            expected: format!("an address in the networks granted to {}", node.quota_owner),
        });
    }
    if quota.is_some_and(|quota| !quota.allows_place(place)) {
        faults.push(UpstreamFault {
            key: "place",
            found: format!("the text \"{place}\""),
            expected: format!("one of the places granted to {}", node.quota_owner),
        });
    }
}
