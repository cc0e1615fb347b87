//! A client that sends one request on a new channel and reads the answer.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    /// How long the client waits.
    pub budget: Duration,
    /// The object that the request concerns, if any.
    pub object: Option<String>,
    pub body: Vec<u8>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer with this status; whether it has the server's signature.
    Answered { status: u16, is_signed: bool },
    /// The channel ended, or failed, without a complete answer.
    BrokenOff,
    /// The time budget passed.
    TimedOut,
}

/// A sent request with its times on the record's clock.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent_at: f64,
    pub ended_at: f64,
    pub outcome: Outcome,
}

/// Sends a request to a daemon in a thread of its own.
pub fn send(to: SocketAddr, request: Request, record: &Record) -> JoinHandle<Sent> {
    let record = record.clone();
    thread::spawn(move || {
        let sent_at = record.add(format!(
            "{} is sent to {to}: {} {}",
            request.id, request.method, request.path
        ));
        let outcome = exchange(to, &request).unwrap_or_else(|error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::TimedOut,
            _ => Outcome::BrokenOff,
        });
        let ended_at = record.add(format!("{} ends for its client: {outcome:?}", request.id));
        Sent {
            id: request.id,
            sent_at,
            ended_at,
            outcome,
        }
    })
}

fn exchange(to: SocketAddr, request: &Request) -> io::Result<Outcome> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(request.budget))?;
    let mut connection = Connection::new(stream);
    let Request {
        id,
        method,
        host,
        path,
        budget,
        object,
        body,
    } = request;
    let cookie = object
        .as_ref()
        .map(|object| format!("Cookie: Affinity-Key={object}\r\n"));
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
        budget.as_millis(),
        cookie.unwrap_or_default(),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    connection.stream.write_all(&bytes)?;
    let Some(head) = connection.read_head()? else {
        return Ok(Outcome::BrokenOff);
    };
    connection.read_body(&head)?;
    Ok(Outcome::Answered {
        status: head.status(),
        is_signed: head.get("response-signature").is_some(),
    })
}
