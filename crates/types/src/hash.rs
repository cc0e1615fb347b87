//! Hashes on which all daemons agree, whatever version they run.
//!
//! The standard library's hasher may change between releases of the compiler; during a
//! rolling upgrade two daemons would then rank the same candidates differently.

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

/// Gives the rendezvous rank of `candidate` for the key made of `parts`.
///
/// Whoever ranks the same candidates for the same key picks the same one; when a candidate
/// goes away only the keys that it held move. Each part is hashed with its length, so
/// `["ab", "c"]` and `["a", "bc"]` differ.
pub fn rendezvous(parts: &[&[u8]], candidate: &str) -> u64 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Gives one number for `bytes`, by which two daemons see whether they hold the same.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Maps a hash to the open interval from 0 to 1.
pub fn unit_interval(hash: u64) -> f64 {
    const DRAWS: f64 = (1u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) / DRAWS
}
