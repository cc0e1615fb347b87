//! Which VM of a failure domain is the home of an upstream.

use heatherknot_types::hash::rendezvous;
use heatherknot_types::prelude::*;

use super::message::{Member, Members, UpstreamKey};

impl UpstreamKey {
    /// Makes a key.
    pub fn new(service: ServiceName, upstream: UpstreamName) -> Self {
        Self { service, upstream }
    }
}

impl Members {
    /// Gives the home of an upstream by rendezvous hashing: a VM that comes or goes moves
    /// only the upstreams that it wins. There is none where the list is empty.
    pub fn home_of(&self, key: &UpstreamKey) -> Option<&Member> {
        let text = format!("{}/{}", key.service, key.upstream);
        self.list
            .iter()
            .max_by_key(|member| (score(&text, &member.vm), member.vm.clone()))
    }

    /// Says whether a VM is one of the `count` that win `key`, for tasks that a few VMs do for
    /// all.
    pub fn is_among_top(&self, count: usize, key: &str, member: &Member) -> bool {
        let own = score(key, &member.vm);
        let above = |other: &&Member| score(key, &other.vm) > own;
        self.contains(member) && self.list.iter().filter(above).count() < count
    }

    /// Says whether this run of a VM is listed.
    pub fn contains(&self, member: &Member) -> bool {
        self.list.contains(member)
    }
}

/// Scores a VM for a key; the highest score wins.
fn score(key: &str, vm: &VmName) -> u64 {
    rendezvous(&[key.as_bytes()], vm.as_str())
}
