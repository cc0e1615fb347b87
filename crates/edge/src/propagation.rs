//! Time limits that bound how long a change of the store takes to come into force on every VM.
//!
//! A change passes from the store to a watcher, from there to the head of a domain, and from the head to
//! the other VMs. Each of them may fail while the store is well. Their time limits would add up, so the
//! bound doesn't rest on them: a VM whose copy reaches an age that working sources never let it reach
//! asks the store itself, whatever its peers answer. Ages are counted from the time at which the store
//! was asked, on the clocks of the VMs that the data passed.
//!
//! The store may refuse some VMs and serve others, so only a VM's own calls tell it anything of the
//! store. A VM that the store refuses depends on its peers: one whose copy is recent again tells those
//! with which it has exchanged old data (see [`crate::peer_feed::Offers`]).
//!
//! In an outage every VM makes one call when its copy gets too old, and one in each
//! [`store_retry_interval`] after that.

use heatherknot_types::prelude::*;

/// Interval between two reads of a watch, after one that brought changes. Backend servers write about once a second each; reading
/// less often batches their changes instead of paying one call for each.
pub const WATCH_READ_INTERVAL: Millis = Millis(500);
/// Longest time that the store holds the answer to a watch back, and interval between two reads of
/// one while there are no changes. What arrives later than that may
/// have waited anywhere on its way, so the age of a copy includes the whole call.
pub const STORE_HOLD: Millis = Millis(100);
/// How long an answer to a peer is held back while there is no relevant change.
pub const PEER_HOLD: Millis = Millis(400);
/// Longest round trip between two VMs, or to the store, for which a copy stays fresh in normal
/// operation.
pub const ROUND_TRIP: Millis = Millis(120);
/// Age from which a peer's data is stale, so that the peer is avoided.
pub const MAX_PEER_AGE: Millis = Millis(1_400);
/// Age from which the local copy is stale and any peer is asked.
pub const STALE_AFTER: Millis = Millis(1_700);
/// Age of its copy from which the head of a domain asks the store itself. The other VMs of the domain
/// get the answer from it before they have to ask.
pub const HEAD_ASKS_STORE_AFTER: Millis = MAX_PEER_AGE;
/// Age of its copy from which the next VMs in the rank of a domain ask the store themselves. If it refuses
/// the head and serves one of them, the rest of the domain need not ask.
pub const DEPUTY_ASKS_STORE_AFTER: Millis = Millis(1_650);
/// Age of its copy from which any other VM asks the store itself.
pub const VM_ASKS_STORE_AFTER: Millis = Millis(1_900);
/// Time in which the store answers a VM that is not connected to it yet: a round trip to connect,
/// another one for the call, its time to answer, and a third one if the answer is long.
pub const STORE_ANSWER: Millis = Millis(3 * ROUND_TRIP.0 + STORE_HOLD.0);
/// Time without an answer of the store after which a VM that watches it requests changes from peers.
pub const UNANSWERED_AFTER: Millis = Millis(1_000);
/// Largest age of data that a VM offers to peers with older data.
pub const MAX_OFFERED_AGE: Millis = Millis(1_000);
/// How much newer offered data has to be than the copy of the VM that gets the offer.
pub const MIN_OFFER_GAIN: Millis = Millis(300);
/// Shortest time that a deployment allows from a change until it is in force.
pub const SHORTEST_CHANGE_TIMEOUT: Millis = Millis(2_500);
/// Shortest time that a deployment allows, after the store serves a VM again, until that VM has what
/// changed meanwhile.
pub const SHORTEST_RETURN_TIMEOUT: Millis = Millis(4_000);
/// Longest time between two calls of a VM to a store that does not serve it, in fleets of up to
/// [`MAX_VMS_AT_SHORTEST_RETRY`] VMs.
pub const STORE_RETRY_INTERVAL: Millis = Millis(3_000);
/// Largest number of VMs that retry at [`STORE_RETRY_INTERVAL`]. In larger fleets the interval grows with
/// the number of VMs, so that all of them together make no more calls a second.
pub const MAX_VMS_AT_SHORTEST_RETRY: u64 = 1_000;

/// Returns the highest age of a copy that is refreshed through `hops` peers while all of them work.
pub const fn highest_age(hops: u64) -> Millis {
    let watcher = WATCH_READ_INTERVAL.0 + STORE_HOLD.0 + ROUND_TRIP.0;
    Millis(watcher + hops * PEER_HOLD.0 + if hops > 0 { ROUND_TRIP.0 } else { 0 })
}

/// Returns the longest time from a change of the store until it is in force on a VM that reaches the
/// store, whatever its peers do.
pub const fn longest_delay() -> Millis {
    Millis(VM_ASKS_STORE_AFTER.0 + STORE_ANSWER.0)
}

/// Returns the longest time from a change of the store until it is in force on a VM that the store refuses,
/// if it serves any VM that this one reaches. The data passes from a VM of a domain to its head, from
/// there to the watchers, to another head and to the VMs of that domain. Each hop takes an offer and a
/// request.
pub const fn longest_delay_of_refused() -> Millis {
    const HOPS: u64 = 4;
    Millis(longest_delay().0 + HOPS * (ROUND_TRIP.0 + ROUND_TRIP.0 / 2))
}

/// Returns the longest time between two calls of a VM to a store that does not serve it, in a fleet of
/// `vms`.
pub const fn store_retry_interval(vms: u64) -> Millis {
    let vms = if vms > MAX_VMS_AT_SHORTEST_RETRY {
        vms
    } else {
        MAX_VMS_AT_SHORTEST_RETRY
    };
    Millis(STORE_RETRY_INTERVAL.0 * vms / MAX_VMS_AT_SHORTEST_RETRY)
}

/// Returns the longest time from when the store serves a VM again until it has an answer of the store,
/// whatever its peers do.
pub const fn longest_return(vms: u64) -> Millis {
    Millis(store_retry_interval(vms).0 + STORE_ANSWER.0)
}

// Sources that work never make the VMs that ask them call the store, or avoid them.
const _: () = assert!(highest_age(1).0 < HEAD_ASKS_STORE_AFTER.0);
const _: () = assert!(highest_age(2).0 < DEPUTY_ASKS_STORE_AFTER.0);
const _: () = assert!(highest_age(2).0 < STALE_AFTER.0);
const _: () = assert!(highest_age(0).0 < UNANSWERED_AFTER.0);
// The head has the answer of the store before the other VMs ask.
const _: () = assert!(HEAD_ASKS_STORE_AFTER.0 + STORE_ANSWER.0 <= VM_ASKS_STORE_AFTER.0);
const _: () = assert!(longest_delay().0 <= SHORTEST_CHANGE_TIMEOUT.0);
const _: () = assert!(longest_return(MAX_VMS_AT_SHORTEST_RETRY).0 <= SHORTEST_RETURN_TIMEOUT.0);
