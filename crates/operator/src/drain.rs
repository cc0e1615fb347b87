//! Turns drains into edits of the settings tree.

use heatherknot_settings::model::Account;
use heatherknot_settings::{Edit, Operator, Tree, TreePath};
use heatherknot_types::prelude::*;
use serde_json::{Value as Json, json};
use snafu::{OptionExt, ensure};
use std::net::SocketAddr;

use crate::api::DrainTarget;
use crate::error::{CallError, NotFoundSnafu};

/// Returns the edits that start or end a drain.
///
/// # Errors
///
/// Returns [`CallError::NotFound`] if the target does not exist, or lies outside the branch of the
/// operator's key.
pub fn edits(
    tree: &Tree,
    operator: &Operator,
    target: &DrainTarget,
    draining: bool,
) -> Result<Vec<Edit>, CallError> {
    if !matches!(target, DrainTarget::BackendServer { .. }) {
        operator.require_within(tree, &TreePath::parse("platform")?)?;
    }
    match target {
        DrainTarget::Vm { domain, name } => vm_edits(tree, domain, name, draining),
        DrainTarget::Place { name } => platform_entry_edits(tree, "places", name, draining),
        DrainTarget::Region { name } => platform_entry_edits(tree, "regions", name, draining),
        DrainTarget::BackendServer { address } => {
            let paths = upstream_paths(tree, operator, *address);
            let what = format!("backend server {address}");
            ensure!(!paths.is_empty(), NotFoundSnafu { what });
            Ok(paths
                .iter()
                .map(|path| draining_edit(tree, path, draining))
                .collect())
        }
    }
}

/// Returns the edit that sets the value at a path, or removes it if `after` is `None`.
pub fn put_edit(tree: &Tree, path: &TreePath, after: Option<Json>) -> Edit {
    Edit {
        path: path.to_string(),
        before: tree.get(path),
        after,
        dropped: None,
    }
}

fn platform_entry_edits(
    tree: &Tree,
    table: &str,
    name: &str,
    draining: bool,
) -> Result<Vec<Edit>, CallError> {
    let path = TreePath::parse(&format!("platform/{table}/{name}"))?;
    let what = format!("`{path}`");
    tree.get(&path).context(NotFoundSnafu { what })?;
    Ok(vec![draining_edit(tree, &path, draining)])
}

/// Returns the edit that sets or removes the `draining` flag of an object. Ending a drain removes
/// the flag, because its default is false.
fn draining_edit(tree: &Tree, path: &TreePath, draining: bool) -> Edit {
    put_edit(
        tree,
        &path.child("draining"),
        draining.then_some(json!(true)),
    )
}

fn vm_edits(tree: &Tree, domain: &str, name: &str, draining: bool) -> Result<Vec<Edit>, CallError> {
    let domains = &tree.model().platform.domains;
    let what = format!("failure domain `{domain}`");
    let domain_settings = domains.get(domain).context(NotFoundSnafu { what })?;
    let mut vms: Vec<VmName> = domain_settings.draining_vms.clone();
    vms.retain(|vm| vm.as_str() != name);
    if draining {
        vms.push(VmName::from(name));
    }
    vms.sort();
    let path = TreePath::parse(&format!("platform/domains/{domain}/draining_vms"))?;
    Ok(vec![put_edit(
        tree,
        &path,
        (!vms.is_empty()).then(|| json!(vms)),
    )])
}

fn upstream_paths(tree: &Tree, operator: &Operator, address: SocketAddr) -> Vec<TreePath> {
    let mut paths = Vec::new();
    for (name, account) in &tree.model().accounts {
        collect_upstream_paths(operator, name, account, address, &mut paths);
    }
    paths
}

fn collect_upstream_paths(
    operator: &Operator,
    name: &str,
    account: &Account,
    address: SocketAddr,
    paths: &mut Vec<TreePath>,
) {
    if operator.key.covers(name) {
        let services = TreePath::of_account(name).child("services");
        for (service, settings) in &account.services {
            let upstreams = services.child(service).child("upstreams");
            let matching = settings
                .upstreams
                .iter()
                .filter(|upstream| upstream.address == address);
            paths.extend(matching.map(|upstream| upstreams.child(upstream.name.as_str())));
        }
    }
    for (child, child_account) in &account.accounts {
        collect_upstream_paths(
            operator,
            &format!("{name}/{child}"),
            child_account,
            address,
            paths,
        );
    }
}
