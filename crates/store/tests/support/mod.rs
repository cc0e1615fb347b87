//! Fixtures shared by the tests of this crate.
#![allow(dead_code)]

use std::time::Duration;

use heatherknot_store::backoff::Backoff;
use heatherknot_store::commit::{CommandId, Proposal, ResolvePolicy};
use heatherknot_store::http_store::{StoreConfig, connect};
use heatherknot_store::port::Store;
use heatherknot_test_support::platform::{Platform, PlatformConfig, PlatformHandle};
use heatherknot_types::prelude::*;

pub fn platform() -> PlatformHandle {
    Platform::start(PlatformConfig::default())
}

pub fn store(platform: &PlatformHandle) -> Store {
    connect(StoreConfig::new(platform.address()))
}

pub fn backoff() -> Backoff {
    let (initial, max) = (Duration::from_millis(1), Duration::from_millis(4));
    Backoff::new(initial, max, fastrand::Rng::with_seed(7))
}

pub fn policy(tries: u32) -> ResolvePolicy {
    let backoff = backoff();
    ResolvePolicy { tries, backoff }
}

pub fn proposal(command: &str, base: u64) -> Proposal {
    Proposal {
        command: CommandId::parse(command).unwrap(),
        base: Revision(base),
        change: format!("change of {command}").into(),
        hash: format!("hash of {command}").into(),
    }
}
