//! HTTP/1.1 servers and client pools over `monoio-http`, with bounded buffers and strict input
//! validation.
//!
//! [`serve`] answers callers with a [`Handler`], one task for each connection. A [`Pool`]
//! sends requests to one backend server or peer. Bodies are streamed in both directions, with
//! backpressure: a body is read from its connection only as fast as it is consumed.

mod ahead;
mod body;
mod connection;
mod decode;
mod duplex;
mod encode;
mod exchange;
mod flag;
mod halves;
mod head;
mod headers;
mod idle;
mod incoming;
mod kept;
mod loan;
mod message;
mod pool;
mod reader;
mod send_error;
mod server;
mod socket;
mod target;
mod timeout;
mod writer;

pub use ahead::{AheadPredicate, AheadRule};
pub use body::{Body, BodyDropped, BodyError, BodySender};
pub use flag::{Flag, Wait};
pub use head::HeadError;
pub use headers::{CALLER_HEADERS, SYSTEM_PREFIX, strip_system_headers};
pub use kept::{ReplayBudget, ReplayableBody};
pub use message::{Handler, Request, RequestHead, Response};
pub use pool::{Pool, PoolConfig, SendOptions};
pub use send_error::{SendError, SendProgress, Step};
pub use server::{Limits, serve};
pub use socket::LivenessOptions;
