//! Assignment of upstreams to their home VMs by rendezvous hashing.

use heatherknot_types::hash::rendezvous;
use heatherknot_types::prelude::*;

use super::message::{Member, Members, UpstreamKey};

impl UpstreamKey {
    /// Creates a key.
    pub fn new(service: ServiceName, upstream: UpstreamName) -> Self {
        Self { service, upstream }
    }
}

impl Members {
    /// Returns the home of an upstream by rendezvous hashing, or `None` if the list is empty. A
    /// VM that joins or leaves moves only the upstreams for which it has the highest score.
    pub fn home_of(&self, key: &UpstreamKey) -> Option<&Member> {
        let text = format!("{}/{}", key.service, key.upstream);
        self.list
            .iter()
            .max_by_key(|member| (score(&text, &member.vm), member.vm.clone()))
    }

    /// Returns whether a VM is among the `count` with the highest scores for `key`. Selects the
    /// VMs for tasks that a few VMs do on behalf of all.
    pub fn is_among_top(&self, count: usize, key: &str, member: &Member) -> bool {
        let own = score(key, &member.vm);
        let above = |other: &&Member| score(key, &other.vm) > own;
        self.contains(member) && self.list.iter().filter(above).count() < count
    }

    /// Returns whether this incarnation of a VM is listed.
    pub fn contains(&self, member: &Member) -> bool {
        self.list.contains(member)
    }
}

/// Returns the score of a VM for a key; the highest score wins.
fn score(key: &str, vm: &VmName) -> u64 {
    rendezvous(&[key.as_bytes()], vm.as_str())
}
