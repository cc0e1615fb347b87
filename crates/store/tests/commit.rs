//! Commits against the stand-in, with each failure that a writer can meet.

mod support;

use std::time::Duration;

use bytes::Bytes;
use heatherknot_store::commit::head::read_head;
use heatherknot_store::commit::{
    CommandId, CommitOutcome, Rejection, commit, find_command, keys, resolve_command,
};
use heatherknot_store::http_store::{StoreConfig, connect};
use heatherknot_store::port::Store;
use heatherknot_test_support::platform::PlatformHandle;
use heatherknot_test_support::runtime::block_on;
use heatherknot_types::prelude::*;
use support::{platform, policy, proposal, store};

fn stored_changes(platform: &PlatformHandle) -> Vec<Bytes> {
    let keys = platform.keys(keys::CHANGES);
    keys.iter().map(|key| platform.get(key).unwrap()).collect()
}

fn newest(platform: &PlatformHandle) -> Revision {
    let store = store(platform);
    block_on(read_head(&store)).unwrap().head.revision
}

#[test]
fn an_accepted_change_is_one_write_and_one_read() {
    let platform = platform();
    let store = store(&platform);

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(platform.calls().total(), 2);
    assert_eq!(stored_changes(&platform), [Bytes::from("change of a")]);
    assert_eq!(newest(&platform), Revision(1));
}

#[test]
fn an_accepted_command_is_found_and_another_is_not() {
    let platform = platform();
    let store = store(&platform);
    let (known, other) = (
        CommandId::parse("a").unwrap(),
        CommandId::parse("b").unwrap(),
    );

    let (accepted, unheard) = block_on(async {
        commit(&store, &proposal("a", 0), &policy(3)).await;
        let accepted = find_command(&store, &known).await;
        (accepted, find_command(&store, &other).await)
    });

    assert_eq!(accepted, Ok(Some(Revision(1))));
    assert_eq!(unheard, Ok(None));
}

/// Two operators change the same settings from the same revision. One is accepted; the
/// other is told so and given the winner's change to compare with.
#[test]
fn of_two_writers_one_wins_and_the_other_gets_the_winners_change() {
    let platform = platform();
    let store = store(&platform);

    let (first, second) = block_on(async {
        let first = commit(&store, &proposal("a", 0), &policy(3)).await;
        (first, commit(&store, &proposal("b", 0), &policy(3)).await)
    });

    assert_eq!(first, CommitOutcome::Accepted(Revision(1)));
    let lost = Rejection::Conflict {
        newest: Revision(1),
        winner: Some(Bytes::from("change of a")),
    };
    assert_eq!(second, CommitOutcome::NotAccepted(lost));
    assert_eq!(stored_changes(&platform).len(), 1);
}

/// An operator's commit has read the head when another operator's commit lands. The first
/// one's transaction must fail its compare, although its read had promised success.
#[test]
fn a_commit_that_lands_between_read_and_write_wins() {
    let platform = platform();
    let store = store(&platform);
    let head = Bytes::from(r#"{"r":1,"h":"other"}"#);
    let change = Bytes::from("change of other");
    platform.faults(|faults| {
        let change_key = keys::change(Revision(1));
        faults.concurrent_writes =
            vec![(keys::HEAD.to_owned(), head), (change_key, change.clone())];
    });

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    let lost = Rejection::Conflict {
        newest: Revision(1),
        winner: Some(change.clone()),
    };
    assert_eq!(outcome, CommitOutcome::NotAccepted(lost));
    assert_eq!(stored_changes(&platform), [change]);
}

/// A daemon names a new snapshot in the head while an operator commits. The head's key
/// moved but no change came between, so the operator must not be told of a race.
#[test]
fn a_snapshot_that_moves_the_head_does_not_reject_a_commit() {
    let platform = platform();
    let store = store(&platform);

    let outcome = block_on(async {
        commit(&store, &proposal("a", 0), &policy(3)).await;
        platform.faults(|faults| faults.conflicts = 1);
        commit(&store, &proposal("b", 1), &policy(3)).await
    });

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(2)));
}

/// The store applies the commit and the connection breaks before its answer. The operator
/// is told "accepted", and running the command again changes nothing.
#[test]
fn a_lost_answer_after_the_effect_is_found_out_as_accepted() {
    let platform = platform();
    let store = store(&platform);
    platform.faults(|faults| faults.lose_answers = 1);

    let (outcome, again) = block_on(async {
        let outcome = commit(&store, &proposal("a", 0), &policy(3)).await;
        (outcome, commit(&store, &proposal("a", 0), &policy(3)).await)
    });

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(again, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(stored_changes(&platform).len(), 1);
}

/// The connection breaks while the commit is still on its way, and the store gets it only
/// after the operator was told "not accepted". The late commit must then have no effect. The
/// command stays withdrawn, and a new one makes the change once.
#[test]
fn a_commit_that_arrives_after_it_was_called_not_accepted_has_no_effect() {
    let platform = platform();
    let store = store(&platform);
    platform.faults(|faults| faults.hold_writes = 1);

    let (outcome, released, after_release, again, new) = block_on(async {
        let outcome = commit(&store, &proposal("a", 0), &policy(3)).await;
        let released = platform.apply_held_writes();
        let after_release = stored_changes(&platform);
        let again = commit(&store, &proposal("a", 0), &policy(3)).await;
        let new = commit(&store, &proposal("b", 0), &policy(3)).await;
        (outcome, released, after_release, again, new)
    });

    let withdrawn = CommitOutcome::NotAccepted(Rejection::Withdrawn);
    assert_eq!(outcome, withdrawn);
    assert_eq!(released, 1);
    assert_eq!(after_release, Vec::<Bytes>::new());
    assert_eq!(again, withdrawn);
    assert_eq!(new, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(stored_changes(&platform).len(), 1);
}

/// An operator's command reaches a daemon that is paused in the middle of it, and is sent
/// again to another, which loses its answer, withdraws the command and says "not accepted".
/// When the paused daemon goes on, it must not have the command accepted after all.
#[test]
fn a_paused_daemon_cannot_have_a_withdrawn_command_accepted() {
    let platform = platform();
    let store = store(&platform);
    let command = keys::command(&CommandId::parse("a").unwrap());
    let withdrawn = Bytes::from(r#""withdrawn""#);
    platform.faults(|faults| faults.concurrent_writes = vec![(command, withdrawn)]);

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    assert_eq!(outcome, CommitOutcome::NotAccepted(Rejection::Withdrawn));
    assert_eq!(stored_changes(&platform), Vec::<Bytes>::new());
}

/// Every answer is lost for a while: the commit's own and those of the search for it. The
/// operator is told "unknown", and the same command later says what really happened.
#[test]
fn an_outcome_that_cannot_be_found_out_is_unknown_until_the_store_answers() {
    let platform = platform();
    let store = store(&platform);
    platform.faults(|faults| faults.lose_answers = 10);

    let (outcome, later) = block_on(async {
        let outcome = commit(&store, &proposal("a", 0), &policy(3)).await;
        platform.faults(|faults| faults.lose_answers = 0);
        (outcome, commit(&store, &proposal("a", 0), &policy(3)).await)
    });

    assert!(matches!(outcome, CommitOutcome::Unknown(_)));
    assert_eq!(later, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(stored_changes(&platform).len(), 1);
}

/// A client asks for a command's outcome that no daemon remembers. Asking settles it: a
/// command that was never applied can't be applied any more by an old copy.
#[test]
fn settling_a_command_that_never_arrived_withdraws_it() {
    let platform = platform();
    let store = store(&platform);
    let command = CommandId::parse("a").unwrap();
    platform.faults(|faults| faults.hold_writes = 1);

    let outcome = block_on(async {
        commit(&store, &proposal("a", 0), &policy(0)).await;
        resolve_command(&store, &command, &policy(3)).await
    });
    platform.apply_held_writes();

    assert_eq!(outcome, CommitOutcome::NotAccepted(Rejection::Withdrawn));
    assert_eq!(newest(&platform), Revision::NONE);
}

/// The store takes longer than the daemon waits. The commit ends before it has written
/// anything, and the operator is told "not accepted" although the call's fate was open.
#[test]
fn a_commit_on_a_slow_store_ends_before_it_writes() {
    let platform = platform();
    let store = connect(StoreConfig {
        call_limit: Duration::from_millis(50),
        ..StoreConfig::new(platform.address())
    });
    platform.faults(|faults| faults.delay = Duration::from_millis(300));

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    let CommitOutcome::NotAccepted(Rejection::Failed(err)) = outcome else {
        panic!("expected a certain failure, found {outcome:?}");
    };
    assert!(err.is_not_applied());
    assert_eq!(stored_changes(&platform), Vec::<Bytes>::new());
}

#[test]
fn a_commit_refused_by_the_rate_limit_is_certainly_not_accepted() {
    let platform = platform();
    let store = store(&platform);
    platform.faults(|faults| faults.rate_limited = 1);

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    let CommitOutcome::NotAccepted(Rejection::Failed(err)) = outcome else {
        panic!("expected a certain failure, found {outcome:?}");
    };
    assert!(err.is_rate_limited());
    assert_eq!(stored_changes(&platform), Vec::<Bytes>::new());
}

#[test]
fn a_change_close_to_a_megabyte_is_accepted_whole() {
    let platform = platform();
    let store = store(&platform);
    let mut long = proposal("a", 0);
    long.change = vec![b'x'; 1_000_000].into();

    let outcome = block_on(commit(&store, &long, &policy(3)));

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(stored_changes(&platform), [long.change]);
}

#[test]
fn a_head_that_cannot_be_read_is_an_error_that_names_its_key() {
    let platform = platform();
    let store = store(&platform);
    platform.put(keys::HEAD, "not json");

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    let CommitOutcome::NotAccepted(Rejection::Failed(err)) = outcome else {
        panic!("expected a certain failure, found {outcome:?}");
    };
    assert!(err.to_string().contains(keys::HEAD), "{err}");
    assert_eq!(platform.get(keys::HEAD), Some(Bytes::from("not json")));
}

#[test]
fn command_identifiers_cannot_leave_their_branch_of_keys() {
    let refused = ["", "a/b", "..", "a b", "é", &"x".repeat(65)];

    for text in refused {
        assert_eq!(CommandId::parse(text), None, "{text:?}");
    }
    assert!(CommandId::parse("Abc-12_z").is_some());
}

/// What the store does to one write of a writer.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum WriteFault {
    None,
    LostAfterEffect,
    AppliedLater,
    Conflict,
}

/// Operators commit one after the other while writes are lost, delayed or raced. Whatever
/// the order, a command reported accepted is in the history exactly once at its revision,
/// and one reported not accepted never is, also after every delayed write has landed.
#[test]
fn reported_outcomes_are_true_whatever_becomes_of_the_writes() {
    heatherknot_test_support::property::check()
        .with_iterations(60)
        .with_type::<Vec<WriteFault>>()
        .for_each(|script| {
            let platform = platform();
            let store = store(&platform);

            let outcomes = block_on(run_script(&platform, &store, script));
            platform.apply_held_writes();

            let changes = stored_changes(&platform);
            for (index, outcome) in outcomes.iter().enumerate() {
                let own = Bytes::from(format!("change of c{index}"));
                let times = changes.iter().filter(|change| **change == own).count();
                match outcome {
                    CommitOutcome::Accepted(Revision(at)) => {
                        assert_eq!(changes[*at as usize - 1], own);
                        assert_eq!(times, 1);
                    }
                    CommitOutcome::NotAccepted(_) => assert_eq!(times, 0, "{outcome:?}"),
                    CommitOutcome::Unknown(_) => assert!(times <= 1),
                }
            }
        });
}

async fn run_script(
    platform: &PlatformHandle,
    store: &Store,
    script: &[WriteFault],
) -> Vec<CommitOutcome> {
    let mut outcomes = Vec::new();
    for (index, fault) in script.iter().take(12).enumerate() {
        platform.faults(|faults| match fault {
            WriteFault::None => {}
            WriteFault::LostAfterEffect => faults.lose_answers += 1,
            WriteFault::AppliedLater => faults.hold_writes += 1,
            WriteFault::Conflict => faults.conflicts += 1,
        });
        let base = read_head(store).await.unwrap().head.revision;
        let next = proposal(&format!("c{index}"), base.0);
        outcomes.push(commit(store, &next, &policy(2)).await);
        if index % 3 == 2 {
            platform.apply_held_writes();
        }
    }
    outcomes
}
