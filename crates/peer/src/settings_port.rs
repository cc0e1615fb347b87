//! Interfaces between the relay and the replica and store of the settings.
//!
//! The relay forwards changes and snapshots without interpreting them.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_settings::change::Change;
use heatherknot_settings::replica::{SettingsReplica, Snapshot};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// An accepted change in serialized form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayedChange {
    /// The revision that the change created.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The change as JSON, in the replica's format.
    #[serde(rename = "b")]
    pub body: Box<RawValue>,
}

/// All settings at one revision in serialized form.
#[derive(Clone, Debug)]
pub struct RelayedSnapshot {
    /// The revision.
    pub revision: Revision,
    /// The settings as JSON, in the replica's format.
    pub body: Box<RawValue>,
}

/// Settings received from the store or a peer.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// Changes in ascending order of revision.
    Changes(Vec<RelayedChange>),
    /// All settings.
    Snapshot(RelayedSnapshot),
}

impl Delivery {
    /// Returns the newest revision of the delivery.
    pub fn revision(&self) -> Revision {
        match self {
            Delivery::Changes(changes) => changes.last().map_or(Revision::NONE, |c| c.revision),
            Delivery::Snapshot(snapshot) => snapshot.revision,
        }
    }
}

type Apply = Rc<dyn Fn(&Delivery) -> Result<(), String>>;

/// Interface to the replica of the settings in force.
#[derive(Clone)]
pub struct SettingsPort {
    /// Returns the revision in force.
    pub revision: Rc<dyn Fn() -> Revision>,
    /// Applies a delivery, or returns the reason why the current settings are kept.
    pub apply: Apply,
    /// Returns a snapshot of the settings in force, if there are any.
    pub snapshot: Rc<dyn Fn() -> Option<RelayedSnapshot>>,
}

type NextDelivery = Rc<dyn Fn(Revision) -> LocalBoxFuture<'static, Result<Delivery, String>>>;

/// Interface to the platform's store, used by the daemons that watch it.
#[derive(Clone)]
pub struct StorePort {
    /// Waits until the store holds a later revision than the given one, and returns what is new.
    pub next: NextDelivery,
}

impl SettingsPort {
    /// Creates the interface to a replica. `changed` is called with each new revision.
    pub fn for_replica(
        replica: Rc<RefCell<SettingsReplica>>,
        changed: Rc<dyn Fn(Revision)>,
    ) -> Self {
        let (revision, snapshot) = (Rc::clone(&replica), Rc::clone(&replica));
        Self {
            revision: Rc::new(move || revision.borrow().revision()),
            apply: Rc::new(move |delivery| {
                let before = replica.borrow().revision();
                let applied = apply_to(&mut replica.borrow_mut(), delivery);
                let after = replica.borrow().revision();
                if after > before {
                    changed(after);
                }
                applied
            }),
            snapshot: Rc::new(move || relayed_snapshot(&snapshot.borrow())),
        }
    }
}

fn apply_to(replica: &mut SettingsReplica, delivery: &Delivery) -> Result<(), String> {
    let applied = match delivery {
        Delivery::Changes(changes) => {
            let changes = changes.iter().map(|c| serde_json::from_str(c.body.get()));
            let changes = changes.collect::<Result<Vec<Change>, _>>();
            replica.accept_changes(&changes.map_err(|e| e.to_string())?)
        }
        Delivery::Snapshot(snapshot) => {
            let snapshot = serde_json::from_str::<Snapshot>(snapshot.body.get());
            replica.accept_snapshot(snapshot.map_err(|e| e.to_string())?)
        }
    };
    applied.map(|_| ()).map_err(|e| e.to_string())
}

fn relayed_snapshot(replica: &SettingsReplica) -> Option<RelayedSnapshot> {
    let revision = replica.revision();
    if revision == Revision::NONE {
        return None;
    }
    let body = serde_json::value::to_raw_value(&replica.snapshot()).ok()?;
    Some(RelayedSnapshot { revision, body })
}
