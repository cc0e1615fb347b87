//! A stand-in for a backend server, by the users' protocol page.
//!
//! It runs a request only if it is the instance that the request expects, and drops it if its connection
//! closes while it works, as most servers do.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const CLOSE_CHECK: Duration = Duration::from_millis(10);
const SLOTS: u32 = 64;
/// Size of the receive buffers, in bytes: a sender is blocked soon if the server does not read.
const RECEIVE_BUFFER: i32 = 8 * 1024;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Sets the size of the receive buffers of a listener's connections.
fn limit_receive_buffer(listener: &TcpListener) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value is a valid integer of the stated size, and the descriptor is open.
    let status = unsafe {
        setsockopt(
            listener.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &RECEIVE_BUFFER,
            4,
        )
    };
    assert_eq!(status, 0, "the receive buffer can be limited");
}

/// How the server treats one request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How long the request waits before its body is read.
    pub wait_before_body: Duration,
    /// How long the work takes after that.
    pub work: Duration,
    /// Length of the response's body.
    pub length: usize,
    /// How much of the body is sent; the rest never comes, and the connection stays open.
    pub sent: usize,
}

impl Plan {
    /// A request that takes `work` and is answered completely.
    pub fn new(work: Duration, length: usize) -> Self {
        Self {
            wait_before_body: Duration::ZERO,
            work,
            length,
            sent: length,
        }
    }
}

/// Chooses the plan of a request by its head.
pub type Planner = Arc<dyn Fn(&Head) -> Plan + Send + Sync>;

/// One backend server.
#[derive(Clone)]
pub struct Server {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    planner: Planner,
    record: Record,
}

impl Server {
    /// Starts a server on a free port and registers it in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        (id, service, zone): (&str, &str, &str),
        planner: Planner,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        limit_receive_buffer(&listener);
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener
                .local_addr()
                .expect("a bound listener has an address"),
            planner,
            record: record.clone(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        let (heart, store) = (server.clone(), store.clone());
        heart.report(&store, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                heart.report(&store, sequence);
            }
        });
        server
    }

    fn report(&self, store: &Store, sequence: u64) {
        let Self {
            id,
            service,
            zone,
            address,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
            \"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":{sequence}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.read_head()? {
            if !self.handle(&mut connection, &head)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Handles one request; returns whether the connection stays open.
    fn handle(&self, connection: &mut Connection, head: &Head) -> io::Result<bool> {
        let request = head.get("request-id").unwrap_or_default().to_owned();
        let name = &self.id;
        if head.target() == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nServer-Load: 0,0,{SLOTS}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.stream.write_all(text.as_bytes()).map(|()| true);
        }
        if head
            .get("expected-instance")
            .is_some_and(|expected| expected != name)
        {
            connection.read_body(head)?;
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.stream.write_all(text.as_bytes()).map(|()| true);
        }
        let plan = (self.planner)(head);
        self.record.add(format!(
            "{request} reaches server {name}, time left {} ms",
            head.get("request-deadline-ms").unwrap_or("-")
        ));
        if !self.wait(connection, plan.wait_before_body) {
            self.record.add(format!("{request} was dropped by server {name} before its body was read: its channel closed"));
            return Ok(false);
        }
        let body = match connection.read_body(head) {
            Ok(body) => body,
            Err(error) => {
                self.record.add(format!(
                    "{request} was dropped by server {name}: its body broke off ({error})"
                ));
                return Err(error);
            }
        };
        self.record.add(format!(
            "{request} runs at server {name}: {} with {} bytes",
            head.first,
            body.len()
        ));
        if !self.wait(connection, plan.work) {
            self.record.add(format!(
                "{request} was dropped by server {name} at work: its channel closed"
            ));
            return Ok(false);
        }
        self.record
            .add(format!("{request} ends at server {name}: 200"));
        self.respond(connection, &request, &plan)
    }

    fn respond(&self, connection: &mut Connection, request: &str, plan: &Plan) -> io::Result<bool> {
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: signed.{request}\r\n\
            Server-Load: 0,0,{SLOTS}\r\nContent-Length: {}\r\n\r\n",
            plan.length
        );
        connection.stream.write_all(text.as_bytes())?;
        connection.stream.write_all(&vec![b'x'; plan.sent])?;
        if plan.sent < plan.length {
            self.record.add(format!(
                "{request}: server {} sent {} of {} bytes and sends no more",
                self.id, plan.sent, plan.length
            ));
            while self.wait(connection, Duration::from_secs(60)) {}
            return Ok(false);
        }
        Ok(true)
    }

    /// Waits for `span`; returns whether the connection is still open.
    fn wait(&self, connection: &Connection, span: Duration) -> bool {
        let until = Instant::now() + span;
        while Instant::now() < until {
            // Unread bytes of a body hide an orderly close, but not a reset.
            if connection.is_closed() {
                return false;
            }
            thread::sleep(CLOSE_CHECK);
        }
        true
    }
}
