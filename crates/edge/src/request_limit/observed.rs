//! The request limit of a backend server, derived from responses that may arrive out of order.

use heatherknot_types::prelude::*;

/// Time between the last response that stated a limit and the request whose response may raise or
/// remove it. It exceeds the time by which a report from another VM may be delayed.
pub const LOOSEN_DELAY: Millis = Millis(500);

/// What one response said about its server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The stated limit in requests per second; `None` if the response stated none.
    pub limit: Option<f64>,
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the response was received.
    pub received_at: Millis,
}

/// How an observation changed the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server had no limit before.
    Stated,
    /// The limit is lower than before.
    Lowered,
    /// The limit is higher than before.
    Raised,
    /// The server has no limit any more.
    Removed,
}

impl LimitChange {
    /// Returns the value of the log field.
    pub fn label(self) -> &'static str {
        match self {
            LimitChange::Stated => "stated",
            LimitChange::Lowered => "lowered",
            LimitChange::Raised => "raised",
            LimitChange::Removed => "removed",
        }
    }
}

/// The limit of one run of a backend server, as far as is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedLimit {
    latest: Option<Observation>,
}

impl ObservedLimit {
    /// Returns the limit in requests per second, if the server has one.
    pub fn per_second(&self) -> Option<f64> {
        self.latest?.limit
    }

    /// Returns the observation that states the current limit or, if the limit was removed, that
    /// removed it.
    pub fn latest(&self) -> Option<Observation> {
        self.latest
    }

    /// Applies an observation; returns how it changed the limit.
    ///
    /// A stricter limit applies at once. A looser one applies only if its request was sent well
    /// after the current limit was last stated, since a response may overtake older ones.
    pub fn apply(&mut self, observation: Observation) -> Option<LimitChange> {
        let known = match self.latest {
            Some(known) => known,
            None if observation.limit.is_none() => return None,
            None => {
                self.latest = Some(observation);
                return Some(LimitChange::Stated);
            }
        };
        if observation.received_at < known.sent_at {
            // The server made this response before the one that is known.
            return None;
        }
        let rate = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
        let is_looser = rate(observation.limit) > rate(known.limit);
        if is_looser && observation.sent_at < known.received_at + LOOSEN_DELAY {
            return None;
        }
        let change = match (known.limit, observation.limit) {
            (known, new) if known == new => None,
            (None, _) => Some(LimitChange::Stated),
            (_, None) => Some(LimitChange::Removed),
            _ if is_looser => Some(LimitChange::Raised),
            _ => Some(LimitChange::Lowered),
        };
        self.latest = Some(match change {
            Some(_) => observation,
            None => Observation {
                sent_at: observation.sent_at.max(known.sent_at),
                received_at: observation.received_at.max(known.received_at),
                ..known
            },
        });
        change
    }
}

/// Parses the value of the header that states a limit.
///
/// # Errors
///
/// Returns what is wrong with the value if it isn't a finite decimal number of at least zero.
pub fn parse(text: &str) -> Result<f64, &'static str> {
    let limit: f64 = text.trim().parse().map_err(|_| "not a decimal number")?;
    match limit {
        limit if !limit.is_finite() => Err("not a finite number"),
        limit if limit.is_sign_negative() && limit != 0.0 => Err("a negative number"),
        limit => Ok(limit.abs()),
    }
}
