//! Requests, responses and request handlers.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};

use crate::body::Body;
use crate::flag::Flag;

/// The function that a server calls for each request.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response>>;

/// A request without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The path and query, always in origin form.
    pub uri: Uri,
    /// The end-to-end headers, without hop-by-hop fields and fields that define the body length.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Creates a head with no headers.
    pub fn new(method: Method, uri: Uri) -> Self {
        Self {
            method,
            uri,
            headers: HeaderMap::new(),
        }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.uri.path()
    }
}

/// A request as a server received it.
#[derive(Debug)]
pub struct Request {
    /// The method, path and headers.
    pub head: RequestHead,
    /// The body, read from the connection on demand.
    pub body: Body,
    /// The address that the request came from.
    pub peer: SocketAddr,
    /// Fires when the caller disconnects. The handler is not aborted; it has to stop by itself.
    pub cancelled: Flag,
}

/// A response to send, or as received.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers. The length of the body is taken from `body`; a `content-length`
    /// here is used only if the response has no body, as for `HEAD`.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

impl Response {
    /// Creates a response with no headers.
    pub fn new(status: StatusCode, body: Body) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Creates a response of plain text.
    pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::new(status, Body::full(text))
            .with_header(CONTENT_TYPE, HeaderValue::from_static("text/plain"))
    }

    /// Creates a response of JSON text.
    pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::new(status, Body::full(text))
            .with_header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Sets a header, replacing one of the same name.
    pub fn with_header(mut self, name: http::HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}
