//! Operators' keys: what each may do, and the salted hash by which its secret is known.

use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value as Json};
use sha2::{Digest, Sha256};
use snafu::ensure;

use crate::error::{Faults, InvalidSnafu, SettingsError};
use crate::names;
use crate::reader::{Fields, Reader, join};
use crate::table::{HASH_BYTES, OPERATOR, SALT_BYTES};

/// What an operator's key may do in its branch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Right {
    /// See settings, status and explanations.
    Read,
    /// Change settings.
    Change,
    /// Start and end drains.
    Drain,
    /// See the audit trail.
    Audit,
    /// Change what the platform's owners set; only for keys of the root.
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

    /// Gives the word in the document.
    pub fn as_str(self) -> &'static str {
        match self {
            Right::Read => "read",
            Right::Change => "change",
            Right::Drain => "drain",
            Right::Audit => "audit",
            Right::Platform => "platform",
        }
    }

    /// Finds a right by its word.
    pub fn find(word: &str) -> Option<Right> {
        Right::ALL.into_iter().find(|right| right.as_str() == word)
    }
}

impl fmt::Display for Right {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An operator's key as the tree holds it; the secret isn't in it.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey {
    /// Who holds the key.
    pub holder: Arc<str>,
    /// The branch that the key is bound to, as an account path; empty for the root.
    pub branch: Arc<str>,
    /// What the key may do there.
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
    /// Makes a key from the values of the document, which the reader has checked.
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

    /// Reads a key from its object, as it stands under `operators`; a daemon reads the key of
    /// its first operator so, from its own configuration.
    ///
    /// # Errors
    ///
    /// Gives [`SettingsError::Invalid`] with every fault found.
    pub fn read(id: &str, object: &Map<String, Json>) -> Result<Self, SettingsError> {
        let mut reader = Reader::default();
        let fields = reader.fields(&join("operators", id), object, &OPERATOR);
        let faults = Faults(reader.into_faults());
        ensure!(faults.0.is_empty(), InvalidSnafu { faults });
        Ok(Self::from_fields(&fields))
    }

    /// Tells whether the secret is the one that the hash was made of.
    pub fn matches(&self, secret: &str) -> bool {
        let given = hash(&self.salt, secret);
        // The time taken must not tell an attacker how many bytes were right, so every byte
        // is compared whatever the ones before it were.
        let differing = given
            .iter()
            .zip(&self.hash)
            .fold(0, |d, (a, b)| d | (a ^ b));
        differing == 0
    }

    /// Tells whether the key holds the right.
    pub fn has(&self, right: Right) -> bool {
        self.rights.contains(&right)
    }

    /// Tells whether the branch of the key contains the given one.
    pub fn covers(&self, branch: &str) -> bool {
        names::is_within(branch, &self.branch)
    }
}

/// A new key: its secret, shown once to its holder, and what goes into the tree.
pub struct NewKey {
    /// The secret as it is sent in requests: the identifier, a dot and 64 digits.
    pub secret: String,
    /// The salt, in hexadecimal digits.
    pub salt: String,
    /// The hash, in hexadecimal digits.
    pub hash: String,
}

/// The random bytes of a secret. With so many, a fast hash is enough: guesses are hopeless
/// however many are made a second.
const SECRET_BYTES: usize = 32;

impl NewKey {
    /// Draws a new key with the given identifier.
    ///
    /// # Errors
    ///
    /// Gives the operating system's error where it has no randomness to give.
    pub fn generate(id: &str) -> Result<NewKey, getrandom::Error> {
        let mut salt = [0; SALT_BYTES];
        let mut random = [0; SECRET_BYTES];
        getrandom::fill(&mut salt)?;
        getrandom::fill(&mut random)?;
        Ok(NewKey::from_bytes(id, salt, random))
    }

    /// Makes a key of the given bytes.
    pub fn from_bytes(id: &str, salt: [u8; SALT_BYTES], random: [u8; SECRET_BYTES]) -> NewKey {
        let secret = format!("{id}.{}", to_hex(&random));
        NewKey {
            hash: to_hex(&hash(&salt, &secret)),
            salt: to_hex(&salt),
            secret,
        }
    }
}

/// Gives the identifier in a secret, which is no secret itself.
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

/// Writes bytes as lower-case hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
        text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
    }
    text
}

/// Reads exactly `N` bytes of hexadecimal digits.
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
