//! Property test: random interleavings of loans, ledger changes and partitions never use more
//! slots than an upstream has.

mod common;

use std::collections::HashSet;
use std::rc::Rc;

use bolero::{TypeGenerator, produce};
use common::member;
use common::network::FakeNetwork;
use common::time::ManualTime;
use heatherknot_gateway::slots::{
    Member, Members, Slot, SlotContext, SlotRequest, SlotTiming, Slots, UpstreamKey,
};
use heatherknot_http::Flag;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;

const SLOTS: usize = 2;
const VMS: usize = 3;
const ITERATIONS: usize = 1000;
const STEPS: std::ops::Range<usize> = 20..150;
/// Maximum size of the random input from which the steps of one run are generated, in bytes.
const MAX_INPUT_BYTES: usize = 4096;
/// Longer than the simulated time of any run, so that no slot is reclaimed while in use.
const TERM: Millis = Millis(1_000_000_000);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A VM acquires a slot if one is free.
    Acquire { vm: u8 },
    /// A VM waits for a slot.
    Wait { vm: u8 },
    /// A VM acquires a slot while earlier messages are still in transit.
    AcquireImmediately { vm: u8 },
    /// A request ends.
    Release { slot: u8 },
    /// A VM is partitioned from its peers, or the partition heals.
    Cut { vm: u8, cut: bool },
    /// A VM dies with its requests, and a new incarnation replaces it in the ledger.
    Replace { vm: u8 },
    /// A VM that uses no slots leaves the ledger and applies the new list, or all VMs are listed
    /// again.
    Resize { without: u8 },
    /// A VM reads the ledger.
    ReadLedger { vm: u8 },
    /// Replies of homes are held back from now on, or delivered.
    Delay { on: bool },
    /// Messages are delivered and time passes.
    Settle,
}

struct World {
    time: ManualTime,
    network: Rc<FakeNetwork>,
    vms: Vec<(Member, Rc<Slots>)>,
    ledger: Members,
    used: Vec<(Member, Slot)>,
    pending: Vec<(Member, monoio::task::JoinHandle<Option<Slot>>)>,
    next_incarnation: u64,
}

fn key() -> UpstreamKey {
    UpstreamKey::new(ServiceName::from(common::SERVICE), UpstreamName::from("u0"))
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

/// Runs the tasks that are ready, and those that they wake. Each spawned task runs after all
/// that were ready before it, so one round runs each ready task once.
async fn run_ready() {
    const ROUNDS: usize = 20;
    for _ in 0..ROUNDS {
        monoio::spawn(async {}).await;
    }
}

impl World {
    fn new() -> Self {
        let (time, network) = (ManualTime::new(), FakeNetwork::new());
        let mut world = Self {
            time,
            network,
            vms: Vec::new(),
            ledger: Members {
                version: 1,
                list: (0..VMS).map(|i| member(&vm_name(i), i as u64)).collect(),
            },
            used: Vec::new(),
            pending: Vec::new(),
            next_incarnation: VMS as u64,
        };
        for index in 0..VMS {
            let vm = world.start(index, index as u64);
            world.vms.push(vm);
        }
        world
    }

    fn start(&self, index: usize, incarnation: u64) -> (Member, Rc<Slots>) {
        let own = member(&vm_name(index), incarnation);
        let slots = Slots::new(SlotContext {
            own: own.clone(),
            port: self.network.slot_port(&own),
            limit: Rc::new(|_| SLOTS),
            on_leaving: Rc::new(|_| {}),
            clock: self.time.clock(),
            timer: self.time.timer(),
            timing: SlotTiming::default(),
        });
        self.network.add_slots(&own, &slots);
        slots.on_upstreams(HashSet::from([key()]));
        slots.on_members(self.ledger.clone());
        (own, slots)
    }

    async fn step(&mut self, step: Step) {
        let pick = |n: u8| usize::from(n) % VMS;
        match step {
            Step::Acquire { vm } => self.acquire(pick(vm), Millis(0)),
            Step::Wait { vm } => self.acquire(pick(vm), TERM),
            Step::AcquireImmediately { vm } => return self.acquire(pick(vm), Millis(0)),
            Step::Release { slot } => {
                if !self.used.is_empty() {
                    let at = usize::from(slot) % self.used.len();
                    self.used.swap_remove(at);
                }
            }
            Step::Cut { vm, cut } => {
                let name = VmName::from(vm_name(pick(vm)));
                match cut {
                    true => self.network.cut(&name),
                    false => self.network.heal(&name),
                }
            }
            Step::Replace { vm } => self.replace(pick(vm)),
            Step::Resize { without } => self.resize(usize::from(without) % (VMS + 1)),
            Step::ReadLedger { vm } => self.vms[pick(vm)].1.on_members(self.ledger.clone()),
            Step::Delay { on } => {
                let held = self.network.hold_acquire_replies.take();
                if let Some(held) = held {
                    held.fire();
                }
                *self.network.hold_acquire_replies.borrow_mut() = on.then(Flag::new);
            }
            Step::Settle => {
                self.time.advance(Millis(500));
                run_ready().await;
            }
        }
        run_ready().await;
        self.collect().await;
    }

    fn acquire(&mut self, index: usize, wait: Millis) {
        let (member, slots) = self.vms[index].clone();
        let req = SlotRequest {
            class: Class::Interactive,
            waited: Millis(0),
            wait,
            term: TERM,
        };
        let task = monoio::spawn(async move { slots.acquire(&key(), req).await.ok() });
        self.pending.push((member, task));
    }

    /// Collects the slots acquired by the tasks that have finished.
    async fn collect(&mut self) {
        for (member, task) in std::mem::take(&mut self.pending) {
            match task.is_finished() {
                true => {
                    let slot = task.await;
                    self.used.extend(slot.map(|slot| (member, slot)));
                }
                false => self.pending.push((member, task)),
            }
        }
    }

    /// Changes the ledger to list every VM except the one at `without`, or all of them.
    fn resize(&mut self, without: usize) {
        let mut list: Vec<Member> = self.vms.iter().map(|(member, _)| member.clone()).collect();
        let version = self.ledger.version + 1;
        if without < list.len() {
            let leaving = list.remove(without);
            let uses = self.used.iter().any(|(member, _)| *member == leaving);
            if uses || self.pending.iter().any(|(member, _)| *member == leaving) {
                return;
            }
        }
        self.ledger = Members { version, list };
        if let Some((_, slots)) = self.vms.get(without) {
            slots.on_members(self.ledger.clone());
        }
    }

    fn replace(&mut self, index: usize) {
        let old = self.vms[index].0.clone();
        // A dead process sends no release messages, and its backend connections are closed.
        self.network.lose_release_messages.set(true);
        self.used.retain(|(member, _)| *member != old);
        self.network.lose_release_messages.set(false);
        self.pending.retain(|(member, _)| *member != old);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let new = member(&vm_name(index), incarnation);
        self.ledger.version += 1;
        self.ledger.list.retain(|listed| listed.vm != new.vm);
        self.ledger.list.push(new);
        self.vms[index] = self.start(index, incarnation);
    }
}

#[test]
fn slots_in_use_never_exceed_the_limit() {
    heatherknot_test_support::property::check()
        .with_generator(produce::<Vec<Step>>().with().len(STEPS))
        .with_iterations(ITERATIONS)
        .with_max_len(MAX_INPUT_BYTES)
        .for_each(|steps| {
            block_on(async {
                let mut world = World::new();
                world.step(Step::Settle).await;
                for step in steps {
                    world.step(*step).await;
                    let used = world.used.len();
                    assert!(used <= SLOTS, "{used} in use after {step:?}");
                }
            });
        });
}
