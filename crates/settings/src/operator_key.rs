//! Operator keys: the rights of each, and the salted hash that verifies its secret.

use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value as Json};
use sha2::{Digest, Sha256};
use snafu::ensure;

use crate::error::{Faults, InvalidSnafu, SettingsError};
use crate::names;
use crate::reader::{Fields, Reader, join};
use crate::table::{HASH_BYTES, OPERATOR, SALT_BYTES};

/// A right that an operator key grants within its branch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Right {
    /// Read settings, status and explanations.
    Read,
    /// Change settings.
    Change,
    /// Start and end drains.
    Drain,
    /// Read the audit trail.
    Audit,
    /// Change the settings under `platform`; only for keys of the root.
    Platform,
}

impl Right {
    /// Every right.
    pub const ALL: [Right; 5] = [
        Right::Read,
        Right::Change,
        Right::Drain,
        Right::Audit,
        Right::Platform,
    ];

    /// Returns the name used in the document.
    pub fn as_str(self) -> &'static str {
        match self {
            Right::Read => "read",
            Right::Change => "change",
            Right::Drain => "drain",
            Right::Audit => "audit",
            Right::Platform => "platform",
        }
    }

    /// Returns the right with the given name.
    pub fn find(word: &str) -> Option<Right> {
        Right::ALL.into_iter().find(|right| right.as_str() == word)
    }
}

impl fmt::Display for Right {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An operator key as stored in the tree, which contains no secret.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey {
    /// The holder of the key.
    pub holder: Arc<str>,
    /// The account path of the branch that the key is limited to; empty for the root.
    pub branch: Arc<str>,
    /// The rights of the key in that branch.
    pub rights: Vec<Right>,
    salt: [u8; SALT_BYTES],
    hash: [u8; HASH_BYTES],
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorKey")
            .field("holder", &self.holder)
            .field("branch", &self.branch)
            .field("rights", &self.rights)
            .finish_non_exhaustive()
    }
}

impl OperatorKey {
    /// Creates a key from the values of its object, which the reader has validated.
    pub(crate) fn from_fields(fields: &Fields) -> Self {
        let rights = fields.list("rights").iter();
        Self {
            holder: fields.text("holder"),
            branch: fields.text("branch"),
            rights: rights.filter_map(|word| Right::find(word)).collect(),
            salt: from_hex(&fields.text("salt")).unwrap_or_default(),
            hash: from_hex(&fields.text("hash")).unwrap_or_default(),
        }
    }

    /// Parses a key object in the format used under `operators`. Daemons also use it for the
    /// bootstrap key in their own configuration.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Invalid`] with all validation errors.
    pub fn read(id: &str, object: &Map<String, Json>) -> Result<Self, SettingsError> {
        let mut reader = Reader::default();
        let fields = reader.fields(&join("operators", id), object, &OPERATOR);
        let faults = Faults(reader.into_faults());
        ensure!(faults.0.is_empty(), InvalidSnafu { faults });
        Ok(Self::from_fields(&fields))
    }

    /// Returns whether the secret matches the stored hash.
    pub fn matches(&self, secret: &str) -> bool {
        let given = hash(&self.salt, secret);
        // Constant-time comparison: the time must not reveal to an attacker how many leading bytes
        // match.
        let differing = given
            .iter()
            .zip(&self.hash)
            .fold(0, |d, (a, b)| d | (a ^ b));
        differing == 0
    }

    /// Returns whether the key holds the right.
    pub fn has(&self, right: Right) -> bool {
        self.rights.contains(&right)
    }

    /// Returns whether the given branch is the key's branch or lies below it.
    pub fn covers(&self, branch: &str) -> bool {
        names::is_within(branch, &self.branch)
    }
}

/// A newly generated key: the secret, shown once to the holder, and the values stored in the tree.
pub struct NewKey {
    /// The secret as sent in requests: the identifier, a dot and 64 hexadecimal digits.
    pub secret: String,
    /// The salt, in hexadecimal digits.
    pub salt: String,
    /// The hash, in hexadecimal digits.
    pub hash: String,
}

/// Number of random bytes in a secret. 256 bits can't be guessed by brute force, so a fast hash is
/// sufficient.
const SECRET_BYTES: usize = 32;

impl NewKey {
    /// Generates a key with the given identifier.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if it can't provide random bytes.
    pub fn generate(id: &str) -> Result<NewKey, getrandom::Error> {
        let mut salt = [0; SALT_BYTES];
        let mut random = [0; SECRET_BYTES];
        getrandom::fill(&mut salt)?;
        getrandom::fill(&mut random)?;
        Ok(NewKey::from_bytes(id, salt, random))
    }

    /// Creates a key from the given salt and random bytes.
    pub fn from_bytes(id: &str, salt: [u8; SALT_BYTES], random: [u8; SECRET_BYTES]) -> NewKey {
        let secret = format!("{id}.{}", to_hex(&random));
        NewKey {
            hash: to_hex(&hash(&salt, &secret)),
            salt: to_hex(&salt),
            secret,
        }
    }
}

/// Returns the key identifier contained in a secret. The identifier itself is not secret.
pub fn secret_id(secret: &str) -> Option<&str> {
    let (id, _) = secret.split_once('.')?;
    names::is_name(id).then_some(id)
}

fn hash(salt: &[u8], secret: &str) -> [u8; HASH_BYTES] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(secret.as_bytes());
    hasher.finalize().into()
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
        text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
    }
    text
}

/// Decodes exactly `N` bytes from hexadecimal digits.
pub(crate) fn from_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; N];
    for (at, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(bytes)
}
