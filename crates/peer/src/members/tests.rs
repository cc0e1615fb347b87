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
fn of_two_claims_the_later_run_then_count_then_the_stronger_state_wins() {
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

/// Two daemons hear the same claims in different orders, some of them twice. However the
/// messages were delayed, both believe the same in the end.
#[test]
fn the_order_of_claims_does_not_matter() {
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

            let believed = |m: &Members| m.others().map(|m| m.claim.clone()).collect::<Vec<_>>();
            assert_eq!(believed(&one), believed(&two));
            assert_eq!(one.digest(), two.digest());
        });
}

#[test]
fn a_claim_about_this_daemon_is_answered_with_a_higher_count() {
    let mut members = members();

    let refuted = merge(&mut members, claim("me", 1, 7, MemberState::Gone));

    assert_eq!(refuted, MergeOutcome::Refuted);
    assert_eq!(
        (members.me().version, members.me().state),
        (8, MemberState::Alive)
    );
}

#[test]
fn a_daemon_told_that_it_is_leaving_says_so_itself() {
    let mut members = members();

    let told = merge(&mut members, claim("me", 1, 0, MemberState::Leaving));

    assert_eq!(told, MergeOutcome::LeaveRequested);
    assert_eq!(
        (members.me().version, members.me().state),
        (1, MemberState::Leaving)
    );
}

#[test]
fn another_run_in_this_vms_place_is_not_taken_for_this_daemon() {
    let mut members = members();

    let outcome = merge(&mut members, claim("me", 2, 0, MemberState::Alive));

    assert_eq!(outcome, MergeOutcome::IdentityConflict);
    assert_eq!(members.me().id.epoch, 1);
}

#[test]
fn each_domain_has_as_many_first_ranks_as_it_needs_whoever_looks() {
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
fn a_suspected_vm_moves_the_next_one_up() {
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

    assert!(before > 0, "the fixture has somebody in front");
    assert_eq!(members.rank(), 0);
}

#[test]
fn an_update_is_sent_a_bounded_number_of_times() {
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

#[test]
fn a_doubted_vm_is_told_so_in_each_message() {
    let mut members = members();
    merge(&mut members, claim("x", 1, 0, MemberState::Gone));
    while !members.take_updates(None).is_empty() {}

    let told = members.take_updates(Some(&VmName::from("x")));

    assert_eq!(told, [claim("x", 1, 0, MemberState::Gone)]);
}

#[test]
fn the_age_of_a_belief_about_another_domain_is_that_of_the_last_contact() {
    let mut members = members();
    let far = |vm: &str| Claim {
        id: id(vm, "b", 1),
        version: 0,
        state: MemberState::Alive,
    };
    merge(&mut members, far("x"));
    merge(&mut members, far("y"));

    members.record_contact(&id("y", "b", 1), Millis(500));

    let views = members.views(Millis(800));
    assert_eq!(views[0].since_heard, Some(Millis(300)));
    assert_eq!(views[0].age, Millis(800));
}

#[test]
fn a_claim_survives_its_way_over_the_wire() {
    let mut claim = claim("x", 3, 9, MemberState::Leaving);
    claim.id.callers = Some("127.0.0.1:80".parse().expect("an address"));

    let text = serde_json::to_string(&claim).expect("JSON");
    let read: Claim = serde_json::from_str(&text).expect("a claim");

    assert_eq!(read, claim);
}
