//! The callers: how many requests each step brings, and to which entry VM each one goes.

use std::collections::BTreeMap;

use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;

use crate::brain::Pass;
use crate::journal::StreamKey;
use crate::trace::Demand;

/// The most callers that one stream is played by.
const MAX_CALLERS: usize = 4096;

/// What a caller remembers of its last look-up.
#[derive(Clone, Debug)]
pub struct Route {
    /// The entry VM that it sends requests to.
    pub vm: usize,
    /// What its requests bear there.
    pub pass: Pass,
    /// When the answer expires.
    pub until: Millis,
}

/// One caller of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerId {
    /// The number of the stream.
    pub stream: usize,
    /// The number of the caller in it.
    pub caller: usize,
}

/// The callers of one source domain who ask for one service in one class.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Who they are and what they ask for.
    pub key: StreamKey,
    /// The account that owns the service.
    pub account: AccountName,
    /// The time that a request has.
    pub deadline: Millis,
    rates: BTreeMap<(VmName, String), f64>,
    credit: f64,
    ttl: Millis,
    routes: Vec<Option<Route>>,
    next: usize,
}

/// All callers of a replay.
#[derive(Clone, Debug)]
pub struct Callers {
    requests_per_answer: f64,
    streams: Vec<Stream>,
    numbers: BTreeMap<StreamKey, usize>,
}

impl Callers {
    /// Makes no callers yet; each is to make so many requests on one look-up answer.
    pub fn new(requests_per_answer: f64) -> Self {
        Self {
            requests_per_answer,
            streams: Vec::new(),
            numbers: BTreeMap::new(),
        }
    }

    /// Changes the rate of one stream as one daemon saw it.
    pub fn on_demand(&mut self, vm: &VmName, demand: &Demand, source: usize, plan: &Plan) {
        let key = StreamKey {
            source,
            service: demand.service.clone(),
            class: demand.class,
            at_most_once: demand.at_most_once,
        };
        let number = match self.numbers.get(&key) {
            Some(&number) => number,
            None => self.add(key, plan),
        };
        let stream = &mut self.streams[number];
        let seen = (vm.clone(), demand.block.clone());
        stream.rates.insert(seen, demand.per_second);
        let per_ttl = stream.rate() * stream.ttl.as_secs_f64() / self.requests_per_answer;
        let wanted = (per_ttl.ceil() as usize).clamp(1, MAX_CALLERS);
        stream.routes.resize(wanted, None);
        stream.next %= wanted;
    }

    fn add(&mut self, key: StreamKey, plan: &Plan) -> usize {
        let service = &plan.services[&key.service];
        self.streams.push(Stream {
            account: service.account.clone(),
            deadline: service.deadline,
            rates: BTreeMap::new(),
            credit: 0.0,
            ttl: service.lookup_ttl,
            routes: vec![None],
            next: 0,
            key: key.clone(),
        });
        self.numbers.insert(key, self.streams.len() - 1);
        self.streams.len() - 1
    }

    /// Gives the requests of one step: who asks, and when.
    pub fn step(
        &mut self,
        now: Millis,
        step: Millis,
        rng: &mut fastrand::Rng,
    ) -> Vec<(Millis, CallerId)> {
        let mut requests = Vec::new();
        for (number, stream) in self.streams.iter_mut().enumerate() {
            stream.credit += stream.rate() * step.as_secs_f64();
            while stream.credit >= 1.0 {
                stream.credit -= 1.0;
                let at = now + Millis(rng.u64(0..step.0));
                let caller = stream.next;
                stream.next = (caller + 1) % stream.routes.len();
                let id = CallerId {
                    stream: number,
                    caller,
                };
                requests.push((at, id));
            }
        }
        requests
    }

    /// Gives a stream.
    pub fn stream(&self, number: usize) -> &Stream {
        &self.streams[number]
    }

    /// Gives what a caller remembers, unless it has expired.
    pub fn route(&self, id: CallerId, now: Millis) -> Option<&Route> {
        let routes = &self.streams[id.stream].routes;
        let route = routes.get(id.caller)?.as_ref()?;
        (now < route.until).then_some(route)
    }

    /// Lets a caller forget what it remembers.
    pub fn forget(&mut self, id: CallerId) {
        if let Some(slot) = self.streams[id.stream].routes.get_mut(id.caller) {
            *slot = None;
        }
    }

    /// Lets a caller remember a look-up answer.
    pub fn remember(&mut self, id: CallerId, route: Route) {
        if let Some(slot) = self.streams[id.stream].routes.get_mut(id.caller) {
            *slot = Some(route);
        }
    }
}

impl Stream {
    /// Gives how long a look-up answer is kept where it says nothing else.
    pub fn ttl(&self) -> Millis {
        self.ttl
    }

    fn rate(&self) -> f64 {
        self.rates.values().sum()
    }
}
