//! The port for the messages about slots between the VMs of one failure domain.

use std::fmt;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_types::prelude::*;
use snafu::Snafu;

use super::message::{AcquireReply, AcquireSlot, AdoptReply, AdoptSlots, ExtendSlot, ReleaseSlot};

/// A call to another VM failed or got no answer. The other VM may have acted on it.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{step} at {vm}: {cause}"))]
pub struct PeerError {
    /// The step that failed.
    pub step: &'static str,
    /// The VM called.
    pub vm: VmName,
    /// What was found.
    pub cause: String,
}

/// A function that sends one kind of message to a VM and gives its answer.
pub type PeerCall<Req, Reply> =
    Rc<dyn Fn(&VmName, Req) -> LocalBoxFuture<'static, Result<Reply, PeerError>>>;

/// Calls to other VMs of the failure domain. Dropping a call's future gives up on the answer.
#[derive(Clone)]
pub struct SlotPort {
    /// Asks for a slot.
    pub acquire: PeerCall<AcquireSlot, AcquireReply>,
    /// Gives a slot back.
    pub release: PeerCall<ReleaseSlot, ()>,
    /// Prolongs the use of a slot.
    pub extend: PeerCall<ExtendSlot, ()>,
    /// Becomes the home of upstreams.
    pub adopt: PeerCall<AdoptSlots, AdoptReply>,
}

impl SlotPort {
    /// Makes a port for a VM that has no peers: every call fails.
    pub fn none() -> Self {
        Self {
            acquire: refuse("take a slot"),
            release: refuse("give a slot back"),
            extend: refuse("keep a slot"),
            adopt: refuse("adopt slots"),
        }
    }
}

fn refuse<Req: 'static, Reply: 'static>(step: &'static str) -> PeerCall<Req, Reply> {
    Rc::new(move |vm, _| {
        let error = PeerError {
            step,
            vm: vm.clone(),
            cause: "this VM has no peers".to_owned(),
        };
        Box::pin(async move { Err(error) })
    })
}

impl fmt::Debug for SlotPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SlotPort")
    }
}
