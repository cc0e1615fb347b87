//! Verification of tickets: only tokens signed by the deployment are accepted.

use heatherknot_gateway::TokenKey;
use heatherknot_gateway::once::Ticket;
use heatherknot_gateway::slots::Member;
use heatherknot_types::prelude::*;

fn ticket() -> Ticket {
    Ticket {
        owner: Member {
            vm: VmName::from("vm-a"),
            incarnation: Incarnation(7),
        },
        service: ServiceName::from("acme:shop"),
        expires: Millis(1_000),
        nonce: 42,
    }
}

#[test]
fn signed_ticket_is_parsed() {
    let key = TokenKey::new(b"secret");

    let parsed = Ticket::from_text(&ticket().to_text(&key), &key);

    assert_eq!(parsed, Ok(Some(ticket())));
}

#[test]
fn ticket_of_another_deployment_is_refused() {
    let text = ticket().to_text(&TokenKey::new(b"other"));

    let parsed = Ticket::from_text(&text, &TokenKey::new(b"secret"));

    assert!(parsed.is_err());
}

#[test]
fn altered_ticket_is_refused() {
    // A caller changes one byte of its ticket. An accepted change of the owner, service, expiry
    // or nonce would let a request run twice.
    let key = TokenKey::new(b"secret");
    let good = ticket().to_text(&key);
    heatherknot_test_support::property::check()
        .with_type::<(u16, u8)>()
        .for_each(|(position, byte)| {
            let mut bytes = good.clone().into_bytes();
            let at = usize::from(*position) % bytes.len();
            bytes[at] = *byte;
            let Ok(text) = String::from_utf8(bytes) else {
                return;
            };

            let parsed = Ticket::from_text(&text, &key);

            let same = text == good;
            assert_eq!(parsed == Ok(Some(ticket())), same, "{text}");
            assert!(same || !matches!(parsed, Ok(Some(_))), "{text}");
        });
}

#[test]
fn any_text_is_parsed_without_panic() {
    let key = TokenKey::new(b"secret");
    heatherknot_test_support::property::check()
        .with_type::<String>()
        .for_each(|text| {
            let unsigned = format!("hkt1.{text}");

            assert!(Ticket::from_text(&unsigned, &key).is_err());
            assert!(!matches!(Ticket::from_text(text, &key), Ok(Some(_))));
        });
}
