//! Mutual authentication of two daemons by the deployment's shared secret.
//!
//! The client sends its identity and a nonce. The server answers with its own identity, its own
//! nonce and a proof; the client answers with its proof. Each proof is an HMAC-SHA256 code, keyed
//! with the deployment's secret, over both identities and nonces. The nonces are fresh, so a
//! handshake recorded on one connection cannot be replayed on another.

use std::fmt;
use std::net::SocketAddr;

use heatherknot_types::prelude::*;
use hmac::Mac;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::frame::MacState;

/// The version of the handshake and of the messages after it.
pub const WIRE_VERSION: u8 = 1;
/// Maximum length of a handshake message, in bytes.
pub const HANDSHAKE_LIMIT: usize = 1024;

const NONCE_BYTES: usize = 16;
/// Length of a token in bytes: 128 bits, as for a message's MAC.
const TOKEN_BYTES: usize = 16;

/// The secret shared by all daemons of a deployment; never logged.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns a bearer token for `purpose`, which only holders of the secret can compute.
    ///
    /// Anyone who intercepts the token can use it, so it is weaker than the handshake.
    pub fn token(&self, purpose: &str) -> String {
        let mut mac = self.mac();
        push_mac(&mut mac, b"token");
        push_mac(&mut mac, purpose.as_bytes());
        let code = mac.finalize().into_bytes();
        let hex = code.iter().take(TOKEN_BYTES).map(|b| format!("{b:02x}"));
        hex.collect()
    }

    fn mac(&self) -> MacState {
        MacState::new_from_slice(&self.0).expect("HMAC takes a key of any length")
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The identity of a daemon, which the handshake authenticates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerId {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The VM's failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The incarnation of the daemon process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Orders the incarnations of one VM: a later one has a higher epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Address on which the daemon listens for its peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Address on which the daemon listens for callers, if it does.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
}

/// Reason why one end of a connection refused the other.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandshakeRefusal {
    /// The other end did not prove that it holds the deployment's secret.
    #[snafu(display("the peer did not prove that it holds the deployment's secret"))]
    BadProof,
    /// The other end belongs to another deployment.
    #[snafu(display("the peer belongs to another deployment"))]
    WrongDeployment,
    /// The other end uses another protocol version.
    #[snafu(display("the peer uses another protocol version"))]
    WrongVersion,
    /// Another VM answered at the address.
    #[snafu(display("another VM answered at the address"))]
    WrongVm,
    /// A later incarnation of the same VM is known.
    #[snafu(display("superseded by incarnation {} of VM {}", by.incarnation, by.vm))]
    Superseded {
        /// The later incarnation.
        by: Box<PeerId>,
    },
    /// Too many connections are open.
    #[snafu(display("the peer has too many connections"))]
    Busy,
    /// A handshake message could not be decoded.
    #[snafu(display("a handshake message could not be decoded"))]
    Malformed,
}

/// A random number that one end generates for each handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce([u8; NONCE_BYTES]);

impl Nonce {
    /// Generates a nonce with the operating system's random number generator.
    ///
    /// # Panics
    ///
    /// Panics if the operating system provides no random bytes.
    pub fn random() -> Self {
        let mut bytes = [0; NONCE_BYTES];
        getrandom::fill(&mut bytes).expect("the operating system gives random bytes");
        Self(bytes)
    }
}

/// HMAC over the transcript of a handshake, in hexadecimal digits.
pub type ProofCode = String;

/// The client's first message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version.
    #[serde(rename = "w")]
    pub version: u8,
    /// The deployment.
    #[serde(rename = "n")]
    pub deployment: String,
    /// The client's identity.
    #[serde(rename = "c")]
    pub client: PeerId,
    /// The client's nonce.
    #[serde(rename = "r")]
    pub nonce: Nonce,
}

/// The server's answer to [`Hello`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Welcome {
    /// The server proves its identity.
    #[serde(rename = "w")]
    Proof {
        /// The server's identity.
        #[serde(rename = "s")]
        server: PeerId,
        /// The server's nonce.
        #[serde(rename = "r")]
        nonce: Nonce,
        /// The server's proof.
        #[serde(rename = "m")]
        code: ProofCode,
    },
    /// The server refuses the client. The refusal is not authenticated, so the client must not
    /// rely on it beyond closing the connection.
    #[serde(rename = "x")]
    Refused(HandshakeRefusal),
}

/// The client's answer to [`Welcome::Proof`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The client's proof.
    #[serde(rename = "m")]
    pub code: ProofCode,
}

/// The server's decision on the client, authenticated with the connection's keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Verdict {
    /// The client's identity is accepted.
    #[serde(rename = "y")]
    Accepted,
    /// The client's identity is refused.
    #[serde(rename = "x")]
    Refused(HandshakeRefusal),
}

/// The MAC keys of one connection, one for each direction.
#[derive(Clone)]
pub struct SessionKeys {
    /// For messages from the client.
    pub client: MacState,
    /// For messages from the server.
    pub server: MacState,
}

/// The handshake data that both proofs cover.
pub struct Transcript {
    bytes: Vec<u8>,
}

impl Transcript {
    /// Encodes both identities and nonces. Each field is prefixed with its length, so different
    /// transcripts never have the same encoding.
    pub fn new(deployment: &str, client: (&PeerId, Nonce), server: (&PeerId, Nonce)) -> Self {
        let mut bytes = vec![WIRE_VERSION];
        push_field(&mut bytes, deployment.as_bytes());
        for (id, nonce) in [client, server] {
            push_field(&mut bytes, id.vm.as_str().as_bytes());
            push_field(&mut bytes, id.domain.as_str().as_bytes());
            push_field(&mut bytes, &id.incarnation.0.to_be_bytes());
            push_field(&mut bytes, &id.epoch.to_be_bytes());
            push_field(&mut bytes, id.address.to_string().as_bytes());
            let callers = id.callers.map(|address| address.to_string());
            push_field(&mut bytes, callers.unwrap_or_default().as_bytes());
            push_field(&mut bytes, &nonce.0);
        }
        Self { bytes }
    }

    fn mac(&self, secret: &Secret, role: &str) -> MacState {
        let mut mac = secret.mac();
        push_mac(&mut mac, role.as_bytes());
        mac.update(&self.bytes);
        mac
    }

    /// Returns the proof of the end with the given role.
    pub fn code(&self, secret: &Secret, role: Role) -> ProofCode {
        let full = self.mac(secret, role.label()).finalize().into_bytes();
        full.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns whether `code` is the proof of the end with the given role. Compares in constant
    /// time.
    pub fn verify(&self, secret: &Secret, role: Role, code: &str) -> bool {
        let Some(raw) = from_hex(code) else {
            return false;
        };
        self.mac(secret, role.label()).verify_slice(&raw).is_ok()
    }

    /// Derives the MAC keys of the connection.
    pub fn keys(&self, secret: &Secret) -> SessionKeys {
        SessionKeys {
            client: self.key(secret, "key of the client"),
            server: self.key(secret, "key of the server"),
        }
    }

    fn key(&self, secret: &Secret, label: &str) -> MacState {
        let raw = self.mac(secret, label).finalize().into_bytes();
        MacState::new_from_slice(&raw).expect("HMAC takes a key of any length")
    }
}

/// The role of one end of a connection. The two roles have different proofs, so an attacker
/// cannot authenticate by reflecting an end's own proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The end that opened the connection.
    Client,
    /// The end that accepted it.
    Server,
}

impl Role {
    fn label(self) -> &'static str {
        match self {
            Role::Client => "proof of the client",
            Role::Server => "proof of the server",
        }
    }
}

fn push_field(bytes: &mut Vec<u8>, field: &[u8]) {
    bytes.extend_from_slice(&(field.len() as u32).to_be_bytes());
    bytes.extend_from_slice(field);
}

fn push_mac(mac: &mut MacState, field: &[u8]) {
    mac.update(&(field.len() as u32).to_be_bytes());
    mac.update(field);
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
