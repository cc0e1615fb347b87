//! Descriptors of settings, and parsing of values against them.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde_json::Value as Json;

use crate::names;
use crate::network::Network;

/// The type and valid range of a setting.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A whole number within an inclusive range.
    Integer {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// `true` or `false`.
    Flag,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
    /// A string.
    Text(Text),
    /// A list of strings without duplicates.
    List {
        /// The format of each item.
        item: Text,
        /// Maximum number of items.
        max: usize,
    },
}

/// The format of a string.
#[derive(Clone, Copy, Debug)]
pub enum Text {
    /// A single-segment name.
    Name,
    /// A short human-readable label.
    Label,
    /// The path of a client account, or an empty string for the root.
    Branch,
    /// An IP address and a port.
    Address,
    /// An IP prefix such as `10.1.0.0/16`.
    Network,
    /// A method and a path prefix, such as `POST /submissions`.
    Route,
    /// Hexadecimal digits that encode the given number of bytes.
    Hex(usize),
    /// One of a fixed set of words.
    Word(&'static [&'static str]),
}

/// The value of a setting that a document omits.
#[derive(Clone, Copy, Debug)]
pub enum Fallback {
    /// No default; the setting is required.
    Required,
    /// This number.
    Number(u64),
    /// This flag.
    Flag(bool),
    /// This word.
    Word(&'static str),
    /// This list.
    List(&'static [&'static str]),
}

/// The descriptor of one setting: its validation rule, default and documentation.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key in the document, which ends with the unit if there is one.
    pub key: &'static str,
    /// The type and valid range of the value.
    pub kind: Kind,
    /// The unit, for the settings page.
    pub unit: &'static str,
    /// The value if the key is omitted.
    pub fallback: Fallback,
    /// One sentence for the settings page.
    pub doc: &'static str,
}

/// The value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A whole number.
    Number(u64),
    /// A flag.
    Flag(bool),
    /// A string.
    Text(Arc<str>),
    /// A list of strings.
    List(Vec<Arc<str>>),
}

impl Field {
    /// Returns the value used if the document omits the setting, or `None` if the setting is
    /// required.
    pub fn default_value(&self) -> Option<Value> {
        match self.fallback {
            Fallback::Required => None,
            Fallback::Number(number) => Some(Value::Number(number)),
            Fallback::Flag(flag) => Some(Value::Flag(flag)),
            Fallback::Word(word) => Some(Value::Text(word.into())),
            Fallback::List(items) => {
                Some(Value::List(items.iter().map(|&item| item.into()).collect()))
            }
        }
    }

    /// Parses a value of this setting.
    ///
    /// # Errors
    ///
    /// Returns a description of the expected value if the value is invalid.
    pub fn read(&self, json: &Json) -> Result<Value, String> {
        self.try_read(json).ok_or_else(|| self.expected())
    }

    fn try_read(&self, json: &Json) -> Option<Value> {
        match self.kind {
            Kind::Integer { min, max } => {
                let number = json.as_u64().filter(|n| (min..=max).contains(n))?;
                Some(Value::Number(number))
            }
            Kind::Flag => json.as_bool().map(Value::Flag),
            Kind::Choice(words) => {
                let word = json.as_str().filter(|word| words.contains(word))?;
                Some(Value::Text(word.into()))
            }
            Kind::Text(text) => {
                let word = json.as_str().filter(|word| text.accepts(word))?;
                Some(Value::Text(word.into()))
            }
            Kind::List { item, max } => read_list(json, item, max).map(Value::List),
        }
    }

    /// Describes the expected value, including range and unit.
    pub fn expected(&self) -> String {
        match self.kind {
            Kind::Integer { min, max } => {
                format!("a whole number of {} from {min} to {max}", self.unit)
            }
            Kind::Flag => "true or false".to_string(),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
            Kind::Text(text) => text.expected(),
            Kind::List { item, max } => {
                format!(
                    "a list of at most {max} without duplicates, each {}",
                    item.expected()
                )
            }
        }
    }
}

fn read_list(json: &Json, item: Text, max: usize) -> Option<Vec<Arc<str>>> {
    let array = json.as_array().filter(|array| array.len() <= max)?;
    let mut items: Vec<Arc<str>> = Vec::with_capacity(array.len());
    for entry in array {
        let text = entry.as_str().filter(|text| item.accepts(text))?;
        if items.iter().any(|seen| &**seen == text) {
            return None;
        }
        items.push(text.into());
    }
    Some(items)
}

impl Text {
    fn accepts(self, text: &str) -> bool {
        match self {
            Text::Name => names::is_name(text),
            Text::Label => is_label(text),
            Text::Branch => names::is_branch(text),
            Text::Address => is_address(text),
            Text::Network => Network::parse(text).is_some(),
            Text::Route => is_route(text),
            Text::Hex(bytes) => {
                text.len() == 2 * bytes
                    && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
            }
            Text::Word(words) => words.contains(&text),
        }
    }

    fn expected(self) -> String {
        match self {
            Text::Name => names::NAME_RULE.to_string(),
            Text::Label => format!("1 to {MAX_LABEL} printable characters"),
            Text::Branch => "an account path such as utilities/port-louis, or \"\"".to_string(),
            Text::Address => "an IP number and a port from 1 to 65535".to_string(),
            Text::Network => "an IP prefix such as 10.1.0.0/16 with no bits after it".to_string(),
            Text::Route => "a method other than GET and HEAD, one space and a path prefix, such as POST /submissions".to_string(),
            Text::Hex(bytes) => format!("{} lower-case hexadecimal digits", 2 * bytes),
            Text::Word(words) => format!("one of {}", words.join(", ")),
        }
    }
}

const MAX_LABEL: usize = 64;

fn is_label(text: &str) -> bool {
    let len = text.chars().count();
    (1..=MAX_LABEL).contains(&len) && !text.chars().any(char::is_control)
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0 && is_assignable(address.ip()))
}

fn is_assignable(ip: IpAddr) -> bool {
    !ip.is_unspecified() && !ip.is_multicast()
}

const ROUTE_METHODS: [&str; 5] = ["DELETE", "OPTIONS", "PATCH", "POST", "PUT"];
const MAX_ROUTE_PATH_BYTES: usize = 256;

fn is_route(text: &str) -> bool {
    let Some((method, path)) = text.split_once(' ') else {
        return false;
    };
    let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b'%' | b'\\');
    ROUTE_METHODS.contains(&method)
        && path.starts_with('/')
        && path.len() <= MAX_ROUTE_PATH_BYTES
        && path.bytes().all(plain)
        && !path
            .split('/')
            .any(|segment| segment == "." || segment == "..")
}
