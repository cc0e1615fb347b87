//! Which VM of another failure domain a VM asks for grants.

use heatherknot_types::hash::rendezvous;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A VM of the system as membership knows it. Nothing that must hold rests on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is thought to be up and staying.
    pub usable: bool,
}

/// Gives the VM that wins `key` by rendezvous hashing, or none where `vms` is empty: a VM that
/// comes or goes moves only the keys that it wins.
pub fn rendezvous_winner<'a>(
    key: &str,
    vms: impl Iterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    vms.max_by_key(|vm| (rendezvous(&[key.as_bytes()], vm.as_str()), (*vm).clone()))
}
