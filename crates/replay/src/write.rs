//! Writing the lines of a trace.

use serde::Serialize;

use crate::trace::{Event, Head, StatedOutcome, Trace};

#[derive(Serialize)]
struct Tagged<'a, T> {
    kind: &'static str,
    #[serde(flatten)]
    body: &'a T,
}

/// Gives the line of a head, without its end.
pub fn head_line(head: &Head) -> String {
    line(&Tagged {
        kind: "head",
        body: head,
    })
}

/// Gives the line of an event, without its end.
pub fn event_line(event: &Event) -> String {
    line(event)
}

/// Gives the line of a stated outcome, without its end.
pub fn outcome_line(outcome: &StatedOutcome) -> String {
    line(&Tagged {
        kind: "outcome",
        body: outcome,
    })
}

/// Gives the text of a whole trace.
pub fn text(trace: &Trace) -> String {
    let head = std::iter::once(head_line(&trace.head));
    let events = trace.events.iter().map(event_line);
    let outcomes = trace.outcomes.iter().map(outcome_line);
    let lines = head.chain(events).chain(outcomes);
    lines.map(|line| line + "\n").collect()
}

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the lines of a trace are plain JSON")
}
