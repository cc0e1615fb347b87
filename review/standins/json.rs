//! A small JSON reader for the bodies that daemons send to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns the items of a list, or nothing for another value.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    /// Returns a text, or the empty one for another value.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a number, or zero for another value.
    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
}

/// Parses a JSON text. Returns `None` if it is malformed.
pub fn parse(text: &str) -> Option<Json> {
    let mut parser = Parser {
        chars: text.chars().collect(),
        at: 0,
    };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.chars.len()).then_some(value)
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        self.skip_space();
        let found = *self.chars.get(self.at)? == wanted;
        self.at += usize::from(found);
        found.then_some(())
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let found: String = self.chars.get(self.at..end)?.iter().collect();
        self.at = end;
        (found == word).then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.chars.get(self.at)? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .chars
            .get(self.at)
            .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
        {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        'n' => '\n',
                        't' => '\t',
                        'r' => '\r',
                        'b' => '\u{8}',
                        'f' => '\u{c}',
                        'u' => {
                            let digits: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?
                        }
                        other => other,
                    });
                }
                c => text.push(c),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut items = Vec::new();
        if self.take(']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(']').is_some() {
                return Some(Json::List(items));
            }
            self.take(',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        if self.take('}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            if self.take('}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(',')?;
        }
    }
}
