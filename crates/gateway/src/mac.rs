//! Tokens that are authenticated with the deployment's secret.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use snafu::Snafu;

/// Length of the truncated HMAC tag in a token, in bytes.
const TAG_LEN: usize = 16;
/// Maximum length of a token, in bytes. Longer ones are rejected unread.
const MAX_TOKEN_LEN: usize = 1024;

/// Why a token was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TokenError {
    /// The text is not a token of this kind.
    #[snafu(display("not a token of this kind"))]
    Malformed,
    /// The tag doesn't match: the token was signed by another deployment, or was altered.
    #[snafu(display("the token was not made by this deployment"))]
    Forged,
}

/// Signs and verifies tokens: a prefix, a payload and an HMAC tag, as header-safe text.
#[derive(Clone)]
pub struct TokenKey {
    secret: Vec<u8>,
}

impl TokenKey {
    /// Creates a key from the deployment's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            secret: secret.to_vec(),
        }
    }

    /// Returns the token of a payload. `prefix` distinguishes the kinds of tokens.
    ///
    /// # Panics
    ///
    /// Panics if the payload can't be serialized as JSON; all payloads of this package can.
    pub fn sign<T: Serialize>(&self, prefix: &str, payload: &T) -> String {
        let body = serde_json::to_vec(payload).expect("payloads can be serialized as JSON");
        let body = URL_SAFE_NO_PAD.encode(body);
        let tag = self.mac(prefix, &body).finalize().into_bytes();
        let tag = URL_SAFE_NO_PAD.encode(&tag[..TAG_LEN]);
        format!("{prefix}.{body}.{tag}")
    }

    /// Returns the payload of a token made by [`TokenKey::sign`] with the same prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not such a token or was not signed with this key.
    pub fn verify<T: DeserializeOwned>(&self, prefix: &str, token: &str) -> Result<T, TokenError> {
        if token.len() > MAX_TOKEN_LEN {
            return Err(TokenError::Malformed);
        }
        let mut parts = token.split('.');
        let found = (parts.next(), parts.next(), parts.next(), parts.next());
        let (Some(kind), Some(body), Some(tag), None) = found else {
            return Err(TokenError::Malformed);
        };
        if kind != prefix {
            return Err(TokenError::Malformed);
        }
        let tag = URL_SAFE_NO_PAD
            .decode(tag)
            .map_err(|_| TokenError::Malformed)?;
        if tag.len() != TAG_LEN {
            return Err(TokenError::Forged);
        }
        self.mac(prefix, body)
            .verify_truncated_left(&tag)
            .map_err(|_| TokenError::Forged)?;
        let body = URL_SAFE_NO_PAD
            .decode(body)
            .map_err(|_| TokenError::Malformed)?;
        serde_json::from_slice(&body).map_err(|_| TokenError::Malformed)
    }

    fn mac(&self, prefix: &str, body: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(prefix.as_bytes());
        mac.update(b".");
        mac.update(body.as_bytes());
        mac
    }
}

impl fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenKey")
    }
}
