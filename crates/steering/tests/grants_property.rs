//! Property test: no random interleaving of grant messages, requests, failures and restarts
//! exceeds a cap.

mod common;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use common::cap;
use heatherknot_steering::allowance::Allowances;
use heatherknot_steering::holder::{HeldGrant, Holder};
use heatherknot_steering::issuer::{HolderKey, Issuer, Reserve};
use heatherknot_steering::{GrantReply, GrantRequest, GrantToken, Tuning};
use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

const ISSUERS: usize = 2;
const HOLDERS: usize = 3;
const PLACES: [&str; 2] = ["n1-a", "n1-b"];
/// Allowances of each issuer for each place, for its region and for the link from the south.
const PLACE_CAP: u32 = 12;
const REGION_CAP: u32 = 18;
const LINK_CAP: u32 = 7;

#[derive(Clone, Copy, Debug)]
enum Op {
    Advance(u8),
    AdvanceLong(u8),
    Ask {
        holder: u8,
        issuer: u8,
        rate: u8,
        in_flight: u8,
    },
    /// Delivers one of the messages in transit; a duplicate also stays in transit.
    Deliver {
        at: u8,
        duplicate: bool,
    },
    DropMessage(u8),
    Send {
        holder: u8,
        place: u8,
    },
    Local {
        issuer: u8,
        place: u8,
    },
    Finish(u8),
    /// A complete exchange: sends a request, delivers it and delivers the reply.
    Round {
        holder: u8,
        issuer: u8,
        rate: u8,
    },
    /// Local arrivals, or requests of one holder, until no more fits.
    SendUntilFull {
        from: u8,
        place: u8,
    },
    RestartIssuer(u8),
    RestartHolder(u8),
    SetCaps {
        issuer: u8,
        to: u8,
    },
}

/// A random operation whose kind is still to be chosen by weight.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct RandomOp {
    kind: u8,
    a: u8,
    b: u8,
    c: u8,
}

impl RandomOp {
    /// Returns the operation. Complete exchanges and bursts are likely, restarts and changes of
    /// caps rare, so that grants live long enough to be misused.
    fn op(self) -> Op {
        let RandomOp { kind, a, b, c } = self;
        match kind {
            0..=39 => Op::Round {
                holder: a,
                issuer: b,
                rate: c,
            },
            40..=79 => Op::SendUntilFull { from: a, place: b },
            80..=109 => Op::Advance(a),
            110..=134 => Op::AdvanceLong(a),
            135..=159 => Op::Ask {
                holder: a,
                issuer: b,
                rate: c,
                in_flight: c,
            },
            160..=189 => Op::Deliver {
                at: a,
                duplicate: b < 64,
            },
            190..=199 => Op::DropMessage(a),
            200..=214 => Op::Send {
                holder: a,
                place: b,
            },
            215..=224 => Op::Local {
                issuer: a,
                place: b,
            },
            225..=239 => Op::Finish(a),
            240..=244 => Op::RestartIssuer(a),
            245..=249 => Op::RestartHolder(a),
            250..=255 => Op::SetCaps { issuer: a, to: b },
        }
    }
}

enum Message {
    Ask(usize, GrantRequest),
    Reply(usize, GrantReply),
    Request(GrantToken),
}

enum Running {
    Local(usize, u64, PlaceName),
    Granted(usize, u64, HolderKey, GrantToken),
}

/// An event that counts against a place, its region and possibly the link, with the issuer
/// concerned.
struct LoadEvent {
    at: Millis,
    issuer: usize,
    place: PlaceName,
    from: &'static str,
    local: bool,
}

struct Simulation {
    now: Millis,
    tuning: Tuning,
    issuers: Vec<Issuer>,
    holders: Vec<Holder>,
    incarnations: u64,
    network: Vec<Message>,
    running: Vec<Running>,
    arrivals: Vec<LoadEvent>,
    departures: Vec<LoadEvent>,
    /// The percentage of the caps in force at each issuer with the time of each change, oldest
    /// first.
    percent: Vec<Vec<(Millis, u32)>>,
}

fn issuer_name(at: usize) -> VmName {
    VmName::new(format!("n{at}"))
}

fn holder_name(at: usize) -> VmName {
    VmName::new(format!("h{at}"))
}

/// The first holder is in the issuers' region, the others beyond the capped link.
fn region_of_holder(at: usize) -> &'static str {
    if at == 0 { "north" } else { "south" }
}

fn allowances(percent: u32) -> Allowances {
    let part = |n: u32| cap(n * percent / 100, 2 * n * percent / 100);
    Allowances {
        places: PLACES
            .iter()
            .map(|p| (PlaceName::from(*p), part(PLACE_CAP)))
            .collect(),
        region: part(REGION_CAP),
        links: BTreeMap::from([(RegionName::from("south"), part(LINK_CAP))]),
    }
}

impl Simulation {
    fn new() -> Self {
        let tuning = Tuning::default();
        let mut sim = Self {
            now: Millis(100_000),
            tuning,
            issuers: Vec::new(),
            holders: Vec::new(),
            incarnations: 0,
            network: Vec::new(),
            running: Vec::new(),
            arrivals: Vec::new(),
            departures: Vec::new(),
            percent: vec![vec![(Millis(0), 100)]; ISSUERS],
        };
        for at in 0..ISSUERS {
            let issuer = sim.start_issuer(at);
            sim.issuers.push(issuer);
        }
        for at in 0..HOLDERS {
            let holder = sim.start_holder(at);
            sim.holders.push(holder);
        }
        // An issuer that has just started lends nothing at first.
        sim.now = sim.now + Millis(20_000);
        sim
    }

    /// Returns a holder's clock. The clocks have different offsets and run up to 1% fast or slow.
    fn clock_of(&self, holder: usize) -> Millis {
        let rate = [100, 99, 101][holder];
        Millis(self.now.0 * rate / 100 + 7_777 * holder as u64)
    }

    fn start_issuer(&mut self, at: usize) -> Issuer {
        self.incarnations += 1;
        let run = Incarnation(self.incarnations);
        let mut issuer = Issuer::new(issuer_name(at), run, self.tuning, self.now);
        let percent = self.percent[at].last().expect("never empty").1;
        let allowed = allowances(percent);
        issuer.set_allowances(&"north".into(), &allowed, &allowed);
        issuer
    }

    fn start_holder(&mut self, at: usize) -> Holder {
        self.incarnations += 1;
        Holder::new(holder_name(at), Incarnation(self.incarnations), self.tuning)
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Advance(ms) => self.advance(u64::from(ms)),
            Op::AdvanceLong(ms) => self.advance(u64::from(ms) * 40),
            Op::Ask {
                holder,
                issuer,
                rate,
                in_flight,
            } => self.ask(holder.into(), issuer.into(), rate % 20, in_flight % 30),
            Op::Deliver { at, duplicate } => self.deliver(at.into(), duplicate),
            Op::DropMessage(at) => self.drop_message(at.into()),
            Op::Send { holder, place } => self.send(holder.into(), place.into()),
            Op::Local { issuer, place } => self.local(issuer.into(), place.into()),
            Op::Finish(at) => self.finish(at.into()),
            Op::Round {
                holder,
                issuer,
                rate,
            } => {
                self.ask(holder.into(), issuer.into(), rate % 20, rate % 40);
                self.deliver(self.network.len() - 1, false);
                self.deliver(self.network.len() - 1, false);
            }
            Op::SendUntilFull { from, place } => self.send_until_full(from.into(), place.into()),
            Op::RestartIssuer(at) => {
                let at = usize::from(at) % ISSUERS;
                self.issuers[at] = self.start_issuer(at);
            }
            Op::RestartHolder(at) => {
                let at = usize::from(at) % HOLDERS;
                self.holders[at] = self.start_holder(at);
            }
            Op::SetCaps { issuer, to } => self.set_caps(usize::from(issuer) % ISSUERS, to),
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
        for issuer in &mut self.issuers {
            issuer.tick(self.now);
        }
        for at in 0..HOLDERS {
            let clock = self.clock_of(at);
            self.holders[at].tick(clock);
        }
        let window = self.tuning.window;
        self.arrivals.retain(|l| l.at + window > self.now);
        self.departures.retain(|l| l.at + window > self.now);
    }

    fn ask(&mut self, holder: usize, issuer: usize, rate: u8, in_flight: u8) {
        let (holder, issuer) = (holder % HOLDERS, issuer % ISSUERS);
        let clock = self.clock_of(holder);
        let vm = issuer_name(issuer);
        let h = &mut self.holders[holder];
        let ask = h.start_request(&"n1".into(), &vm, clock);
        let want = |place: &&str| {
            h.place_request(&PlaceName::from(*place), &vm, rate.into(), in_flight.into())
        };
        let wants = PLACES.iter().map(want).collect();
        let req = GrantRequest {
            ask,
            holder: holder_name(holder),
            holder_incarnation: h.incarnation(),
            domain: region_of_holder(holder).into(),
            issuer_incarnation: h.incarnation_of(&vm),
            wants,
        };
        self.network.push(Message::Ask(issuer, req));
    }

    fn deliver(&mut self, at: usize, duplicate: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = at % self.network.len();
        let now = self.now;
        let next = match &self.network[at] {
            Message::Ask(issuer, req) => {
                let holder = holder_at(&req.holder);
                let reserve = Reserve {
                    local: cap(1, 1),
                    warm_rate: u32::MAX,
                };
                let from = RegionName::from(region_of_holder(holder));
                let grants = self.issuers[*issuer].lend(req, &from, &|_| Some(reserve), now);
                Some(Message::Reply(
                    holder,
                    GrantReply {
                        ask: req.ask,
                        holder_incarnation: req.holder_incarnation,
                        issuer: issuer_name(*issuer),
                        issuer_incarnation: self.issuers[*issuer].incarnation(),
                        term: self.tuning.term,
                        grants,
                        report_seq: 0,
                        places: Vec::new(),
                    },
                ))
            }
            Message::Reply(holder, reply) => {
                let clock = self.clock_of(*holder);
                self.holders[*holder].accept_reply(&"n1".into(), reply, clock);
                None
            }
            Message::Request(token) => {
                let token = token.clone();
                self.arrive(&token);
                None
            }
        };
        // A request with a grant token is sent on one connection and arrives at most once.
        if !duplicate || matches!(self.network[at], Message::Request(_)) {
            self.network.swap_remove(at);
        }
        self.network.extend(next);
    }

    fn drop_message(&mut self, at: usize) {
        if self.network.is_empty() {
            return;
        }
        let at = at % self.network.len();
        if let Message::Request(token) = self.network.swap_remove(at) {
            self.finish_at_holder(&token);
        }
    }

    fn finish_at_holder(&mut self, token: &GrantToken) {
        let holder = &mut self.holders[holder_at(&token.holder)];
        if holder.incarnation() == token.holder_incarnation {
            holder.finish(token);
        }
    }

    fn arrive(&mut self, token: &GrantToken) {
        let at = issuer_at(&token.issuer);
        if let Ok(key) = self.issuers[at].check_granted(token, self.now) {
            self.issuers[at].start_granted(&key, self.now);
            self.arrivals.push(LoadEvent {
                at: self.now,
                issuer: at,
                place: token.place.clone(),
                from: region_of_holder(holder_at(&token.holder)),
                local: false,
            });
            let run = self.issuers[at].incarnation().0;
            self.running
                .push(Running::Granted(at, run, key, token.clone()));
        } else {
            self.finish_at_holder(token);
        }
    }

    fn send(&mut self, holder: usize, place: usize) {
        let holder = holder % HOLDERS;
        let place = PlaceName::from(PLACES[place % PLACES.len()]);
        let clock = self.clock_of(holder);
        if let Some(token) = self.holders[holder].record_send(&place, 0, clock) {
            self.departures.push(LoadEvent {
                at: self.now,
                issuer: issuer_at(&token.issuer),
                place,
                from: region_of_holder(holder),
                local: false,
            });
            self.network.push(Message::Request(token));
        }
    }

    fn local(&mut self, issuer: usize, place: usize) {
        let at = issuer % ISSUERS;
        let place = PlaceName::from(PLACES[place % PLACES.len()]);
        if self.issuers[at].check_local(&place, self.now).is_ok() {
            self.issuers[at].start_local(&place, self.now);
            let run = self.issuers[at].incarnation().0;
            self.running.push(Running::Local(at, run, place.clone()));
            self.arrivals.push(LoadEvent {
                at: self.now,
                issuer: at,
                place,
                from: "north",
                local: true,
            });
        }
    }

    fn send_until_full(&mut self, from: usize, place: usize) {
        for _ in 0..PLACE_CAP {
            match from % (HOLDERS + ISSUERS) {
                holder if holder < HOLDERS => self.send(holder, place),
                issuer => self.local(issuer, place),
            }
        }
        if from.is_multiple_of(2) {
            while matches!(self.network.last(), Some(Message::Request(_))) {
                self.deliver(self.network.len() - 1, false);
            }
        }
    }

    fn finish(&mut self, at: usize) {
        if self.running.is_empty() {
            return;
        }
        let at = at % self.running.len();
        match self.running.swap_remove(at) {
            Running::Local(issuer, run, place) => {
                if self.issuers[issuer].incarnation().0 == run {
                    self.issuers[issuer].finish_local(&place);
                }
            }
            Running::Granted(issuer, run, key, token) => {
                if self.issuers[issuer].incarnation().0 == run {
                    self.issuers[issuer].finish_granted(&key);
                }
                self.finish_at_holder(&token);
            }
        }
    }

    fn set_caps(&mut self, issuer: usize, to: u8) {
        let percent = 30 + u32::from(to) % 71;
        self.percent[issuer].push((self.now, percent));
        let allowed = allowances(percent);
        self.issuers[issuer].set_allowances(&"north".into(), &allowed, &allowed);
    }

    /// Returns the highest percentage of the caps in force at an issuer during the last `span`.
    fn percent_within(&self, issuer: usize, span: Millis) -> u32 {
        let changes = &self.percent[issuer];
        let since = self.now - span;
        let mut top = changes.last().expect("never empty").1;
        for pair in changes.windows(2) {
            if pair[1].0 > since {
                top = top.max(pair[0].1);
            }
        }
        top
    }

    fn check(&self) {
        for issuer in 0..ISSUERS {
            self.check_arrivals(issuer);
            self.check_running(issuer);
            self.check_outstanding_grants(issuer);
            self.check_link(issuer);
        }
    }

    /// Checks that the arrivals of the last window are within the highest caps of that window.
    fn check_arrivals(&self, issuer: usize) {
        let window = self.tuning.window;
        let limit = allowances(self.percent_within(issuer, window));
        let recent = || {
            let all = self.arrivals.iter().rev();
            let live = all.take_while(|l| l.at + window > self.now);
            live.filter(|l| l.issuer == issuer)
        };
        for (place, cap) in &limit.places {
            let n = recent().filter(|l| l.place == *place).count();
            assert!(
                n <= cap.per_second as usize,
                "{n} arrivals at {place}, cap {cap:?}"
            );
        }
        let n = recent().count();
        assert!(
            n <= limit.region.per_second as usize,
            "{n} arrivals in the region"
        );
        let n = recent().filter(|l| l.from == "south").count();
        assert!(n <= limit.links[&RegionName::from("south")].per_second as usize);
    }

    /// Checks that the requests in flight are within the caps; those admitted before a cap was
    /// lowered may finish.
    fn check_running(&self, issuer: usize) {
        let run = self.issuers[issuer].incarnation().0;
        let limit = allowances(100);
        let here = |r: &&Running| match r {
            Running::Local(at, of, _) | Running::Granted(at, of, _, _) => {
                *at == issuer && *of == run
            }
        };
        let n = self.running.iter().filter(here).count();
        assert!(
            n <= limit.region.in_flight as usize,
            "{n} running in the region"
        );
    }

    /// Checks that the usable grants of all holders plus the local arrivals of the last window are
    /// within the highest caps in force while those grants were issued.
    fn check_outstanding_grants(&self, issuer: usize) {
        let term = self.tuning.term + self.tuning.margin;
        let limit = allowances(self.percent_within(issuer, term));
        let mut region = cap(0, 0);
        for (place, cap) in &limit.places {
            let sum = self.usable_grants(issuer, place, None);
            assert_within(sum, *cap, place.as_str());
            region.per_second += sum.per_second;
            region.in_flight += sum.in_flight;
        }
        assert_within(region, limit.region, "region");
        let places = limit.places.keys();
        let link = places.map(|p| self.usable_grants(issuer, p, Some("south")));
        let link = link.fold(cap(0, 0), |a, b| {
            cap(a.per_second + b.per_second, a.in_flight + b.in_flight)
        });
        assert_within(link, limit.links[&RegionName::from("south")], "link");
    }

    /// Returns the usable grants for `place` of holders in the region `from`, or, without `from`,
    /// of all holders plus the local arrivals of the last window.
    ///
    /// A grant of an earlier incarnation of the issuer still loads the link, since its holder does
    /// not know of the restart, but not the place, which refuses it.
    fn usable_grants(&self, issuer: usize, place: &PlaceName, from: Option<&str>) -> Cap {
        let vm = issuer_name(issuer);
        let run = self.issuers[issuer].incarnation();
        let mut sum = cap(0, 0);
        for (at, holder) in self.holders.iter().enumerate() {
            let held = holder.live_grant(place, self.clock_of(at));
            let counts = |h: &&HeldGrant| match from {
                None => h.issuer == vm && h.issuer_incarnation == run,
                Some(region) => h.issuer == vm && region == region_of_holder(at),
            };
            if let Some(held) = held.filter(counts) {
                sum.per_second += held.rate;
                sum.in_flight += held.in_flight;
            }
        }
        if from.is_none() {
            let all = self.arrivals.iter().rev();
            let live = all.take_while(|l| l.at + self.tuning.window > self.now);
            let local = live.filter(|l| l.issuer == issuer && l.place == *place);
            sum.per_second += local.filter(|l| l.local).count() as u32;
        }
        sum
    }

    /// Checks that the departures to the link in the last window are within each issuer's part of
    /// its cap.
    fn check_link(&self, issuer: usize) {
        let window = self.tuning.window;
        let term = self.tuning.term + self.tuning.margin + window;
        let limit = LINK_CAP * self.percent_within(issuer, term) / 100;
        let all = self.departures.iter();
        let live = all.filter(|l| l.at + window > self.now && l.issuer == issuer);
        let n = live.filter(|l| l.from == "south").count();
        assert!(
            n <= limit as usize,
            "{n} departures over the link, cap {limit}"
        );
    }
}

fn assert_within(sum: Cap, limit: Cap, what: &str) {
    assert!(
        sum.per_second <= limit.per_second && sum.in_flight <= limit.in_flight,
        "{what}: usable grants {sum:?}, cap {limit:?}"
    );
}

fn issuer_at(name: &VmName) -> usize {
    (0..ISSUERS)
        .find(|i| issuer_name(*i) == *name)
        .expect("an issuer")
}

fn holder_at(name: &VmName) -> usize {
    (0..HOLDERS)
        .find(|h| holder_name(*h) == *name)
        .expect("a holder")
}

/// Guards against more requests on a link or at a place than its cap allows. Lost, duplicated or
/// reordered grant messages, daemon restarts, clocks of different speeds and lowered caps could
/// let two holders use the same capacity, or a holder continue after its issuer has lent the
/// capacity to another.
#[test]
fn no_interleaving_exceeds_a_cap() {
    let ops = bolero::generator::produce::<Vec<RandomOp>>()
        .with()
        .len(20usize..400);
    heatherknot_test_support::property::check()
        .with_iterations(1_500)
        .with_max_len(8_192)
        .with_generator(ops)
        .for_each(|ops| {
            let mut sim = Simulation::new();
            for op in ops {
                sim.step(op.op());
                sim.check();
            }
        });
}
