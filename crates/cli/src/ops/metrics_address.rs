//! Calls on daemons' metrics addresses.

use std::net::SocketAddr;

use heatherknot_http::{Body, Pool, PoolConfig, RequestHead, Response, SendOptions};
use heatherknot_types::prelude::*;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::error::{CliError, RefusedSnafu, UnreadableSnafu};

/// The longest answer, in bytes: 200 for each of 40,000 rows.
const MAX_ANSWER: usize = 8 << 20;
/// The longest cause of a refusal that is shown, in bytes.
const MAX_CAUSE: usize = 1 << 10;

/// Reads addresses from the command line.
pub(super) fn parse_all(args: &[String]) -> Result<Vec<SocketAddr>, CliError> {
    let parse = |text: &String| {
        let wrong = |_| {
            let message = format!("ADDRESS: found `{text}`, expected one such as 10.1.0.18:7215");
            CliError::usage(message)
        };
        text.parse().map_err(wrong)
    };
    args.iter().map(parse).collect()
}

/// Sends a request that may be sent twice, and reads the JSON of its answer.
pub(super) async fn ask<T: DeserializeOwned>(
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
    let response = response.map_err(|error| CliError::Unreached {
        causes: format!("{address}: {error}"),
    })?;
    read(address, response).await
}

async fn read<T: DeserializeOwned>(peer: SocketAddr, response: Response) -> Result<T, CliError> {
    let Response { status, body, .. } = response;
    if status != StatusCode::OK {
        let cause = body.collect(MAX_CAUSE).await.unwrap_or_default();
        let cause = String::from_utf8_lossy(&cause);
        let error = format!("{status}: {}", cause.trim());
        return RefusedSnafu { peer, error }.fail();
    }
    let unreadable = |problem: String| UnreadableSnafu { peer, problem }.build();
    let body = body.collect(MAX_ANSWER).await;
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))
}
