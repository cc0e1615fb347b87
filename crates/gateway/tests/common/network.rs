//! A fake network for the calls between VMs and to the store of claims, with faults that a test
//! can switch on.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use futures_util::future::LocalBoxFuture;
use heatherknot_gateway::once::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest};
use heatherknot_gateway::slots::{Member, PeerCall, PeerError, SlotPort, Slots};
use heatherknot_gateway::{Gateway, HandOverError, HandOverPort};
use heatherknot_http::{Flag, Pool, PoolConfig, SendOptions, SendProgress};
use heatherknot_types::prelude::*;

/// The network between the VMs of a test.
#[derive(Default)]
pub struct FakeNetwork {
    slots: RefCell<HashMap<VmName, Weak<Slots>>>,
    addresses: RefCell<HashMap<VmName, SocketAddr>>,
    pools: RefCell<HashMap<SocketAddr, Pool>>,
    /// VMs that are disconnected from all others.
    pub cut: RefCell<HashSet<VmName>>,
    /// VMs that never respond to calls.
    pub unresponsive: RefCell<HashSet<VmName>>,
    /// Whether replies to slot requests are lost, so that a borrower never learns of its slot.
    pub lose_acquire_replies: Cell<bool>,
    /// If set, replies to slot requests are delayed until the flag fires.
    pub hold_acquire_replies: RefCell<Option<Flag>>,
    /// Whether messages that release a slot are lost.
    pub lose_release_messages: Cell<bool>,
    /// The number of slot requests served so far.
    pub acquire_calls: Cell<usize>,
    pub claims: Rc<FakeClaims>,
    /// If set, handles claims instead of the fake store.
    pub claim_override: RefCell<Option<ClaimPort>>,
}

/// A fake of the store of claims.
#[derive(Default)]
pub struct FakeClaims {
    held: RefCell<HashMap<String, Member>>,
    pub down: Cell<bool>,
    pub lose_reply: Cell<bool>,
    pub calls: Cell<usize>,
    pub start_by: Cell<Option<Millis>>,
}

impl FakeNetwork {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    pub fn add(&self, member: &Member, gateway: &Rc<Gateway>, address: SocketAddr) {
        self.add_slots(member, gateway.slots());
        let mut addresses = self.addresses.borrow_mut();
        addresses.insert(member.vm.clone(), address);
    }

    pub fn add_slots(&self, member: &Member, slots: &Rc<Slots>) {
        let mut slots_by_vm = self.slots.borrow_mut();
        slots_by_vm.insert(member.vm.clone(), Rc::downgrade(slots));
    }

    pub fn cut(&self, vm: &VmName) {
        self.cut.borrow_mut().insert(vm.clone());
    }

    pub fn heal(&self, vm: &VmName) {
        self.cut.borrow_mut().remove(vm);
    }

    fn slots_of(&self, from: &VmName, to: &VmName) -> Result<Rc<Slots>, PeerError> {
        let cut = self.cut.borrow();
        let slots = self.slots.borrow().get(to).and_then(Weak::upgrade);
        match slots {
            Some(slots) if !cut.contains(from) && !cut.contains(to) => Ok(slots),
            _ => Err(PeerError {
                step: "call",
                vm: to.clone(),
                cause: "cut off".to_owned(),
            }),
        }
    }

    fn call<Req: 'static, Reply: 'static>(
        self: &Rc<Self>,
        own: &Member,
        serve: impl Fn(
            Rc<FakeNetwork>,
            Rc<Slots>,
            Req,
        ) -> LocalBoxFuture<'static, Result<Reply, PeerError>>
        + 'static,
    ) -> PeerCall<Req, Reply> {
        let (network, own) = (Rc::clone(self), own.vm.clone());
        let serve = Rc::new(serve);
        Rc::new(move |to, req| {
            let (network, serve) = (Rc::clone(&network), Rc::clone(&serve));
            let (own, to) = (own.clone(), to.clone());
            Box::pin(async move {
                if network.unresponsive.borrow().contains(&to) {
                    return std::future::pending().await;
                }
                let slots = network.slots_of(&own, &to)?;
                serve(network, slots, req).await
            })
        })
    }

    fn pool_to(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        let connect = || Pool::new(address, PoolConfig::default(), Clock::system());
        pools.entry(address).or_insert_with(connect).clone()
    }

    pub fn slot_port(self: &Rc<Self>, own: &Member) -> SlotPort {
        SlotPort {
            acquire: self.call(own, |network, slots, request| {
                network.acquire_calls.set(network.acquire_calls.get() + 1);
                Box::pin(async move {
                    let reply = slots.serve_acquire(request).await;
                    if network.lose_acquire_replies.get() {
                        std::future::pending::<()>().await;
                    }
                    let delay = network.hold_acquire_replies.borrow().clone();
                    if let Some(delay) = delay {
                        delay.wait().await;
                    }
                    Ok(reply)
                })
            }),
            release: self.call(own, |network, slots, release| {
                if !network.lose_release_messages.get() {
                    slots.serve_release(&release);
                }
                Box::pin(std::future::ready(Ok(())))
            }),
            extend: self.call(own, |_, slots, extension| {
                slots.serve_extend(extension);
                Box::pin(std::future::ready(Ok(())))
            }),
            adopt: self.call(own, |_, slots, adopt| {
                let reply = slots.serve_adopt(adopt);
                Box::pin(std::future::ready(Ok(reply)))
            }),
        }
    }

    pub fn claim_port(&self) -> ClaimPort {
        if let Some(port) = self.claim_override.borrow().clone() {
            return port;
        }
        let claims = Rc::clone(&self.claims);
        ClaimPort {
            claim: Rc::new(move |req| {
                let claimed = claims.claim(req);
                Box::pin(async move { claimed })
            }),
        }
    }

    pub fn hand_over(self: &Rc<Self>, own: &Member) -> HandOverPort {
        let (network, own) = (Rc::clone(self), own.vm.clone());
        Rc::new(move |hand_over| {
            let network = Rc::clone(&network);
            let vm = hand_over.vm.clone();
            let is_cut = {
                let cut = network.cut.borrow();
                cut.contains(&own) || cut.contains(&vm)
            };
            let address = network.addresses.borrow().get(&vm).copied();
            Box::pin(async move {
                let failed = |may_have_run, cause: String| HandOverError {
                    vm: vm.clone(),
                    may_have_run,
                    cause,
                };
                let Some(address) = address.filter(|_| !is_cut) else {
                    return Err(failed(false, "cut off".to_owned()));
                };
                let pool = network.pool_to(address);
                let sent = pool.send(hand_over.head, hand_over.body, SendOptions::default());
                sent.await.map_err(|e| {
                    failed(e.send_progress() == SendProgress::MaybeSent, e.to_string())
                })
            })
        })
    }
}

impl FakeClaims {
    fn claim(&self, req: ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
        self.calls.set(self.calls.get() + 1);
        let failed = |cause: &str| ClaimError {
            step: "claim",
            cause: cause.to_owned(),
        };
        if self.down.get() {
            return Err(failed("the store is down"));
        }
        let mut held = self.held.borrow_mut();
        if let Some(owner) = held.get(&req.key) {
            return Ok(ClaimOutcome::Held(owner.clone()));
        }
        held.insert(req.key, req.owner);
        match self.lose_reply.get() {
            true => Err(failed("the answer was lost")),
            false => Ok(ClaimOutcome::New {
                start_by: self.start_by.get().unwrap_or(Millis(u64::MAX)),
            }),
        }
    }
}
