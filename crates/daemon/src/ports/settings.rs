//! The platform's store as the relay of settings reads it.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;
use heatherknot_peer::settings_port::{Delivery, RelayedChange, RelayedSnapshot, StorePort};
use heatherknot_store::commit::history::StoredChange;
use heatherknot_store::follow::{self, FollowCallbacks, FollowConfig, SettingsUpdate};
use heatherknot_store::port::Store;
use heatherknot_types::prelude::*;
use serde_json::value::RawValue;

/// Makes the port that waits for the store's next revision.
pub fn store_port(store: &Store) -> StorePort {
    let store = store.clone();
    StorePort {
        next: Rc::new(move |held| {
            let store = store.clone();
            Box::pin(async move { next(store, held).await })
        }),
    }
}

/// Follows the store until it brings something newer than `held`. Dropping the future ends the
/// watch, which then no longer counts on the platform.
async fn next(store: Store, held: Revision) -> Result<Delivery, String> {
    let (tx, rx) = oneshot::channel();
    let tx = RefCell::new(Some(tx));
    let follow = FollowCallbacks {
        current_revision: Rc::new(move || held),
        deliver: Rc::new(move |update| {
            if let Some(tx) = tx.borrow_mut().take() {
                let _ = tx.send(update);
            }
        }),
    };
    let _follower = follow::start(store, follow, FollowConfig::default());
    let update = rx.await.map_err(|_| "the watch ended".to_owned())?;
    delivery(update)
}

/// Reads an update of the store as the relay passes it on.
///
/// # Errors
///
/// Returns what is wrong where the store holds something that is not JSON.
pub fn delivery(update: SettingsUpdate) -> Result<Delivery, String> {
    match update {
        SettingsUpdate::Changes(stored) => {
            let changes: Result<Vec<RelayedChange>, String> =
                stored.into_iter().map(relayed_change).collect();
            Ok(Delivery::Changes(changes?))
        }
        SettingsUpdate::Snapshot { at, tree } => {
            let body = raw(&tree, at.revision)?;
            Ok(Delivery::Snapshot(RelayedSnapshot {
                revision: at.revision,
                body,
            }))
        }
    }
}

fn relayed_change(stored: StoredChange) -> Result<RelayedChange, String> {
    let body = raw(&stored.change, stored.revision)?;
    Ok(RelayedChange {
        revision: stored.revision,
        body,
    })
}

fn raw(bytes: &Bytes, revision: Revision) -> Result<Box<RawValue>, String> {
    serde_json::from_slice(bytes).map_err(|e| format!("{revision} in the store: {e}"))
}
