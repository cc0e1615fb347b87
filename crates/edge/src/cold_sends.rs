//! Limits the requests that this VM sends to cold backend servers.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

/// When each cold server may get its next request from this VM.
#[derive(Debug, Default)]
pub struct ColdSends {
    next: HashMap<UpstreamName, Millis>,
}

impl ColdSends {
    /// Returns whether this VM may send a request to a cold server now. If so, it counts the send.
    /// `rate` is the number of requests per second that all VMs together may send; `share` is the
    /// part of the VMs that this one reaches. The others may have a VM of their own that sends.
    pub fn try_claim(&mut self, id: &UpstreamName, rate: f64, share: f64, now: Millis) -> bool {
        let own_rate = rate * share;
        if own_rate <= 0.0 {
            return false;
        }
        let due = self.next.entry(id.clone()).or_default();
        if now < *due {
            return false;
        }
        *due = now + Millis((1000.0 / own_rate).ceil() as u64);
        true
    }
}
