//! Brings accepted settings into force in this daemon.

use std::rc::Rc;
use std::sync::Arc;

use heatherknot_peer::settings_port::SettingsPort;
use heatherknot_settings::SettingsReplica;
use std::cell::RefCell;

use crate::context::{ContextCell, DaemonContext};

/// Makes the port by which the relay hands settings to this daemon's holder.
pub fn port(holder: &Rc<RefCell<SettingsReplica>>, cell: &ContextCell) -> SettingsPort {
    let cell = cell.clone();
    let changed = Rc::new(move |_| {
        if let Some(cx) = cell.get() {
            bring_into_force(&cx);
        }
    });
    SettingsPort::for_replica(Rc::clone(holder), changed)
}

/// Makes what the holder holds the settings that decisions are made under.
fn bring_into_force(cx: &DaemonContext) {
    let (revision, plan) = {
        let holder = cx.holder.borrow();
        (holder.revision(), holder.tree().compile(holder.revision()))
    };
    cx.gateway.on_plan(Arc::new(plan));
    cx.in_force_since.set(cx.clock.now());
    cx.metrics.revision.set(revision.0 as i64);
    log::info!(revision:% = revision; "settings in force");
}
