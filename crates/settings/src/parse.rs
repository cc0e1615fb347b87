//! Parsing of a JSON document into the typed model.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use heatherknot_types::plan::{Cap, DomainPlan, LinkPlan, PlacePlan, RegionPlan, UpstreamPlan};
use heatherknot_types::prelude::*;
use serde_json::{Map, Value as Json};

use crate::model::{Account, Model, Platform, Quota, Service};
use crate::names::{self, MAX_DEPTH};
use crate::network::Network;
use crate::operator_key::OperatorKey;
use crate::reader::{Fields, Reader, describe, join};
use crate::table;
use crate::table::Key;

type Object = Map<String, Json>;

/// The keys of the root object.
pub const ROOT_KEYS: [&str; 5] = ["schema", "platform", "defaults", "accounts", "operators"];
/// The keys of the platform object.
pub const PLATFORM_KEYS: [&str; 6] = ["regions", "domains", "links", "places", "limits", "quotas"];
/// The keys of an account.
pub const ACCOUNT_KEYS: [&str; 3] = ["defaults", "accounts", "services"];
const ACCOUNTS: &str = "accounts";
const UPSTREAMS: &str = "upstreams";

/// Parses the root object without its accounts. Errors are collected in the reader.
pub fn model(reader: &mut Reader, rest: &Json) -> Model {
    let Some(root) = rest.as_object() else {
        reader.add_fault("", "", describe(rest), "an object");
        return Model::default();
    };
    reader.reject_unknown("", root, &ROOT_KEYS);
    // `accounts` is still present here only if it is not an object, which is reported as an error.
    reader.object("", root, ACCOUNTS);
    Model {
        platform: platform(reader, root),
        defaults: defaults(reader, "", root),
        accounts: BTreeMap::new(),
        operators: operators(reader, root),
    }
}

fn platform(reader: &mut Reader, root: &Object) -> Platform {
    let Some(object) = reader.object("", root, "platform") else {
        return Platform::default();
    };
    reader.reject_unknown("platform", object, &PLATFORM_KEYS);
    Platform {
        regions: regions(reader, object),
        domains: domains(reader, object),
        links: links(reader, object),
        places: places(reader, object),
        limits: limits(reader, object),
        quotas: quotas(reader, object),
    }
}

fn cap(fields: &Fields) -> Cap {
    Cap {
        per_second: fields.number("per_second"),
        in_flight: fields.number("in_flight"),
    }
}

fn regions(reader: &mut Reader, platform: &Object) -> BTreeMap<RegionName, RegionPlan> {
    let mut regions = BTreeMap::new();
    for (name, path, object) in
        reader.named_objects("platform", platform, "regions", names::is_name)
    {
        let fields = reader.fields(&path, object, &table::REGION);
        let plan = RegionPlan {
            cap: cap(&fields),
            draining: fields.flag("draining"),
        };
        regions.insert(RegionName::new(name), plan);
    }
    regions
}

fn domains(reader: &mut Reader, platform: &Object) -> BTreeMap<DomainName, DomainPlan> {
    let mut domains = BTreeMap::new();
    for (name, path, object) in
        reader.named_objects("platform", platform, "domains", names::is_name)
    {
        let fields = reader.fields(&path, object, &table::DOMAIN);
        let vms = fields.list("draining_vms").iter().cloned();
        let plan = DomainPlan {
            region: RegionName::new(fields.text("region")),
            draining_vms: vms.map(VmName::new).collect(),
        };
        domains.insert(DomainName::new(name), plan);
    }
    domains
}

fn links(reader: &mut Reader, platform: &Object) -> Vec<LinkPlan> {
    let mut links = Vec::new();
    for (from, path, ends) in reader.named_objects("platform", platform, "links", names::is_name) {
        for to in ends.keys() {
            let Some(object) = reader.object(&path, ends, to) else {
                continue;
            };
            let fields = reader.fields(&join(&path, to), object, &table::LINK);
            links.push(LinkPlan {
                from: RegionName::new(from.clone()),
                to: RegionName::from(to.as_str()),
                cap: cap(&fields),
            });
        }
    }
    links
}

fn places(reader: &mut Reader, platform: &Object) -> BTreeMap<PlaceName, PlacePlan> {
    let mut places = BTreeMap::new();
    for (name, path, object) in reader.named_objects("platform", platform, "places", names::is_name)
    {
        let fields = reader.fields(&path, object, &table::PLACE);
        let plan = PlacePlan {
            domain: DomainName::new(fields.text("domain")),
            cap: cap(&fields),
            draining: fields.flag("draining"),
        };
        places.insert(PlaceName::new(name), plan);
    }
    places
}

fn limits(reader: &mut Reader, platform: &Object) -> BTreeMap<Key, u64> {
    let Some(object) = reader.object("platform", platform, "limits") else {
        return BTreeMap::new();
    };
    let known: Vec<&str> = numeric_keys().map(|key| key.field().key).collect();
    reader.reject_unknown("platform/limits", object, &known);
    let values = reader.overrides("platform/limits", object);
    let numbers = values.into_iter().filter_map(|(key, value)| match value {
        crate::field::Value::Number(number) => Some((key, number)),
        _ => None,
    });
    numbers.collect()
}

/// Returns the inherited settings with numeric values.
pub fn numeric_keys() -> impl Iterator<Item = Key> {
    let is_number = |key: &Key| matches!(key.field().kind, crate::field::Kind::Integer { .. });
    Key::ALL.into_iter().filter(is_number)
}

fn quotas(reader: &mut Reader, platform: &Object) -> BTreeMap<AccountName, Quota> {
    let is_path = |key: &str| !key.is_empty() && names::is_branch(&key.replace('.', "/"));
    let mut quotas = BTreeMap::new();
    for (key, path, object) in reader.named_objects("platform", platform, "quotas", is_path) {
        let fields = reader.fields(&path, object, &table::QUOTA);
        let networks = fields.list("networks").iter();
        let places = fields.list("places").iter().cloned();
        let quota = Quota {
            share_permille: fields.number("share_permille"),
            guaranteed_permille: fields.number("guaranteed_permille"),
            places: places.map(PlaceName::new).collect(),
            networks: networks.filter_map(|text| Network::parse(text)).collect(),
        };
        quotas.insert(AccountName::from(key.replace('.', "/")), quota);
    }
    quotas
}

fn defaults(reader: &mut Reader, path: &str, node: &Object) -> crate::model::Overrides {
    let Some(object) = reader.object(path, node, "defaults") else {
        return crate::model::Overrides::new();
    };
    let path = join(path, "defaults");
    let known: Vec<&str> = Key::ALL.iter().map(|key| key.field().key).collect();
    reader.reject_unknown(&path, object, &known);
    reader.overrides(&path, object)
}

/// Parses an account directly under the root. Returns `None` if its name is invalid or it is not an
/// object.
pub fn account(reader: &mut Reader, name: &str, json: &Json) -> Option<Account> {
    if !names::is_name(name) {
        reader.add_name_fault(ACCOUNTS, name);
        return None;
    }
    let object = reader.as_object(ACCOUNTS, name, json)?;
    Some(account_object(reader, &join(ACCOUNTS, name), object, 1))
}

fn account_object(reader: &mut Reader, path: &str, object: &Object, depth: usize) -> Account {
    reader.reject_unknown(path, object, &ACCOUNT_KEYS);
    Account {
        defaults: defaults(reader, path, object),
        accounts: accounts(reader, path, object, depth + 1),
        services: services(reader, path, object),
    }
}

fn accounts(
    reader: &mut Reader,
    path: &str,
    node: &Object,
    depth: usize,
) -> BTreeMap<Arc<str>, Account> {
    let mut accounts = BTreeMap::new();
    for (name, path, object) in reader.named_objects(path, node, ACCOUNTS, names::is_name) {
        if depth > MAX_DEPTH {
            let expected = format!("at most {MAX_DEPTH} accounts one in another");
            reader.add_fault(&path, &name, format!("depth {depth}"), expected);
            continue;
        }
        let account = account_object(reader, &path, object, depth);
        accounts.insert(name, account);
    }
    accounts
}

fn services(reader: &mut Reader, path: &str, account: &Object) -> BTreeMap<Arc<str>, Service> {
    let is_service = |name: &str| names::is_name(name) && !ACCOUNT_KEYS.contains(&name);
    let mut services = BTreeMap::new();
    for (name, path, object) in reader.named_objects(path, account, "services", is_service) {
        let own = Key::ALL.iter().filter(|key| key.is_per_service());
        let mut known: Vec<&str> = own.map(|key| key.field().key).collect();
        known.push(UPSTREAMS);
        reader.reject_unknown(&path, object, &known);
        let service = Service {
            overrides: reader.overrides(&path, object),
            upstreams: upstreams(reader, &path, object),
        };
        services.insert(name, service);
    }
    services
}

fn upstreams(reader: &mut Reader, path: &str, service: &Object) -> Vec<UpstreamPlan> {
    let mut upstreams = Vec::new();
    for (name, path, object) in reader.named_objects(path, service, UPSTREAMS, names::is_name) {
        let fields = reader.fields(&path, object, &table::UPSTREAM);
        let Ok(address) = fields.text("address").parse::<SocketAddr>() else {
            continue;
        };
        upstreams.push(UpstreamPlan {
            name: UpstreamName::new(name),
            place: PlaceName::new(fields.text("place")),
            address,
            slots: fields.number("slots"),
            connections: fields.number("connections"),
            draining: fields.flag("draining"),
        });
    }
    upstreams
}

fn operators(reader: &mut Reader, root: &Object) -> BTreeMap<Arc<str>, OperatorKey> {
    let mut operators = BTreeMap::new();
    for (id, path, object) in reader.named_objects("", root, "operators", names::is_name) {
        let fields = reader.fields(&path, object, &table::OPERATOR);
        operators.insert(id, OperatorKey::from_fields(&fields));
    }
    operators
}
