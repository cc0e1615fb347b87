//! The port for slot messages between the VMs of a failure domain.

use std::fmt;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_types::prelude::*;
use snafu::Snafu;

use super::message::{AcquireReply, AcquireSlot, AdoptReply, AdoptSlots, ExtendSlot, ReleaseSlot};

/// A call to another VM failed or got no reply. The other VM may have processed it.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{step} at {vm}: {cause}"))]
pub struct PeerError {
    /// The step that failed.
    pub step: &'static str,
    /// The VM called.
    pub vm: VmName,
    /// The cause.
    pub cause: String,
}

/// A function that sends one kind of message to a VM and returns its reply.
pub type PeerCall<Req, Reply> =
    Rc<dyn Fn(&VmName, Req) -> LocalBoxFuture<'static, Result<Reply, PeerError>>>;

/// Calls to the other VMs of the failure domain. Dropping the future of a call discards the
/// reply.
#[derive(Clone)]
pub struct SlotPort {
    /// Acquires a slot.
    pub acquire: PeerCall<AcquireSlot, AcquireReply>,
    /// Releases a slot.
    pub release: PeerCall<ReleaseSlot, ()>,
    /// Extends the loan of a slot.
    pub extend: PeerCall<ExtendSlot, ()>,
    /// Adopts upstreams.
    pub adopt: PeerCall<AdoptSlots, AdoptReply>,
}

impl SlotPort {
    /// Creates the port of a VM that has no peers: every call fails.
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
