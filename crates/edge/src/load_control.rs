//! Decides whether load control is on.
//!
//! Load control is what a deployment needs whose callers compete for capacity or whose servers are
//! unevenly fast: admission by priority, reserved returns, and service times by route, machine and
//! cache content. It is on if the deployment's contracts require it, or once a backend server
//! states how fast its machine currently is. All other deployments are served without it.

use std::cell::Cell;

/// Whether load control is on.
#[derive(Debug)]
pub struct LoadControl {
    is_on: Cell<bool>,
    /// Whether the start settings decide, whatever the servers state.
    is_configured: bool,
}

impl LoadControl {
    /// Creates the state from the start setting, if there is one, and from whether the deployment's
    /// contracts require load control.
    pub fn new(setting: Option<bool>, is_required: bool) -> Self {
        Self {
            is_on: Cell::new(setting.unwrap_or(is_required)),
            is_configured: setting.is_some(),
        }
    }

    /// Returns whether load control is on.
    pub fn is_on(&self) -> bool {
        self.is_on.get()
    }

    /// Records that a backend server has stated the speed of its machine.
    pub fn record_stated_speed(&self) {
        if !self.is_configured && !self.is_on.replace(true) {
            log::info!("load control is on: a backend server states the speed of its machine");
        }
    }
}
