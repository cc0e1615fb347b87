//! Requests for grants over the connections between daemons.

use std::rc::Rc;

use heatherknot_peer::{CallOptions, MethodTable, not_run};
use heatherknot_steering::{GrantReply, GrantRequest};
use heatherknot_types::prelude::*;

use crate::context::{ContextCell, DaemonContext};

/// What a call is refused with before the daemon is ready.
pub const STARTING: &str = "the daemon is starting";

const GRANT: &str = "grant";
const CALL_TIMEOUT: Millis = Millis(900);

/// Registers the method that VMs of other failure domains call.
pub fn register(methods: &mut MethodTable, cell: &ContextCell) {
    let cell = cell.clone();
    methods.register(GRANT, move |caller, req: GrantRequest| {
        let cx = cell.get();
        async move {
            let cx = cx.ok_or_else(|| not_run(STARTING))?;
            // The holder's name decides whose grants are replaced, so only the VM that proved
            // that name may use it.
            if caller.vm != req.holder || caller.incarnation != req.holder_incarnation {
                return Err(not_run("the request names another VM as the holder"));
            }
            let now = cx.clock.now();
            Ok::<GrantReply, _>(cx.steering.borrow_mut().on_grant_request(&req, now))
        }
    });
}

/// Asks one VM of another failure domain for grants and takes in its answer.
pub async fn ask(cx: Rc<DaemonContext>, vm: VmName, req: GrantRequest) {
    let opts = CallOptions {
        incarnation: req.issuer_incarnation,
        ..CallOptions::idempotent(CALL_TIMEOUT)
    };
    let reply = cx
        .net
        .call_with::<_, GrantReply>(&vm, GRANT, &req, opts)
        .await;
    let now = cx.clock.now();
    let mut steering = cx.steering.borrow_mut();
    match reply {
        Ok(reply) => {
            steering.on_grant_reply(&reply, now);
        }
        Err(error) => {
            log::debug!(vm:% = vm, error:% = error; "asking for grants failed");
            steering.on_grant_request_failed(&vm, now);
        }
    }
}
