//! Which attempts have the same fingerprint.

use bytes::Bytes;
use heatherknot_edge::poison::fingerprint::{Fingerprint, Identity, KnownBody};
use heatherknot_http::RequestHead;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

#[derive(Clone)]
struct Attempt {
    method: Method,
    target: &'static str,
    headers: &'static [(&'static str, &'static str)],
    account: Option<&'static str>,
    object: Option<&'static str>,
    body: KnownBody,
}

fn attempt() -> Attempt {
    Attempt {
        method: Method::GET,
        target: "/a/17/2f?full=1",
        headers: &[("host", "shots.example"), ("request-id", "1")],
        account: Some("north"),
        object: Some("17"),
        body: KnownBody::Whole(vec![Bytes::from_static(b"body")]),
    }
}

impl Attempt {
    fn fingerprint(&self) -> Fingerprint {
        let uri = self.target.parse().expect("a target");
        let mut head = RequestHead::new(self.method.clone(), uri);
        let mut headers = HeaderMap::new();
        for (name, value) in self.headers {
            let name = HeaderName::from_static(name);
            headers.append(name, HeaderValue::from_static(value));
        }
        head.headers = headers;
        Fingerprint::of(&Identity {
            head: &head,
            account: self.account,
            object: self.object,
            body: &self.body,
        })
    }
}

/// Guards against a retry that is not recognized because its identifier, headers or body chunks
/// differ.
#[test]
fn another_attempt_is_the_same_request() {
    let again = Attempt {
        headers: &[
            ("request-id", "2"),
            ("accept-language", "fr"),
            ("user-agent", "b"),
            ("host", "shots.example"),
        ],
        body: KnownBody::Whole(vec![Bytes::from_static(b"bo"), Bytes::from_static(b"dy")]),
        ..attempt()
    };

    assert_eq!(again.fingerprint(), attempt().fingerprint());
}

/// Guards against taking a request that a server handles differently for a poison request.
#[test]
fn requests_that_a_server_tells_apart_have_different_fingerprints() {
    let whole = |text: &'static str| KnownBody::Whole(vec![Bytes::from_static(text.as_bytes())]);
    let others = [
        Attempt {
            method: Method::POST,
            ..attempt()
        },
        Attempt {
            target: "/a/17/2f?full=2",
            ..attempt()
        },
        Attempt {
            target: "/a/17/2f",
            ..attempt()
        },
        Attempt {
            headers: &[("host", "other.example")],
            ..attempt()
        },
        Attempt {
            headers: &[("host", "shots.example"), ("authorization", "x")],
            ..attempt()
        },
        Attempt {
            account: Some("south"),
            ..attempt()
        },
        Attempt {
            account: None,
            ..attempt()
        },
        Attempt {
            object: None,
            ..attempt()
        },
        // Moving bytes from one field to the next must change the fingerprint.
        Attempt {
            account: Some("north1"),
            object: Some("7"),
            ..attempt()
        },
        Attempt {
            body: whole("bodies"),
            ..attempt()
        },
        Attempt {
            body: KnownBody::Length(Some(4)),
            ..attempt()
        },
    ];
    let mut fingerprints: Vec<Fingerprint> = others.iter().map(Attempt::fingerprint).collect();
    fingerprints.push(attempt().fingerprint());
    let count = fingerprints.len();
    fingerprints.sort();
    fingerprints.dedup();

    assert_eq!(fingerprints.len(), count);
}
