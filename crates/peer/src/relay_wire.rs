//! Messages between daemons for the relay of settings: notices of new revisions, pulls of
//! changes, and snapshots in parts of limited size.

use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::debug;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::PeerError;
use crate::methods::{MethodTable, not_run};
use crate::options::CallOptions;
use crate::relay::{Origin, RelayState};
use crate::settings_port::{Delivery, RelayedChange, RelayedSnapshot};

const NOTICE: &str = "sn";
const PULL: &str = "sc";
const PART: &str = "sp";

/// Maximum number of consecutive requests of one pull.
const MAX_PULL_ROUNDS: usize = 64;

/// Notice of a new revision. Includes the changes if they fit in `max_push_bytes`.
#[derive(Debug, Serialize, Deserialize)]
struct Notice {
    #[serde(rename = "r")]
    revision: Revision,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    changes: Vec<RelayedChange>,
}

/// Answer to a pull.
#[derive(Debug, Serialize, Deserialize)]
enum PullAnswer {
    /// The changes that follow the requested revision, as many as fit in `max_changes_bytes`.
    #[serde(rename = "c")]
    Changes(Vec<RelayedChange>),
    /// The changes are no longer in the log; the caller fetches a snapshot in parts.
    #[serde(rename = "s")]
    Snapshot {
        #[serde(rename = "r")]
        revision: Revision,
        #[serde(rename = "n")]
        parts: usize,
    },
    /// There is no newer revision.
    #[serde(rename = "n")]
    Nothing,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PartRequest {
    #[serde(rename = "r")]
    revision: Revision,
    #[serde(rename = "n")]
    part: usize,
}

/// The snapshot that peers are fetching, split into parts.
pub(crate) struct CachedSnapshot {
    revision: Revision,
    parts: Vec<String>,
}

impl CachedSnapshot {
    fn new(snapshot: &RelayedSnapshot, max_part_bytes: usize) -> Self {
        Self {
            revision: snapshot.revision,
            parts: split_text(snapshot.body.get(), max_part_bytes),
        }
    }
}

/// Splits text at character boundaries into parts of at most `max_part_bytes` bytes.
fn split_text(text: &str, max_part_bytes: usize) -> Vec<String> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(max_part_bytes);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        parts.push(part.to_string());
        rest = tail;
    }
    parts
}

/// Drops the cached snapshot after `snapshot_retention`, because it is as large as all settings
/// together.
async fn expire_cached_snapshot(state: Rc<RelayState>, revision: Revision) {
    state.timer.wait(state.options.snapshot_retention).await;
    let mut cached = state.cached_snapshot.borrow_mut();
    cached.take_if(|cached| cached.revision == revision);
}

pub(crate) fn register(state: &Rc<RelayState>, methods: &mut MethodTable) {
    let cx = Rc::clone(state);
    methods.register(NOTICE, move |caller, notice: Notice| {
        cx.handle_notice(&caller.vm, notice);
        async move { Ok(()) }
    });
    let cx = Rc::clone(state);
    methods.register(PULL, move |_, since: Revision| {
        let answer = cx.answer_pull(since);
        async move { Ok(answer) }
    });
    let cx = Rc::clone(state);
    methods.register(PART, move |_, req: PartRequest| {
        let part = cx.answer_part(req);
        async move { part.ok_or_else(|| not_run("another snapshot is in force by now")) }
    });
}

impl RelayState {
    /// Sends the changes that follow `after` to every VM of the domain.
    pub(crate) fn push_to_domain(&self, after: Revision) {
        let net = self.net.borrow();
        let Some(net) = net.as_ref() else {
            return;
        };
        let changes = self.log.borrow().since(after, self.options.max_push_bytes);
        let notice = Notice {
            revision: self.revision(),
            changes: changes.unwrap_or_default(),
        };
        for vm in self.domain_peers() {
            if let Err(error) = net.notify(&vm, NOTICE, &notice) {
                // The VM will learn of the revision from a heartbeat.
                debug!(error:% = error; "failed to send a notice of new settings");
            }
        }
    }

    fn handle_notice(self: &Rc<Self>, from: &VmName, notice: Notice) {
        if !self.should_pull(notice.revision) {
            return;
        }
        if self.continues_held(&notice.changes) {
            // `apply` records a refusal, which prevents pulling this revision again below.
            let _ = self.apply(
                Delivery::Changes(notice.changes),
                Origin::Peer(from.clone()),
            );
        }
        if self.should_pull(notice.revision) {
            monoio::spawn(Rc::clone(self).pull(from.clone()));
        }
    }

    fn continues_held(&self, changes: &[RelayedChange]) -> bool {
        let next = self.revision().next();
        let first = changes.first().map(|change| change.revision);
        first.is_some_and(|first| first <= next)
    }

    fn answer_pull(self: &Rc<Self>, since: Revision) -> PullAnswer {
        if since >= self.revision() {
            return PullAnswer::Nothing;
        }
        if let Some(changes) = self
            .log
            .borrow()
            .since(since, self.options.max_changes_bytes)
        {
            return PullAnswer::Changes(changes);
        }
        let mut cached = self.cached_snapshot.borrow_mut();
        if cached.as_ref().is_none_or(|c| c.revision < self.revision()) {
            let snapshot = (self.settings.snapshot)();
            *cached = snapshot.map(|s| CachedSnapshot::new(&s, self.options.max_part_bytes));
            monoio::spawn(expire_cached_snapshot(Rc::clone(self), self.revision()));
        }
        match cached.as_ref() {
            Some(cached) => PullAnswer::Snapshot {
                revision: cached.revision,
                parts: cached.parts.len(),
            },
            None => PullAnswer::Nothing,
        }
    }

    fn answer_part(&self, req: PartRequest) -> Option<String> {
        let cached = self.cached_snapshot.borrow();
        let cached = cached.as_ref().filter(|c| c.revision == req.revision)?;
        cached.parts.get(req.part).cloned()
    }

    /// Fetches the settings that a peer has beyond the revision in force.
    pub(crate) async fn pull(self: Rc<Self>, vm: VmName) {
        if self.pulls.get() >= self.options.max_concurrent_pulls {
            return;
        }
        self.pulls.set(self.pulls.get() + 1);
        if let Err(error) = self.pull_rounds(&vm).await {
            debug!(error:% = error; "failed to fetch settings from a peer");
            self.record_peer_error(&error.to_string());
        }
        self.pulls.set(self.pulls.get() - 1);
    }

    async fn pull_rounds(&self, vm: &VmName) -> Result<(), PeerError> {
        for _ in 0..MAX_PULL_ROUNDS {
            let before = self.revision();
            let delivery = match self.call::<_, PullAnswer>(vm, PULL, &before).await? {
                PullAnswer::Changes(changes) => Delivery::Changes(changes),
                PullAnswer::Snapshot { revision, parts } => {
                    match self.fetch_parts(vm, revision, parts).await? {
                        Some(snapshot) => Delivery::Snapshot(snapshot),
                        None => return Ok(()),
                    }
                }
                PullAnswer::Nothing => {
                    self.record_nothing_newer(vm);
                    return Ok(());
                }
            };
            let applied = self.apply(delivery, Origin::Peer(vm.clone()));
            if applied.is_err() || self.revision() == before {
                return Ok(());
            }
        }
        Ok(())
    }

    fn record_nothing_newer(&self, vm: &VmName) {
        if self.revision() == Revision::NONE {
            self.record_peer_error(&format!("{vm} has none either"));
        }
    }

    async fn fetch_parts(
        &self,
        vm: &VmName,
        revision: Revision,
        parts: usize,
    ) -> Result<Option<RelayedSnapshot>, PeerError> {
        let mut text = String::new();
        for part in 0..parts {
            let req = PartRequest { revision, part };
            text += &self.call::<_, String>(vm, PART, &req).await?;
            if !self.should_pull(revision) {
                // The revision has meanwhile been received from elsewhere.
                return Ok(None);
            }
        }
        let body = RawValue::from_string(text).ok();
        Ok(body.map(|body| RelayedSnapshot { revision, body }))
    }

    async fn call<P: Serialize, R: serde::de::DeserializeOwned>(
        &self,
        vm: &VmName,
        method: &'static str,
        params: &P,
    ) -> Result<R, PeerError> {
        let net = self.net.borrow().clone();
        let net = net.expect("pulls run after the connections");
        let opts = CallOptions::quick(self.options.call_timeout);
        net.call_with(vm, method, params, opts).await
    }
}

#[cfg(test)]
mod tests;
