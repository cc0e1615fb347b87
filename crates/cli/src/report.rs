//! The result of a command, as text and as JSON.

use serde::Serialize;
use serde_json::Value as Json;

use crate::exit::Exit;

/// The result of a command.
#[derive(Clone, Debug)]
pub struct Report {
    /// The exit code.
    pub exit: Exit,
    /// The text for people, with line ends.
    pub human: String,
    /// The same result as JSON, for `--json`.
    pub json: Json,
    /// Notes for standard error, with line ends.
    pub notes: String,
}

impl Report {
    /// Creates a report from a text and a serializable answer.
    pub fn new(exit: Exit, human: String, answer: &impl Serialize) -> Report {
        Report {
            exit,
            human,
            json: serde_json::to_value(answer).unwrap_or(Json::Null),
            notes: String::new(),
        }
    }

    /// Adds a line to the notes for standard error.
    #[must_use]
    pub fn with_note(mut self, note: &str) -> Report {
        self.notes.push_str(note);
        self.notes.push('\n');
        self
    }

    /// Returns the JSON as indented text.
    pub fn json_text(&self) -> String {
        format!("{:#}\n", self.json)
    }
}
