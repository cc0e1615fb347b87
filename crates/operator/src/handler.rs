//! Dispatches HTTP requests to the calls of the operator API.

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
use crate::error::{CallError, MalformedBodySnafu, ReadBodySnafu};
use crate::read;
use crate::report;
use crate::session::Session;

/// The largest request body, in bytes; has to fit a change that sets the whole settings tree.
const MAX_BODY: usize = 4 << 20;

/// Returns the HTTP handler of the operator API.
pub fn handler(cx: OperatorContext) -> Handler {
    Rc::new(move |req| {
        let cx = cx.clone();
        async move { respond(&cx, req).await }.boxed_local()
    })
}

async fn respond(cx: &OperatorContext, req: Request) -> Response {
    let peer = req.peer;
    let path = req.head.path().to_string();
    match dispatch(cx, req).await {
        Ok(response) => response,
        Err(error) => {
            let status = error.status();
            log::warn!(step = "operator call", peer:% = peer, path:% = path, status = status.as_u16(), error:% = error; "refused");
            let error = error.to_string();
            json_response(status, &ErrorResponse { error })
        }
    }
}

async fn dispatch(cx: &OperatorContext, req: Request) -> Result<Response, CallError> {
    let call = Call::find(&req.head.method, req.head.path())?;
    let mut session = Session::open(cx, &req.head.headers)?;
    let body = req.body.collect(MAX_BODY).await.context(ReadBodySnafu)?;
    match call {
        Call::Get => ok_json(read::get(&session, &parse_body(call, &body)?)),
        Call::Effective => ok_json(read::effective(&session, &parse_body(call, &body)?)),
        Call::Diff => ok_json(read::diff(&session, &parse_body(call, &body)?).await),
        Call::History => ok_json(read::history(&session, &parse_body(call, &body)?).await),
        Call::Audit => ok_json(read::audit(&session, &parse_body(call, &body)?).await),
        Call::Status => ok_json(report::status(&session).await),
        Call::Wait => ok_json(report::wait(&session, &parse_body(call, &body)?).await),
        Call::Explain => ok_json(report::explain(&session, parse_body(call, &body)?).await),
        Call::WhoAmI => ok_json(Ok(report::whoami(&session))),
        Call::Change => {
            let response = change::change(&mut session, &parse_body(call, &body)?).await?;
            Ok(json_response(change::status(&response), &response))
        }
    }
}

fn parse_body<T: DeserializeOwned>(call: Call, body: &Bytes) -> Result<T, CallError> {
    let call = call.as_str();
    serde_json::from_slice(body).context(MalformedBodySnafu { call })
}

fn ok_json<T: Serialize>(result: Result<T, CallError>) -> Result<Response, CallError> {
    result.map(|body| json_response(StatusCode::OK, &body))
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(text) => Response::json(status, text),
        Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
