//! Calls to daemons. A change whose answer was lost is reported as unknown, not as failed.

use std::net::SocketAddr;
use std::time::Duration;

use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions, SendProgress};
use heatherknot_operator::api::{
    ChangeOutcome, ChangeRequest, ChangeResponse, ErrorResponse, PATH_PREFIX,
};
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, StatusCode, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{CliError, InvalidAnswerSnafu, NoAnswerSnafu, RefusedSnafu};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The pause before the daemons are tried again after all of them failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The minimum timeout of one attempt, limited by the time left.
const MIN_ATTEMPT_TIME: Millis = Millis(2_000);
/// How long a connection may be silent. It exceeds the longest wait of a daemon and the time after
/// which the store fails a change.
const SILENCE_LIMIT: Duration = Duration::from_secs(40);

/// A client of one or more daemons, each of which can serve every call.
pub struct Client {
    pools: Vec<Pool>,
    token: HeaderValue,
    clock: Clock,
    deadline: Millis,
}

/// The result of a change as far as the client knows.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// A daemon's answer settles the change. A refusal does so only if no earlier answer was lost.
    Answered(ChangeResponse),
    /// It was refused, or reached no daemon.
    NotAccepted(String),
    /// A daemon answered that it can't reach the store. This attempt changed nothing, but an
    /// earlier run of the same command may have.
    StoreUnavailable(String),
    /// An answer was lost, and no later answer settled the outcome.
    Unknown(String),
}

/// The result of sending a call to one daemon.
enum AttemptResult {
    /// The daemon's complete answer.
    Answer(StatusCode, Vec<u8>),
    /// The daemon did not run the call.
    NotSent(String),
    /// The daemon may have run the call.
    MaybeSent(String),
}

impl Client {
    /// Creates a client whose calls share one timeout.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Usage`] if the key is not a valid header value.
    pub fn new(
        servers: &[SocketAddr],
        secret: &str,
        clock: Clock,
        timeout: Millis,
    ) -> Result<Client, CliError> {
        let invalid = |_| CliError::usage("the operator's key has characters that no key has");
        let mut token = HeaderValue::from_str(&format!("Bearer {secret}")).map_err(invalid)?;
        token.set_sensitive(true);
        let config = PoolConfig {
            silence_limit: SILENCE_LIMIT,
            ..PoolConfig::default()
        };
        let pool = |server: &SocketAddr| Pool::new(*server, config.clone(), clock.clone());
        Ok(Client {
            pools: servers.iter().map(pool).collect(),
            token,
            deadline: clock.now() + timeout,
            clock,
        })
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Millis {
        self.deadline.since(self.clock.now())
    }

    /// Sends a call that changes nothing to the daemons in turn until one answers.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Refused`], [`CliError::InvalidAnswer`], or [`CliError::NoAnswer`] if
    /// each daemon failed once.
    pub async fn call<T: DeserializeOwned>(
        &self,
        call: &str,
        req: &impl Serialize,
    ) -> Result<T, CliError> {
        self.call_with_server_wait(call, req, Millis(0)).await
    }

    /// Like [`call`](Self::call), for a call whose answer the daemon may delay by `server_wait`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`call`](Self::call).
    pub async fn call_with_server_wait<T: DeserializeOwned>(
        &self,
        call: &str,
        req: &impl Serialize,
        server_wait: Millis,
    ) -> Result<T, CliError> {
        let mut causes = Vec::new();
        for pool in &self.pools {
            let peer = pool.address();
            match self
                .attempt(pool, call, req, self.attempt_timeout() + server_wait)
                .await
            {
                AttemptResult::Answer(StatusCode::OK, body) => return parse_answer(peer, &body),
                AttemptResult::Answer(status, body) => {
                    let error = error_text(status, &body);
                    return RefusedSnafu { peer, error }.fail();
                }
                AttemptResult::NotSent(cause) | AttemptResult::MaybeSent(cause) => {
                    causes.push(cause)
                }
            }
        }
        let causes = causes.join("; ");
        NoAnswerSnafu { causes }.fail()
    }

    /// Sends a change until its outcome is known or the timeout expires. Every attempt carries the
    /// same command identifier, so that the daemons make the change at most once.
    pub async fn change(&self, req: &ChangeRequest) -> ChangeResult {
        let mut lost: Option<String> = None;
        let mut failed = Vec::new();
        loop {
            for pool in &self.pools {
                match self
                    .attempt(pool, "change", req, self.attempt_timeout())
                    .await
                {
                    AttemptResult::NotSent(cause) => failed.push(cause),
                    AttemptResult::MaybeSent(cause) => lost = Some(cause),
                    AttemptResult::Answer(status, body) => {
                        match classify_reply(pool.address(), status, &body) {
                            ChangeReply::Final(answer) => return ChangeResult::Answered(answer),
                            ChangeReply::Unknown(cause) => lost = Some(cause),
                            ChangeReply::Refused(result) => return resolve_refusal(result, lost),
                        }
                    }
                }
            }
            if self.time_left() <= Millis(RETRY_PAUSE.as_millis() as u64) {
                break;
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        match lost {
            Some(cause) => ChangeResult::Unknown(cause),
            None => {
                failed.dedup();
                ChangeResult::NotAccepted(format!("no daemon answered: {}", failed.join("; ")))
            }
        }
    }

    /// Returns the timeout of one attempt: a part of the time left, because a connection or a
    /// daemon may never answer.
    fn attempt_timeout(&self) -> Millis {
        let attempts = self.pools.len() as u64 + 1;
        Millis(self.time_left().0 / attempts).max(MIN_ATTEMPT_TIME)
    }

    async fn attempt(
        &self,
        pool: &Pool,
        call: &str,
        req: &impl Serialize,
        limit: Millis,
    ) -> AttemptResult {
        let body = match serde_json::to_vec(req) {
            Ok(body) => Body::full(body),
            Err(error) => return AttemptResult::NotSent(error.to_string()),
        };
        let uri = Uri::try_from(format!("{PATH_PREFIX}{call}")).unwrap_or_default();
        let mut head = RequestHead::new(Method::POST, uri);
        head.headers.insert(AUTHORIZATION, self.token.clone());
        let json = HeaderValue::from_static("application/json");
        head.headers.insert(CONTENT_TYPE, json);
        let options = SendOptions {
            deadline: Some(self.deadline.min(self.clock.now() + limit)),
            idempotent: false,
            new_connection: true,
        };
        match pool.send(head, body, options).await {
            Ok(response) => read_response(pool.address(), response).await,
            Err(error) => match error.send_progress() {
                SendProgress::NotSent => AttemptResult::NotSent(error.to_string()),
                SendProgress::MaybeSent => AttemptResult::MaybeSent(error.to_string()),
            },
        }
    }
}

/// Reads the complete answer. A truncated answer leaves the outcome of a change unknown.
async fn read_response(peer: SocketAddr, response: Response) -> AttemptResult {
    let outcome = response.headers.get(OUTCOME_HEADER);
    let is_not_run = outcome.is_some_and(|value| value == Outcome::NotRun.as_str());
    if is_not_run {
        return AttemptResult::NotSent(format!("{peer}: the daemon is full"));
    }
    match response.body.collect(MAX_ANSWER_BYTES).await {
        Ok(body) => AttemptResult::Answer(response.status, body.to_vec()),
        Err(error) => AttemptResult::MaybeSent(format!("{peer}: {error}")),
    }
}

/// The meaning of one daemon's answer to a change.
enum ChangeReply {
    Final(ChangeResponse),
    Unknown(String),
    Refused(ChangeResult),
}

fn classify_reply(peer: SocketAddr, status: StatusCode, body: &[u8]) -> ChangeReply {
    if let Ok(answer) = serde_json::from_slice::<ChangeResponse>(body) {
        return match answer.outcome {
            ChangeOutcome::Accepted | ChangeOutcome::Checked | ChangeOutcome::Unchanged => {
                ChangeReply::Final(answer)
            }
            ChangeOutcome::NotAccepted => ChangeReply::Refused(ChangeResult::Answered(answer)),
            ChangeOutcome::Unknown => {
                let reason = answer.reason.unwrap_or_default();
                ChangeReply::Unknown(format!("{peer}: {reason}"))
            }
        };
    }
    if serde_json::from_slice::<ErrorResponse>(body).is_ok() {
        let error = format!("{peer}: {}", error_text(status, body));
        return ChangeReply::Refused(match status {
            StatusCode::SERVICE_UNAVAILABLE => ChangeResult::StoreUnavailable(error),
            _ => ChangeResult::NotAccepted(error),
        });
    }
    ChangeReply::Unknown(format!("{peer}: status {status} without an answer"))
}

/// Returns the result of a refused change. If the answer of an earlier attempt was lost, the result
/// is unknown: another daemon may still be processing that attempt and accept the change after
/// this refusal.
fn resolve_refusal(refused: ChangeResult, lost: Option<String>) -> ChangeResult {
    match lost {
        None => refused,
        Some(cause) => ChangeResult::Unknown(cause),
    }
}

fn parse_answer<T: DeserializeOwned>(peer: SocketAddr, body: &[u8]) -> Result<T, CliError> {
    serde_json::from_slice(body).map_err(|error| {
        let problem = error.to_string();
        InvalidAnswerSnafu { peer, problem }.build()
    })
}

fn error_text(status: StatusCode, body: &[u8]) -> String {
    match serde_json::from_slice::<ErrorResponse>(body) {
        Ok(answer) => answer.error,
        Err(_) => format!("status {status}"),
    }
}
