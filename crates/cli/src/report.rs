//! What a command has to say, for people and for programs.

use serde::Serialize;
use serde_json::Value as Json;

use crate::exit::Exit;

/// The outcome of a command.
#[derive(Clone, Debug)]
pub struct Report {
    /// How the program ends.
    pub exit: Exit,
    /// For people, with line ends.
    pub human: String,
    /// For programs.
    pub json: Json,
    /// For standard error, with line ends.
    pub notes: String,
}

impl Report {
    /// Makes the report of an answer.
    pub fn new(exit: Exit, human: String, answer: &impl Serialize) -> Report {
        Report {
            exit,
            human,
            json: serde_json::to_value(answer).unwrap_or(Json::Null),
            notes: String::new(),
        }
    }

    /// Adds a line for standard error.
    #[must_use]
    pub fn with_note(mut self, note: &str) -> Report {
        self.notes.push_str(note);
        self.notes.push('\n');
        self
    }

    /// Gives the JSON as text.
    pub fn json_text(&self) -> String {
        format!("{:#}\n", self.json)
    }
}
