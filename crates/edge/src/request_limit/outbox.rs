//! Servers whose limits other VMs are to be told.

use std::collections::VecDeque;

use heatherknot_http::Flag;
use heatherknot_types::prelude::*;

/// Maximum number of servers in one message, which then stays under 4 KB.
const MAX_BATCH: usize = 32;
/// Maximum number of servers that wait. VMs that aren't told of a server learn of its limit from
/// its responses.
const MAX_WAITING: usize = 16_384;

/// Servers that wait to be told to other VMs.
#[derive(Default)]
pub struct Outbox {
    /// To be told to the heads of all domains.
    announced: VecDeque<UpstreamName>,
    /// To be told to the VMs of this domain.
    relayed: VecDeque<UpstreamName>,
    news: Flag,
}

impl Outbox {
    pub(super) fn announce(&mut self, id: &UpstreamName) {
        push(&mut self.announced, id);
        self.news.fire();
    }

    pub(super) fn relay(&mut self, id: &UpstreamName) {
        push(&mut self.relayed, id);
        self.news.fire();
    }

    /// Returns a flag that fires when a server waits.
    pub(super) fn next_news(&mut self) -> Flag {
        self.news = Flag::new();
        if !(self.announced.is_empty() && self.relayed.is_empty()) {
            self.news.fire();
        }
        self.news.clone()
    }

    pub(super) fn take_announced(&mut self) -> Vec<UpstreamName> {
        take(&mut self.announced)
    }

    pub(super) fn take_relayed(&mut self) -> Vec<UpstreamName> {
        take(&mut self.relayed)
    }
}

fn push(queue: &mut VecDeque<UpstreamName>, id: &UpstreamName) {
    if queue.len() < MAX_WAITING && !queue.contains(id) {
        queue.push_back(id.clone());
    }
}

fn take(queue: &mut VecDeque<UpstreamName>) -> Vec<UpstreamName> {
    let count = queue.len().min(MAX_BATCH);
    queue.drain(..count).collect()
}
