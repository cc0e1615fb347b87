//! The look-up answer as callers read it.

use std::net::SocketAddr;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::directory::EntryVm;

/// The path of look-ups on a daemon's address for callers.
pub const LOOKUP_PATH: &str = "/heatherknot/v1/lookup";

/// The answer to a look-up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The service asked for.
    pub service: ServiceName,
    /// The configuration that the answer rests on.
    pub revision: Revision,
    /// How long the caller may keep the answer.
    pub ttl_ms: Millis,
    /// The entry VMs, the first to be tried first.
    pub entries: Vec<LookupEntry>,
}

/// One entry VM in a look-up answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LookupEntry {
    /// The name of the VM.
    pub vm: VmName,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// Where to send requests.
    pub address: SocketAddr,
}

impl LookupEntry {
    /// Makes the entry of one VM.
    pub fn of(vm: &EntryVm) -> Self {
        Self {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
            address: vm.callers,
        }
    }
}
