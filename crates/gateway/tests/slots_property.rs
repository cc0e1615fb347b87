//! Random interleavings of loans, changes of the ledger and cuts never use more slots than an
//! upstream has.

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
/// Bytes from which the steps of one run are made.
const MAX_LEN: usize = 4096;
/// Longer than any time that a run lets pass, so that no slot is reclaimed while it is used.
const TERM: Millis = Millis(1_000_000_000);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A VM takes a slot that is free.
    Take { vm: u8 },
    /// A VM waits for a slot.
    Wait { vm: u8 },
    /// A VM takes a slot while the messages before are still under way.
    TakeAtOnce { vm: u8 },
    /// A request ends.
    Give { slot: u8 },
    /// A VM is cut off from its peers, or can be reached again.
    Cut { vm: u8, cut: bool },
    /// A VM dies, its requests with it, and another of its name takes its place. The ledger
    /// lists the new one.
    Replace { vm: u8 },
    /// A VM that uses no slots leaves the ledger and knows it, or comes back.
    Resize { without: u8 },
    /// A VM reads the ledger.
    Read { vm: u8 },
    /// Answers of homes are under way from now on, or arrive.
    Delay { on: bool },
    /// Messages arrive and time passes.
    Settle,
}

struct World {
    time: ManualTime,
    network: Rc<FakeNetwork>,
    vms: Vec<(Member, Rc<Slots>)>,
    ledger: Members,
    used: Vec<(Member, Slot)>,
    waiting: Vec<(Member, monoio::task::JoinHandle<Option<Slot>>)>,
    next_incarnation: u64,
}

fn key() -> UpstreamKey {
    UpstreamKey::new(ServiceName::from(common::SERVICE), UpstreamName::from("u0"))
}

fn name_of(index: usize) -> String {
    format!("vm-{index}")
}

/// Lets the tasks that are ready run, and those that they wake: each new task runs after all
/// that were ready before it.
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
                list: (0..VMS).map(|i| member(&name_of(i), i as u64)).collect(),
            },
            used: Vec::new(),
            waiting: Vec::new(),
            next_incarnation: VMS as u64,
        };
        for index in 0..VMS {
            let vm = world.start(index, index as u64);
            world.vms.push(vm);
        }
        world
    }

    fn start(&self, index: usize, incarnation: u64) -> (Member, Rc<Slots>) {
        let own = member(&name_of(index), incarnation);
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
            Step::Take { vm } => self.take(pick(vm), Millis(0)),
            Step::Wait { vm } => self.take(pick(vm), TERM),
            Step::TakeAtOnce { vm } => return self.take(pick(vm), Millis(0)),
            Step::Give { slot } => {
                if !self.used.is_empty() {
                    let at = usize::from(slot) % self.used.len();
                    self.used.swap_remove(at);
                }
            }
            Step::Cut { vm, cut } => {
                let name = VmName::from(name_of(pick(vm)));
                match cut {
                    true => self.network.cut(&name),
                    false => self.network.heal(&name),
                }
            }
            Step::Replace { vm } => self.replace(pick(vm)),
            Step::Resize { without } => self.resize(usize::from(without) % (VMS + 1)),
            Step::Read { vm } => self.vms[pick(vm)].1.on_members(self.ledger.clone()),
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

    fn take(&mut self, index: usize, wait: Millis) {
        let (member, slots) = self.vms[index].clone();
        let want = SlotRequest {
            class: Class::Interactive,
            waited: Millis(0),
            wait,
            term: TERM,
        };
        let taking = monoio::spawn(async move { slots.acquire(&key(), want).await.ok() });
        self.waiting.push((member, taking));
    }

    /// Moves the slots that were lent meanwhile to those in use.
    async fn collect(&mut self) {
        for (member, task) in std::mem::take(&mut self.waiting) {
            match task.is_finished() {
                true => {
                    let slot = task.await;
                    self.used.extend(slot.map(|slot| (member, slot)));
                }
                false => self.waiting.push((member, task)),
            }
        }
    }

    /// Lists every VM but the one at `without`, or all of them.
    fn resize(&mut self, without: usize) {
        let mut list: Vec<Member> = self.vms.iter().map(|(member, _)| member.clone()).collect();
        let version = self.ledger.version + 1;
        if without < list.len() {
            let leaving = list.remove(without);
            let uses = self.used.iter().any(|(member, _)| *member == leaving);
            if uses || self.waiting.iter().any(|(member, _)| *member == leaving) {
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
        // The process is gone and so are its messages; its backend connections are closed.
        self.network.lose_release_messages.set(true);
        self.used.retain(|(member, _)| *member != old);
        self.network.lose_release_messages.set(false);
        self.waiting.retain(|(member, _)| *member != old);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let new = member(&name_of(index), incarnation);
        self.ledger.version += 1;
        self.ledger.list.retain(|listed| listed.vm != new.vm);
        self.ledger.list.push(new);
        self.vms[index] = self.start(index, incarnation);
    }
}

#[test]
fn slots_in_use_never_exceed_those_there_are() {
    heatherknot_test_support::property::check()
        .with_generator(produce::<Vec<Step>>().with().len(STEPS))
        .with_iterations(ITERATIONS)
        .with_max_len(MAX_LEN)
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
