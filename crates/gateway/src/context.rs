//! The dependencies that the daemon passes to the gateway.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_http::{Body, RequestHead, Response};
use heatherknot_steering::Steering;
use heatherknot_types::prelude::*;
use prometheus::Registry;
use snafu::Snafu;

use crate::once::ClaimPort;
use crate::settings::GatewaySettings;
use crate::slots::{Member, SlotPort};

/// A request to forward to another daemon.
#[derive(Debug)]
pub struct HandOver {
    /// The VM to forward it to.
    pub vm: VmName,
    /// The method, path and headers, including the hop header.
    pub head: RequestHead,
    /// The request body.
    pub body: Body,
    /// When to give up, on this daemon's clock, in milliseconds.
    pub deadline: Millis,
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
}

/// A request could not be forwarded, or no response came.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("handing over to {vm}: {cause}"))]
pub struct HandOverError {
    /// The VM that the request was to be forwarded to.
    pub vm: VmName,
    /// Whether any byte of the request was written to a connection.
    pub may_have_run: bool,
    /// Why forwarding failed.
    pub cause: String,
}

/// Sends a request to the address at which another daemon serves callers.
pub type HandOverPort =
    Rc<dyn Fn(HandOver) -> LocalBoxFuture<'static, Result<Response, HandOverError>>>;

/// The dependencies and settings of a [`Gateway`](crate::Gateway).
#[derive(Clone)]
pub struct GatewayContext {
    /// This VM and its current incarnation.
    pub own: Member,
    /// The failure domain of this VM.
    pub domain: DomainName,
    /// The steering, which decides about admission. It is shared with the daemon, which drives its
    /// other inputs.
    pub steering: Rc<RefCell<Steering>>,
    /// The clock for deadlines and expiry.
    pub clock: Clock,
    /// The timer, on the same clock.
    pub timer: Timer,
    /// The source of randomness.
    pub rng: Rc<RefCell<fastrand::Rng>>,
    /// The deployment's secret, with which daemons authenticate hop headers and tickets.
    pub secret: Rc<[u8]>,
    /// Calls to the other VMs of the failure domain to share slots.
    pub slot_port: SlotPort,
    /// Claims of idempotency keys that callers chose themselves.
    pub claims: ClaimPort,
    /// Forwards requests to other daemons.
    pub hand_over: HandOverPort,
    /// The registry to which the gateway adds its metrics.
    pub registry: Registry,
    /// The settings of the request path.
    pub settings: GatewaySettings,
}

impl fmt::Debug for GatewayContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayContext")
            .field("own", &self.own)
            .field("domain", &self.domain)
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}
