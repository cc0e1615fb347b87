//! Which revision is in force on which daemon: every daemon is asked when an operator asks.

use std::rc::Rc;

use futures_util::stream::{self, StreamExt};
use heatherknot_operator::api::DaemonStatus;
use heatherknot_peer::{CallOptions, MemberState, MemberView, MethodTable, not_run};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::context::{ContextCell, DaemonContext};
use crate::operators::page;
use crate::ports::grants::STARTING;

const STATUS: &str = "status";
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Daemons asked at once.
const ASKED_AT_ONCE: usize = 32;

/// What a daemon answers to another that asks for an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct InForce {
    #[serde(rename = "r")]
    revision: Revision,
    #[serde(rename = "f")]
    in_force: Millis,
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    unreadable: Option<String>,
}

/// Registers the method that other daemons call.
pub fn register(methods: &mut MethodTable, cell: &ContextCell) {
    let cell = cell.clone();
    methods.register(STATUS, move |_, (): ()| {
        let cx = cell.get();
        async move { Ok(own(&*cx.ok_or_else(|| not_run(STARTING))?)) }
    });
}

fn own(cx: &DaemonContext) -> InForce {
    let status = page::status(cx);
    InForce {
        revision: status.revision,
        in_force: status.in_force_ms,
        unreadable: status.unreadable,
    }
}

/// Asks every daemon that may run, and gives what each says; one that does not answer is
/// given with no revision.
pub async fn status(cx: Rc<DaemonContext>) -> Vec<DaemonStatus> {
    let views = cx.membership.views();
    let own = describe(
        &cx.me.vm,
        &cx.cfg.domain,
        state_word(cx.membership.own_state()),
        own(&cx),
    );
    let others = stream::iter(views).map(|view| ask(Rc::clone(&cx), view));
    let mut all: Vec<DaemonStatus> = others.buffer_unordered(ASKED_AT_ONCE).collect().await;
    all.push(own);
    all.sort_by(|a, b| a.vm.cmp(&b.vm));
    all
}

async fn ask(cx: Rc<DaemonContext>, view: MemberView) -> DaemonStatus {
    let (vm, domain, state) = (&view.id.vm, &view.id.domain, state_word(view.state));
    let nothing = InForce {
        revision: Revision::NONE,
        in_force: Millis(0),
        unreadable: None,
    };
    if view.state == MemberState::Gone {
        return DaemonStatus {
            age_ms: view.age.0,
            ..describe(vm, domain, state, nothing)
        };
    }
    let opts = CallOptions::idempotent(CALL_TIMEOUT);
    match cx.net.call_with::<_, InForce>(vm, STATUS, &(), opts).await {
        Ok(in_force) => describe(vm, domain, state, in_force),
        Err(error) => {
            log::warn!(step = "status", peer:% = vm, error:% = error; "no answer");
            let age_ms = view.since_heard.unwrap_or(view.age).0;
            DaemonStatus {
                age_ms,
                ..describe(vm, domain, state, nothing)
            }
        }
    }
}

fn describe(vm: &VmName, domain: &DomainName, state: &str, said: InForce) -> DaemonStatus {
    DaemonStatus {
        vm: vm.clone(),
        domain: domain.clone(),
        state: state.to_owned(),
        revision: said.revision,
        in_force_ms: said.in_force.0,
        age_ms: 0,
        unreadable: said.unreadable,
    }
}

fn state_word(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Gone => "gone",
    }
}
