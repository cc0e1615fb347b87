//! Selects the VM of another failure domain to request grants from.

use heatherknot_types::hash::rendezvous;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A VM as known from membership. The information is advisory; no cap depends on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is believed to be up and not leaving.
    pub usable: bool,
}

/// Returns the VM with the highest rendezvous hash for `key`, or `None` if `vms` is empty. When a
/// VM joins or leaves, only the keys it wins move.
pub fn rendezvous_winner<'a>(
    key: &str,
    vms: impl Iterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    vms.max_by_key(|vm| (rendezvous(&[key.as_bytes()], vm.as_str()), (*vm).clone()))
}
