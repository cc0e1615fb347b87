//! Where the local copy and the configuration in force come from, for logs and metrics.

use std::fmt;
use std::net::SocketAddr;

use heatherknot_types::prelude::*;
use log::warn;

use super::Feed;

/// What an update of the local copy came from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum UpdateSource {
    /// There was no update yet.
    #[default]
    None,
    /// The store itself.
    Store,
    /// Another VM.
    Vm(VmName),
    /// A seed, whose name is not known.
    Seed(SocketAddr),
}

impl fmt::Display for UpdateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpdateSource::None => f.write_str("none"),
            UpdateSource::Store => f.write_str("store"),
            UpdateSource::Vm(vm) => vm.fmt(f),
            UpdateSource::Seed(address) => address.fmt(f),
        }
    }
}

/// How the configuration in force came here.
#[derive(Clone, Debug)]
pub struct CatalogOrigin {
    /// Version of the configuration.
    pub version: u64,
    /// When it came into force.
    pub since: Millis,
    /// What it came from.
    pub source: UpdateSource,
}

impl Feed {
    /// Returns what the newest update of the local copy came from.
    pub fn last_source(&self) -> UpdateSource {
        self.last_source.borrow().clone()
    }

    /// Returns how the configuration in force came here.
    pub fn catalog_origin(&self) -> Option<CatalogOrigin> {
        self.catalog_origin.borrow().clone()
    }

    /// Sets what the update that is about to be applied comes from.
    pub fn set_source(&self, source: UpdateSource) {
        *self.applied_source.borrow_mut() = source;
    }

    /// Returns how often the copy became stale.
    pub fn stale_count(&self) -> u64 {
        self.stale_count.get()
    }

    pub(super) fn record_catalog_origin(&self) {
        let routing_state = self.routing_state.borrow();
        let version = routing_state.catalog().map(|catalog| catalog.version);
        let mut origin = self.catalog_origin.borrow_mut();
        if version == origin.as_ref().map(|origin| origin.version) {
            return;
        }
        *origin = version.map(|version| CatalogOrigin {
            version,
            since: self.timer.now(),
            source: self.applied_source.borrow().clone(),
        });
    }

    /// Logs once that the copy is stale, with what keeps this VM from asking the store itself.
    pub(super) fn log_if_stale(&self) {
        let is_stale = self.age().is_some() && !self.is_fresh();
        if !is_stale || self.is_logged_as_stale.replace(true) {
            self.is_logged_as_stale.set(is_stale);
            return;
        }
        self.stale_count.set(self.stale_count.get() + 1);
        let now = self.timer.now();
        warn!(age_ms = self.age().unwrap_or_default().0, source:% = self.last_source(),
            held:% = self.mirror.borrow().revision(), asks_store = self.should_watch_store(),
            back_off_ms = self.back_off_until.get().since(now).0;
            "the local copy is stale");
    }
}
