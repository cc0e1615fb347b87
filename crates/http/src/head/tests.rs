use super::*;

// Guards against smuggling through heads that the decoder of `monoio-http` accepts or reads
// differently: this validation has to refuse them by itself.
#[test]
fn invalid_fields_are_refused_before_decoding() {
    let fields = [
        "x: a\rb",
        "x: a\0b",
        "x: a\x7fb",
        " x: a",
        "x : a",
        "x",
        ": a",
        "content-length: 1\r\ncontent-length: 1",
        "content-length: 1\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked, chunked",
    ];
    for field in fields {
        let head = format!("GET / HTTP/1.1\r\nhost: h\r\n{field}\r\n\r\n");

        let checked = check_request(head.as_bytes());

        assert!(checked.is_err(), "{field:?} gave {checked:?}");
    }
}

// A scan that resumes after a partial read must not miss an end of the head that is split between
// two reads.
#[test]
fn head_end_is_found_at_any_split() {
    let bytes = b"GET / HTTP/1.1\r\nhost: h\r\n\r\nrest";
    let whole = bytes.len() - "rest".len();
    for split in 0..bytes.len() {
        let mut scanned = 0;

        let early = find_end(&bytes[..split], &mut scanned, 1000).expect("a valid head");
        let late = find_end(bytes, &mut scanned, 1000).expect("a valid head");

        match early {
            Some(len) => assert_eq!(len, whole),
            None => assert_eq!(late, Some(whole), "split at {split}"),
        }
    }
}
