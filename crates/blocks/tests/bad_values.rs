//! Tests that shards and diffs that are damaged, out of sequence or of the wrong table are
//! rejected.

use heatherknot_blocks::generate::{self, Mix};
use heatherknot_blocks::{BlockClass, BlockTable, Cause, Change, Diff, Prefix, Shard, TableLoader};
use heatherknot_types::prelude::*;
use sha2::{Digest, Sha256};

const KEY: &str = "hk/blocks/snapshot/7/0";
const DIGEST_BYTES: usize = 32;
/// Offset of a shard's entry counts, in bytes: kind, revision, two numbers, checksum.
const COUNTS_OFFSET: usize = 4 + 8 + 2 + 2 + 8;

fn table(revision: u64, count: usize) -> BlockTable {
    BlockTable::from_blocks(Revision(revision), generate::blocks(Mix::of(count, 11)))
}

fn prefix(text: &str) -> Prefix {
    text.parse().expect("prefix")
}

/// Recomputes the digest over the damaged bytes, as a faulty writer would.
fn rewrite_digest(value: &mut [u8]) {
    let (framed, digest) = value.split_at_mut(value.len() - DIGEST_BYTES);
    digest.copy_from_slice(&Sha256::digest(framed));
}

fn shard_cause(value: &[u8]) -> Cause {
    let error = Shard::decode(KEY, value.to_vec().into()).expect_err("a bad shard");
    assert_eq!(error.key, KEY);
    assert!(error.to_string().contains(KEY), "{error}");
    error.cause
}

/// Guards against shards damaged in the store being loaded.
#[test]
fn shard_with_any_damaged_byte_is_rejected() {
    let value = table(7, 300).shards()[0].encode();

    for at in 0..value.len() {
        let mut damaged = value.clone();
        damaged[at] ^= 0x10;

        let cause = shard_cause(&damaged);

        assert!(
            matches!(cause, Cause::DigestMismatch | Cause::WrongKind { .. }),
            "{at}: {cause}"
        );
    }
}

/// Guards against shards being loaded after a partial write or read.
#[test]
fn shard_truncated_at_any_byte_is_rejected() {
    let value = table(7, 300).shards()[0].encode();

    for len in 0..value.len() {
        let cause = shard_cause(&value[..len]);

        assert!(
            matches!(cause, Cause::DigestMismatch | Cause::TooShort { .. }),
            "{len}: {cause}"
        );
    }
}

/// Guards against values of one kind being decoded as the other.
#[test]
fn diff_is_not_decoded_as_a_shard() {
    let table = table(7, 10);
    let diff = Diff::new(&table, Revision(8), Vec::new()).expect("a later revision");

    let cause = shard_cause(&diff.encode());

    let (found, expected) = ("HKD1".to_owned(), "HKS1");
    assert_eq!(cause, Cause::WrongKind { found, expected });
}

/// Guards against a faulty writer whose digest matches its bad entries.
#[test]
fn bad_entries_with_a_valid_digest_are_rejected() {
    let value = table(7, 300).shards()[0].encode();

    heatherknot_test_support::property::check()
        .with_type::<(u16, u8)>()
        .for_each(|&(at, byte)| {
            let mut damaged = value.clone();
            let body = damaged.len() - DIGEST_BYTES;
            damaged[COUNTS_OFFSET + usize::from(at) % (body - COUNTS_OFFSET)] = byte;
            rewrite_digest(&mut damaged);
            let Ok(shard) = Shard::decode(KEY, damaged.clone().into()) else {
                return;
            };
            let mut loader = TableLoader::default();

            let loaded = loader.add(KEY, &shard).and_then(|()| loader.finish(KEY));

            assert!(loaded.is_err() || damaged == value);
        });
}

/// Guards against panics in the decoders, which the digest check would otherwise hide.
#[test]
fn random_bytes_with_a_valid_digest_never_panic() {
    heatherknot_test_support::property::check()
        .with_type::<(bool, Vec<u8>)>()
        .for_each(|(is_shard, payload)| {
            let mut value = if *is_shard { *b"HKS1" } else { *b"HKD1" }.to_vec();
            value.extend_from_slice(payload);
            value.extend_from_slice(&[0; DIGEST_BYTES]);
            rewrite_digest(&mut value);

            let shard = Shard::decode(KEY, value.clone().into());
            let diff = Diff::decode(KEY, &value);

            assert!(shard.is_err() || diff.is_err());
        });
}

/// Guards against a table that mixes the shards of two revisions.
#[test]
fn shards_of_two_revisions_are_rejected() {
    // A writer replaces the table while a reader loads the shards of revision 7, so the second
    // shard is of revision 8. Accepting it would give a table that mixes two revisions.
    let old = table(7, 400_000).shards();
    let new = table(8, 400_000).shards();
    let mut loader = TableLoader::default();
    loader
        .add("hk/blocks/snapshot/7/0", &old[0])
        .expect("first shard");

    let error = loader
        .add("hk/blocks/snapshot/8/1", &new[1])
        .expect_err("another revision");

    assert_eq!(error.key, "hk/blocks/snapshot/8/1");
    let (found, expected) = (Revision(8), Revision(7));
    assert_eq!(
        error.cause,
        Cause::ShardRevisionMismatch { found, expected }
    );
}

/// Guards against a table that lacks the blocks of a shard.
#[test]
fn missing_shard_is_rejected() {
    let shards = table(7, 400_000).shards();
    let mut loader = TableLoader::default();
    loader.add(KEY, &shards[0]).expect("first shard");

    let error = loader.finish(KEY).expect_err("one shard of several");

    let (found, expected) = (1, shards.len() as u16);
    assert_eq!(error.cause, Cause::MissingShards { found, expected });
}

/// Guards against a shard being loaded twice in place of the next one.
#[test]
fn repeated_shard_is_rejected() {
    let shards = table(7, 400_000).shards();
    let mut loader = TableLoader::default();
    loader.add(KEY, &shards[0]).expect("first shard");

    let error = loader
        .add(KEY, &shards[0])
        .expect_err("the same shard again");

    assert!(
        matches!(
            error.cause,
            Cause::UnexpectedShardNumber {
                found: 0,
                expected: 1,
                ..
            }
        ),
        "{error}"
    );
}

/// Guards against a diff being applied to a revision that it was not made from.
#[test]
fn diff_with_another_base_is_rejected_and_keeps_the_table() {
    // Two writers create revision 8 from revision 7 concurrently, and a daemon that applied the
    // winner's diff then reads the loser's. Applying it would leave this daemon with other blocks
    // than all other daemons.
    let base = table(7, 1000);
    let removed = base.blocks().next().expect("a block").0;
    let change = |class| {
        vec![Change {
            prefix: removed,
            class,
        }]
    };
    let winner = Diff::new(&base, Revision(8), change(Some(BlockClass(9999)))).expect("valid diff");
    let loser = Diff::new(&base, Revision(8), change(None)).expect("valid diff");
    let in_force = base
        .apply("hk/blocks/change/8", &winner)
        .expect("next diff");

    let error = in_force
        .apply("hk/blocks/change/8", &loser)
        .expect_err("another base");

    let (found, expected) = (Revision(7), Revision(8));
    assert_eq!(error.cause, Cause::BaseMismatch { found, expected });
    assert_eq!(in_force.lookup(removed.address()), Some(BlockClass(9999)));
    assert_eq!(in_force.revision(), Revision(8));
}

/// Guards against two tables of one revision diverging unnoticed.
#[test]
fn diff_made_from_other_blocks_is_rejected_by_its_checksum() {
    let table_a = table(7, 1000);
    let table_b = BlockTable::from_blocks(Revision(7), table_a.blocks().skip(1));
    let change = Change {
        prefix: prefix("2001:db8::/48"),
        class: Some(BlockClass(1)),
    };
    let diff = Diff::new(&table_a, Revision(8), vec![change]).expect("valid diff");

    let error = table_b
        .apply("hk/blocks/change/8", &diff)
        .expect_err("other blocks");

    assert!(
        matches!(error.cause, Cause::ChecksumMismatch { .. }),
        "{error}"
    );
}

/// Guards against a diff that removes a block the table does not have.
#[test]
fn removing_an_unknown_block_is_rejected_with_its_prefix() {
    let table = table(7, 10);
    let absent = prefix("2001:db8::/48");

    let cause = Diff::new(
        &table,
        Revision(8),
        vec![Change {
            prefix: absent,
            class: None,
        }],
    );

    assert_eq!(cause, Err(Cause::PrefixNotFound { prefix: absent }));
}

/// Guards against a diff that does not increase the revision.
#[test]
fn diff_to_the_same_revision_is_rejected() {
    let table = table(7, 10);

    let cause = Diff::new(&table, Revision(7), Vec::new());

    let (from, to) = (Revision(7), Revision(7));
    assert_eq!(cause, Err(Cause::RevisionNotHigher { from, to }));
}

/// Guards against prefix errors that do not say what was expected.
#[test]
fn invalid_prefix_text_is_rejected_with_the_expected_form() {
    let cases = [
        (
            "192.0.2.1/24",
            "`192.0.2.1/24` has address bits set after the first 24",
        ),
        (
            "192.0.2.0/33",
            "prefix length 33 of `192.0.2.0`; expected 1 to 32 bits",
        ),
        (
            "2001:db8::/65",
            "prefix length 65 of `2001:db8::`; expected 1 to 64 bits",
        ),
        (
            "2001:db8::1/64",
            "`2001:db8::1/64` has address bits set after the first 64",
        ),
        (
            "192.0.2.0",
            "`192.0.2.0` is not a prefix; expected ADDRESS/BITS, such as 192.0.2.0/24",
        ),
    ];

    for (text, expected) in cases {
        let error = text.parse::<Prefix>().expect_err(text);

        assert_eq!(error.to_string(), expected);
    }
}
