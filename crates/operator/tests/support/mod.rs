//! Test fixtures: daemons that share one fake platform, and calls to them.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use heatherknot_http::{Body, Flag, Handler, Request, RequestHead};
use heatherknot_operator::api::{
    Action, ChangeOutcome, ChangeRequest, ChangeResponse, DaemonStatus, ExplainResponse,
};
use heatherknot_operator::context::StoreFuture;
use heatherknot_operator::{CurrentSettings, OperatorContext, handler};
use heatherknot_settings::{BootstrapKey, Change, NewKey, OperatorKey, SettingsReplica};
use heatherknot_store::backoff::Backoff;
use heatherknot_store::commit::history::audit_after;
use heatherknot_store::commit::{ResolvePolicy, commit, find_command};
use heatherknot_store::http_store::{StoreConfig, connect};
use heatherknot_store::port::Store;
use heatherknot_test_support::layouts;
use heatherknot_test_support::platform::{Platform, PlatformConfig, PlatformHandle};
use heatherknot_types::prelude::*;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode, Uri};
use monoio::time::TimeDriver;
use monoio::{LegacyDriver, Runtime, RuntimeBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value as Json, json};

thread_local! {
    /// The runtime of the test thread. All its tasks share it, because a daemon's pooled
    /// connections are bound to the runtime that opened them.
    static RUNTIME: RefCell<Runtime<TimeDriver<LegacyDriver>>> = RefCell::new(
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap(),
    );
}

/// Runs a future to completion on the runtime of this test.
pub fn block_on<F: Future>(task: F) -> F::Output {
    RUNTIME.with_borrow_mut(|runtime| runtime.block_on(task))
}

/// The account path of the Port Louis account.
pub const BRANCH: &str = layouts::PORT_LOUIS;
/// The tree path of the same account.
pub const ACCOUNT: &str = "accounts/utilities/accounts/port-louis";

/// Returns the secret of a key and the key's object for `operators/<id>`.
pub fn key(id: &str, branch: &str, rights: &[&str]) -> (String, Json) {
    let key = NewKey::from_bytes(id, [3; 16], [5; 32]);
    let object = json!({
        "holder": format!("Holder of {id}"),
        "branch": branch,
        "rights": rights,
        "salt": key.salt,
        "hash": key.hash,
    });
    (key.secret, object)
}

/// Returns the secret of the first operator, who has all rights.
pub fn first_secret() -> String {
    key("first", "", &[]).0
}

fn first_key() -> BootstrapKey {
    let (_, json) = key(
        "first",
        "",
        &["read", "change", "drain", "audit", "platform"],
    );
    let key = OperatorKey::read("first", json.as_object().unwrap()).unwrap();
    BootstrapKey {
        id: "first".into(),
        key,
    }
}

/// Starts a fake platform.
pub fn platform() -> PlatformHandle {
    Platform::start(PlatformConfig::default())
}

/// A daemon's operator API with its own copy of the settings.
pub struct Daemon {
    /// The daemon's copy of the settings.
    pub replica: Rc<RefCell<SettingsReplica>>,
    /// The status that the daemon reports for all daemons.
    pub status: Rc<RefCell<Vec<DaemonStatus>>>,
    /// The number of times the status was read.
    pub status_polls: Rc<Cell<u32>>,
    pending_refreshes: Rc<Cell<u32>>,
    handler: Handler,
}

impl Daemon {
    /// Creates a daemon that connects to the platform over loopback.
    pub fn new(platform: &PlatformHandle) -> Daemon {
        let store = connect(StoreConfig::new(platform.address()));
        let replica = Rc::new(RefCell::new(SettingsReplica::new()));
        let status = Rc::new(RefCell::new(Vec::new()));
        let status_polls = Rc::new(Cell::new(0));
        let pending_refreshes = Rc::new(Cell::new(0));
        let cx = context(&store, &replica, &status, &status_polls, &pending_refreshes);
        Daemon {
            pending_refreshes,
            replica,
            status,
            status_polls,
            handler: handler(cx),
        }
    }

    /// Creates a daemon and sets the empty tree to the Port Louis layout.
    pub fn with_layout(platform: &PlatformHandle) -> Daemon {
        let daemon = Daemon::new(platform);
        let layout = layouts::port_louis(layouts::unused_addresses());
        let answer = daemon.set(&first_secret(), "fill", "", layout);
        assert_eq!(answer.revision, Some(Revision(1)), "{answer:?}");
        daemon
    }

    /// Makes a call to the operator API and returns the HTTP status and the response.
    pub fn call<T: DeserializeOwned>(
        &self,
        secret: &str,
        call: &str,
        req: &impl Serialize,
    ) -> (StatusCode, T) {
        let body = serde_json::to_vec(req).unwrap();
        let uri: Uri = format!("/v1/{call}").parse().unwrap();
        let mut head = RequestHead::new(Method::POST, uri);
        let token = HeaderValue::from_str(&format!("Bearer {secret}")).unwrap();
        head.headers.insert(AUTHORIZATION, token);
        let req = Request {
            head,
            body: Body::full(body),
            peer: ([127, 0, 0, 1], 9).into(),
            cancelled: Flag::new(),
        };
        block_on(async {
            let response = (self.handler)(req).await;
            let body = response.body.collect(1 << 24).await.unwrap();
            // An accepted change starts a refresh in a separate task. Waits for it, so that the
            // test sees the refreshed settings.
            while self.pending_refreshes.get() > 0 {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            (response.status, serde_json::from_slice(&body).unwrap())
        })
    }

    /// Requests a change.
    pub fn change(&self, secret: &str, command: &str, action: Action) -> ChangeResponse {
        let req = ChangeRequest {
            command: command.to_string(),
            base: None,
            dry_run: false,
            action,
        };
        self.call(secret, "change", &req).1
    }

    /// Requests that one value be set.
    pub fn set(&self, secret: &str, command: &str, path: &str, value: Json) -> ChangeResponse {
        let path = path.to_string();
        self.change(secret, command, Action::Set { path, value })
    }

    /// Sets one value, asserts that the change is accepted and returns its revision.
    pub fn must_set(&self, command: &str, path: &str, value: Json) -> Revision {
        let answer = self.set(&first_secret(), command, path, value);
        assert_eq!(answer.outcome, ChangeOutcome::Accepted, "{answer:?}");
        answer.revision.unwrap()
    }

    /// Adds a key and returns its secret.
    pub fn add_key(&self, id: &str, branch: &str, rights: &[&str]) -> String {
        let (secret, object) = key(id, branch, rights);
        self.must_set(&format!("key-{id}"), &format!("operators/{id}"), object);
        secret
    }

    /// Returns the value at a path.
    pub fn get(&self, path: &str) -> Json {
        let (_, answer): (_, Json) = self.call(&first_secret(), "get", &json!({ "path": path }));
        answer["value"].clone()
    }

    /// Applies the newest settings from the store.
    pub fn refresh_settings(&self, platform: &PlatformHandle) {
        let store = connect(StoreConfig::new(platform.address()));
        block_on(refresh(store, self.replica.clone())).unwrap();
    }
}

fn context(
    store: &Store,
    replica: &Rc<RefCell<SettingsReplica>>,
    status: &Rc<RefCell<Vec<DaemonStatus>>>,
    status_polls: &Rc<Cell<u32>>,
    pending_refreshes: &Rc<Cell<u32>>,
) -> OperatorContext {
    let (s1, s2, s3, s4) = (store.clone(), store.clone(), store.clone(), store.clone());
    let (h1, h2) = (replica.clone(), replica.clone());
    let (status, status_polls) = (status.clone(), status_polls.clone());
    let pending_refreshes = pending_refreshes.clone();
    OperatorContext {
        current_settings: Rc::new(move || current_settings(&h1)),
        refresh: Rc::new(move || {
            let (refreshed, pending_refreshes) =
                (refresh(s1.clone(), h2.clone()), pending_refreshes.clone());
            pending_refreshes.set(pending_refreshes.get() + 1);
            async move {
                let result = refreshed.await;
                pending_refreshes.set(pending_refreshes.get() - 1);
                result
            }
            .boxed_local()
        }),
        commit: Rc::new(move |proposal| {
            let store = s2.clone();
            async move { commit(&store, &proposal, &policy()).await }.boxed_local()
        }),
        find_command: Rc::new(move |command| {
            let store = s3.clone();
            async move { find_command(&store, &command).await }.boxed_local()
        }),
        history: Rc::new(move |after| {
            let store = s4.clone();
            async move { audit_after(&store, after).await }.boxed_local()
        }),
        status: Rc::new(move || {
            status_polls.set(status_polls.get() + 1);
            let daemons = status.borrow().clone();
            async move { daemons }.boxed_local()
        }),
        explain: Rc::new(|req| {
            let answer = ExplainResponse {
                revision: Revision(1),
                places: vec![PlaceName::from("north-1")],
                steps: Vec::new(),
            };
            async move { req.service.ends_with("gallery").then_some(answer) }.boxed_local()
        }),
        first_key: Some(first_key()),
        wall_clock_ms: Rc::new(|| 1_700_000_000_000),
    }
}

fn policy() -> ResolvePolicy {
    let (first, longest) = (Duration::from_millis(1), Duration::from_millis(4));
    ResolvePolicy {
        tries: 3,
        backoff: Backoff::new(first, longest, fastrand::Rng::with_seed(7)),
    }
}

fn current_settings(replica: &Rc<RefCell<SettingsReplica>>) -> CurrentSettings {
    let replica = replica.borrow();
    CurrentSettings {
        chain_point: replica.at(),
        tree: replica.tree().clone(),
    }
}

fn refresh(store: Store, replica: Rc<RefCell<SettingsReplica>>) -> StoreFuture<CurrentSettings> {
    async move {
        loop {
            let after = replica.borrow().revision();
            let page = audit_after(&store, after).await?;
            let changes = page.changes.iter();
            let changes: Vec<Change> = changes
                .map(|stored| serde_json::from_slice(&stored.change).unwrap())
                .collect();
            // Unreadable changes are recorded in the replica, which keeps the settings in force.
            let rejected = replica.borrow_mut().accept_changes(&changes).is_err();
            if rejected || !page.more {
                return Ok(current_settings(&replica));
            }
        }
    }
    .boxed_local()
}
