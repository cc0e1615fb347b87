//! The JSON messages of the key-value service. Keys and values are base64, 64-bit numbers are
//! strings, and fields with their default value are omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are serialized as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Base64(pub Bytes);

impl Base64 {
    pub(crate) fn from_text(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        let bytes = STANDARD
            .decode(text.as_bytes())
            .map_err(serde::de::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit integer that is serialized as a string and deserialized from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int64(pub i64);

impl Int64 {
    pub(crate) fn from_u64(value: u64) -> Self {
        Self(value as i64)
    }

    pub(crate) fn to_u64(self) -> u64 {
        self.0.max(0) as u64
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Repr {
            Number(i64),
            Text(String),
        }
        match Repr::deserialize(deserializer)? {
            Repr::Number(value) => Ok(Self(value)),
            Repr::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub revision: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireKeyValue {
    pub key: Base64,
    pub value: Base64,
    pub create_revision: Int64,
    pub mod_revision: Int64,
    pub lease: Int64,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireRange {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    pub limit: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireRangeResponse {
    pub header: Header,
    pub kvs: Vec<WireKeyValue>,
    pub more: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireCompare {
    pub key: Base64,
    pub result: &'static str,
    pub target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
}

#[derive(Debug, Serialize)]
pub(crate) enum WireOp {
    #[serde(rename = "request_range")]
    Range(WireRange),
    #[serde(rename = "request_put")]
    Put(WirePut),
    #[serde(rename = "request_delete_range")]
    Delete(WireDelete),
}

#[derive(Debug, Serialize)]
pub(crate) struct WirePut {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int64,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireDelete {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireTxn {
    pub compare: Vec<WireCompare>,
    pub success: Vec<WireOp>,
    pub failure: Vec<WireOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireTxnResponse {
    pub header: Header,
    pub succeeded: bool,
    pub responses: Vec<WireOpResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireOpResponse {
    pub response_range: Option<WireRangeResponse>,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireLeaseGrant {
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireLeaseId {
    #[serde(rename = "ID")]
    pub id: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireLease {
    #[serde(rename = "ID")]
    pub id: Int64,
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// An object of a streamed response, either a result or an error.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamObject<T> {
    pub result: Option<T>,
    pub error: Option<WireError>,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireWatch {
    pub create_request: WireWatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WireWatchCreate {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    pub start_revision: Int64,
    pub progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireWatchResponse {
    pub header: Header,
    pub canceled: bool,
    pub compact_revision: Int64,
    pub cancel_reason: String,
    pub events: Vec<WireEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: WireKeyValue,
}

/// The body of an error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireError {
    pub code: u32,
    pub message: String,
    pub error: String,
}
