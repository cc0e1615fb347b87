//! Slots of upstreams over the connections between daemons.

use std::rc::Rc;

use heatherknot_gateway::slots::{
    AcquireReply, AcquireSlot, AdoptReply, AdoptSlots, ExtendSlot, PeerCall, PeerError,
    ReleaseSlot, SlotPort,
};
use heatherknot_peer::{CallOptions, MethodTable, PeerNet, not_run};
use heatherknot_types::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::grants::STARTING;
use crate::context::ContextCell;

const TAKE: &str = "slot.take";
const GIVE: &str = "slot.give";
const KEEP: &str = "slot.keep";
const ADOPT: &str = "slot.adopt";
/// Time allowed for a call beyond what the message itself may wait.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// Makes the port that calls other VMs of the failure domain.
pub fn port(net: &PeerNet) -> SlotPort {
    let take_net = net.clone();
    SlotPort {
        acquire: Rc::new(move |vm, take: AcquireSlot| {
            let opts = CallOptions::once(take.wait + CALL_TIMEOUT);
            let call = call(take_net.clone(), TAKE, vm.clone(), take, opts);
            Box::pin(call)
        }),
        release: caller::<ReleaseSlot, ()>(net, GIVE),
        extend: caller::<ExtendSlot, ()>(net, KEEP),
        adopt: caller::<AdoptSlots, AdoptReply>(net, ADOPT),
    }
}

/// Makes a caller of a method that may run more than once.
fn caller<Req, Reply>(net: &PeerNet, method: &'static str) -> PeerCall<Req, Reply>
where
    Req: Serialize + 'static,
    Reply: DeserializeOwned + 'static,
{
    let net = net.clone();
    Rc::new(move |vm, req| {
        let opts = CallOptions::idempotent(CALL_TIMEOUT);
        Box::pin(call(net.clone(), method, vm.clone(), req, opts))
    })
}

async fn call<Req: Serialize, Reply: DeserializeOwned>(
    net: PeerNet,
    method: &'static str,
    vm: VmName,
    req: Req,
    opts: CallOptions,
) -> Result<Reply, PeerError> {
    let called = net.call_with(&vm, method, &req, opts).await;
    called.map_err(|error| PeerError {
        step: method,
        vm,
        cause: error.to_string(),
    })
}

/// Registers the methods that other VMs of the failure domain call.
pub fn register(methods: &mut MethodTable, cell: &ContextCell) {
    let cx = cell.clone();
    methods.register(TAKE, move |_, take: AcquireSlot| {
        let cx = cx.get();
        async move {
            let cx = cx.ok_or_else(|| not_run(STARTING))?;
            Ok::<AcquireReply, _>(cx.gateway.slots().serve_acquire(take).await)
        }
    });
    let cx = cell.clone();
    methods.register(GIVE, move |_, give: ReleaseSlot| {
        let cx = cx.get();
        async move {
            cx.ok_or_else(|| not_run(STARTING))?
                .gateway
                .slots()
                .serve_release(&give);
            Ok(())
        }
    });
    let cx = cell.clone();
    methods.register(KEEP, move |_, keep: ExtendSlot| {
        let cx = cx.get();
        async move {
            cx.ok_or_else(|| not_run(STARTING))?
                .gateway
                .slots()
                .serve_extend(keep);
            Ok(())
        }
    });
    let cx = cell.clone();
    methods.register(ADOPT, move |_, adopt: AdoptSlots| {
        let cx = cx.get();
        async move {
            let cx = cx.ok_or_else(|| not_run(STARTING))?;
            Ok(cx.gateway.slots().serve_adopt(adopt))
        }
    });
}
