//! The ports between the relay and whatever holds the settings: the relay carries changes and
//! snapshots without reading them.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_settings::change::Change;
use heatherknot_settings::replica::{SettingsReplica, Snapshot};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// One accepted change on its way.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayedChange {
    /// The revision that the change made.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The change as the holder reads it.
    #[serde(rename = "b")]
    pub body: Box<RawValue>,
}

/// All settings at one revision on their way.
#[derive(Clone, Debug)]
pub struct RelayedSnapshot {
    /// The revision.
    pub revision: Revision,
    /// The settings as the holder reads them.
    pub body: Box<RawValue>,
}

/// What a store or a peer delivers.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// Changes in order of revision.
    Changes(Vec<RelayedChange>),
    /// All settings.
    Snapshot(RelayedSnapshot),
}

impl Delivery {
    /// Gives the newest revision delivered.
    pub fn revision(&self) -> Revision {
        match self {
            Delivery::Changes(changes) => changes.last().map_or(Revision::NONE, |c| c.revision),
            Delivery::Snapshot(snapshot) => snapshot.revision,
        }
    }
}

type Apply = Rc<dyn Fn(&Delivery) -> Result<(), String>>;

/// The holder of the settings in force.
#[derive(Clone)]
pub struct SettingsPort {
    /// Gives the revision in force.
    pub revision: Rc<dyn Fn() -> Revision>,
    /// Takes a delivery over, or says why it keeps what it holds.
    pub apply: Apply,
    /// Gives all settings in force, where there are any.
    pub snapshot: Rc<dyn Fn() -> Option<RelayedSnapshot>>,
}

type NextDelivery = Rc<dyn Fn(Revision) -> LocalBoxFuture<'static, Result<Delivery, String>>>;

/// The platform's store, as the relay's watchers use it.
#[derive(Clone)]
pub struct StorePort {
    /// Waits until the store holds a later revision than the one given, and delivers it.
    pub next: NextDelivery,
}

impl SettingsPort {
    /// Makes the port of a holder; `changed` is called after each new revision.
    pub fn for_holder(holder: Rc<RefCell<SettingsReplica>>, changed: Rc<dyn Fn(Revision)>) -> Self {
        let (revision, snapshot) = (Rc::clone(&holder), Rc::clone(&holder));
        Self {
            revision: Rc::new(move || revision.borrow().revision()),
            apply: Rc::new(move |delivery| {
                let before = holder.borrow().revision();
                let applied = apply_to(&mut holder.borrow_mut(), delivery);
                let after = holder.borrow().revision();
                if after > before {
                    changed(after);
                }
                applied
            }),
            snapshot: Rc::new(move || relayed_snapshot(&snapshot.borrow())),
        }
    }
}

fn apply_to(holder: &mut SettingsReplica, delivery: &Delivery) -> Result<(), String> {
    let applied = match delivery {
        Delivery::Changes(changes) => {
            let changes = changes.iter().map(|c| serde_json::from_str(c.body.get()));
            let changes = changes.collect::<Result<Vec<Change>, _>>();
            holder.accept_changes(&changes.map_err(|e| e.to_string())?)
        }
        Delivery::Snapshot(snapshot) => {
            let snapshot = serde_json::from_str::<Snapshot>(snapshot.body.get());
            holder.accept_snapshot(snapshot.map_err(|e| e.to_string())?)
        }
    };
    applied.map(|_| ()).map_err(|e| e.to_string())
}

fn relayed_snapshot(holder: &SettingsReplica) -> Option<RelayedSnapshot> {
    let revision = holder.revision();
    if revision == Revision::NONE {
        return None;
    }
    let body = serde_json::value::to_raw_value(&holder.snapshot()).ok()?;
    Some(RelayedSnapshot { revision, body })
}
