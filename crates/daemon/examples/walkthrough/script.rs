//! Plays the trace's faults and drains at their times.

use std::time::{Duration, Instant};

use heatherknot_replay::trace::{Seen, VmState};
use heatherknot_test_support::platform::{Down, PlatformHandle};
use heatherknot_types::prelude::*;

use crate::backends::Backends;
use crate::daemons::Daemons;
use crate::scenario::Scenario;

/// How often the time and the draining server are looked at.
const POLL: Duration = Duration::from_millis(10);

/// What was done on the way.
#[derive(Default)]
pub struct Notes {
    /// A line for each fault or drain.
    pub lines: Vec<String>,
    /// How long the draining backend server had requests.
    pub drain: Option<DrainTime>,
}

/// How long a draining backend server had requests.
pub struct DrainTime {
    /// The server.
    pub upstream: String,
    /// From the start of the drain to the last time at which a request was seen there.
    pub last_seen: Duration,
}

/// Plays everything of the trace but its demand, until the trace ends.
pub fn play(
    scenario: &Scenario,
    platform: &PlatformHandle,
    backends: &Backends,
    daemons: &mut Daemons,
) -> Notes {
    let started = Instant::now();
    let duration = Duration::from_millis(scenario.trace.head.duration_ms.0);
    let mut notes = Notes::default();
    let mut store_back = None;
    let mut drained: Option<(String, Instant)> = None;
    let mut events = scenario.trace.events.iter().peekable();
    while started.elapsed() < duration {
        let at = Millis(started.elapsed().as_millis() as u64);
        while let Some(event) = events.next_if(|event| event.at <= at) {
            match &event.seen {
                Seen::Vm(change) if change.state == VmState::Gone => {
                    notes.add(at, format!("{} is lost", change.subject));
                    daemons.kill(&change.subject, platform);
                }
                Seen::Vm(change) if change.state == VmState::Leaving => {
                    notes.add(at, format!("{} is told to stop", change.subject));
                    daemons.stop(&change.subject);
                }
                Seen::Backend(change) if !change.healthy => {
                    let upstream = upstream_at(scenario, &change.place);
                    notes.add(at, format!("backend server {upstream} starts to drain"));
                    backends.drain(&upstream);
                    drained = Some((upstream, Instant::now()));
                }
                Seen::Store(outage) => {
                    notes.add(at, format!("the store is down until {}", outage.until_ms));
                    platform.faults(|faults| faults.down = Some(Down::Hangs));
                    store_back = Some(outage.until_ms);
                }
                _ => {}
            }
        }
        if store_back.is_some_and(|back| back <= at) {
            store_back = None;
            notes.add(at, "the store is back".to_owned());
            platform.faults(|faults| faults.down = None);
        }
        if let Some((upstream, began)) = &drained
            && backends.running(upstream) > 0
        {
            let last_seen = began.elapsed();
            notes.drain = Some(DrainTime {
                upstream: upstream.clone(),
                last_seen,
            });
        }
        std::thread::sleep(POLL);
    }
    notes
}

impl Notes {
    fn add(&mut self, at: Millis, what: String) {
        let line = format!("{:5.1} s  {what}", at.as_secs_f64());
        println!("{line}");
        self.lines.push(line);
    }
}

fn upstream_at(scenario: &Scenario, place: &PlaceName) -> String {
    let mut found = None;
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    scenario.settings(|spot| {
        if spot.place == place.as_str() && found.is_none() {
            found = Some(spot.name.clone());
        }
        any
    });
    found.unwrap_or_default()
}
