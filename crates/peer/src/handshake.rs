//! The client side ([`open`]) and the server side ([`accept`]) of the handshake.

use std::rc::Rc;

use monoio::io::Splitable;
use monoio::net::TcpStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::auth::{
    HANDSHAKE_LIMIT, HandshakeRefusal, Hello, Nonce, PeerId, Proof, Role, SessionKeys, Transcript,
    Verdict, WIRE_VERSION, Welcome,
};
use crate::error::Cause;
use crate::frame::{FrameReader, FrameWriter, read_plain, write_plain};
use crate::net::NetState;

/// An authenticated connection.
pub(crate) struct Connection {
    pub(crate) remote: PeerId,
    pub(crate) rd: FrameReader,
    pub(crate) wr: FrameWriter,
}

async fn send(
    net: &NetState,
    stream: &mut TcpStream,
    message: &impl Serialize,
) -> Result<(), Cause> {
    let payload = serde_json::to_vec(message).map_err(json_cause)?;
    write_plain(stream, &payload, &net.traffic)
        .await
        .map_err(|frame| Cause::Frame { frame })
}

async fn receive<T: DeserializeOwned>(net: &NetState, stream: &mut TcpStream) -> Result<T, Cause> {
    let payload = read_plain(stream, HANDSHAKE_LIMIT, &net.traffic)
        .await
        .map_err(|frame| Cause::Frame { frame })?;
    serde_json::from_slice(&payload).map_err(|_| refused(HandshakeRefusal::Malformed))
}

pub(crate) fn json_cause(e: serde_json::Error) -> Cause {
    Cause::Json {
        message: e.to_string(),
    }
}

fn refused(refusal: HandshakeRefusal) -> Cause {
    Cause::Refused { refusal }
}

/// Performs the client side of the handshake: verifies the server's proof and sends this daemon's
/// own.
pub(crate) async fn open(net: &NetState, mut stream: TcpStream) -> Result<Connection, Cause> {
    let me = net.me();
    let own_nonce = Nonce::random();
    let hello = Hello {
        version: WIRE_VERSION,
        deployment: net.deployment.clone(),
        client: me.clone(),
        nonce: own_nonce,
    };
    send(net, &mut stream, &hello).await?;
    let (server, server_nonce, code) = match receive(net, &mut stream).await? {
        Welcome::Proof {
            server,
            nonce,
            code,
        } => (server, nonce, code),
        Welcome::Refused(refusal) => return Err(refused(refusal)),
    };
    let transcript = Transcript::new(&net.deployment, (&me, own_nonce), (&server, server_nonce));
    if !transcript.verify(&net.secret, Role::Server, &code) {
        return Err(refused(HandshakeRefusal::BadProof));
    }
    let proof = Proof {
        code: transcript.code(&net.secret, Role::Client),
    };
    send(net, &mut stream, &proof).await?;
    let keys = transcript.keys(&net.secret);
    let mut connection = split(net, stream, server, keys, Role::Client);
    let verdict = connection
        .rd
        .read()
        .await
        .map_err(|frame| Cause::Frame { frame })?;
    match serde_json::from_slice(&verdict).map_err(json_cause)? {
        Verdict::Accepted => {}
        Verdict::Refused(refusal) => {
            net.handle_refusal(&refusal);
            return Err(refused(refusal));
        }
    }
    net.learn(&connection.remote).map_err(refused)?;
    Ok(connection)
}

/// Performs the server side of the handshake: sends this daemon's proof and verifies the client's.
pub(crate) async fn accept(net: &NetState, mut stream: TcpStream) -> Result<Connection, Cause> {
    let hello = match receive::<Hello>(net, &mut stream).await {
        Err(Cause::Refused { refusal }) => return refuse_client(net, &mut stream, refusal).await,
        received => received?,
    };
    if hello.version != WIRE_VERSION {
        return refuse_client(net, &mut stream, HandshakeRefusal::WrongVersion).await;
    }
    if hello.deployment != net.deployment {
        return refuse_client(net, &mut stream, HandshakeRefusal::WrongDeployment).await;
    }
    let me = net.me();
    let nonce = Nonce::random();
    let transcript = Transcript::new(&net.deployment, (&hello.client, hello.nonce), (&me, nonce));
    let welcome = Welcome::Proof {
        server: me,
        nonce,
        code: transcript.code(&net.secret, Role::Server),
    };
    send(net, &mut stream, &welcome).await?;
    let proof: Proof = receive(net, &mut stream).await?;
    if !transcript.verify(&net.secret, Role::Client, &proof.code) {
        return Err(refused(HandshakeRefusal::BadProof));
    }
    let keys = transcript.keys(&net.secret);
    let connection = split(net, stream, hello.client, keys, Role::Server);
    send_verdict(net, connection).await
}

async fn refuse_client(
    net: &NetState,
    stream: &mut TcpStream,
    refusal: HandshakeRefusal,
) -> Result<Connection, Cause> {
    send(net, stream, &Welcome::Refused(refusal.clone())).await?;
    Err(refused(refusal))
}

/// Sends the authenticated client the verdict on its identity.
async fn send_verdict(net: &NetState, mut connection: Connection) -> Result<Connection, Cause> {
    let learned = net.learn(&connection.remote);
    let verdict = match &learned {
        Ok(()) => Verdict::Accepted,
        Err(refusal) => Verdict::Refused(refusal.clone()),
    };
    let payload = serde_json::to_vec(&verdict).map_err(json_cause)?;
    let sent = connection.wr.write(&payload).await;
    sent.map_err(|frame| Cause::Frame { frame })?;
    learned.map_err(refused)?;
    Ok(connection)
}

fn split(
    net: &NetState,
    stream: TcpStream,
    remote: PeerId,
    keys: SessionKeys,
    role: Role,
) -> Connection {
    let (out_key, in_key) = match role {
        Role::Client => (keys.client, keys.server),
        Role::Server => (keys.server, keys.client),
    };
    // Calls are small and callers wait for the answers, so Nagle's algorithm would only add
    // latency. The connection also works if setting the option fails.
    let _ = stream.set_nodelay(true);
    let (rd, wr) = stream.into_split();
    let limit = net.options.max_message;
    Connection {
        remote,
        rd: FrameReader::new(rd, in_key, limit, Rc::clone(&net.traffic)),
        wr: FrameWriter::new(wr, out_key, limit, Rc::clone(&net.traffic)),
    }
}
