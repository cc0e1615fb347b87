//! Message authentication with the deployment's secret.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use snafu::Snafu;

/// Bytes of the code that a token carries.
const TAG_LEN: usize = 16;
/// The longest token that is looked at, in bytes.
const MAX_TOKEN_LEN: usize = 1024;

/// Why a token was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TokenError {
    /// The text is no token of this kind.
    #[snafu(display("not a token of this kind"))]
    Malformed,
    /// The code doesn't fit: another deployment made it, or it was altered.
    #[snafu(display("the token was not made by this deployment"))]
    Forged,
}

/// Makes and checks tokens: a prefix, a payload and a code, as header-safe text.
#[derive(Clone)]
pub struct TokenKey {
    secret: Vec<u8>,
}

impl TokenKey {
    /// Makes a key from the deployment's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            secret: secret.to_vec(),
        }
    }

    /// Makes the token of a payload. `prefix` tells the kinds of tokens apart.
    ///
    /// # Panics
    ///
    /// Panics where the payload has no JSON form, which no payload of this package lacks.
    pub fn sign<T: Serialize>(&self, prefix: &str, payload: &T) -> String {
        let body = serde_json::to_vec(payload).expect("payloads have a JSON form");
        let body = URL_SAFE_NO_PAD.encode(body);
        let tag = self.mac(prefix, &body).finalize().into_bytes();
        let tag = URL_SAFE_NO_PAD.encode(&tag[..TAG_LEN]);
        format!("{prefix}.{body}.{tag}")
    }

    /// Gives the payload of a token made by [`TokenKey::sign`] with the same prefix.
    ///
    /// # Errors
    ///
    /// Returns an error where the text is no such token or was not made with this key.
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
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
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
