//! Requests that are forwarded to another failure domain under a grant.

mod common;

use std::rc::Rc;
use std::sync::Arc;

use common::network::FakeNetwork;
use common::time::ManualTime;
use common::{
    DOMAIN, PLACE, SERVICE, TestRequest, Vm, backend, members, plan, wait_until, warm_up,
};
use heatherknot_gateway::{
    GatewaySettings, HOP_HEADER, Hop, HopReason, MAX_DAEMONS, TokenKey, target_digest,
};
use heatherknot_steering::Peer;
use heatherknot_test_support::backend::{FakeBackend, Fault};
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::plan::Plan;
use heatherknot_types::prelude::*;

const FAR_DOMAIN: &str = "north-2";

/// Returns settings in which the service's only place lies in the other failure domain.
fn far_plan(server: &FakeBackend) -> Plan {
    let mut plan = plan(&[server], 3);
    let near = plan.domains[&DomainName::from(DOMAIN)].clone();
    plan.domains.insert(DomainName::from(FAR_DOMAIN), near);
    for place in plan.places.values_mut() {
        place.domain = DomainName::from(FAR_DOMAIN);
    }
    plan
}

struct Pair {
    near: Rc<Vm>,
    far: Rc<Vm>,
    time: ManualTime,
    network: Rc<FakeNetwork>,
}

/// Starts a VM in a failure domain without backend servers and one in a failure domain with them,
/// and waits until the first has a grant from the second.
async fn pair(server: &FakeBackend) -> Pair {
    let (time, network) = (ManualTime::new(), FakeNetwork::new());
    let settings = GatewaySettings::default;
    let near = Vm::start_in_domain(DOMAIN, "near", 1, &time, &network, settings());
    let far = Vm::start_in_domain(FAR_DOMAIN, "far", 2, &time, &network, settings());
    let plan = Arc::new(far_plan(server));
    let peer = |vm: &Vm, domain: &str| Peer {
        vm: vm.member.vm.clone(),
        domain: DomainName::from(domain),
        usable: true,
    };
    let peers = vec![peer(&near, DOMAIN), peer(&far, FAR_DOMAIN)];
    for vm in [&near, &far] {
        vm.configure(&plan, &members(1, &[&vm.member]), &time);
        vm.steering.borrow_mut().on_peers(peers.clone());
    }
    warm_up(&[&near, &far], &time).await;
    let pair = Pair {
        near: Rc::new(near),
        far: Rc::new(far),
        time,
        network,
    };
    pair.get_grant().await;
    pair
}

impl Pair {
    /// Creates demand at the near VM and exchanges grant requests until it has a grant.
    async fn get_grant(&self) {
        const ROUNDS: usize = 20;
        const DEMAND: usize = 40;
        for _ in 0..ROUNDS {
            for i in 0..DEMAND {
                self.near
                    .send(TestRequest::get(&format!("demand{i}")))
                    .await;
            }
            warm_up(&[&self.near, &self.far], &self.time).await;
            let now = self.time.clock().now();
            let grant_requests = self.near.steering.borrow_mut().request_grants(now);
            for (_, request) in grant_requests {
                let reply = self
                    .far
                    .steering
                    .borrow_mut()
                    .on_grant_request(&request, now);
                self.near.steering.borrow_mut().on_grant_reply(&reply, now);
            }
            let place = PlaceName::from(PLACE);
            let held = self.near.steering.borrow();
            if held.holder().available(&place, 0, now) >= 3 {
                return;
            }
        }
        panic!("no grant came");
    }
}

#[test]
fn request_is_forwarded_under_a_grant() {
    // Guards against a request that can't use a grant, and against in-flight counts that leak.
    block_on(async {
        let server = backend(3);
        let pair = pair(&server).await;

        let answer = pair.near.send(TestRequest::get("r1")).await;

        assert_eq!(answer.outcome, "answered", "{answer:?}");
        assert!(answer.body.starts_with(b"r1"));
        assert_eq!(server.runs_of("r1"), 1);
        wait_until("no request is in flight", || {
            pair.near.gateway.in_flight() == 0
        })
        .await;
    });
}

#[test]
fn post_with_a_lost_response_from_the_other_domain_is_not_retried() {
    // The backend server in the other failure domain runs a POST, and its response is lost. Guards
    // against a retry by the near daemon when the far one reports the outcome "unknown".
    block_on(async {
        let server = backend(3);
        let pair = pair(&server).await;
        server.change(|s| s.fault = Fault::ClosesAfterRun);

        let with_key = pair.near.send(TestRequest::post("r1").key("k1")).await;
        let without = pair.near.send(TestRequest::post("r2")).await;

        assert_eq!(with_key.outcome, "unknown", "{with_key:?}");
        assert_eq!(without.outcome, "unknown", "{without:?}");
        assert_eq!(server.runs_of("r1"), 1);
        assert_eq!(server.runs_of("r2"), 1);
    });
}

#[test]
fn request_to_an_unreachable_failure_domain_is_not_run() {
    // Guards against "unknown" for a request of which no byte could be sent.
    block_on(async {
        let server = backend(3);
        let pair = pair(&server).await;
        pair.network.cut(&pair.far.member.vm);

        let answer = pair.near.send(TestRequest::post("r1")).await;

        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        assert_eq!(server.runs_of("r1"), 0);
    });
}

/// Sends `r1` to the far VM with a hop header that is signed with the deployment's secret.
async fn send_with_hop(pair: &Pair, change: impl Fn(&mut Hop)) -> common::TestResponse {
    let request = TestRequest::get("r1");
    let mut hop = Hop {
        from: pair.near.member.clone(),
        to: pair.far.member.vm.clone(),
        passed: 1,
        reason: HopReason::Owner(pair.far.member.incarnation),
        target: target_digest(&request.head),
    };
    change(&mut hop);
    let key = TokenKey::new(common::SECRET);
    let value = hop.to_header(&key);
    let value = value.to_str().expect("text").to_owned();
    pair.far.send(request.header(HOP_HEADER, &value)).await
}

#[test]
fn hop_header_is_bound_to_its_receiver_and_its_request() {
    // Guards against replay of a hop header by a caller that has seen it: the header is valid only
    // for one receiver and one method and path.
    block_on(async {
        let server = backend(3);
        let pair = pair(&server).await;

        let good = send_with_hop(&pair, |_| {}).await;
        let other_receiver = send_with_hop(&pair, |hop| hop.to = VmName::from("near")).await;
        let other_request = send_with_hop(&pair, |hop| hop.target += 1).await;

        assert_eq!(good.outcome, "answered");
        for answer in [other_receiver, other_request] {
            assert_eq!(answer.outcome, "not-run");
            assert_eq!(answer.reason, "bad-request");
        }
        assert_eq!(server.runs_of("r1"), 1);
    });
}

#[test]
fn request_that_passed_too_many_daemons_is_refused() {
    // Guards against endless forwarding between daemons that disagree about who serves a request.
    block_on(async {
        let server = backend(3);
        let pair = pair(&server).await;

        let last = send_with_hop(&pair, |hop| hop.passed = MAX_DAEMONS - 1).await;
        let one_more = send_with_hop(&pair, |hop| hop.passed = MAX_DAEMONS).await;

        assert_eq!(last.outcome, "answered");
        assert_eq!(one_more.outcome, "not-run");
        assert!(one_more.retry_after.is_none());
    });
}

#[test]
fn forwarded_request_with_a_key_runs_once_and_repeats() {
    // Guards against running a keyed request twice when it was forwarded: the daemon that received
    // it from the caller keeps the record, although another daemon ran it.
    block_on(async {
        let server = backend(3);
        let pair = pair(&server).await;
        let ticket = pair.near.gateway.new_ticket(&ServiceName::from(SERVICE));

        let first = pair.near.send(TestRequest::post("r1").key(&ticket)).await;
        let at_near = pair
            .near
            .send(TestRequest::post("again").key(&ticket))
            .await;
        let at_far = pair.far.send(TestRequest::post("again").key(&ticket)).await;

        for answer in [&first, &at_near, &at_far] {
            assert_eq!(answer.outcome, "answered", "{answer:?}");
            assert_eq!(answer.body, first.body);
        }
        assert_eq!(server.runs_of("r1"), 1);
        assert_eq!(server.runs_of("again"), 0);
    });
}
