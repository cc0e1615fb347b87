//! The interface to the platform's list of VMs, which lags behind the actual state.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::port::StoreFuture;

/// The state of a VM as the platform last reported it. The list lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed soon.
    Leaving,
    /// The VM has been removed. Its name is never reused.
    Gone,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name of the VM.
    pub name: VmName,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// The address at which the VM's daemon accepts connections from peers.
    pub address: SocketAddr,
    /// The reported state.
    pub state: VmState,
    /// The time since the platform last observed the VM, in milliseconds.
    pub age_ms: Millis,
}

/// The platform's VM list, implemented by an adapter or a test fake.
#[derive(Clone)]
pub struct VmList {
    /// Reads the complete list.
    pub read: Rc<dyn Fn() -> StoreFuture<Vec<VmRecord>>>,
}

impl fmt::Debug for VmList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("VmList")
    }
}
