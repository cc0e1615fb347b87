//! The description of one setting, and the reading of its value by that description.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde_json::Value as Json;

use crate::names;
use crate::network::Network;

/// What a setting's value may be.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A whole number between two bounds, both included.
    Integer {
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// `true` or `false`.
    Flag,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// One text.
    Text(Text),
    /// A list of texts without duplicates.
    List {
        /// What each item may be.
        item: Text,
        /// The most items.
        max: usize,
    },
}

/// The form of a text.
#[derive(Clone, Copy, Debug)]
pub enum Text {
    /// A name of one segment.
    Name,
    /// A short text for people.
    Label,
    /// The path of a client account, or nothing for the root.
    Branch,
    /// An IP number and a port.
    Address,
    /// An IP prefix such as `10.1.0.0/16`.
    Network,
    /// A method and a path prefix, such as `POST /submissions`.
    Route,
    /// Bytes as hexadecimal digits, with the number of bytes.
    Hex(usize),
    /// One of several words.
    Word(&'static [&'static str]),
}

/// What holds where a document leaves a setting out.
#[derive(Clone, Copy, Debug)]
pub enum Fallback {
    /// The setting must be given.
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

/// One setting: the entry from which its check, its default and its documentation come.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key in the document, with the unit as its suffix.
    pub key: &'static str,
    /// What the value may be.
    pub kind: Kind,
    /// The unit, for the settings page.
    pub unit: &'static str,
    /// What holds where the key is left out.
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
    /// A word or another text.
    Text(Arc<str>),
    /// A list of texts.
    List(Vec<Arc<str>>),
}

impl Field {
    /// Gives the value that holds where the document leaves the setting out, or `None` where
    /// it must be given.
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

    /// Reads a value of this setting.
    ///
    /// # Errors
    ///
    /// Gives what was expected where the value doesn't fit the description.
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

    /// Describes what the value may be, with range and unit.
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
