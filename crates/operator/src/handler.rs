//! From an HTTP request to its answer.

use bytes::Bytes;
use futures_util::FutureExt;
use heatherknot_http::{Handler, Request, Response};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::rc::Rc;

use crate::api::ErrorResponse;
use crate::call::Call;
use crate::change;
use crate::context::OperatorContext;
use crate::error::{BodySnafu, CallError, MalformedSnafu};
use crate::read;
use crate::report;
use crate::session::Session;

/// The longest request body, in bytes: a whole tree and its wrapping.
const MAX_BODY: usize = 4 << 20;

/// Gives the function that answers the requests of operators.
pub fn handler(cx: OperatorContext) -> Handler {
    Rc::new(move |req| {
        let cx = cx.clone();
        async move { respond(&cx, req).await }.boxed_local()
    })
}

async fn respond(cx: &OperatorContext, req: Request) -> Response {
    let peer = req.peer;
    let path = req.head.path().to_string();
    match answer(cx, req).await {
        Ok(response) => response,
        Err(error) => {
            let status = error.status();
            log::warn!(step = "operator call", peer:% = peer, path:% = path, status = status.as_u16(), error:% = error; "refused");
            let error = error.to_string();
            json(status, &ErrorResponse { error })
        }
    }
}

async fn answer(cx: &OperatorContext, req: Request) -> Result<Response, CallError> {
    let call = Call::find(&req.head.method, req.head.path())?;
    let mut session = Session::open(cx, &req.head.headers)?;
    let body = req.body.collect(MAX_BODY).await.context(BodySnafu)?;
    match call {
        Call::Get => ok(read::get(&session, &parse(call, &body)?)),
        Call::Effective => ok(read::effective(&session, &parse(call, &body)?)),
        Call::Diff => ok(read::diff(&session, &parse(call, &body)?).await),
        Call::History => ok(read::history(&session, &parse(call, &body)?).await),
        Call::Audit => ok(read::audit(&session, &parse(call, &body)?).await),
        Call::Status => ok(report::status(&session).await),
        Call::Wait => ok(report::wait(&session, &parse(call, &body)?).await),
        Call::Explain => ok(report::explain(&session, parse(call, &body)?).await),
        Call::WhoAmI => ok(Ok(report::whoami(&session))),
        Call::Change => {
            let answer = change::change(&mut session, &parse(call, &body)?).await?;
            Ok(json(change::status(&answer), &answer))
        }
    }
}

fn parse<T: DeserializeOwned>(call: Call, body: &Bytes) -> Result<T, CallError> {
    let call = call.as_str();
    serde_json::from_slice(body).context(MalformedSnafu { call })
}

fn ok<T: Serialize>(answer: Result<T, CallError>) -> Result<Response, CallError> {
    answer.map(|answer| json(StatusCode::OK, &answer))
}

fn json(status: StatusCode, answer: &impl Serialize) -> Response {
    match serde_json::to_vec(answer) {
        Ok(text) => Response::json(status, text),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
