//! Validation of the shares and guarantees of accounts.
//!
//! Each check depends only on the settings of the platform's owners and of the parent branch, never
//! on those of a sibling account, so that no account can make another's change fail.

use heatherknot_types::prelude::*;

use crate::inherit::AccountNode;
use crate::model::Platform;
use crate::reader::{Reader, join};
use crate::table::Key;

/// The full cap of a place, in thousandths.
const FULL_PERMILLE: u64 = 1000;

/// Checks the share of each account against the places that it uses, and the sums of shares and
/// guarantees.
pub fn check(reader: &mut Reader, platform: &Platform, nodes: &[AccountNode<'_>]) {
    for node in nodes {
        check_delegated_share(reader, node);
        for place in used_places(node) {
            check_usable_share(reader, platform, node, place);
        }
    }
    check_guarantees(reader, platform);
}

fn used_places<'a>(node: &AccountNode<'a>) -> Vec<&'a PlaceName> {
    let services = node.account.services.values();
    let upstreams = services.flat_map(|service| &service.upstreams);
    let mut places: Vec<&PlaceName> = upstreams.map(|upstream| &upstream.place).collect();
    places.sort();
    places.dedup();
    places
}

fn check_delegated_share(reader: &mut Reader, node: &AccountNode<'_>) {
    let (handed_on, share) = (node.delegated_permille, node.share());
    if handed_on > u32::from(share) {
        let found = format!("{handed_on} thousandths for the accounts below together");
        let expected = format!("together at most {share}, the share of the account");
        report_fault(reader, node, found, expected);
    }
}

fn check_usable_share(
    reader: &mut Reader,
    platform: &Platform,
    node: &AccountNode<'_>,
    place: &PlaceName,
) {
    let Some(plan) = platform.places.get(place) else {
        return;
    };
    let (share, cap) = (node.own_share(), plan.cap.in_flight);
    if u64::from(share) * u64::from(cap) < FULL_PERMILLE {
        let found = format!("{share} thousandths of {cap} requests in place {place}");
        let expected = "room for one request of the account's own services";
        report_fault(reader, node, found, expected.to_string());
    }
}

fn report_fault(reader: &mut Reader, node: &AccountNode<'_>, found: String, expected: String) {
    let path = join(&node.path, "defaults");
    reader.add_fault(&path, Key::AccountShare.field().key, found, expected);
}

fn check_guarantees(reader: &mut Reader, platform: &Platform) {
    for place in platform.places.keys() {
        let quotas = platform.quotas.values();
        let here = quotas.filter(|quota| quota.allows_place(place));
        let total: u64 = here.map(|quota| u64::from(quota.guaranteed_permille)).sum();
        if total > FULL_PERMILLE {
            let found = format!("{total} thousandths of place {place} over all quotas");
            reader.add_fault(
                "platform/quotas",
                "guaranteed_permille",
                found,
                "at most 1000",
            );
        }
    }
}
