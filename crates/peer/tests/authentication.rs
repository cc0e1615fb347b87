//! Authentication of connections: what a daemon refuses as a server and as a client.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use heatherknot_peer::auth::{
    Hello, Nonce, Proof, Role, SessionKeys, Transcript, Verdict, WIRE_VERSION, Welcome,
};
use heatherknot_peer::frame::{FrameReader, Traffic, encode, read_plain, write_plain};
use heatherknot_peer::{
    Cause, Handled, HandshakeRefusal, MethodTable, PeerId, PeerNet, Secret, Step,
};
use heatherknot_types::prelude::*;
use monoio::io::{AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;
use support::{TestTime, context, introduce, run, secret, start};

const TIMEOUT: Millis = Millis(5_000);
const CALL: &[u8] = br#"{"jsonrpc":"2.0","id":0,"method":"touch","params":null}"#;

fn target(time: &TestTime) -> (PeerNet, Rc<Cell<u32>>) {
    let touch_count = Rc::new(Cell::new(0));
    let counter = Rc::clone(&touch_count);
    let mut cx = context("victim", "a", time);
    cx.options.max_message = 4_096;
    let mut table = MethodTable::default();
    table.register("touch", move |_, ()| {
        counter.set(counter.get() + 1);
        async move { Ok(()) }
    });
    cx.methods = table;
    (start(cx), touch_count)
}

fn identity(vm: &str, epoch: u64) -> PeerId {
    PeerId {
        vm: VmName::from(vm),
        domain: DomainName::from("a"),
        incarnation: Incarnation(epoch + 77),
        epoch,
        address: "127.0.0.1:9".parse().expect("an address"),
        callers: None,
    }
}

fn hello(client: PeerId) -> Hello {
    Hello {
        version: WIRE_VERSION,
        deployment: String::from("tests"),
        client,
        nonce: Nonce::random(),
    }
}

/// A connection whose messages the test writes itself.
struct RawConnection {
    stream: TcpStream,
    traffic: Traffic,
}

impl RawConnection {
    async fn open(to: &PeerNet) -> Self {
        let stream = TcpStream::connect(to.me().address)
            .await
            .expect("a listener");
        Self {
            stream,
            traffic: Traffic::default(),
        }
    }

    async fn send(&mut self, message: &impl serde::Serialize) {
        let payload = serde_json::to_vec(message).expect("JSON");
        let sent = write_plain(&mut self.stream, &payload, &self.traffic).await;
        sent.expect("an open connection");
    }

    async fn receive_welcome(&mut self) -> Welcome {
        let payload = read_plain(&mut self.stream, 4_096, &self.traffic).await;
        serde_json::from_slice(&payload.expect("an answer")).expect("a welcome")
    }

    /// Performs the handshake as `client` with `secret`.
    async fn authenticate(&mut self, client: PeerId, secret: &Secret) -> SessionKeys {
        let hello = hello(client);
        self.send(&hello).await;
        let Welcome::Proof { server, nonce, .. } = self.receive_welcome().await else {
            panic!("refused");
        };
        let ends = ((&hello.client, hello.nonce), (&server, nonce));
        let transcript = Transcript::new(&hello.deployment, ends.0, ends.1);
        let code = transcript.code(secret, Role::Client);
        self.send(&Proof { code }).await;
        transcript.keys(secret)
    }

    /// Writes raw bytes and returns all messages received until the server closes the connection,
    /// starting with the verdict.
    async fn exchange(self, bytes: Vec<u8>, keys: SessionKeys) -> Vec<Box<[u8]>> {
        let (rd, mut wr) = self.stream.into_split();
        let _ = wr.write_all(bytes).await;
        let mut rd = FrameReader::new(rd, keys.server, 4_096, Rc::default());
        let mut frames = Vec::new();
        while let Ok(frame) = rd.read().await {
            frames.push(frame);
        }
        frames
    }
}

/// Sends `bytes` on an authenticated connection and returns how many messages the server sends
/// between its verdict and closing the connection.
async fn count_messages_after_verdict(
    to: &PeerNet,
    bytes: impl FnOnce(&SessionKeys) -> Vec<u8>,
) -> usize {
    let mut raw = RawConnection::open(to).await;
    let keys = raw.authenticate(identity("raw", 1), &secret()).await;
    let bytes = bytes(&keys);
    raw.exchange(bytes, keys).await.len() - 1
}

/// Guards against running calls of clients without the secret: such a client performs a well-formed
/// handshake and sends a call.
#[test]
fn a_client_without_the_secret_is_refused() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);
        let mut raw = RawConnection::open(&net).await;

        let keys = raw
            .authenticate(identity("stranger", 1), &Secret::new("a guess"))
            .await;
        let call = encode(&keys.client, 0, CALL);
        let frames = raw.exchange(call, keys).await;

        assert!(frames.is_empty());
        assert_eq!(touch_count.get(), 0);
        assert!(net.identity_of(&"stranger".into()).is_none());
    });
}

/// Guards against replay attacks: a recorded handshake is sent again, and must fail because the
/// server's nonce differs.
#[test]
fn a_replayed_handshake_is_refused() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);
        let mut first = RawConnection::open(&net).await;
        let hello = hello(identity("raw", 1));
        first.send(&hello).await;
        let Welcome::Proof { server, nonce, .. } = first.receive_welcome().await else {
            panic!("refused");
        };
        let ends = ((&hello.client, hello.nonce), (&server, nonce));
        let transcript = Transcript::new("tests", ends.0, ends.1);
        let code = transcript.code(&secret(), Role::Client);
        let recorded = Proof { code };
        let mut second = RawConnection::open(&net).await;

        second.send(&hello).await;
        second.receive_welcome().await;
        second.send(&recorded).await;
        let keys = transcript.keys(&secret());
        let call = encode(&keys.client, 0, CALL);
        let frames = second.exchange(call, keys).await;

        assert!(frames.is_empty());
        assert_eq!(touch_count.get(), 0);
    });
}

#[test]
fn a_client_of_another_deployment_is_refused() {
    run(async {
        let time = TestTime::default();
        let (net, _) = target(&time);
        let mut cx = context("foreign", "a", &time);
        cx.deployment = String::from("elsewhere");
        let foreign = start(cx);
        introduce(&foreign, &net);

        let result = foreign
            .call::<_, ()>(&"victim".into(), "touch", &(), TIMEOUT)
            .await;

        let error = result.expect_err("another deployment");
        assert_eq!((error.step, error.handled), (Step::Handshake, Handled::No));
        let refusal = HandshakeRefusal::WrongDeployment;
        assert_eq!(error.source, Cause::Refused { refusal });
    });
}

/// Guards against sending calls to an impostor: a process without the secret listens on a VM's
/// address.
#[test]
fn a_server_without_the_secret_gets_no_call() {
    run(async {
        let time = TestTime::default();
        let mut cx = context("impostor", "a", &time);
        cx.secret = Secret::new("a guess");
        let impostor = start(cx);
        let net = start(context("caller", "a", &time));
        introduce(&net, &impostor);

        let result = net
            .call::<_, ()>(&"impostor".into(), "touch", &(), TIMEOUT)
            .await;

        let error = result.expect_err("no proof");
        assert_eq!((error.step, error.handled), (Step::Handshake, Handled::No));
        let refusal = HandshakeRefusal::BadProof;
        assert_eq!(error.source, Cause::Refused { refusal });
    });
}

/// Guards against sending a call to another VM than the one it is meant for.
#[test]
fn another_vm_at_the_address_gets_no_call() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);
        let caller = start(context("caller", "a", &time));
        let moved = PeerId {
            address: net.me().address,
            ..identity("moved-away", 5)
        };
        caller.learn(&moved).expect("news");

        let result = caller.call::<_, ()>(&moved.vm, "touch", &(), TIMEOUT).await;

        let error = result.expect_err("another VM");
        assert_eq!(error.handled, Handled::No);
        let refusal = HandshakeRefusal::WrongVm;
        assert_eq!(error.source, Cause::Refused { refusal });
        assert_eq!(touch_count.get(), 0);
    });
}

/// Guards against two active processes for one VM: a process was paused while the VM was replaced,
/// and calls a peer that knows the later incarnation. It must be refused and learn why.
#[test]
fn an_earlier_incarnation_is_refused_and_learns_its_successor() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);
        let old = start(context("moved", "a", &time));
        introduce(&old, &net);
        let successor = identity("moved", 2_000);
        net.learn(&successor).expect("news");

        let result = old
            .call::<_, ()>(&"victim".into(), "touch", &(), TIMEOUT)
            .await;

        let error = result.expect_err("superseded");
        assert_eq!(error.handled, Handled::No);
        let by = Box::new(successor.clone());
        let refusal = HandshakeRefusal::Superseded { by };
        assert_eq!(error.source, Cause::Refused { refusal });
        assert_eq!(old.superseded_by(), Some(successor));
        assert_eq!(touch_count.get(), 0);
    });
}

/// Guards against a daemon that stays refused after a restart: its VM's clock was set back, so its
/// peers know a predecessor with a higher epoch at the same address.
#[test]
fn a_restarted_daemon_raises_its_epoch_above_its_predecessor() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);
        let restarted = start(context("restarted", "a", &time));
        introduce(&restarted, &net);
        let predecessor = PeerId {
            address: restarted.me().address,
            ..identity("restarted", 9_000)
        };
        net.learn(&predecessor).expect("news");

        let first = restarted
            .call::<_, ()>(&"victim".into(), "touch", &(), TIMEOUT)
            .await;
        let second = restarted
            .call::<_, ()>(&"victim".into(), "touch", &(), TIMEOUT)
            .await;

        assert_eq!(first.expect_err("refused once").handled, Handled::No);
        second.expect("accepted with a higher epoch");
        assert_eq!(restarted.superseded_by(), None);
        assert_eq!(net.identity_of(&"restarted".into()), Some(restarted.me()));
        assert_eq!(touch_count.get(), 1);
    });
}

#[test]
fn a_valid_call_is_answered() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);

        let mut raw = RawConnection::open(&net).await;
        let keys = raw.authenticate(identity("raw", 1), &secret()).await;
        let call = encode(&keys.client, 0, CALL);
        let (rd, mut wr) = raw.stream.into_split();
        wr.write_all(call).await.0.expect("an open connection");
        let mut rd = FrameReader::new(rd, keys.server, 4_096, Rc::default());
        let verdict = rd.read().await.expect("a verdict");
        let answer = rd.read().await.expect("an answer");

        assert!(matches!(
            serde_json::from_slice(&verdict),
            Ok(Verdict::Accepted)
        ));
        assert_eq!(&*answer, br#"{"jsonrpc":"2.0","id":0,"result":null}"#);
        assert_eq!(touch_count.get(), 1);
    });
}

/// Guards against messages removed from or inserted into a connection: a gap in the sequence
/// numbers must end the connection, even if the message's MAC is valid.
#[test]
fn a_gap_in_the_sequence_numbers_ends_the_connection() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);

        let next = count_messages_after_verdict(&net, |keys| encode(&keys.client, 1, CALL)).await;
        let huge =
            count_messages_after_verdict(&net, |keys| encode(&keys.client, u64::MAX, CALL)).await;

        assert_eq!((next, huge), (0, 0));
        assert_eq!(touch_count.get(), 0);
    });
}

#[test]
fn a_message_over_the_limit_ends_the_connection() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);
        let padded = [CALL, &[b' '; 4_096]].concat();

        let over =
            count_messages_after_verdict(&net, |keys| encode(&keys.client, 0, &padded)).await;
        let claimed = count_messages_after_verdict(&net, |_| vec![0xff; 28]).await;

        assert_eq!((over, claimed), (0, 0));
        assert_eq!(touch_count.get(), 0);
    });
}

#[test]
fn a_modified_message_ends_the_connection() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);

        let frames = count_messages_after_verdict(&net, |keys| {
            let mut call = encode(&keys.client, 0, CALL);
            let last = call.len() - 1;
            call[last] ^= 1;
            call
        })
        .await;

        assert_eq!(frames, 0);
        assert_eq!(touch_count.get(), 0);
    });
}

#[test]
fn a_message_with_invalid_json_ends_the_connection() {
    run(async {
        let time = TestTime::default();
        let (net, touch_count) = target(&time);

        let frames =
            count_messages_after_verdict(&net, |keys| encode(&keys.client, 0, b"[1, 2")).await;

        assert_eq!(frames, 0);
        assert_eq!(touch_count.get(), 0);
    });
}

/// Guards against idle clients using up the incoming connections: a client that sends nothing is
/// disconnected after the handshake timeout.
#[test]
fn a_client_that_sends_nothing_is_disconnected() {
    run(async {
        let time = TestTime::default();
        let (net, _) = target(&time);

        let raw = RawConnection::open(&net).await;
        time.wait_until("it is counted", || net.connections().1 == 1)
            .await;
        time.wait_until("it is closed", || net.connections().1 == 0)
            .await;

        drop(raw);
        assert!(time.now() >= Millis(2_000));
    });
}

/// Guards against unauthenticated bytes that run a method or stop the daemon from answering peers.
#[test]
fn random_bytes_run_no_method() {
    heatherknot_test_support::property::check()
        .with_iterations(300)
        .for_each(|bytes| {
            run(async {
                let time = TestTime::default();
                let (net, touch_count) = target(&time);
                let raw = RawConnection::open(&net).await;
                let (rd, mut wr) = raw.stream.into_split();
                let _ = wr.write_all(bytes.to_vec()).await;
                drop((rd, wr));
                let caller = start(context("caller", "a", &time));
                introduce(&caller, &net);

                let answered = caller
                    .call::<_, ()>(&"victim".into(), "touch", &(), TIMEOUT)
                    .await;

                answered.expect("daemons are still answered");
                assert_eq!(touch_count.get(), 1);
            });
        });
}

#[test]
fn a_second_process_cannot_listen_at_the_same_address() {
    run(async {
        let time = TestTime::default();
        let (net, _) = target(&time);
        let mut cx = context("second", "a", &time);
        cx.listen = net.me().address;

        let second = heatherknot_peer::PeerNet::start(cx);

        assert!(second.is_err());
    });
}
