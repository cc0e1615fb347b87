//! Calls on the daemons, with the truth about those whose answer was lost.

use std::net::SocketAddr;
use std::time::Duration;

use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions, SendProgress};
use heatherknot_operator::api::{ChangeAnswer, ChangeOutcome, ChangeRequest, ErrorAnswer, PREFIX};
use heatherknot_types::outcome::OUTCOME_HEADER;
use heatherknot_types::prelude::*;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, StatusCode, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{CliError, InvalidAnswerSnafu, NoAnswerSnafu, RefusedSnafu};

/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The pause after every daemon was tried in vain.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The least time that one daemon gets for an answer, where so much is left.
const MIN_ATTEMPT_TIME: Millis = Millis(2_000);
/// The longest silence of a daemon: longer than its longest wait, and than the store takes to
/// fail a change.
const SILENCE_LIMIT: Duration = Duration::from_secs(40);

/// The daemons that a command may ask, all alike.
pub struct Client {
    pools: Vec<Pool>,
    token: HeaderValue,
    clock: Clock,
    deadline: Millis,
}

/// What became of a change as far as the client knows.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// A daemon answered, and nothing was lost before.
    Answered(ChangeAnswer),
    /// It was refused, or reached no daemon.
    NotAccepted(String),
    /// A daemon answered that it can't reach the store. This try has changed nothing; of an
    /// earlier run of the same command it says nothing.
    StoreUnavailable(String),
    /// An answer was lost, and no later one settles it.
    Unknown(String),
}

/// One try of a call.
enum AttemptResult {
    /// The daemon's whole answer.
    Answer(StatusCode, Vec<u8>),
    /// The daemon did not get the call.
    NotSent(String),
    /// The daemon may have got the call.
    MaybeSent(String),
}

impl Client {
    /// Makes a client that tries until the timeout is over.
    ///
    /// # Errors
    ///
    /// Gives [`CliError::Usage`] where the key can't stand in a header.
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

    /// Gives the time left.
    pub fn time_left(&self) -> Millis {
        self.deadline.since(self.clock.now())
    }

    /// Asks the daemons in turn until one answers. For calls that change nothing.
    ///
    /// # Errors
    ///
    /// Gives [`CliError::Refused`], [`CliError::Unreadable`], or [`CliError::Unreached`] where
    /// each daemon failed once.
    pub async fn call<T: DeserializeOwned>(
        &self,
        call: &str,
        req: &impl Serialize,
    ) -> Result<T, CliError> {
        self.call_with_server_wait(call, req, Millis(0)).await
    }

    /// Does the same for a call that the daemon answers only after the given time.
    ///
    /// # Errors
    ///
    /// Gives what [`call`](Self::call) gives.
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

    /// Asks for a change until its outcome is known or the time is over. Every try carries the
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

    /// Gives the time for one try. A connection or a daemon may be silent for good, so no
    /// single try gets all the time there is.
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
        let uri = Uri::try_from(format!("{PREFIX}{call}")).unwrap_or_default();
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

/// Reads the whole answer. An answer that breaks off says nothing about a change.
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

/// What one answer to a change says.
enum ChangeReply {
    Final(ChangeAnswer),
    Unknown(String),
    Refused(ChangeResult),
}

fn classify_reply(peer: SocketAddr, status: StatusCode, body: &[u8]) -> ChangeReply {
    if let Ok(answer) = serde_json::from_slice::<ChangeAnswer>(body) {
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
    if serde_json::from_slice::<ErrorAnswer>(body).is_ok() {
        let error = format!("{peer}: {}", error_text(status, body));
        return ChangeReply::Refused(match status {
            StatusCode::SERVICE_UNAVAILABLE => ChangeResult::StoreUnavailable(error),
            _ => ChangeResult::NotAccepted(error),
        });
    }
    ChangeReply::Unknown(format!("{peer}: status {status} without an answer"))
}

/// A refusal settles a change only where no earlier try of it was lost: the lost one may still
/// be under way in another daemon, and take effect after this refusal.
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
    match serde_json::from_slice::<ErrorAnswer>(body) {
        Ok(answer) => answer.error,
        Err(_) => format!("status {status}"),
    }
}
