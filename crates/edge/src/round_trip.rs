//! Measures round trips to other regions by calls to VMs there.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use heatherknot_peer::MethodTable;
use heatherknot_peer::options::CallOptions;
use heatherknot_types::prelude::*;
use log::{debug, info};

use crate::context::EdgeContext;
use crate::presence;

/// Method that responds immediately.
const PING: &str = "e.ping";
/// Interval between two measurements while there are too few samples, and afterwards.
const INITIAL_INTERVAL: Millis = Millis(500);
const INTERVAL: Millis = Millis(10_000);
/// Samples per region, on average, until which measurements follow at the initial interval. During
/// a start a single sample may be up to a quarter too long. A VM that kept such a value would
/// choose other locations for objects than its neighbours.
const MIN_SAMPLES: u32 = 4;
/// Timeout of a measurement.
const PING_TIMEOUT: Millis = Millis(1_500);

/// Shortest round trip measured to each other region.
#[derive(Debug, Default)]
pub struct RegionRoundTrips {
    shortest: RefCell<BTreeMap<RegionName, Millis>>,
    samples: Cell<u32>,
}

impl RegionRoundTrips {
    /// Returns the round trip to the farthest region, if any is known.
    pub fn longest(&self) -> Option<Millis> {
        self.shortest.borrow().values().max().copied()
    }

    /// Records a round trip to a region. Only the shortest one is kept, because longer ones include
    /// queueing.
    pub fn record(&self, region: &RegionName, took: Millis) {
        let mut shortest = self.shortest.borrow_mut();
        let current = shortest.entry(region.clone()).or_insert(took);
        *current = took.min(*current);
        self.samples.set(self.samples.get().saturating_add(1));
    }
}

/// Registers the method that responds immediately.
pub fn register(methods: &mut MethodTable) {
    methods.register(PING, |_, (): ()| async { Ok(()) });
}

/// Measures the round trips to other regions until the process ends.
pub async fn run(cx: Rc<EdgeContext>) {
    loop {
        let regions = cx.round_trips.shortest.borrow().len() as u32;
        let has_enough_samples =
            regions > 0 && cx.round_trips.samples.get() >= MIN_SAMPLES * regions;
        let interval = if has_enough_samples {
            INTERVAL
        } else {
            INITIAL_INTERVAL
        };
        cx.timer.wait(interval).await;
        for (region, vm) in one_vm_per_region(&cx) {
            measure(&cx, &region, &vm).await;
        }
    }
}

fn one_vm_per_region(cx: &EdgeContext) -> BTreeMap<RegionName, VmName> {
    let mut vms = presence::live_vms(cx).to_vec();
    cx.rng.borrow_mut().shuffle(&mut vms);
    let elsewhere = vms.into_iter().filter(|vm| vm.region != cx.region);
    elsewhere.map(|vm| (vm.region, vm.name)).collect()
}

async fn measure(cx: &EdgeContext, region: &RegionName, vm: &VmName) {
    // The first call may have to open the connection, so only the second one is measured.
    for is_measured in [false, true] {
        let started = cx.now();
        let opts = CallOptions::quick(PING_TIMEOUT);
        if let Err(error) = cx.net.call_with::<_, ()>(vm, PING, &(), opts).await {
            debug!(vm:% = vm, error:% = error; "the round trip to a VM could not be measured");
            return;
        }
        if is_measured {
            let took = cx.now().since(started);
            cx.round_trips.record(region, took);
            info!(vm:% = vm, region:% = region, round_trip_ms = took.0; "round trip to another region measured");
        }
    }
}
