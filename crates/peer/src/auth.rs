//! Proof between two daemons that both belong to the deployment.
//!
//! The client says who it is and sends a nonce; the server answers with its own identity,
//! its own nonce and a code over both; the client answers with a code over the same. The
//! codes are HMAC-SHA256 under the deployment's secret. Each nonce is fresh, so nothing
//! recorded from an earlier connection proves anything on a later one.

use std::fmt;
use std::net::SocketAddr;

use heatherknot_types::prelude::*;
use hmac::Mac;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::frame::MacState;

/// The version of the handshake and of the messages after it.
pub const WIRE_VERSION: u8 = 1;
/// The largest message of the handshake, in bytes.
pub const HANDSHAKE_LIMIT: usize = 1024;

const NONCE_BYTES: usize = 16;
/// Bytes of a token: 128 bits, as in a message's code.
const TOKEN_BYTES: usize = 16;

/// The secret that all daemons of one deployment share; never logged.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Makes a secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Gives a word that only holders of the secret can make, one for each `purpose`. Whoever reads
    /// it on the way can use it as well, so it proves less than the handshake does.
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

/// Who a daemon is, as it proves it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerId {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The VM's failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The run of the daemon.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Orders the incarnations of one VM: the later one has the higher epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Where the daemon listens for its peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where the daemon listens for callers, if it takes any.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
}

/// Why one end refused the other.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandshakeRefusal {
    /// The other end does not hold the deployment's secret.
    #[snafu(display("the peer did not prove that it holds the deployment's secret"))]
    BadProof,
    /// The other end belongs to another deployment.
    #[snafu(display("the peer belongs to another deployment"))]
    WrongDeployment,
    /// The other end speaks another version.
    #[snafu(display("the peer speaks another version of the messages"))]
    WrongVersion,
    /// Another VM answered at the address.
    #[snafu(display("another VM answered at the address"))]
    WrongVm,
    /// A later incarnation of the same VM is known.
    #[snafu(display("incarnation {} of VM {} has taken over", by.incarnation, by.vm))]
    Superseded {
        /// The later incarnation.
        by: Box<PeerId>,
    },
    /// Too many connections are open.
    #[snafu(display("the peer has too many connections"))]
    Busy,
    /// A message of the handshake could not be read.
    #[snafu(display("a message of the handshake could not be read"))]
    Malformed,
}

/// One end's fresh random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce([u8; NONCE_BYTES]);

impl Nonce {
    /// Draws a number from the operating system.
    ///
    /// # Panics
    ///
    /// Panics where the operating system gives no random bytes.
    pub fn random() -> Self {
        let mut bytes = [0; NONCE_BYTES];
        getrandom::fill(&mut bytes).expect("the operating system gives random bytes");
        Self(bytes)
    }
}

/// A code over the transcript of a handshake, in hexadecimal digits.
pub type ProofCode = String;

/// The client's first message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the messages.
    #[serde(rename = "w")]
    pub version: u8,
    /// The deployment.
    #[serde(rename = "n")]
    pub deployment: String,
    /// Who the client is.
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
        /// Who the server is.
        #[serde(rename = "s")]
        server: PeerId,
        /// The server's nonce.
        #[serde(rename = "r")]
        nonce: Nonce,
        /// The server's code.
        #[serde(rename = "m")]
        code: ProofCode,
    },
    /// The server refuses; not authenticated, so the client learns nothing else from it.
    #[serde(rename = "x")]
    Refused(HandshakeRefusal),
}

/// The client's proof.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The client's code.
    #[serde(rename = "m")]
    pub code: ProofCode,
}

/// The server's last word, sent under the connection's keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Verdict {
    /// The connection is open.
    #[serde(rename = "y")]
    Accepted,
    /// The client's identity is refused.
    #[serde(rename = "x")]
    Refused(HandshakeRefusal),
}

/// The keys of one connection, one for each direction.
#[derive(Clone)]
pub struct SessionKeys {
    /// For messages from the client.
    pub client: MacState,
    /// For messages from the server.
    pub server: MacState,
}

/// Everything that both ends bind their proof to.
pub struct Transcript {
    bytes: Vec<u8>,
}

impl Transcript {
    /// Joins both identities and nonces, each field with its length in front so that no two
    /// transcripts have the same bytes.
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

    /// Gives the code that an end in `role` proves itself with.
    pub fn code(&self, secret: &Secret, role: Role) -> ProofCode {
        let full = self.mac(secret, role.label()).finalize().into_bytes();
        full.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Tells whether `code` is that of an end in `role`, in constant time.
    pub fn verify(&self, secret: &Secret, role: Role, code: &str) -> bool {
        let Some(raw) = from_hex(code) else {
            return false;
        };
        self.mac(secret, role.label()).verify_slice(&raw).is_ok()
    }

    /// Derives the keys of the connection.
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

/// The two ends of a connection. A code of one never passes as that of the other, so a
/// message sent back to its author proves nothing.
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
