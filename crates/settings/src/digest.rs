//! SHA-256 hashes of documents and changes.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_json::Value as Json;
use sha2::Sha256;

use crate::operator_key::{from_hex, to_hex};
use crate::table::HASH_BYTES;

/// A SHA-256 hash, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; HASH_BYTES]);

impl Digest {
    /// The predecessor hash of the first change.
    pub const NONE: Digest = Digest([0; HASH_BYTES]);

    /// Hashes a document in its canonical form: no whitespace, keys in byte order.
    pub fn of(document: &Json) -> Digest {
        // `serde_json` keeps object keys sorted, so the serialized text is the canonical form.
        Digest::of_bytes(document.to_string().as_bytes())
    }

    /// Hashes bytes.
    pub fn of_bytes(bytes: &[u8]) -> Digest {
        use sha2::Digest as _;
        Digest(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&to_hex(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = from_hex(&text)
            .ok_or_else(|| de::Error::custom("expected 64 hexadecimal digits for a digest"))?;
        Ok(Digest(bytes))
    }
}
