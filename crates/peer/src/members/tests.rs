use super::*;

fn id(vm: &str, domain: &str, epoch: u64) -> PeerId {
    PeerId {
        vm: VmName::from(vm),
        domain: DomainName::from(domain),
        incarnation: Incarnation(epoch),
        epoch,
        address: "127.0.0.1:1".parse().expect("an address"),
        callers: None,
    }
}

fn claim(vm: &str, epoch: u64, version: u32, state: MemberState) -> Claim {
    Claim {
        id: id(vm, "a", epoch),
        version,
        state,
    }
}

fn members() -> Members {
    Members::new(id("me", "a", 1))
}

fn merge(members: &mut Members, claim: Claim) -> MergeOutcome {
    members.merge(claim, Source::Peer, Millis(0))
}

#[test]
fn claims_are_ordered_by_incarnation_then_version_then_state() {
    let mut members = members();
    merge(&mut members, claim("x", 5, 3, MemberState::Alive));

    let outcomes = [
        merge(&mut members, claim("x", 5, 3, MemberState::Suspect)),
        merge(&mut members, claim("x", 5, 3, MemberState::Alive)),
        merge(&mut members, claim("x", 5, 4, MemberState::Alive)),
        merge(&mut members, claim("x", 5, 4, MemberState::Gone)),
        merge(&mut members, claim("x", 4, 9, MemberState::Alive)),
        merge(&mut members, claim("x", 6, 0, MemberState::Alive)),
    ];

    use MergeOutcome::{Accepted, Stale};
    assert_eq!(
        outcomes,
        [Accepted, Stale, Accepted, Accepted, Stale, Accepted]
    );
}

/// Guards against views that diverge for good: two daemons receive the same claims in different
/// orders, some of them twice, and must end up with the same view.
#[test]
fn merging_does_not_depend_on_the_order_of_claims() {
    heatherknot_test_support::property::check()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|raw| {
            let state = |n| match n % 4 {
                0 => MemberState::Alive,
                1 => MemberState::Leaving,
                2 => MemberState::Suspect,
                _ => MemberState::Gone,
            };
            let claims: Vec<_> = raw
                .iter()
                .map(|(vm, epoch, version, s)| {
                    let name = format!("x{}", vm % 3);
                    claim(
                        &name,
                        u64::from(epoch % 3),
                        u32::from(version % 3),
                        state(*s),
                    )
                })
                .collect();
            let (mut one, mut two) = (members(), members());

            for claim in &claims {
                merge(&mut one, claim.clone());
            }
            for claim in claims.iter().rev().chain(&claims) {
                merge(&mut two, claim.clone());
            }

            let known_claims =
                |m: &Members| m.others().map(|m| m.claim.clone()).collect::<Vec<_>>();
            assert_eq!(known_claims(&one), known_claims(&two));
            assert_eq!(one.digest(), two.digest());
        });
}

#[test]
fn a_claim_that_this_daemon_is_gone_is_refuted_with_a_higher_version() {
    let mut members = members();

    let outcome = merge(&mut members, claim("me", 1, 7, MemberState::Gone));

    assert_eq!(outcome, MergeOutcome::Refuted);
    assert_eq!(
        (members.me().version, members.me().state),
        (8, MemberState::Alive)
    );
}

#[test]
fn a_claim_that_this_daemon_is_leaving_is_announced() {
    let mut members = members();

    let outcome = merge(&mut members, claim("me", 1, 0, MemberState::Leaving));

    assert_eq!(outcome, MergeOutcome::LeaveRequested);
    assert_eq!(
        (members.me().version, members.me().state),
        (1, MemberState::Leaving)
    );
}

#[test]
fn a_claim_about_another_incarnation_of_this_vm_is_an_identity_conflict() {
    let mut members = members();

    let outcome = merge(&mut members, claim("me", 2, 0, MemberState::Alive));

    assert_eq!(outcome, MergeOutcome::IdentityConflict);
    assert_eq!(members.me().id.epoch, 1);
}

/// Guards against too many or too few watchers: the daemons of a domain must have distinct ranks.
#[test]
fn the_ranks_in_a_domain_are_distinct_and_consecutive() {
    let names: Vec<_> = (0..36).map(|n| format!("vm-{n}")).collect();

    let ranks: Vec<_> = names
        .iter()
        .map(|me| {
            let mut members = Members::new(id(me, "a", 1));
            for vm in names.iter().filter(|vm| *vm != me) {
                merge(&mut members, claim(vm, 1, 0, MemberState::Alive));
            }
            members.rank()
        })
        .collect();

    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, (0..36).collect::<Vec<_>>());
}

#[test]
fn a_suspected_vm_loses_its_rank() {
    let mut members = members();
    for n in 0..40 {
        merge(
            &mut members,
            claim(&format!("x{n}"), 1, 0, MemberState::Alive),
        );
    }
    let before = members.rank();

    for n in 0..40 {
        merge(
            &mut members,
            claim(&format!("x{n}"), 1, 0, MemberState::Suspect),
        );
    }

    assert!(before > 0, "another VM has rank 0 in this fixture");
    assert_eq!(members.rank(), 0);
}

/// Guards against heartbeats that carry old updates forever.
#[test]
fn an_update_is_sent_a_limited_number_of_times() {
    let mut members = members();
    for n in 0..20 {
        merge(
            &mut members,
            claim(&format!("x{n}"), 1, 0, MemberState::Alive),
        );
    }

    let messages: Vec<_> = (0..100).map(|_| members.take_updates(None).len()).collect();

    assert!(
        messages
            .iter()
            .all(|updates| *updates <= MAX_UPDATES_PER_MESSAGE)
    );
    assert_eq!(messages.iter().sum::<usize>(), 21 * 8);
    assert_eq!(messages.last(), Some(&0));
}

/// Guards against a live VM that cannot refute the claim that it is gone, because the claim is no
/// longer sent to it.
#[test]
fn a_vm_believed_gone_receives_that_claim_in_each_message() {
    let mut members = members();
    merge(&mut members, claim("x", 1, 0, MemberState::Gone));
    while !members.take_updates(None).is_empty() {}

    let updates = members.take_updates(Some(&VmName::from("x")));

    assert_eq!(updates, [claim("x", 1, 0, MemberState::Gone)]);
}

#[test]
fn contact_to_another_domain_counts_for_all_its_vms() {
    let mut members = members();
    let remote = |vm: &str| Claim {
        id: id(vm, "b", 1),
        version: 0,
        state: MemberState::Alive,
    };
    merge(&mut members, remote("x"));
    merge(&mut members, remote("y"));

    members.record_contact(&id("y", "b", 1), Millis(500));

    let views = members.views(Millis(800));
    assert_eq!(views[0].since_heard, Some(Millis(300)));
    assert_eq!(views[0].age, Millis(800));
}

#[test]
fn a_claim_survives_serialization() {
    let mut claim = claim("x", 3, 9, MemberState::Leaving);
    claim.id.callers = Some("127.0.0.1:80".parse().expect("an address"));

    let text = serde_json::to_string(&claim).expect("JSON");
    let read: Claim = serde_json::from_str(&text).expect("a claim");

    assert_eq!(read, claim);
}
