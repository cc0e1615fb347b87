//! The setting tables. Each entry defines the validation, default and documentation of one setting.

use crate::field::{Fallback, Field, Kind, Text};

/// A setting that accounts and services inherit and override.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Class of requests that name none.
    Class,
    /// Time allowed for a request that names no deadline.
    Deadline,
    /// Largest request body.
    MaxBody,
    /// Maximum number of requests in a queue.
    QueueLen,
    /// Retries allowed per thousand first attempts.
    Retry,
    /// How long a caller may cache a look-up answer.
    LookupTtl,
    /// Weight of latency relative to headroom.
    LatencyWeight,
    /// Maximum growth rate of traffic to a place.
    Growth,
    /// Routes whose requests run at most once.
    AtMostOnce,
    /// The account's share of each place.
    AccountShare,
}

impl Key {
    /// Every inherited setting, in the order of the settings page.
    pub const ALL: [Key; 10] = [
        Key::Class,
        Key::Deadline,
        Key::MaxBody,
        Key::QueueLen,
        Key::Retry,
        Key::LookupTtl,
        Key::LatencyWeight,
        Key::Growth,
        Key::AtMostOnce,
        Key::AccountShare,
    ];

    /// Returns the descriptor of the setting.
    pub fn field(self) -> &'static Field {
        &INHERITED[self as usize]
    }

    /// Returns the setting with the given key in the document.
    pub fn find(key: &str) -> Option<Key> {
        Key::ALL.into_iter().find(|k| k.field().key == key)
    }

    /// Returns whether a service may override the setting. The others apply to a whole account.
    pub fn is_per_service(self) -> bool {
        self != Key::AccountShare
    }
}

const fn integer(min: u64, max: u64) -> Kind {
    Kind::Integer { min, max }
}

const MAX_U32: u64 = u32::MAX as u64;
const PERMILLE: Kind = integer(0, 1000);

/// The inherited settings, in the order of [`Key::ALL`].
pub static INHERITED: [Field; 10] = [
    Field {
        key: "class",
        kind: Kind::Choice(&["interactive", "bulk"]),
        unit: "word",
        fallback: Fallback::Word("interactive"),
        doc: "What a request counts as where the caller names no class: `interactive` where somebody waits for the answer, `bulk` where it may come later.",
    },
    Field {
        key: "deadline_ms",
        kind: integer(10, 3_600_000),
        unit: "ms",
        fallback: Fallback::Number(10_000),
        doc: "Time allowed for a request that names no deadline.",
    },
    Field {
        key: "max_body_bytes",
        kind: integer(0, 1 << 40),
        unit: "bytes",
        fallback: Fallback::Number(1 << 20),
        doc: "Largest request body.",
    },
    Field {
        key: "queue_len",
        kind: integer(0, 100_000),
        unit: "requests",
        fallback: Fallback::Number(64),
        doc: "Requests that may wait in one class's queue on one entry VM.",
    },
    Field {
        key: "retry_permille",
        kind: PERMILLE,
        unit: "thousandths",
        fallback: Fallback::Number(100),
        doc: "Retries allowed for each thousand first tries.",
    },
    Field {
        key: "lookup_ttl_ms",
        kind: integer(100, 600_000),
        unit: "ms",
        fallback: Fallback::Number(5_000),
        doc: "How long a caller may keep a look-up answer.",
    },
    Field {
        key: "latency_weight_permille",
        kind: PERMILLE,
        unit: "thousandths",
        fallback: Fallback::Number(500),
        doc: "How much latency counts against headroom: 1000 is latency alone, 0 headroom alone.",
    },
    Field {
        key: "growth_permille",
        kind: integer(1, 1000),
        unit: "thousandths of a place's cap a second",
        fallback: Fallback::Number(100),
        doc: "The most that traffic onto a place may grow in a second, so that its caches warm up.",
    },
    Field {
        key: "at_most_once",
        kind: Kind::List {
            item: Text::Route,
            max: 64,
        },
        unit: "routes",
        fallback: Fallback::List(&["PATCH /", "POST /"]),
        doc: "Methods and path prefixes whose requests run at most once and are never retried after they may have run. `GET` and `HEAD` are always idempotent.",
    },
    Field {
        key: "account_share_permille",
        kind: integer(1, 1000),
        unit: "thousandths of a place's cap",
        fallback: Fallback::Number(1000),
        doc: "The most that the account and the accounts below it may take together in each place. Never above the value inherited; the accounts directly below one account take at most its value together, and its own services get what is left. Set by keys of the branch above.",
    },
];

const PER_SECOND: Field = Field {
    key: "per_second",
    kind: integer(1, MAX_U32),
    unit: "requests a second",
    fallback: Fallback::Required,
    doc: "Cap on requests started in a second.",
};
const IN_FLIGHT: Field = Field {
    key: "in_flight",
    kind: integer(1, MAX_U32),
    unit: "requests",
    fallback: Fallback::Required,
    doc: "Cap on requests in progress at once.",
};
const DRAINING: Field = Field {
    key: "draining",
    kind: Kind::Flag,
    unit: "flag",
    fallback: Fallback::Flag(false),
    doc: "Whether an operator is moving traffic away from it.",
};

/// The settings of `platform/regions/<region>`.
pub static REGION: [Field; 3] = [PER_SECOND, IN_FLIGHT, DRAINING];

/// The settings of `platform/domains/<failure domain>`.
pub static DOMAIN: [Field; 2] = [
    Field {
        key: "region",
        kind: Kind::Text(Text::Name),
        unit: "name",
        fallback: Fallback::Required,
        doc: "The region that the failure domain lies in.",
    },
    Field {
        key: "draining_vms",
        kind: Kind::List {
            item: Text::Name,
            max: 1024,
        },
        unit: "names",
        fallback: Fallback::List(&[]),
        doc: "The entry VMs that an operator is moving traffic away from.",
    },
];

/// The settings of `platform/links/<from region>/<to region>`.
pub static LINK: [Field; 2] = [PER_SECOND, IN_FLIGHT];

/// The settings of `platform/places/<place>`.
pub static PLACE: [Field; 4] = [
    Field {
        key: "domain",
        kind: Kind::Text(Text::Name),
        unit: "name",
        fallback: Fallback::Required,
        doc: "The failure domain that the place lies in.",
    },
    PER_SECOND,
    IN_FLIGHT,
    DRAINING,
];

/// The settings of `platform/quotas/<account path>`, written with `.` for `/` in the key.
pub static QUOTA: [Field; 4] = [
    Field {
        key: "share_permille",
        kind: integer(1, 1000),
        unit: "thousandths of a place's cap",
        fallback: Fallback::Number(1000),
        doc: "The most that the branch's accounts together may take in each place.",
    },
    Field {
        key: "guaranteed_permille",
        kind: PERMILLE,
        unit: "thousandths of a place's cap",
        fallback: Fallback::Number(0),
        doc: "What the branch gets in each of its places however much others ask for; over all quotas at most 1000 in each place.",
    },
    Field {
        key: "places",
        kind: Kind::List {
            item: Text::Name,
            max: 256,
        },
        unit: "names",
        fallback: Fallback::List(&[]),
        doc: "The places that the branch's backend servers may belong to; empty for every place.",
    },
    Field {
        key: "networks",
        kind: Kind::List {
            item: Text::Network,
            max: 64,
        },
        unit: "IP prefixes",
        fallback: Fallback::List(&[]),
        doc: "Where the branch's backend servers may lie; an upstream elsewhere is refused.",
    },
];

/// The names of rights in `operators/<key id>`.
pub const RIGHTS: [&str; 5] = ["read", "change", "drain", "audit", "platform"];

/// Length of a salt, in bytes.
pub const SALT_BYTES: usize = 16;
/// Length of a SHA-256 hash, in bytes.
pub const HASH_BYTES: usize = 32;

/// The settings of `operators/<key id>`.
pub static OPERATOR: [Field; 5] = [
    Field {
        key: "holder",
        kind: Kind::Text(Text::Label),
        unit: "text",
        fallback: Fallback::Required,
        doc: "Who holds the key, for the audit trail.",
    },
    Field {
        key: "branch",
        kind: Kind::Text(Text::Branch),
        unit: "account path",
        fallback: Fallback::Required,
        doc: "The branch that the key is bound to; empty for the root.",
    },
    Field {
        key: "rights",
        kind: Kind::List {
            item: Text::Word(&RIGHTS),
            max: RIGHTS.len(),
        },
        unit: "words",
        fallback: Fallback::Required,
        doc: "What the key may do in its branch. `platform` only for the root.",
    },
    Field {
        key: "salt",
        kind: Kind::Text(Text::Hex(SALT_BYTES)),
        unit: "hexadecimal",
        fallback: Fallback::Required,
        doc: "The salt of the hash.",
    },
    Field {
        key: "hash",
        kind: Kind::Text(Text::Hex(HASH_BYTES)),
        unit: "hexadecimal",
        fallback: Fallback::Required,
        doc: "SHA-256 over the salt and the secret.",
    },
];

/// The settings of `upstreams/<upstream>` in a service.
pub static UPSTREAM: [Field; 5] = [
    Field {
        key: "place",
        kind: Kind::Text(Text::Name),
        unit: "name",
        fallback: Fallback::Required,
        doc: "The place that the backend server belongs to.",
    },
    Field {
        key: "address",
        kind: Kind::Text(Text::Address),
        unit: "IP number and port",
        fallback: Fallback::Required,
        doc: "Where the backend server accepts connections.",
    },
    Field {
        key: "slots",
        kind: integer(1, u16::MAX as u64),
        unit: "requests",
        fallback: Fallback::Required,
        doc: "Requests that the backend server runs at once.",
    },
    Field {
        key: "connections",
        kind: integer(1, u16::MAX as u64),
        unit: "connections",
        fallback: Fallback::Number(330),
        doc: "Connections that the backend server accepts; at least its slots.",
    },
    DRAINING,
];
