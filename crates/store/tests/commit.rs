//! Tests of commits against the fake platform, with the failures that a writer can encounter.

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

/// A commit without conflicts takes more than two calls.
#[test]
fn accepted_change_takes_one_read_and_one_write() {
    let platform = platform();
    let store = store(&platform);

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(platform.calls().total(), 2);
    assert_eq!(stored_changes(&platform), [Bytes::from("change of a")]);
    assert_eq!(newest(&platform), Revision(1));
}

/// The lookup of a command returns the revision of another one, or misses an accepted one.
#[test]
fn only_an_accepted_command_is_found() {
    let platform = platform();
    let store = store(&platform);
    let (known, other) = (
        CommandId::parse("a").unwrap(),
        CommandId::parse("b").unwrap(),
    );

    let (accepted, unknown) = block_on(async {
        commit(&store, &proposal("a", 0), &policy(3)).await;
        let accepted = find_command(&store, &known).await;
        (accepted, find_command(&store, &other).await)
    });

    assert_eq!(accepted, Ok(Some(Revision(1))));
    assert_eq!(unknown, Ok(None));
}

/// Two operators change the settings based on the same revision. Only one change may be accepted,
/// and the other operator must get the accepted change for comparison.
#[test]
fn second_of_two_writers_gets_the_accepted_change() {
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

/// A commit is applied after another one has read the head and before it writes. The transaction
/// of the other one must fail its precondition.
#[test]
fn commit_applied_between_read_and_write_wins() {
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

/// A daemon names a new snapshot in the head during a commit. The head was modified but no other
/// change was accepted, so the commit must not fail with a conflict.
#[test]
fn snapshot_update_of_the_head_does_not_reject_a_commit() {
    let platform = platform();
    let store = store(&platform);

    let outcome = block_on(async {
        commit(&store, &proposal("a", 0), &policy(3)).await;
        platform.faults(|faults| faults.conflicts = 1);
        commit(&store, &proposal("b", 1), &policy(3)).await
    });

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(2)));
}

/// The store applies the commit and the connection fails before the response. The outcome must be
/// "accepted", and running the command again must change nothing.
#[test]
fn commit_with_a_lost_response_is_accepted() {
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

/// The connection fails while the commit is in flight, and the store receives it only after the
/// operator was told "not accepted". The late commit must have no effect, the command must stay
/// withdrawn, and a new command must be able to make the change once.
#[test]
fn commit_that_arrives_after_it_was_withdrawn_has_no_effect() {
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

/// A daemon is paused while it runs a command. The command is retried at another daemon, which
/// loses the response, withdraws the command and reports "not accepted". When the paused daemon
/// resumes, its commit must not be accepted.
#[test]
fn paused_daemon_cannot_commit_a_withdrawn_command() {
    let platform = platform();
    let store = store(&platform);
    let command = keys::command(&CommandId::parse("a").unwrap());
    let withdrawn = Bytes::from(r#""withdrawn""#);
    platform.faults(|faults| faults.concurrent_writes = vec![(command, withdrawn)]);

    let outcome = block_on(commit(&store, &proposal("a", 0), &policy(3)));

    assert_eq!(outcome, CommitOutcome::NotAccepted(Rejection::Withdrawn));
    assert_eq!(stored_changes(&platform), Vec::<Bytes>::new());
}

/// The responses to the commit and to all attempts to resolve it are lost. The outcome must be
/// "unknown", and running the same command later must report the actual outcome.
#[test]
fn unresolved_outcome_is_unknown_until_the_store_responds() {
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

/// A client asks for the outcome of a command that was never applied. Resolving it must withdraw
/// the command, so that a delayed copy cannot be applied later.
#[test]
fn resolving_a_command_that_never_arrived_withdraws_it() {
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

/// The store takes longer than the daemon's time limit. The commit fails at its read, before it
/// has written anything, and must be reported as "not accepted" although the call timed out.
#[test]
fn commit_on_a_slow_store_fails_before_it_writes() {
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

/// A commit rejected by the rate limit is reported as unknown instead of "not accepted".
#[test]
fn rate_limited_commit_is_not_accepted() {
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

/// A change of almost a megabyte is rejected or truncated.
#[test]
fn change_close_to_a_megabyte_is_accepted() {
    let platform = platform();
    let store = store(&platform);
    let mut long = proposal("a", 0);
    long.change = vec![b'x'; 1_000_000].into();

    let outcome = block_on(commit(&store, &long, &policy(3)));

    assert_eq!(outcome, CommitOutcome::Accepted(Revision(1)));
    assert_eq!(stored_changes(&platform), [long.change]);
}

/// A malformed head is overwritten, or the error does not name its key.
#[test]
fn malformed_head_is_an_error_that_names_its_key() {
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

/// A command identifier contains characters that refer to keys outside the command records.
#[test]
fn command_identifiers_cannot_escape_their_key_prefix() {
    let refused = ["", "a/b", "..", "a b", "é", &"x".repeat(65)];

    for text in refused {
        assert_eq!(CommandId::parse(text), None, "{text:?}");
    }
    assert!(CommandId::parse("Abc-12_z").is_some());
}

/// The fault applied to one write.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum WriteFault {
    None,
    LostAfterEffect,
    AppliedLater,
    Conflict,
}

/// Commits run one after another while responses are lost, writes are delayed and conflicts occur.
/// A command reported as accepted must be in the history exactly once, at its revision, and a
/// command reported as not accepted must never be, even after all delayed writes were applied.
#[test]
fn reported_outcomes_match_the_history() {
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
