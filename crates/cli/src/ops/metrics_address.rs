//! Requests to daemons' metrics addresses.

use std::net::SocketAddr;

use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions};
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::error::{CliError, InvalidAnswerSnafu, RefusedSnafu};

/// The maximum size of an answer, in bytes: 200 bytes for each of 40,000 rows.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The maximum size of an error response's body, in bytes; a longer one is not shown.
const MAX_ERROR_BYTES: usize = 1 << 10;

/// Parses the addresses of the command line.
pub(super) fn parse_all(args: &[String]) -> Result<Vec<SocketAddr>, CliError> {
    let parse = |text: &String| {
        let invalid = |_| {
            let message = format!("ADDRESS: found `{text}`, expected one such as 10.1.0.18:7215");
            CliError::usage(message)
        };
        text.parse().map_err(invalid)
    };
    args.iter().map(parse).collect()
}

/// Sends an idempotent request and parses its answer as JSON.
pub(super) async fn query<T: DeserializeOwned>(
    address: SocketAddr,
    head: RequestHead,
    body: Body,
    timeout: Millis,
) -> Result<T, CliError> {
    let clock = Clock::system();
    let options = SendOptions {
        deadline: Some(clock.now() + timeout),
        idempotent: true,
        new_connection: false,
    };
    let pool = Pool::new(address, PoolConfig::default(), clock);
    let response = pool.send(head, body, options).await;
    let response = response.map_err(|error| CliError::NoAnswer {
        causes: format!("{address}: {error}"),
    })?;
    parse_response(address, response).await
}

async fn parse_response<T: DeserializeOwned>(
    peer: SocketAddr,
    response: Response,
) -> Result<T, CliError> {
    let Response { status, body, .. } = response;
    if status != StatusCode::OK {
        let cause = body.collect(MAX_ERROR_BYTES).await.unwrap_or_default();
        let cause = String::from_utf8_lossy(&cause);
        let error = format!("{status}: {}", cause.trim());
        return RefusedSnafu { peer, error }.fail();
    }
    let invalid_answer = |problem: String| InvalidAnswerSnafu { peer, problem }.build();
    let body = body.collect(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| invalid_answer(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| invalid_answer(error.to_string()))
}
